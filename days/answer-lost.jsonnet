// Answers are lost on their way back.
local day = import 'day.libsonnet';
day { name: 'answer-lost', seconds: 10, troubles: [day.trouble('answer_lost', 2, 6) { part: 0.4, size: 0.3 }] }
