package emulate

import (
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	// drainExtraTime is how long a draining replica stays up after the drain grace to complete its attempts.
	drainExtraTime = time.Second
	// progressiveSlowdownSteps is the number of steps of a progressive slowdown.
	progressiveSlowdownSteps = 20
	// maxCPUStealShare is the maximum share of a core that another process can use.
	maxCPUStealShare = 0.95
	// minReplacementDelay and maxReplacementDelay bound the time from the start of a drain to the start of the replacement.
	minReplacementDelay = 500 * time.Millisecond
	maxReplacementDelay = time.Second
)

// activeFault is the state of a fault in a run.
type activeFault struct {
	Fault
	sim       *Simulation
	started   bool
	triggered func(Second) bool // nil if the fault starts at a fixed time or with another fault
}

// scheduleFaults validates all faults and schedules those that start at a fixed time.
func (sim *Simulation) scheduleFaults() error {
	names := map[string]bool{}
	for _, fault := range sim.config.Faults {
		names[fault.Name] = true
	}
	for i, fault := range sim.config.Faults {
		f := &activeFault{Fault: fault, sim: sim}
		if err := f.Validate(sim.fleet); err != nil {
			return fmt.Errorf("trouble %d: %w", i+1, err)
		}
		f.triggered, _ = parseTrigger(f.Trigger) // validated above
		sim.faults = append(sim.faults, f)
		switch {
		case f.Trigger == "":
			sim.schedule(f.At, f.start)
		case f.triggered == nil && !names[f.Trigger]:
			return fmt.Errorf("trouble %d: when: no trouble is named %q", i+1, f.Trigger)
		}
	}
	return nil
}

// triggerFaults schedules the faults whose condition the last second meets.
func (sim *Simulation) triggerFaults(second Second) {
	for _, f := range sim.faults {
		if f.triggered != nil && !f.started && f.triggered(second) {
			f.started = true
			sim.schedule(f.At, f.start)
		}
	}
}

// start injects a fault and schedules the faults that it triggers. No fault starts after the end of arrivals.
func (f *activeFault) start() {
	sim := f.sim
	if sim.now >= sim.end {
		return
	}
	f.started = true
	f.log(fmt.Sprintf("%s: %s", f.Kind, DescribeFault(f.Kind)))
	for _, other := range sim.faults {
		if f.Name != "" && other.Trigger == f.Name && !other.started {
			sim.schedule(other.At, other.start)
		}
	}
	if inject := f.injection(); inject != nil {
		inject()
	}
}

// injection returns the function that injects a fault of this kind, or nil if there is nothing to do.
func (f *activeFault) injection() func() {
	switch f.Kind {
	case FaultCrash, FaultSilentCrash, FaultZoneLoss:
		return f.crashReplicas
	case FaultHang, FaultSlow, FaultCPUSteal, FaultErrors, FaultPartialErrors, FaultFalseReports:
		return f.degradeReplicas
	case FaultProgressiveSlowdown:
		return f.slowReplicasProgressively
	case FaultZonePartition:
		return f.partitionZone
	case FaultScaleOut:
		return f.addReplicas
	case FaultDeploy:
		return f.replaceReplicas
	case FaultTrafficBurst, FaultTrafficShift, FaultShortClientTimeout, FaultRetryStorm:
		return f.alterClientBehavior
	case FaultGovernorCrash:
		return f.crashGovernors
	case FaultProxyCrash:
		return f.crashProxies
	case FaultDisconnect:
		return f.disconnectProxies
	case FaultDiscoveryOutage:
		return f.stopDiscovery
	case FaultDiscoveryDelay:
		return f.delayDiscovery
	case FaultSlowChannel:
		return f.slowChannels
	case FaultReportLoss:
		return f.loseReports
	case FaultReportDelay:
		return f.delayReports
	}
	return nil
}

func (f *activeFault) log(text string) {
	f.sim.result.FaultLog = append(f.sim.result.FaultLog, LogEntry{f.sim.elapsedSeconds(), text})
}

// targetReplicas draws the affected replicas from those in service.
func (f *activeFault) targetReplicas() []*replica {
	var candidates []*replica
	for _, r := range f.sim.replicas {
		if r.up && r.state == rules.Ready && (f.Zone == nil || r.zone == *f.Zone) {
			candidates = append(candidates, r)
		}
	}
	return sample(f.sim, f.Share, candidates)
}

// targetZone returns the affected zone, which is drawn at random if the fault specifies none.
func (f *activeFault) targetZone() int {
	if f.Zone != nil {
		return *f.Zone
	}
	return f.sim.randomStream.IntN(f.sim.fleet.Zones)
}

// scheduleEnd schedules the reversal of a fault. A fault without a duration is never reversed.
func (f *activeFault) scheduleEnd(undo func()) {
	if f.Duration > 0 {
		f.sim.schedule(f.Duration, undo)
	}
}

// scheduleRecovery schedules the restart of a crashed process. Without RecoverAfter it never restarts.
func (f *activeFault) scheduleRecovery(recovery func()) {
	if f.RecoverAfter > 0 {
		f.sim.schedule(f.sim.uniform(f.RecoverAfter*9/10, f.RecoverAfter*11/10), recovery)
	}
}

func (f *activeFault) crashReplicas() {
	targets := f.targetReplicas()
	if f.Kind == FaultZoneLoss {
		f.Share = 1 // the draw above must stay: it is part of the random sequence of a seed
		targets = f.targetReplicas()
	}
	for _, r := range targets {
		r.crash(f.Kind == FaultSilentCrash)
		r.state = rules.Deregistered
		f.sim.discovery.update(r)
		f.scheduleRecovery(func() {
			r.state = rules.Ready
			r.degradations = noDegradation
			r.restart()
		})
	}
}

