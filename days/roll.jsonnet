// Every dispatcher is restarted in turn.
local day = import 'day.libsonnet';
day { name: 'roll', seconds: 10, troubles: [day.trouble('dispatcher_roll', 3, 4) { part: 1, size: 0.7 }] }
