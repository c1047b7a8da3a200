// Two releases of nearly all models at once, boxes that come back without their disks, and a vault that is soon
// crowded: with an agent on each box, or (--layers off) with whole models fetched by each runner.
local day = import 'day.libsonnet';
day {
  name: 'layers-release',
  seconds: 16,
  layers: { on: true, mb_s: 6, pace: 4, most: 16 },
  troubles: [
    day.trouble('release', 4, 0) { part: 0.9 },
    day.trouble('box_loss', 6, 1.5) { part: 0.4 },
    day.trouble('release', 10, 0) { part: 0.9 },
  ],
}
