// An edge with a planner beside it and a standby elsewhere: `planner` is all that differs from an edge that plans itself.
(import '../warm.jsonnet') + {
  planner: { at: [{ host: '127.0.0.1', port: 7400 }, { host: '127.0.0.1', port: 7500 }] },
}
