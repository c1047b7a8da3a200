// The same day from 10 runners to 320, with load in proportion, and from 1 dispatcher to 50. For 1,000 runners
// and 200 dispatchers add them here: a day of them takes minutes for each policy.
local size(runners) = {
  name: runners,
  'runners.count': runners,
  'clients.rate_per_s': 9 * runners,
  quota_per_s: 13 * runners,
};
{
  name: 'sizes',
  scripts: ['../days/lasting.jsonnet'],
  axes: { size: [size(n) for n in [10, 32, 100, 320]], edges: [1, 10, 50] },
  policies: ['module', 'hash', 'oracle'],
  seeds: 2,
}
