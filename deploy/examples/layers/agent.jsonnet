// The agent of one box. `martenlead config check --of agent deploy/examples/layers/agent.jsonnet`
{
  name: 'runner-3',  // its runner's, as the roster has it
  port: 7301,  // the roster's line of this runner says `layers: 7301`
  cache: '/var/lib/martenlead/layers',
  cache_bytes: 200 * 1024 * 1024 * 1024,
  files: '/var/lib/martenlead/files',
  vault: { host: '127.0.0.1', port: 5000 },
  repository: 'models',
  roster: { host: '127.0.0.1', port: 7200 },
}
