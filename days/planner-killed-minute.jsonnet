// planner-killed for a whole minute.
local day = import 'day.libsonnet';
(import 'planner-killed.jsonnet') + {
  name: 'planner-killed-minute',
  seconds: 64,
  troubles: [day.trouble('planner_crash', 2, 60) { part: 1, size: 2 }] +
            [day.trouble('release', at, 0) { part: 0.9 } for at in [6, 21, 36, 51]] +
            [day.trouble('vanish', 12, 2) { part: 0.25 }, day.trouble('drain', 27, 2) { part: 0.25 }, day.trouble('vanish', 42, 2) { part: 0.25 }],
}
