// Runners answer with what is no HTTP, or never read.
local day = import 'day.libsonnet';
day { name: 'garbage', seconds: 10, troubles: [day.trouble('garbage', 2, 4) { size: 0.4 }, day.trouble('deaf', 4, 3)] }
