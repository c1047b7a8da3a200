// 200 dispatchers that begin cold on 320 workers: each sees 15 requests a second and has yet to learn where
// functions are loaded.
local workers = 320;
{
  name: 'cold-fleet',
  scripts: ['../days/lasting.jsonnet'],
  axes: {
    size: [{
      name: workers,
      seconds: 12,
      'runners.count': workers,
      'clients.rate_per_s': 9 * workers,
      quota_per_s: 13 * workers,
    }],
    edges: [200],
  },
  policies: ['module', 'hash', 'oracle'],
  seeds: 3,
}
