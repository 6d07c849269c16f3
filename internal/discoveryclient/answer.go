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

// Version is discovery's number of a state of the list.
type Version uint64

// answer is a list as discovery writes it.
type answer struct {
	Version *Version      `json:"version"`
	Full    bool          `json:"full"`
	Servers []serverEntry `json:"servers"`
}

type serverEntry struct {
	ID      string   `json:"id"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    int64    `json:"cell"`
	State   string   `json:"state"`
	Weight  *float64 `json:"weight"`
	Started int64    `json:"started_ms"`
}

var stateByName = map[string]rules.State{"ready": rules.Ready, "draining": rules.Draining, "gone": rules.Deregistered}

// decodeAnswer decodes an answer and checks it whole, so that a bad one leaves nothing behind.
func decodeAnswer(text []byte) (answer, error) {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return answer{}, fmt.Errorf("the list is not the expected JSON: %w", err)
	}
	if a.Version == nil {
		return answer{}, errors.New("the list lacks version")
	}
	for _, s := range a.Servers {
		switch _, ok := stateByName[s.State]; {
		case s.ID == "":
			return answer{}, errors.New("an entry of the list lacks id")
		case !ok:
			return answer{}, fmt.Errorf("%s: unknown state %q", s.ID, s.State)
		case s.Weight != nil && *s.Weight < 0:
			return answer{}, fmt.Errorf("%s: a weight below 0", s.ID)
		case s.Started < 0 || s.Started > math.MaxInt64/int64(time.Millisecond):
			return answer{}, fmt.Errorf("%s: impossible started_ms %d", s.ID, s.Started)
		}
	}
	return a, nil
}

// toRules puts an answer that counts into the words of package rules. Zones and kinds that the settings lack stand
// past those that they have.
func (l *Client) toRules(a answer) rules.List {
	out := rules.List{Scope: rules.Changes}
	if a.Full {
		out.Scope = rules.Full
		l.unlistAll()
	}
	for _, s := range a.Servers {
		e := rules.Entry{
			Replica: l.add(s.ID, stateByName[s.State] != rules.Deregistered), Zone: rules.ZoneID(indexOf(l.zones, s.Zone)),
			Kind: rules.KindID(indexOf(l.kinds, s.Kind)), Cell: rules.CellID(s.Cell), State: stateByName[s.State], Listed: 1,
			StartedAt: rules.Time(s.Started) * rules.Time(time.Millisecond),
		}
		if s.Weight != nil {
			e.Listed = *s.Weight
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

func indexOf(in []string, name string) int {
	if i := slices.Index(in, name); i >= 0 {
		return i
	}
	return len(in)
}
