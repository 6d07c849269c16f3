package emulate

import (
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// TestProxyReportsEjectPairs has a replica answer the flows of one proxy in ten badly. These proxies report it: through the intake the
// governor finds the pairs and ejects the replica for them alone, and service is no worse than without such reports.
func TestProxyReportsEjectPairs(t *testing.T) {
	f := SmallFleet()
	f.Proxies, f.Load, f.Duration = 60, 0.4, 60*time.Second
	faults := []Fault{{Kind: "partial", At: 8 * time.Second, Share: 0.08, Factor: 0.1}}
	ejections, wrong := 0, 0
	var simulation *Simulation
	p := Config{Fleet: f, Seed: 6, Faults: faults, NewDecider: func(sim *Simulation, _ int) Decider {
		simulation = sim
		return &spyDecider{step: func(_ rules.Time, _ []rules.Event, orders []rules.Order) {
			for _, o := range orders {
				if s, ok := o.(rules.PairEjection); ok && s.Ejected {
					ejections++
					if sim.replicas[s.Replica].partialShare == 0 || sim.proxies[s.Proxy].selector >= 0.1 {
						wrong++
					}
				}
			}
		}}
	}}
	without := run(t, p)
	if ejections > 0 {
		t.Errorf("%d ejections for single proxies, and no proxy reports", ejections)
	}
	p.Fleet.ProxyReports = true
	with := run(t, p)
	few := 0
	for _, x := range simulation.proxies {
		if x.selector < 0.1 {
			few++
		}
	}
	if few == 0 || ejections < few/2 || wrong > 1 || with.ServiceLevel < without.ServiceLevel-0.005 {
		t.Errorf("%d proxies fail there: %d ejections, %d of them wrong; service %.4f, without %.4f", few, ejections, wrong, with.ServiceLevel, without.ServiceLevel)
	}
}
