// Models that are asked for once only.
local day = import 'day.libsonnet';
day { name: 'one-off', seconds: 10, troubles: [day.trouble('one_off', 2, 6) { size: 0.2 }] }
