package simulation

import "time"

// Bounds of the service that a sharded service gives.
const (
	shardedStartTime    = 10 * time.Second // from the start of the machines to the first requests that count
	shardedRecoveryTime = 15 * time.Second // after faults
	keyedBlock          = 50               // requests that are judged together
	minServedOfBlock    = 45
)

// keyedTally counts the requests to the sharded service that are judged next.
type keyedTally struct {
	firstBusy        int // index of the first busy key
	requests, served int
}

// isCalmForKeys reports whether the sharded service must serve all keys: faults are long over, and it has had the time to start.
func (c *cluster) isCalmForKeys() bool {
	return c.now >= shardedStartTime && (c.faultActiveUntil <= restartTime || c.faultFreeFor(shardedRecoveryTime))
}

// endKeyed records the end of a request and checks that nine of ten requests are served in calm times.
func (c *cluster) endKeyed(request *keyedRequest, served bool) {
	result, tally := &c.result.Sharded, &c.keyedTally
	result.Requests++
	if served {
		result.Served++
	}
	if !request.calm || !c.isCalmForKeys() || c.finished {
		return
	}
	result.CalmRequests++
	tally.requests++
	if served {
		result.CalmServed++
		tally.served++
	}
	if tally.requests < keyedBlock {
		return
	}
	if tally.served < minServedOfBlock {
		c.violationf("of the last %d requests to the sharded service in calm times, %d were served; replicas have received %d grants",
			tally.requests, tally.served, result.Grants)
	}
	tally.requests, tally.served = 0, 0
}
