package kit

import "encoding/json"

// Kochi are the settings of a gateway of the deployment kochi-main, as the wire page shows them, for one gateway.
var Kochi = json.RawMessage(`{"areas":["kochi-dc1"],"balancers":1,"clients":{"marksRetry":false},
"contract":{"answerSlack":20000000,"askEvery":10000000000,"cold":16000000000,"coldFrom":0.25,"fall":1500000000,"overloadFactor":4.0,"stopSendingWithin":1000000000},
"domain":{"answersStamped":true,"behind":"silent","commitWaits":true,"consistency":["recent","own_writes","update"],"oldestData":[500000000,0,0],"patience":0,
 "reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleListed":"delayed","tokens":"client","zero":0},
"family":"replicas","kinds":["std-4core"],
"limits":{"connIdle":30000000000,"connectTimeout":250000000,"cpuUsPerS":400000,"maxAttempts":10,"maxOpen":20000,"maxRetryAfter":1000000000,"mayCancel":true,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false},
"locality":"kochi-dc1","membershipMode":"push","ordinal":0,"overShareWorth":0.1,
"profiles":[{"credit":1.0,"effect":"retryable","giveUp":750000000,"group":"all","keyTtl":5000000000,"lateWorth":0.0,"name":"list-read","onTime":300000000,"streamed":false},
 {"credit":1.0,"effect":"retryable","giveUp":800000000,"group":"all","keyTtl":5000000000,"lateWorth":0.0,"name":"own-read","onTime":200000000,"streamed":false},
 {"credit":3.0,"effect":"fragile","giveUp":3000000000,"group":"all","keyTtl":5000000000,"lateWorth":0.7,"name":"order-write","onTime":500000000,"streamed":false}],
"report":{"columns":["x0","x1"],"how":"piggyback"},"step":5000000,"tenants":[],"weightSource":"nominal"}`)

// Pool is an operator's file with a pool for the users of general SQL, as docs/operate/pooling.md shows it, with the default rest.
const Pool = `(pools
  (total 200) (per-host 20) (least 2)
  (pool "apps" (user "ordering") (mode transaction)
    (read list-read) (own own-read) (write order-write) (transaction 10s) (idle 5s)))
`

// News are the settings of a gateway of the deployment news-platform: gateways remember the sessions' writes ("router").
var News = json.RawMessage(`{"areas":["reykjavik-a","hafnarfjordur-b"],"balancers":1,"clients":{"marksRetry":false},
"contract":{"answerSlack":20000000,"askEvery":10000000000,"cold":12000000000,"coldFrom":0.19,"fall":1000000000,"overloadFactor":3.0,"stopSendingWithin":500000000},
"domain":{"answersStamped":true,"behind":"silent","commitWaits":false,"consistency":["recent","own_writes","update"],"oldestData":[200000000,0,0],"patience":0,
 "reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleListed":"silent","tokens":"router","zero":0},
"family":"replicas","kinds":["std-4core"],
"limits":{"connIdle":30000000000,"connectTimeout":250000000,"cpuUsPerS":500000,"maxAttempts":10,"maxOpen":20000,"maxRetryAfter":1000000000,"mayCancel":true,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false},
"locality":"reykjavik-a","membershipMode":"push","ordinal":0,"overShareWorth":0.1,
"profiles":[{"credit":2.0,"effect":"retryable","giveUp":1000000000,"group":"all","keyTtl":5000000000,"lateWorth":0.0,"name":"article-read","onTime":400000000,"streamed":false},
 {"credit":1.0,"effect":"retryable","giveUp":1000000000,"group":"all","keyTtl":5000000000,"lateWorth":0.0,"name":"own-read","onTime":250000000,"streamed":false},
 {"credit":6.0,"effect":"fragile","giveUp":5000000000,"group":"all","keyTtl":5000000000,"lateWorth":0.5,"name":"write","onTime":500000000,"streamed":false}],
"report":{"columns":["x0","x1"],"how":"pull"},"step":5000000,"tenants":[],"weightSource":"rough"}`)

// Jawa are the settings of a gateway of the deployment register-jawa, whose only class for writes carries a key.
var Jawa = json.RawMessage(`{"areas":["dc-semarang","dc-surabaya"],"balancers":1,"clients":{"marksRetry":false},
"contract":{"answerSlack":20000000,"askEvery":10000000000,"cold":17000000000,"coldFrom":0.23,"fall":1000000000,"overloadFactor":3.0,"stopSendingWithin":500000000},
"domain":{"answersStamped":true,"behind":"silent","commitWaits":false,"consistency":["recent","own_writes","loose","update"],"oldestData":[200000000,0,0,0],"patience":0,
 "roleListed":"silent","tokens":"client","zero":0},
"family":"replicas","kinds":["small-fast","wide-slow"],
"limits":{"connIdle":15000000000,"connectTimeout":250000000,"cpuUsPerS":400000,"maxAttempts":8,"maxOpen":20000,"maxRetryAfter":1000000000,"mayCancel":true,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true},
"locality":"dc-semarang","membershipMode":"push","ordinal":0,"overShareWorth":0.2,
"profiles":[{"credit":2.0,"effect":"retryable","giveUp":750000000,"group":"all","keyTtl":3000000000,"lateWorth":0.0,"name":"browse","onTime":300000000,"streamed":false},
 {"credit":2.0,"effect":"retryable","giveUp":2500000000,"group":"all","keyTtl":3000000000,"lateWorth":0.0,"name":"own-view","onTime":750000000,"streamed":false},
 {"credit":6.0,"effect":"retryable","giveUp":6000000000,"group":"all","keyTtl":3000000000,"lateWorth":0.2,"name":"report","onTime":3000000000,"streamed":false},
 {"credit":4.0,"effect":"dedup","giveUp":5000000000,"group":"cell","keyTtl":3000000000,"lateWorth":0.3,"name":"write","onTime":500000000,"streamed":false}],
"report":{"columns":[],"how":"silent"},"step":5000000,"tenants":[],"weightSource":"nominal"}`)

// JawaPool is Pool with the classes of register-jawa.
const JawaPool = `(pools
  (total 200) (per-host 20) (least 2)
  (pool "apps" (user "ordering") (mode transaction)
    (read browse) (own own-view) (write write) (transaction 10s) (idle 5s)))
`
