package discoveryclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Version is discovery's version number of the endpoint list.
type Version uint64

// answer is an endpoint list, or changes to it, as discovery encodes it in JSON.
type answer struct {
	Version *Version      `json:"version"`
	Full    bool          `json:"full"`
	Servers []serverEntry `json:"servers"`
}

// serverEntry is one replica in an answer.
type serverEntry struct {
	ID        string   `json:"id"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"kind"`
	Cell      int64    `json:"cell"`
	State     string   `json:"state"`
	Weight    *float64 `json:"weight"`
	StartedMS int64    `json:"started_ms"`
}

var stateByName = map[string]rules.State{"ready": rules.Ready, "draining": rules.Draining, "gone": rules.Deregistered}

// decodeAnswer decodes and validates a whole answer, so that no part of an invalid one is used.
func decodeAnswer(text []byte) (answer, error) {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return answer{}, fmt.Errorf("decoding the endpoint list: %w", err)
	}
	if a.Version == nil {
		return answer{}, errors.New("the list lacks version")
	}
	for _, s := range a.Servers {
		switch _, ok := stateByName[s.State]; {
		case s.ID == "":
			return answer{}, errors.New("a list entry lacks id")
		case !ok:
			return answer{}, fmt.Errorf("%s: unknown state %q", s.ID, s.State)
		case s.Weight != nil && *s.Weight < 0:
			return answer{}, fmt.Errorf("%s: negative weight %v", s.ID, *s.Weight)
		case s.StartedMS < 0 || s.StartedMS > math.MaxInt64/int64(time.Millisecond):
			return answer{}, fmt.Errorf("%s: started_ms %d is out of range", s.ID, s.StartedMS)
		}
	}
	return a, nil
}

// toRules converts a valid answer to an event of package rules and assigns IDs to its replicas. A zone or kind that is not in
// the settings gets the index after the last one.
func (c *Client) toRules(a answer) rules.List {
	list := rules.List{Scope: rules.Changes}
	if a.Full {
		list.Scope = rules.Full
		c.markAllUnlisted()
	}
	for _, s := range a.Servers {
		e := rules.Entry{
			Replica:   c.idFor(s.ID, stateByName[s.State] != rules.Deregistered),
			Zone:      rules.ZoneID(indexOrLen(c.zones, s.Zone)),
			Kind:      rules.KindID(indexOrLen(c.kinds, s.Kind)),
			Cell:      rules.CellID(s.Cell),
			State:     stateByName[s.State],
			Listed:    1,
			StartedAt: rules.Time(s.StartedMS) * rules.Time(time.Millisecond),
		}
		if s.Weight != nil {
			e.Listed = *s.Weight
		}
		list.Entries = append(list.Entries, e)
	}
	return list
}

// indexOrLen returns the index of name in names, or len(names) if it is not there.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
