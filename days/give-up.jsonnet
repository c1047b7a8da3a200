// Clients leave before their time is up.
local day = import 'day.libsonnet';
day { name: 'give-up', seconds: 10, troubles: [day.trouble('give_up', 2, 6) { size: 0.4 }] }
