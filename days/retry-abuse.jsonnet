// A customer repeats at once and without end.
local day = import 'day.libsonnet';
day { name: 'retry-abuse', seconds: 10, troubles: [day.trouble('retry_abuse', 2, 6), day.trouble('burst', 3, 4) { size: 2.5 }] }
