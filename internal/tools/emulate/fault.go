package emulate

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// The fault kinds, with their names in scenario files.
const (
	FaultCrash               = "crash"
	FaultSilentCrash         = "vanish"
	FaultHang                = "hang"
	FaultSlow                = "slow"
	FaultProgressiveSlowdown = "ageing"
	FaultCPUSteal            = "stolen"
	FaultErrors              = "errors"
	FaultPartialErrors       = "partial"
	FaultFalseReports        = "false_reports"
	FaultZonePartition       = "zone_cut"
	FaultZoneLoss            = "zone_loss"
	FaultScaleOut            = "growth"
	FaultDeploy              = "deploy"
	FaultTrafficBurst        = "burst"
	FaultTrafficShift        = "shift"
	FaultShortClientTimeout  = "impatient"
	FaultRetryStorm          = "insistent"
	FaultGovernorCrash       = "governors_die"
	FaultProxyCrash          = "proxies_die"
	FaultDisconnect          = "streams_break"
	FaultDiscoveryOutage     = "list_down"
	FaultDiscoveryDelay      = "list_late"
	FaultSlowChannel         = "channel_slow"
	FaultReportLoss          = "reports_lost"
	FaultReportDelay         = "reports_late"
	FaultNone                = "clear_of_troubles"
)

// Fault is a failure or a change of load or fleet that is injected into a run.
type Fault struct {
	Kind         string        `toml:"kind"`
	At           time.Duration `toml:"at"`               // offset from the start of the run or from the trigger
	Duration     time.Duration `toml:"for" json:"For"`   // duration, or the period over which changes are spread; 0: until the end
	Share        float64       `toml:"share"`            // of the replicas, proxies or governors that are affected
	Zone         *int          `toml:"zone"`             // restricts the fault to a zone; for zone faults, the affected zone
	Factor       float64       `toml:"factor"`           // magnitude; see DescribeFault
	RecoverAfter time.Duration `toml:"back" json:"Back"` // time until a crashed process restarts; 0: never
	Trigger      string        `toml:"when" json:"When"` // condition on the previous second ("dropped > 0.1", "late > 0.2", "load > 0.8") or the name of a fault
	Name         string        `toml:"name"`             // referenced by the Trigger of other faults
}

// faultDescriptions describe the fault kinds. They are part of the fault log in results and must not change.
var faultDescriptions = map[string]string{
	FaultCrash:               "a share of the replicas dies; cold after back",
	FaultSilentCrash:         "the same, without a word: nothing is reset",
	FaultHang:                "a share of the replicas takes flows and answers none",
	FaultSlow:                "a share of the replicas is factor times slower",
	FaultProgressiveSlowdown: "a share of the replicas slows down steadily to factor times slower",
	FaultCPUSteal:            "another program takes a factor of each core of a share of the replicas",
	FaultErrors:              "a share of the replicas quickly fails a factor of its flows",
	FaultPartialErrors:       "a share of the replicas fails all flows of a factor of the proxies",
	FaultFalseReports:        "a share of the replicas reports no load",
	FaultZonePartition:       "a zone is cut off from the others",
	FaultZoneLoss:            "all replicas of a zone die; cold after back",
	FaultScaleOut:            "factor times as many replicas are added, one after the other",
	FaultDeploy:              "a share of the replicas drains and is replaced by new ones, one after the other",
	FaultTrafficBurst:        "factor times the flows",
	FaultTrafficShift:        "factor times the flows in a zone, less elsewhere",
	FaultShortClientTimeout:  "clients give up after a factor of their time",
	FaultRetryStorm:          "clients come again factor times",
	FaultGovernorCrash:       "a share of the governors is killed; back after back",
	FaultProxyCrash:          "a share of the proxies is killed; back after back",
	FaultDisconnect:          "a share of the streams breaks",
	FaultDiscoveryOutage:     "discovery is down",
	FaultDiscoveryDelay:      "discovery is factor times as late",
	FaultSlowChannel:         "channels are factor times slower",
	FaultReportLoss:          "a factor of the reports is lost",
	FaultReportDelay:         "reports are later by factor periods",
	FaultNone:                "nothing: a mark that others may wait for",
}

// FaultKinds returns the names of all fault kinds, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultDescriptions)) }

// DescribeFault returns the description of a fault kind, including the meaning of its share and factor, or "" if the kind is
// unknown.
func DescribeFault(kind string) string { return faultDescriptions[kind] }

// Validate returns an error that names the TOML key of the first invalid value.
func (f *Fault) Validate(fleet *Fleet) error {
	if _, ok := faultDescriptions[f.Kind]; !ok {
		return fmt.Errorf("kind: unknown kind %q, want one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
	}
	if f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("share: want 0 to 1, got %v", f.Share)
	}
	if f.Zone != nil && (*f.Zone < 0 || *f.Zone >= fleet.Zones) {
		return fmt.Errorf("zone: want 0 to %d, got %d", fleet.Zones-1, *f.Zone)
	}
	if f.Factor < 0 || math.IsInf(f.Factor, 0) || math.IsNaN(f.Factor) {
		return fmt.Errorf("factor: want a finite value of at least 0, got %v", f.Factor)
	}
	if f.At < 0 || f.Duration < 0 || f.RecoverAfter < 0 {
		return errors.New("at, for and back must not be negative")
	}
	_, err := parseTrigger(f.Trigger)
	return err
}

// parseTrigger parses a trigger that compares a metric of the last second with a threshold. It returns nil for any other text,
// which is the name of a fault.
func parseTrigger(text string) (func(Second) bool, error) {
	var metric string
	var threshold float64
	if n, _ := fmt.Sscanf(text, "%s > %g", &metric, &threshold); n != 2 { // any mismatch means a fault name
		return nil, nil
	}
	switch metric {
	case "dropped":
		return func(s Second) bool {
			return s.Attempts > 0 && float64(s.FailedAttempts) > threshold*float64(s.Attempts)
		}, nil
	case "late":
		return func(s Second) bool { return s.Offered > 0 && float64(s.Late) > threshold*float64(s.Offered) }, nil
	case "load":
		return func(s Second) bool { return s.Utilization > threshold }, nil
	}
	return nil, fmt.Errorf("when: unknown metric %q, want dropped, late or load", metric)
}
