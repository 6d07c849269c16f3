package emulate

// Lower bounds of the factors by which faults scale the arrival rate.
const (
	minArrivalFactor    = 0.01
	minOtherZonesFactor = 0.05 // for zones other than the target of a traffic shift
)

// alterClientBehavior schedules the end of a client fault, which is then turned into a fault without effect. While the fault is
// active, the methods below read its parameters.
func (f *activeFault) alterClientBehavior() {
	f.scheduleEnd(func() {
		f.log("over: " + f.Kind)
		f.Factor = 1
		f.Kind = FaultNone
	})
}

// eachActiveFault calls visit for each started fault of a kind.
func (sim *Simulation) eachActiveFault(kind string, visit func(*activeFault)) {
	for _, f := range sim.faults {
		if f.started && f.Kind == kind {
			visit(f)
		}
	}
}

// arrivalFactor returns the factor by which active faults scale the arrival rate of a proxy.
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
		} else if zones > 1 { // total traffic stays constant
			factor *= max((zones-f.Factor)/(zones-1), minOtherZonesFactor)
		}
	})
	return factor
}

// clientTimeoutShare returns the client timeout as a share of a flow's expiry.
func (sim *Simulation) clientTimeoutShare() float64 {
	share := sim.fleet.ClientTimeoutShare
	sim.eachActiveFault(FaultShortClientTimeout, func(f *activeFault) { share *= min(f.Factor, 1) })
	return share
}

// maxClientRetries returns the maximum number of retries by a client.
func (sim *Simulation) maxClientRetries() int {
	retries := sim.fleet.ClientRetries
	sim.eachActiveFault(FaultRetryStorm, func(f *activeFault) { retries *= int(max(f.Factor, 1)) })
	return retries
}
