// Orders to load are rationed; a runner without the model turns the task away.
local shapes = import 'shapes.libsonnet';
shapes.ordered + shapes.rationed(10000, 2, 0.3) + {
  name: 'edge-0',
  listen: { port: 8080 },
  roster: { port: 8090 },
  offerings: [shapes.offering('estimate', 500, 4000)],
}
