// Twice and a half what the fleet can do for ten seconds, by two customers, and its return wave. With queues at the
// doors; `queues: null` in `edge` for the same without.
local day = import 'day.libsonnet';
day {
  name: 'overload',
  seconds: 20,
  clients+: { rate_per_s: 160, honours: 0.9, retries: 3 },
  edge+: { queues: { secret: 'the same at all doors' } },
  troubles: [day.trouble('burst', 5, 8) { size: 2.5 }],
}
