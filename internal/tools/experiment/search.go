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
	// maxFindings is the maximum number of findings of a search.
	maxFindings = 10
	// searchStream is the random stream that scenarios are drawn from. It differs from those of the emulator.
	searchStream = 9
	// maxSearchedFaults is the maximum number of faults of a random scenario.
	maxSearchedFaults = 3
)

// searchedKinds are the fault kinds that a search draws from. Their order must not change, as it is part of what a seed stands for.
var searchedKinds = []string{
	emulate.FaultCrash, emulate.FaultSilentCrash, emulate.FaultHang, emulate.FaultSlow, emulate.FaultCPUSteal, emulate.FaultErrors, emulate.FaultPartialErrors,
	emulate.FaultFalseReports, emulate.FaultZonePartition, emulate.FaultZoneLoss, emulate.FaultDeploy, emulate.FaultTrafficBurst, emulate.FaultShortClientTimeout,
	emulate.FaultGovernorCrash, emulate.FaultProxyCrash, emulate.FaultDiscoveryOutage, emulate.FaultDiscoveryDelay, emulate.FaultSlowChannel,
	emulate.FaultReportLoss, emulate.FaultReportDelay,
}

// Finding is a scenario with a bad result, and the seed of its run.
type Finding struct {
	Seed   uint64
	Faults []emulate.Fault
	Result *emulate.Result
}

// Search runs random scenarios with the first variant of a plan until the given number has been run or ctx is done. It returns the
// maxFindings worst results, those with violations first, then by service level, and the number of completed runs. An error of a
// run does not stop the search; the first one is returned.
func Search(ctx context.Context, plan Plan, scenarios int, cores int) (worst []Finding, completed int, err error) {
	findings := make([]Finding, scenarios)
	errs := make([]error, scenarios)
	forEach(ctx, scenarios, cores, func(i int) {
		seed := plan.FirstSeed + uint64(i)
		faults := drawFaults(rand.New(rand.NewPCG(seed, searchStream)), &plan.Fleet)
		result, err := emulate.Run(plan.config(Scenario{Faults: faults}, seed, plan.Variants[0]))
		if err != nil {
			errs[i] = fmt.Errorf("seed %d: %w", seed, err)
			return
		}
		findings[i] = Finding{seed, faults, result}
	})
	findings = slices.DeleteFunc(findings, func(f Finding) bool { return f.Result == nil })
	slices.SortStableFunc(findings, compareFindings)
	return findings[:min(len(findings), maxFindings)], len(findings), cmp.Or(errs...)
}

// drawFaults draws one to three faults. The order of the draws must not change, as it defines the scenario of a seed.
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

// compareFindings orders findings with violations first, then by ascending service level with a resolution of 1e-6.
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
