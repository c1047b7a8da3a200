// One dispatcher suddenly carries most of the traffic.
local day = import 'day.libsonnet';
day { name: 'hot-caller', seconds: 10, troubles: [day.trouble('hot_caller', 3, 5) { size: 0.9 }] }
