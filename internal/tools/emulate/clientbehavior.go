package emulate

// Bounds of the factors by which faults change the rate of arrivals.
const (
	minArrivalFactor   = 0.01
	minElsewhereFactor = 0.05 // outside the zone that flows shift to
)

// changeClients has clients behave differently: the functions below read the fault while it is active. It ends by becoming
// a fault of no effect.
func (f *activeFault) changeClients() {
	f.whenOver(func() {
		f.log("over: " + f.Kind)
		f.Factor = 1
		f.Kind = FaultNone
	})
}

// eachActiveFault visits the faults of a kind that have begun.
func (sim *Simulation) eachActiveFault(kind string, visit func(*activeFault)) {
	for _, f := range sim.faults {
		if f.began && f.Kind == kind {
			visit(f)
		}
	}
}

// arrivalFactor is how many times its usual rate of flows a proxy has.
func (sim *Simulation) arrivalFactor(p *proxy) float64 {
	factor := 1.0
	sim.eachActiveFault(FaultTrafficBurst, func(f *activeFault) { factor *= max(f.Factor, minArrivalFactor) })
	sim.eachActiveFault(FaultTrafficShift, func(f *activeFault) {
		target := 0
		if f.Zone != nil {
			target = *f.Zone
		}
		zones := float64(sim.fleet.Zones)
		if p.zone == target {
			factor *= max(f.Factor, minArrivalFactor)
		} else if zones > 1 { // the others lose what the zone gains
			factor *= max((zones-f.Factor)/(zones-1), minElsewhereFactor)
		}
	})
	return factor
}

// clientTimeoutShare is the share of a flow's expiry after which its client gives an attempt up.
func (sim *Simulation) clientTimeoutShare() float64 {
	share := sim.fleet.ClientTimeoutShare
	sim.eachActiveFault(FaultShortClientTimeout, func(f *activeFault) { share *= min(f.Factor, 1) })
	return share
}

// clientRetries is how often a client retries.
func (sim *Simulation) clientRetries() int {
	retries := sim.fleet.ClientRetries
	sim.eachActiveFault(FaultRetryStorm, func(f *activeFault) { retries *= int(max(f.Factor, 1)) })
	return retries
}
