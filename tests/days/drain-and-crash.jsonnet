// Short: runners drain and come back cold while a dispatcher dies and comes back.
local day = import 'day.libsonnet';
day {
  name: 'drain-and-crash',
  seconds: 7,
  clients+: { rate_per_s: 50 },
  roster_lag_ms: [100, 400],
  troubles: [day.trouble('drain', 1.5, 1.5) { part: 0.4 }, day.trouble('dispatcher_crash', 2, 1) { part: 0.5 }],
}
