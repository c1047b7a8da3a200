// Several zones; posts carry a mark against repeats that the runners of one zone know. Two hand-offs may be out.
local shapes = import 'shapes.libsonnet';
shapes.warm + shapes.hedged + {
  name: 'edge-0',
  listen: { port: 8080 },
  roster: { port: 8090 },
  dispatchers: 4,
  offerings: [
    shapes.offering('check', 700, 5000),
    shapes.offering('post', 300, 4000).deduplicated('zone', 8000),
    shapes.offering('notice', 700, 3000).unrepeatable(),
  ],
}
