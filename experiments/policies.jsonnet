// The module against baselines and an oracle on days with troubles.
{
  name: 'policies',
  scripts: ['../days/plain.jsonnet', '../days/burst.jsonnet', '../days/zone-loss.jsonnet', '../days/bad-day.jsonnet'],
  policies: ['module', 'hash', 'least', 'two', 'random', 'oracle'],
  seeds: 5,
}
