// Shapes of deployment for an edge's settings: what each may ask and is told, without any site's figures.
// Use: (import 'shapes.libsonnet').warm + { roster: {...}, offerings: [...] }
{
  local base = { allowed+: {}, models+: {} },
  // Runners load a missing model while the task waits, and say in answers what it met.
  warm: base { models+: { orders: true, tells_warm: true, loads_on_miss: true } },
  // As warm, but answers tell nothing of copies; runners may be probed.
  probed: base { models+: { orders: true, tells_warm: false, loads_on_miss: true }, probes: {} },
  // A runner without the model turns the task away; only an order loads.
  ordered: base { models+: { orders: true, tells_warm: true, loads_on_miss: false } },
  // Orders to load are rationed: `free` and `share` of the tasks taken, in any `window_ms`.
  rationed(window_ms, free, share):: { models+: { ration: { window_ms: window_ms, free: free, share: share } } },
  // Two hand-offs of one task may be out at once.
  hedged:: { allowed+: { twice_out: true } },
  offering(name, soft_limit_ms, hard_limit_ms):: {
    name: name,
    soft_limit_ms: soft_limit_ms,
    hard_limit_ms: hard_limit_ms,
    effect: 'idempotent',
    deduplicated(group, window_ms):: self { effect: 'deduplicated', group: group, window_ms: window_ms },
    unrepeatable():: self { effect: 'unrepeatable' },
  },
}
