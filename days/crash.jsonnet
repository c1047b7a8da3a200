// Dispatchers die outright and come back with their last list.
local day = import 'day.libsonnet';
day { name: 'crash', seconds: 10, troubles: [day.trouble('dispatcher_crash', 3, 1.5) { part: 0.5 }, day.trouble('dispatcher_crash', 6, 1.5) { part: 1 }] }
