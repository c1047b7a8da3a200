// Short: answers are lost and garbled, a whole zone vanishes, and the roster is away.
local day = import 'day.libsonnet';
day {
  name: 'lost-and-late',
  seconds: 7,
  clients+: { rate_per_s: 50 },
  roster_lag_ms: [100, 400],
  troubles: [
    day.trouble('answer_lost', 1, 4) { part: 0.4 },
    day.trouble('garbage', 1.5, 3) { part: 0.3 },
    day.trouble('zone_loss', 2.5, 1.5),
    day.trouble('roster_away', 2, 3),
    day.trouble('give_up', 2, 4),
  ],
}
