// Two and a half times what the fleet can do for eight seconds, and its return wave; models last, so that runners and not
// loads are what is scarce. `queues: null` in `edge` for the same without.
local day = import 'day.libsonnet';
day {
  name: 'overload-lasting',
  seconds: 20,
  runners+: { count: 4 },
  offerings: [o { models: 4 } for o in super.offerings],
  clients+: { rate_per_s: 150, honours: 0.9, retries: 3 },
  edge+: { queues: { secret: 'the same at all doors' }, models+: { keep_ms: 30000 } },
  troubles: [day.trouble('burst', 6, 8) { size: 2.5 }],
}
