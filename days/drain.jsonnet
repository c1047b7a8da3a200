// Runners drain while tasks wait there, stop, and come back cold.
local day = import 'day.libsonnet';
day { name: 'drain', seconds: 14, troubles: [day.trouble('drain', 3, 3) { part: 0.4 }] }
