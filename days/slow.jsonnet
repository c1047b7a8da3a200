// A quarter of the runners works at a fifth of its pace.
local day = import 'day.libsonnet';
day { name: 'slow', seconds: 10, troubles: [day.trouble('slow', 3, 5) { size: 5 }] }
