// A plain day whose models last and are many for each runner's memory to hold some of: for sizes.
local day = import 'day.libsonnet';
day {
  name: 'lasting',
  seconds: 20,
  runners+: { count: 10 },
  offerings: [o { models: 40, load_ms: 400 } for o in super.offerings],
  vault: { pace: 1000, most: 5000 },
  edge+: { models+: { keep_ms: 30000, ration: { window_ms: 5000, free: 4, share: 0.3 } } },
}
