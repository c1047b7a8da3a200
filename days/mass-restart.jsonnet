// Nearly all of thirty dispatchers are killed at once under load and come back; the captures that they leave behind
// are read together, and the books must balance with what the clients saw.
local day = import 'day.libsonnet';
day {
  name: 'mass-restart',
  seconds: 14,
  edges: 30,
  capture: true,
  clients+: { rate_per_s: 120 },
  troubles: [day.trouble('dispatcher_crash', 5, 1.5) { part: 0.96 }],
}
