// Runners stop for moments.
local day = import 'day.libsonnet';
day { name: 'pauses', seconds: 10, troubles: [day.trouble('pause', 2, 6) { part: 0.4, size: 400 }] }
