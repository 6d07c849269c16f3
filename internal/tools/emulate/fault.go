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

// The kinds of fault, as scenario files name them.
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

// Fault is something that goes wrong, or changes, for a time.
type Fault struct {
	Kind         string        `toml:"kind"`
	At           time.Duration `toml:"at"`               // from the start, or from the moment that Trigger describes
	Duration     time.Duration `toml:"for" json:"For"`   // how long it lasts, or over how long it is spread; 0: to the end
	Share        float64       `toml:"share"`            // of the replicas, proxies or governors that it hits
	Zone         *int          `toml:"zone"`             // it hits only this one; for faults of a zone: which one
	Factor       float64       `toml:"factor"`           // how strong it is; see the kind's description
	RecoverAfter time.Duration `toml:"back" json:"Back"` // what crashed comes back after this; 0: never
	Trigger      string        `toml:"when" json:"When"` // a figure of the second before ("dropped > 0.1", "late > 0.2", "load > 0.8") or the name of a fault
	Name         string        `toml:"name"`             // for the Trigger of others, which begin with this one
}

// faultDescriptions describe the kinds to people. A result's log of faults has them too, so they stay as they are.
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

// FaultKinds returns all kinds of fault, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultDescriptions)) }

// DescribeFault says what a kind of fault does, and what its share and factor mean; "" for an unknown one.
func DescribeFault(kind string) string { return faultDescriptions[kind] }

// Validate returns an error that names the key of the first impossible value.
func (f *Fault) Validate(fleet *Fleet) error {
	if _, is := faultDescriptions[f.Kind]; !is {
		return fmt.Errorf("kind: there is no %q; there are %s", f.Kind, strings.Join(FaultKinds(), ", "))
	}
	if f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("share: want 0 to 1, got %v", f.Share)
	}
	if f.Zone != nil && (*f.Zone < 0 || *f.Zone >= fleet.Zones) {
		return fmt.Errorf("zone: want 0 to %d, got %d", fleet.Zones-1, *f.Zone)
	}
	if f.Factor < 0 || math.IsInf(f.Factor, 0) || math.IsNaN(f.Factor) {
		return fmt.Errorf("factor: want a figure of 0 or more, got %v", f.Factor)
	}
	if f.At < 0 || f.Duration < 0 || f.RecoverAfter < 0 {
		return errors.New("at, for and back must not be below 0")
	}
	_, err := parseTrigger(f.Trigger)
	return err
}

// parseTrigger reads a trigger that compares a figure of the last second with a bound. It returns nil for any other text,
// which is the name of a fault.
func parseTrigger(text string) (func(Second) bool, error) {
	var figure string
	var bound float64
	if n, _ := fmt.Sscanf(text, "%s > %g", &figure, &bound); n != 2 { // the error says no more than n
		return nil, nil
	}
	switch figure {
	case "dropped":
		return func(s Second) bool { return s.Attempts > 0 && float64(s.FailedAttempts) > bound*float64(s.Attempts) }, nil
	case "late":
		return func(s Second) bool { return s.Offered > 0 && float64(s.Late) > bound*float64(s.Offered) }, nil
	case "load":
		return func(s Second) bool { return s.Utilization > bound }, nil
	}
	return nil, fmt.Errorf("when: want dropped, late or load, got %q", figure)
}
