// One planner for all edges hangs and later dies; its standby takes over. Models are released meanwhile.
local day = import 'day.libsonnet';
day {
  name: 'planner-standby',
  seconds: 18,
  planners: { kind: 'one', standby: true },
  troubles: [
    day.trouble('planner_hang', 4, 5) { part: 0.5 },
    day.trouble('release', 5, 0) { part: 0.9 },
    day.trouble('planner_crash', 11, 4) { part: 0.5 },
    day.trouble('release', 12, 0) { part: 0.9 },
    day.trouble('vanish', 8, 2) { part: 0.25 },
  ],
}
