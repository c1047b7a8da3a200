// A planner. `martenlead config check --of planner deploy/examples/planner/planner.jsonnet`
{
  name: 'planner-a',
  listen: { host: '127.0.0.1', port: 7400 },
  admin: { host: '127.0.0.1', port: 7401 },
  kept: '/var/lib/martenlead/planner-a.kept',
}
