// As cold-fleet, on 1,000 workers and for one seed: a day takes some minutes for each policy.
local workers = 1000;
{
  name: 'cold-fleet-large',
  scripts: ['../days/lasting.jsonnet'],
  axes: {
    size: [{
      name: workers,
      seconds: 10,
      'runners.count': workers,
      'clients.rate_per_s': 9 * workers,
      quota_per_s: 13 * workers,
    }],
    edges: [200],
  },
  policies: ['module', 'hash'],
  seeds: 1,
}
