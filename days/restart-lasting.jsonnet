// Nearly all of ten dispatchers are killed at once under load and come back, knowing what they knew. With `lasting: false`
// they begin from nothing.
local day = import 'day.libsonnet';
day {
  name: 'restart-lasting',
  seconds: 20,
  edges: 10,
  lasting: true,
  clients+: { rate_per_s: 120 },
  troubles: [day.trouble('dispatcher_crash', 8, 0.2) { part: 0.96 }],
}
