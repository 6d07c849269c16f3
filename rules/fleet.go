package rules

// speedSample is a number of flows answered, and the busy periods that they took times the listed weight.
type speedSample struct{ served, busy float64 }

// fleetStats aggregates the latest statistics of all replicas.
type fleetStats struct {
	attempts, drops, windowAttempts, windowDrops float64 // since the last review; over the health window
	served, busy                                 float64 // over the speed window; busy is weighted by listed weight
	sent, reported, reportedLoad                 float64 // weights in common tables: of all replicas, of those that reported, and the latter times load
	size, busySize                               float64 // of the replicas in service: sum of sizes, and of size times load
	kinds                                        map[KindID]speedSample
	ready, ejected, windows                      float64 // ready and ejected replicas; sum of attempts times window
	newLatency, latency, listed                  float64 // seconds of successful attempts: new, over the speed window; listed weight times flows
}
