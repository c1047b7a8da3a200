// What a vault and agents can do wrong, behind releases and lost boxes: it stops, slows, serves wrong bytes, short
// and broken bodies and old manifests; agents die and come back.
local day = import 'day.libsonnet';
day {
  name: 'layers-bad',
  seconds: 20,
  layers: { on: true, mb_s: 6, pace: 4, most: 16 },
  troubles: [
    day.trouble('release', 3, 0) { part: 0.9 },
    day.trouble('vault_wrong', 3, 2) { size: 0.1 },
    day.trouble('vault_stop', 6, 2),
    day.trouble('box_loss', 6, 1.5) { part: 0.4 },
    day.trouble('vault_short', 9, 2) { size: 0.1 },
    day.trouble('release', 9, 0) { part: 0.9 },
    day.trouble('agent_crash', 11, 1.5) { part: 0.4 },
    day.trouble('release', 14, 0) { part: 0.9 },
    day.trouble('vault_old', 14, 2),
    day.trouble('vault_cut', 15, 3) { size: 0.2 },
    day.trouble('vault_slow', 16, 2) { size: 4 },
  ],
}
