// The roster comes seconds late and may be away: a long silence is borne, and the last list kept on disk.
local shapes = import 'shapes.libsonnet';
shapes.warm {
  name: 'edge-0',
  listen: { port: 8080 },
  roster: { port: 8090, kept: '/var/tmp/edge-0.kept', quiet_ms: 10000, retry_ms: 250 },
  cold: { drain_grace_ms: 2000 },
  offerings: [shapes.offering('estimate', 500, 4000)],
}
