// Models never seen before draw much of the traffic.
local day = import 'day.libsonnet';
day { name: 'hot-model', seconds: 10, troubles: [day.trouble('hot_model', 3, 5) { size: 0.3, n: 2 }] }
