package ownership

import (
	"maps"
	"slices"
)

// RangeStatus describes a range for operators.
type RangeStatus struct {
	Service string `json:"service"`
	From    uint16 `json:"from"`
	To      uint16 `json:"to"`
	Owner   string `json:"owner"`
	Phase   string `json:"phase"`
	Token   uint64 `json:"token"`
	Target  string `json:"target,omitempty"` // intended next owner
}

// String returns the phase as operators see it. A range without a phase has had no owner yet.
func (p Phase) String() string {
	switch p {
	case PhaseGranted:
		return "granted"
	case PhaseReleasing:
		return "releasing"
	}
	return "unowned"
}

// Status describes all ranges, sorted by service and key.
func (t *Table) Status() []RangeStatus {
	status := []RangeStatus{}
	for _, service := range slices.Sorted(maps.Keys(t.Services)) {
		for _, r := range t.Services[service] {
			status = append(status, RangeStatus{
				Service: service, From: r.From, To: r.To, Owner: r.Owner, Phase: r.Phase.String(), Token: r.Token, Target: r.Target,
			})
		}
	}
	return status
}
