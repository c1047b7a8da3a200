// The roster is away for the whole day, and runners vanish meanwhile.
local day = import 'day.libsonnet';
day { name: 'roster-away', seconds: 10, troubles: [day.trouble('roster_away', 0.5, 60), day.trouble('vanish', 3, 3)] }
