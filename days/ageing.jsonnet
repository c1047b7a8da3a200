// Runners slow down step by step, die and come back.
local day = import 'day.libsonnet';
day { name: 'ageing', seconds: 12, troubles: [day.trouble('ageing', 2, 4)] }
