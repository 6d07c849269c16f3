package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/tools/emulate"
)

const (
	// maxFindings is how many findings a search returns at most.
	maxFindings = 10
	// searchStream is the stream of the seed that scenarios are drawn from; the emulator uses others.
	searchStream = 9
	// maxSearchedFaults is how many faults a scenario that is drawn has at most.
	maxSearchedFaults = 3
)

// searchedKinds are the kinds of fault that a search draws from.
var searchedKinds = []string{
	emulate.FaultCrash, emulate.FaultSilentCrash, emulate.FaultHang, emulate.FaultSlow, emulate.FaultCPUSteal, emulate.FaultErrors, emulate.FaultPartialErrors,
	emulate.FaultFalseReports, emulate.FaultZonePartition, emulate.FaultZoneLoss, emulate.FaultDeploy, emulate.FaultTrafficBurst, emulate.FaultShortClientTimeout,
	emulate.FaultGovernorCrash, emulate.FaultProxyCrash, emulate.FaultDiscoveryOutage, emulate.FaultDiscoveryDelay, emulate.FaultSlowChannel,
	emulate.FaultReportLoss, emulate.FaultReportDelay,
}

// Finding is a scenario that goes badly, with the seed of its run.
type Finding struct {
	Seed   uint64
	Faults []emulate.Fault
	Result *emulate.Result
}

// Search runs scenarios drawn by seed with the plan's first variant, until so many were run or ctx is done. It returns those
// with the worst results, at most ten: the ones that violate an invariant first, then by service level. Played is how many were
// run. An error of a run does not end the search; the first one is returned.
func Search(ctx context.Context, plan Plan, scenarios int, cores int) (found []Finding, played int, err error) {
	findings := make([]Finding, scenarios)
	errs := make([]error, scenarios)
	forEach(ctx, scenarios, cores, func(i int) {
		seed := plan.FirstSeed + uint64(i)
		faults := drawFaults(rand.New(rand.NewPCG(seed, searchStream)), &plan.Fleet)
		result, err := emulate.Run(plan.config(Scenario{Faults: faults}, seed, plan.Variants[0]))
		if err != nil {
			errs[i] = fmt.Errorf("day %d: %w", seed, err)
			return
		}
		findings[i] = Finding{seed, faults, result}
	})
	findings = slices.DeleteFunc(findings, func(f Finding) bool { return f.Result == nil })
	slices.SortStableFunc(findings, compareFindings)
	return findings[:min(len(findings), maxFindings)], len(findings), cmp.Or(errs...)
}

// drawFaults draws one to three faults. The order of the draws is part of what a seed means.
func drawFaults(random *rand.Rand, fleet *emulate.Fleet) []emulate.Fault {
	var faults []emulate.Fault
	for range 1 + random.IntN(maxSearchedFaults) {
		zone := random.IntN(fleet.Zones)
		fault := emulate.Fault{
			Kind:         searchedKinds[random.IntN(len(searchedKinds))],
			At:           time.Duration(5+random.IntN(10)) * time.Second,
			Duration:     time.Duration(3+random.IntN(12)) * time.Second,
			RecoverAfter: time.Duration(3+random.IntN(10)) * time.Second,
			Share:        0.05 + 0.5*random.Float64(),
			Factor:       0.3 + 3*random.Float64(),
		}
		if strings.HasPrefix(fault.Kind, "zone") {
			fault.Zone = &zone
		}
		faults = append(faults, fault)
	}
	return faults
}

// compareFindings orders violations first, then by service level to a millionth, the lowest first.
func compareFindings(a, b Finding) int {
	aViolates, bViolates := len(a.Result.Violations) > 0, len(b.Result.Violations) > 0
	switch {
	case aViolates && !bViolates:
		return -1
	case bViolates && !aViolates:
		return 1
	}
	return int((a.Result.ServiceLevel - b.Result.ServiceLevel) * 1e6)
}
