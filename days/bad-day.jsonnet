// A day on which much goes wrong at once and in turn: the proof that the rules hold in the running program.
local day = import 'day.libsonnet';
day {
  name: 'bad-day',
  seconds: 30,
  edges: 3,
  runners+: { count: 10 },
  clients+: { rate_per_s: 110 },
  troubles: [
    day.trouble('slow', 2, 4) { part: 0.2, size: 4 },
    day.trouble('drain', 4, 3) { part: 0.2 },
    day.trouble('release', 6, 0) { part: 0.8 },
    day.trouble('burst', 8, 3) { size: 1.8 },
    day.trouble('dispatcher_crash', 9, 2) { part: 0.34 },
    day.trouble('answer_lost', 11, 3) { part: 0.2, size: 0.3 },
    day.trouble('roster_away', 12, 4),
    day.trouble('vanish', 13, 4) { part: 0.2 },
    day.trouble('one_off', 15, 4),
    day.trouble('pause', 17, 4) { part: 0.3 },
    day.trouble('garbage', 19, 3) { part: 0.2, size: 0.3 },
    day.trouble('zone_loss', 20, 3),
    day.trouble('vault_stop', 22, 2),
    day.trouble('dispatcher_roll', 24, 3) { part: 1 },
    day.trouble('retry_abuse', 25, 4),
  ],
}
