// Traffic jumps to twice the usual.
local day = import 'day.libsonnet';
day { name: 'burst', seconds: 10, troubles: [day.trouble('burst', 3, 4) { size: 2.2 }] }
