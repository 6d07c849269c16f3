package emulate

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/rules"
)

// Fault is something that goes wrong, or changes, for a time.
type Fault struct {
	Kind         string        `toml:"kind"`
	At           time.Duration `toml:"at"`               // from the start, or after When has become true
	Duration     time.Duration `toml:"for" json:"For"`   // how long it lasts, or over how long it is spread; 0: to the end
	Share        float64       `toml:"share"`            // of the replicas, proxies or governors that it hits
	Zone         *int          `toml:"zone"`             // only there; for zone troubles, which one
	Factor       float64       `toml:"factor"`           // how strong; see the kind
	RecoverAfter time.Duration `toml:"back" json:"Back"` // what died comes back after this; 0: never
	Trigger      string        `toml:"when" json:"When"` // begins only once so much is measured over a second: "dropped > 0.1", "late > 0.2", "load > 0.8"
	Name         string        `toml:"name"`             // for `when = "NAME"`: begins with the trouble of that name
}

// faultDescriptions tells what each kind does, for people and for checks.
var faultDescriptions = map[string]string{
	"crash":             "a share of the replicas dies; cold after back",
	"vanish":            "the same, without a word: nothing is reset",
	"hang":              "a share of the replicas takes flows and answers none",
	"slow":              "a share of the replicas is factor times slower",
	"ageing":            "a share of the replicas slows down steadily to factor times slower",
	"stolen":            "another program takes a factor of each core of a share of the replicas",
	"errors":            "a share of the replicas quickly fails a factor of its flows",
	"partial":           "a share of the replicas fails all flows of a factor of the proxies",
	"false_reports":     "a share of the replicas reports no load",
	"zone_cut":          "a zone is cut off from the others",
	"zone_loss":         "all replicas of a zone die; cold after back",
	"growth":            "factor times as many replicas are added, one after the other",
	"deploy":            "a share of the replicas drains and is replaced by new ones, one after the other",
	"burst":             "factor times the flows",
	"shift":             "factor times the flows in a zone, less elsewhere",
	"impatient":         "clients give up after a factor of their time",
	"insistent":         "clients come again factor times",
	"governors_die":     "a share of the governors is killed; back after back",
	"proxies_die":       "a share of the proxies is killed; back after back",
	"streams_break":     "a share of the streams breaks",
	"list_down":         "discovery is down",
	"list_late":         "discovery is factor times as late",
	"channel_slow":      "channels are factor times slower",
	"reports_lost":      "a factor of the reports is lost",
	"reports_late":      "reports are later by factor periods",
	"clear_of_troubles": "nothing: a mark that others may wait for",
}

