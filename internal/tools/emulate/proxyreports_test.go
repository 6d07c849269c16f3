package emulate

import (
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// TestProxyReportsEjectPairs injects errors at one replica for a tenth of the proxies. With proxy reports, the governor must eject the
// replica for the affected proxies only, without reducing the service level.
func TestProxyReportsEjectPairs(t *testing.T) {
	f := SmallFleet()
	f.Proxies, f.Load, f.Duration = 60, 0.4, 60*time.Second
	faults := []Fault{{Kind: "partial", At: 8 * time.Second, Share: 0.08, Factor: 0.1}}
	ejections, wrong := 0, 0
	var simulation *Simulation
	config := Config{Fleet: f, Seed: 6, Faults: faults, NewDecider: func(sim *Simulation, _ int) Decider {
		simulation = sim
		return &observedDecider{observe: func(_ rules.Time, _ []rules.Event, orders []rules.Order) {
			for _, o := range orders {
				if ejection, ok := o.(rules.PairEjection); ok && ejection.Ejected {
					ejections++
					if sim.replicas[ejection.Replica].partialShare == 0 || sim.proxies[ejection.Proxy].faultDraw >= 0.1 {
						wrong++
					}
				}
			}
		}}
	}}
	without := run(t, config)
	if ejections > 0 {
		t.Errorf("%d ejections for single proxies without proxy reports", ejections)
	}
	config.Fleet.ProxyReports = true
	with := run(t, config)
	affected := 0
	for _, proxy := range simulation.proxies {
		if proxy.faultDraw < 0.1 {
			affected++
		}
	}
	if affected == 0 || ejections < affected/2 || wrong > 1 || with.ServiceLevel < without.ServiceLevel-0.005 {
		t.Errorf("%d affected proxies: %d ejections, %d of them wrong; service level %.4f, without reports %.4f", affected, ejections, wrong, with.ServiceLevel, without.ServiceLevel)
	}
}
