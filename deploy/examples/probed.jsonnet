// Answers tell nothing of copies; runners report their load when probed.
local shapes = import 'shapes.libsonnet';
shapes.probed {
  name: 'edge-0',
  listen: { port: 8080 },
  roster: { port: 8090 },
  probes: { every_ms: 500 },
  offerings: [shapes.offering('estimate', 800, 4000)],
}