// FaultKinds names all kinds of trouble.
func FaultKinds() (names []string) {
	for k := range faultDescriptions {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// DescribeFault what a kind does.
func DescribeFault(kind string) string { return faultDescriptions[kind] }

// Validate tells what is impossible in a trouble.
func (t *Fault) Validate(f *Fleet) error {
	if _, is := faultDescriptions[t.Kind]; !is {
		return fmt.Errorf("kind: there is no %q; there are %s", t.Kind, strings.Join(FaultKinds(), ", "))
	}
	if t.Share < 0 || t.Share > 1 {
		return fmt.Errorf("share: want 0 to 1, got %v", t.Share)
	}
	if t.Zone != nil && (*t.Zone < 0 || *t.Zone >= f.Zones) {
		return fmt.Errorf("zone: want 0 to %d, got %d", f.Zones-1, *t.Zone)
	}
	if t.Factor < 0 || math.IsInf(t.Factor, 0) || math.IsNaN(t.Factor) {
		return fmt.Errorf("factor: want a figure of 0 or more, got %v", t.Factor)
	}
	if t.At < 0 || t.Duration < 0 || t.RecoverAfter < 0 {
		return fmt.Errorf("at, for and back must not be below 0")
	}
	_, err := parseTrigger(t.Trigger)
	return err
}

// activeFault is one under way.
type activeFault struct {
	Fault
	sim       *Simulation
	began     bool
	triggered func(Second) bool
}

// parseTrigger reads a When: a measure of the last second against a figure, or the name of a trouble.
func parseTrigger(when string) (func(Second) bool, error) {
	var measure string
	var most float64
	if n, _ := fmt.Sscanf(when, "%s > %g", &measure, &most); n != 2 {
		return nil, nil
	}
	switch measure {
	case "dropped":
		return func(s Second) bool { return s.Attempts > 0 && float64(s.FailedAttempts) > most*float64(s.Attempts) }, nil
	case "late":
		return func(s Second) bool { return s.Offered > 0 && float64(s.Late) > most*float64(s.Offered) }, nil
	case "load":
		return func(s Second) bool { return s.Utilization > most }, nil
	}
	return nil, fmt.Errorf("when: want dropped, late or load, got %q", measure)
}

// scheduleFaults sets the troubles up.
func (sim *Simulation) scheduleFaults() error {
	names := map[string]bool{}
	for _, t := range sim.config.Faults {
		names[t.Name] = true
	}
	for i := range sim.config.Faults {
		t := &activeFault{Fault: sim.config.Faults[i], sim: sim}
		if err := t.Validate(sim.fleet); err != nil {
			return fmt.Errorf("trouble %d: %w", i+1, err)
		}
		t.triggered, _ = parseTrigger(t.Trigger)
		sim.faults = append(sim.faults, t)
		switch {
		case t.Trigger == "":
			sim.schedule(t.At, t.begin)
		case t.triggered == nil && !names[t.Trigger]:
			return fmt.Errorf("trouble %d: when: there is no trouble named %q", i+1, t.Trigger)
		}
	}
	return nil
}

// triggerFaults begins the troubles that a second's measures call for.
func (sim *Simulation) triggerFaults(s Second) {
	for _, t := range sim.faults {
		if t.triggered != nil && !t.began && t.triggered(s) {
			t.began = true
			sim.schedule(t.At, t.begin)
		}
	}
}

func (t *activeFault) record(text string) {
	t.sim.result.FaultLog = append(t.sim.result.FaultLog, LogEntry{t.sim.elapsedSeconds(), text})
}

// sample draws a share of a list, at least one where the share is above 0.
func sample[T any](sim *Simulation, share float64, all []T) []T {
	all = slices.Clone(all)
	sim.randomStream.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := int(math.Round(share * float64(len(all))))
	if share > 0 && n == 0 {
		n = min(1, len(all))
	}
	return all[:n]
}

// targetReplicas are the replicas that a trouble is for: of those that are up.
func (t *activeFault) targetReplicas() []*replica {
	var all []*replica
	for _, r := range t.sim.replicas {
		if r.up && r.state == rules.Ready && (t.Zone == nil || r.zone == *t.Zone) {
			all = append(all, r)
		}
	}
	return sample(t.sim, t.Share, all)
}

// whenOver does something for the time of a trouble.
func (t *activeFault) whenOver(undo func()) {
	if t.Duration > 0 {
		t.sim.schedule(t.Duration, undo)
	}
}

// disturb puts a figure of each replica to a value while the trouble lasts.
func (t *activeFault) disturb(parameter func(*replica) *float64, value, normal float64) {
	for _, r := range t.targetReplicas() {
		*parameter(r) = value
		life := r.incarnation
		t.whenOver(func() {
			if r.incarnation == life {
				*parameter(r) = normal
				r.serve()
			}
		})
	}
}

func (t *activeFault) begin() {
	sim := t.sim
	if sim.now >= sim.end {
		return
	}
	t.began = true
	t.record(fmt.Sprintf("%s: %s", t.Kind, faultDescriptions[t.Kind]))
	for _, other := range sim.faults {
		if t.Name != "" && other.Trigger == t.Name && !other.began {
			sim.schedule(other.At, other.begin)
		}
	}
	switch t.Kind {
	case "crash", "vanish", "zone_loss":
		hit := t.targetReplicas()
		if t.Kind == "zone_loss" {
			t.Share = 1
			hit = t.targetReplicas()
		}
		for _, r := range hit {
			r.crash(t.Kind == "vanish")
			r.state = rules.Gone
			sim.discovery.update(r)
			if t.RecoverAfter > 0 {
				sim.schedule(sim.uniform(t.RecoverAfter*9/10, t.RecoverAfter*11/10), func() {
					r.state = rules.Ready
					r.hung, r.errorShare, r.partialShare, r.slowdown, r.stolenShare, r.falseReports = 0, 0, 0, 1, 0, 0
					r.restart()
				})
			}
		}
	case "hang":
		t.disturb(func(r *replica) *float64 { return &r.hung }, 1, 0)
	case "slow":
		t.disturb(func(r *replica) *float64 { return &r.slowdown }, max(t.Factor, 1), 1)
	case "ageing":
		const steps = 20
		for _, r := range t.targetReplicas() {
			life, span := r.incarnation, t.Duration
			if span == 0 {
				span = time.Duration(sim.end - sim.now)
			}
			for i := range steps {
				sim.schedule(span/steps*time.Duration(i), func() {
					if r.incarnation == life {
						r.slowdown = 1 + (max(t.Factor, 1)-1)*float64(i+1)/steps
					}
				})
			}
		}
	case "stolen":
		t.disturb(func(r *replica) *float64 { return &r.stolenShare }, min(t.Factor, 0.95), 0)
	case "errors":
		t.disturb(func(r *replica) *float64 { return &r.errorShare }, t.Factor, 0)
	case "partial":
		t.disturb(func(r *replica) *float64 { return &r.partialShare }, t.Factor, 0)
	case "false_reports":
		t.disturb(func(r *replica) *float64 { return &r.falseReports }, 1, 0)
	case "zone_cut":
		z := t.targetZone()
		sim.zoneCuts[z]++
		t.whenOver(func() { sim.zoneCuts[z]-- })
	case "growth":
		n := int(t.Factor * float64(len(sim.warmReplicas())))
		for i := range n {
			sim.schedule(t.Duration*time.Duration(i)/time.Duration(max(n, 1)), func() {
				sim.discovery.update(sim.addReplica(i%sim.fleet.Zones, sim.machineKinds[i%len(sim.machineKinds)], sim.now))
			})
		}
	case "deploy":
		hit := t.targetReplicas()
		for i, r := range hit {
			sim.schedule(t.Duration*time.Duration(i)/time.Duration(max(len(hit), 1)), func() { sim.replaceReplica(r) })
		}
	case "burst", "shift", "impatient", "insistent":
		t.whenOver(func() { t.record("over: " + t.Kind); t.Factor = 1; t.Kind = "clear_of_troubles" })
	case "governors_die":
		for _, g := range sample(sim, t.Share, sim.governors) {
			g.crash()
			if t.RecoverAfter > 0 {
				sim.schedule(sim.uniform(t.RecoverAfter*9/10, t.RecoverAfter*11/10), g.start)
			}
		}
	case "proxies_die":
		for _, p := range sample(sim, t.Share, sim.proxies) {
			p.crash()
			if t.RecoverAfter > 0 {
				sim.schedule(sim.uniform(t.RecoverAfter*9/10, t.RecoverAfter*11/10), p.restart)
			}
		}
	case "streams_break":
		for _, p := range sample(sim, t.Share, sim.proxies) {
			p.disconnect()
		}
	case "list_down":
		sim.discovery.startOutage()
		t.whenOver(func() { sim.discovery.outages-- })
	case "list_late":
		more := time.Duration((max(t.Factor, 1) - 1) * float64(sim.fleet.MaxDiscoveryDelay))
		sim.discovery.extraDelay += more
		t.whenOver(func() { sim.discovery.extraDelay -= more })
	case "channel_slow":
		for _, g := range sim.governors {
			g.channelSlowdown = max(t.Factor, 1)
			t.whenOver(func() { g.channelSlowdown = 1 })
		}
	case "reports_lost":
		for _, g := range sim.governors {
			g.reportLoss = t.Factor
			t.whenOver(func() { g.reportLoss = 0 })
		}
	case "reports_late":
		for _, g := range sim.governors {
			g.reportDelay = time.Duration(t.Factor * float64(sim.fleet.ReportPeriod))
			t.whenOver(func() { g.reportDelay = 0 })
		}
	}
}

func (t *activeFault) targetZone() int {
	if t.Zone != nil {
		return *t.Zone
	}
	return t.sim.randomStream.IntN(t.sim.fleet.Zones)
}

// drainExtraTime is how long one that drains stays after its grace, to finish what it has.
const drainExtraTime = time.Second

// replaceReplica drains a replica, starts another in its place, and takes it away when the grace is over.
func (sim *Simulation) replaceReplica(r *replica) {
	if r.state != rules.Ready {
		return
	}
	r.state = rules.Draining
	sim.discovery.update(r)
	sim.schedule(sim.uniform(500*time.Millisecond, time.Second), func() { sim.discovery.update(sim.addReplica(r.zone, r.kind, sim.now)) })
	sim.schedule(sim.fleet.MaxDiscoveryDelay+sim.fleet.DrainGrace+drainExtraTime, func() {
		r.crash(false)
		r.state = rules.Gone
		sim.discovery.update(r)
	})
}

// eachActiveFault are the troubles of a kind that have begun.
func (sim *Simulation) eachActiveFault(kind string, do func(*activeFault)) {
	for _, t := range sim.faults {
		if t.began && t.Kind == kind {
			do(t)
		}
	}
}

// arrivalFactor is how many times its usual flows a proxy gets.
func (sim *Simulation) arrivalFactor(p *proxy) float64 {
	times := 1.0
	sim.eachActiveFault("burst", func(t *activeFault) { times *= max(t.Factor, 0.01) })
	sim.eachActiveFault("shift", func(t *activeFault) {
		zones := float64(sim.fleet.Zones)
		if t.Zone != nil && p.zone == *t.Zone || t.Zone == nil && p.zone == 0 {
			times *= max(t.Factor, 0.01)
		} else if zones > 1 {
			times *= max((zones-t.Factor)/(zones-1), 0.05)
		}
	})
	return times
}

// clientTimeoutShare is the share of its expiry after which a client gives up, patience how often it comes again.
func (sim *Simulation) clientTimeoutShare() float64 {
	share := sim.fleet.ClientTimeoutShare
	sim.eachActiveFault("impatient", func(t *activeFault) { share *= min(t.Factor, 1) })
	return share
}

func (sim *Simulation) clientRetries() int {
	n := sim.fleet.ClientRetries
	sim.eachActiveFault("insistent", func(t *activeFault) { n *= int(max(t.Factor, 1)) })
	return n
}
