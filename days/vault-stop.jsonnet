// The vault stops just when most models are released anew.
local day = import 'day.libsonnet';
day { name: 'vault-stop', seconds: 10, troubles: [day.trouble('release', 3, 0) { part: 0.9 }, day.trouble('vault_stop', 3, 2)] }
