// Load reports come late; no decision may come to depend on them.
local day = import 'day.libsonnet';
day { name: 'reports-late', seconds: 10, edge+: { probes: { every_ms: 200 } }, troubles: [day.trouble('report_late', 2, 6)] }
