// The planners are killed every two seconds while clients send, runners drain and vanish, and models are released.
local day = import 'day.libsonnet';
day {
  name: 'planner-killed',
  seconds: 20,
  planners: { kind: 'beside' },
  troubles: [
    day.trouble('planner_crash', 2, 16) { part: 1, size: 2 },
    day.trouble('release', 6, 0) { part: 0.9 },
    day.trouble('vanish', 8, 2) { part: 0.25 },
    day.trouble('drain', 12, 2) { part: 0.25 },
  ],
}