// degradeReplicas changes the parameter that the fault kind affects on each target replica.
func (f *activeFault) degradeReplicas() {
	switch f.Kind {
	case FaultHang:
		f.degrade(func(r *replica) *float64 { return &r.hung }, 1, 0)
	case FaultSlow:
		f.degrade(func(r *replica) *float64 { return &r.slowdown }, max(f.Factor, 1), 1)
	case FaultCPUSteal:
		f.degrade(func(r *replica) *float64 { return &r.cpuStealShare }, min(f.Factor, maxCPUStealShare), 0)
	case FaultErrors:
		f.degrade(func(r *replica) *float64 { return &r.errorShare }, f.Factor, 0)
	case FaultPartialErrors:
		f.degrade(func(r *replica) *float64 { return &r.partialShare }, f.Factor, 0)
	case FaultFalseReports:
		f.degrade(func(r *replica) *float64 { return &r.falseReports }, 1, 0)
	}
}

// degrade sets a parameter of the target replicas for the duration of the fault.
func (f *activeFault) degrade(parameter func(*replica) *float64, value, normal float64) {
	for _, r := range f.targetReplicas() {
		*parameter(r) = value
		incarnation := r.incarnation
		f.scheduleEnd(func() {
			if r.incarnation == incarnation {
				*parameter(r) = normal
				r.serve()
			}
		})
	}
}

func (f *activeFault) slowReplicasProgressively() {
	for _, r := range f.targetReplicas() {
		incarnation, span := r.incarnation, f.Duration
		if span == 0 {
			span = time.Duration(f.sim.end - f.sim.now)
		}
		for i := range progressiveSlowdownSteps {
			f.sim.schedule(span/progressiveSlowdownSteps*time.Duration(i), func() {
				if r.incarnation == incarnation {
					r.slowdown = 1 + (max(f.Factor, 1)-1)*float64(i+1)/progressiveSlowdownSteps
				}
			})
		}
	}
}

func (f *activeFault) partitionZone() {
	zone := f.targetZone()
	f.sim.zonePartitions[zone]++
	f.scheduleEnd(func() { f.sim.zonePartitions[zone]-- })
}

func (f *activeFault) addReplicas() {
	sim := f.sim
	n := int(f.Factor * float64(len(sim.warmReplicas())))
	for i := range n {
		sim.schedule(f.Duration*time.Duration(i)/time.Duration(max(n, 1)), func() {
			sim.discovery.update(sim.addReplica(i%sim.fleet.Zones, sim.machineKinds[i%len(sim.machineKinds)], sim.now))
		})
	}
}

func (f *activeFault) replaceReplicas() {
	targets := f.targetReplicas()
	for i, r := range targets {
		f.sim.schedule(f.Duration*time.Duration(i)/time.Duration(max(len(targets), 1)), func() { f.sim.replaceReplica(r) })
	}
}

// replaceReplica drains a replica, starts a replacement, and stops the drained replica after the drain grace.
func (sim *Simulation) replaceReplica(r *replica) {
	if r.state != rules.Ready {
		return
	}
	r.state = rules.Draining
	sim.discovery.update(r)
	sim.schedule(sim.uniform(minReplacementDelay, maxReplacementDelay), func() {
		sim.discovery.update(sim.addReplica(r.zone, r.kind, sim.now))
	})
	sim.schedule(sim.fleet.MaxDiscoveryDelay+sim.fleet.DrainGrace+drainExtraTime, func() {
		r.crash(false)
		r.state = rules.Deregistered
		sim.discovery.update(r)
	})
}

func (f *activeFault) crashGovernors() {
	for _, g := range sample(f.sim, f.Share, f.sim.governors) {
		g.crash()
		f.scheduleRecovery(g.start)
	}
}

func (f *activeFault) crashProxies() {
	for _, p := range sample(f.sim, f.Share, f.sim.proxies) {
		p.crash()
		f.scheduleRecovery(p.restart)
	}
}

func (f *activeFault) disconnectProxies() {
	for _, p := range sample(f.sim, f.Share, f.sim.proxies) {
		p.disconnect()
	}
}

func (f *activeFault) stopDiscovery() {
	f.sim.discovery.startOutage()
	f.scheduleEnd(func() { f.sim.discovery.outages-- })
}

func (f *activeFault) delayDiscovery() {
	extra := time.Duration((max(f.Factor, 1) - 1) * float64(f.sim.fleet.MaxDiscoveryDelay))
	f.sim.discovery.extraDelay += extra
	f.scheduleEnd(func() { f.sim.discovery.extraDelay -= extra })
}

func (f *activeFault) slowChannels() {
	for _, g := range f.sim.governors {
		g.channelSlowdown = max(f.Factor, 1)
		f.scheduleEnd(func() { g.channelSlowdown = 1 })
	}
}

func (f *activeFault) loseReports() {
	for _, g := range f.sim.governors {
		g.reportLoss = f.Factor
		f.scheduleEnd(func() { g.reportLoss = 0 })
	}
}

func (f *activeFault) delayReports() {
	for _, g := range f.sim.governors {
		g.reportDelay = time.Duration(f.Factor * float64(f.sim.fleet.ReportPeriod))
		f.scheduleEnd(func() { g.reportDelay = 0 })
	}
}
