// Every runner of a zone vanishes and comes back cold.
local day = import 'day.libsonnet';
day { name: 'zone-loss', seconds: 14, troubles: [day.trouble('zone_loss', 3, 4)] }
