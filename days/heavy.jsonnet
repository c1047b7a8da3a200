// A few tasks take many times the work that is usual.
local day = import 'day.libsonnet';
day { name: 'heavy', seconds: 10, troubles: [day.trouble('heavy_tail', 2, 6) { size: 15 }] }
