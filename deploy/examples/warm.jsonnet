// Runners load a missing model while the task waits, and answers tell what it met. One zone, customers with quotas.
local shapes = import 'shapes.libsonnet';
shapes.warm {
  name: 'edge-0',
  listen: { port: 8080 },
  admin: { port: 8081 },
  roster: { port: 8090, kept: '/var/tmp/edge-0.kept' },
  dispatchers: 2,
  offerings: [shapes.offering('estimate', 500, 4000)],
  customers: [{ name: 'portal', quota_per_s: 50 }, { name: 'desk', quota_per_s: 30 }],
  over_share: 0.2,
}
