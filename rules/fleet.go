package rules

// speedSample is flows answered, and the busy periods that they took, by listed weight.
type speedSample struct{ served, busy float64 }

// fleetStats sums up the latest statistics over all replicas.
type fleetStats struct {
	attempts, drops, windowAttempts, windowDrops float64 // since the last review; over the health window
	served, busy                                 float64 // over the speed window, busy by listed weight
	sent, reported, reportedLoad                 float64 // weights in common tables: all, those that reported, times load
	size, busySize                               float64 // of the replicas in service, and their busy part
	kinds                                        map[KindID]speedSample
	ready, ejected, windows                      float64 // replicas; windows weighted by attempts
	newLatency, latency, listed                  float64 // seconds of successful attempts: new, over the window; listed weight by flows
}
