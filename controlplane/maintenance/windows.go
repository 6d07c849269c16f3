// Package maintenance grants maintenance windows to nodes of the gateway. A plan says when a window is wished; only a grant
// drains a node, and grants together never leave less than the agreed capacity after the worst loss that must be borne.
// It is free of I/O and of clocks of the day: whoever decides holds a copy of the state, proposes the next one, and
// the core's chain takes it only if nobody was faster.
//
// A node counts as out from its grant until it has said itself, under the newest fence, that it serves again. So neither a
// dead grantor, nor a grant told twice, nor clocks that differ can have it counted in while it is out.
package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/dataplane/capacity"
)

// Phase of a node's window.
type Phase string

const (
	Requested Phase = "asked"     // waits for its grant
	Draining  Phase = "draining"  // granted; the node ends what is under way
	Drained   Phase = "drained"   // the node has said that nothing is under way: it may be worked on
	Returning Phase = "returning" // it is to serve again
	Serving   Phase = "serving"   // a node's own word; such a window is over
)

const (
	maxAuditEntries = 64
	loadMargin      = 1.15 // of the load at hand, that must be carried where it is above what is agreed
)

// Window is one node's.
type Window struct {
	Node            string `json:"node" cbor:"1,keyasint"`
	Name            string `json:"window" cbor:"2,keyasint"`
	Phase           Phase  `json:"phase" cbor:"3,keyasint"`
	FencingToken    uint64 `json:"fence" cbor:"4,keyasint,omitempty"`
	Reason          string `json:"why,omitempty" cbor:"5,keyasint,omitempty"` // it waits, or was granted, or was taken back
	DurationSeconds int64  `json:"takes_s" cbor:"6,keyasint,omitempty"`       // seconds from drained on, after which it is to serve again; 0: until it is said
}

// State is what the core keeps. It is not changed once made.
type State struct {
	FencingToken   uint64                  `json:"fence" cbor:"1,keyasint"`
	AgreedFloors   []capacity.Floor        `json:"agreed" cbor:"2,keyasint,omitempty"`
	FaultTolerance capacity.FaultTolerance `json:"losses" cbor:"3,keyasint,omitempty"`
	DeclaredNodes  []capacity.Node         `json:"nodes,omitempty" cbor:"4,keyasint,omitempty"` // what operators say of nodes, where nothing was measured
	Windows        []Window                `json:"windows" cbor:"5,keyasint,omitempty"`         // in the order in which they are wished
	Paused         bool                    `json:"paused" cbor:"6,keyasint,omitempty"`          // by an operator: nothing more is granted
	AuditLog       []string                `json:"audit,omitempty" cbor:"7,keyasint,omitempty"`
}

// Node is what the core knows of one now.
type Node struct {
	capacity.Node
	Serving      bool   `cbor:"11,keyasint,omitempty"` // it was heard lately and takes requests
	Phase        Phase  `cbor:"12,keyasint,omitempty"` // its own word
	FencingToken uint64 `cbor:"13,keyasint,omitempty"`
}

// Fleet is all of them, and what is asked of them.
type Fleet struct {
	Nodes    []Node
	Load     map[string]map[string]float64 // requests a second, by region and group
	Complete bool                          // every core machine's nodes are in it
}

func (s State) clone() State {
	s.Windows, s.AuditLog = slices.Clone(s.Windows), slices.Clone(s.AuditLog)
	return s
}

func (s State) indexOf(node string) int {
	return slices.IndexFunc(s.Windows, func(w Window) bool { return w.Node == node })
}

func (s *State) appendAudit(format string, a ...any) {
	s.AuditLog = append(s.AuditLog, fmt.Sprintf("fence %d: ", s.FencingToken)+fmt.Sprintf(format, a...))
	if len(s.AuditLog) > maxAuditEntries {
		s.AuditLog = s.AuditLog[len(s.AuditLog)-maxAuditEntries:]
	}
}

// IsOut tells whether a node counts as out.
func (s State) IsOut(node string) bool {
	i := s.indexOf(node)
	return i >= 0 && s.Windows[i].Phase != Requested
}

// Enabled tells whether windows are used at all.
func (s State) Enabled() bool { return len(s.AgreedFloors) > 0 || len(s.Windows) > 0 }

// Command is an operator's.
type Command struct {
	Verb            string                  `json:"verb" cbor:"1,keyasint"` // agree, ask, finish, cancel, pause, resume
	Nodes           []string                `json:"nodes,omitempty" cbor:"2,keyasint,omitempty"`
	WindowName      string                  `json:"window,omitempty" cbor:"3,keyasint,omitempty"`
	AgreedFloors    []capacity.Floor        `json:"agreed,omitempty" cbor:"4,keyasint,omitempty"`
	FaultTolerance  capacity.FaultTolerance `json:"losses" cbor:"5,keyasint,omitempty"`
	DeclaredNodes   []capacity.Node         `json:"told,omitempty" cbor:"6,keyasint,omitempty"`
	DurationSeconds int64                   `json:"takes_s,omitempty" cbor:"7,keyasint,omitempty"`
}

// Apply takes a command. Given again it changes nothing.
func (s State) Apply(c Command) (State, error) {
	n := s.clone()
	switch c.Verb {
	case "agree":
		n.AgreedFloors, n.FaultTolerance, n.DeclaredNodes = c.AgreedFloors, c.FaultTolerance, c.DeclaredNodes
		n.appendAudit("%d floors agreed, %d machines and %d zones may be lost meanwhile", len(c.AgreedFloors), c.FaultTolerance.Machines, c.FaultTolerance.Zones)
	case "ask":
		if len(s.AgreedFloors) == 0 {
			return s, merry.New("windows: no capacity has been agreed, so none can be kept")
		}
		for _, node := range c.Nodes {
			if i := n.indexOf(node); i >= 0 {
				if w := n.Windows[i]; w.Phase == Returning || w.Name != c.WindowName {
					return s, merry.Errorf("windows: %s has a window already: %s, %s", node, w.Name, w.Phase)
				}
				continue
			}
			n.Windows = append(n.Windows, Window{Node: node, Name: c.WindowName, Phase: Requested, DurationSeconds: c.DurationSeconds})
		}
	case "finish", "cancel":
		for _, node := range c.Nodes {
			i := n.indexOf(node)
			if i < 0 {
				continue // it is over
			}
			switch w := n.Windows[i]; {
			case w.Phase == Requested && c.Verb == "finish":
				return s, merry.Errorf("windows: %s has not begun; cancel it", node)
			case w.Phase == Requested:
				n.Windows = slices.Delete(n.Windows, i, i+1)
			case w.Phase != Returning:
				n.returnToService(i, "by an operator: "+c.Verb)
			}
		}
	case "pause", "resume":
		n.Paused = c.Verb == "pause"
		n.appendAudit("%sd by an operator", c.Verb)
	default:
		return s, merry.Errorf("windows: verb: %q is none of agree, ask, finish, cancel, pause, resume", c.Verb)
	}
	return n, nil
}

// Expire takes back a window whose time is over.
func (s State) Expire(node string) (State, bool) {
	n := s.clone()
	i := n.indexOf(node)
	if i < 0 || n.Windows[i].Phase != Drained {
		return s, false
	}
	n.returnToService(i, "its time is over")
	return n, true
}

// returnToService has a node serve again.
func (s *State) returnToService(i int, why string) {
	s.FencingToken++
	s.Windows[i].Phase, s.Windows[i].FencingToken, s.Windows[i].Reason = Returning, s.FencingToken, why
	s.appendAudit("%s is to serve again: %s", s.Windows[i].Node, why)
}

// Shortfall is a floor that would not be kept.
type Shortfall struct {
	capacity.Floor
	Required, Remaining float64
}

func (x Shortfall) String() string {
	return fmt.Sprintf("%s of %s: %.1f a second are needed, %.1f are left", x.Group, x.Region, x.Required, x.Remaining)
}

// Shortfalls lists the floors that are not kept with some nodes out.
func (s State) Shortfalls(f Fleet, out func(string) bool) (short []Shortfall) {
	var up []capacity.Node
	for _, n := range f.Nodes {
		if !n.Serving {
			continue
		}
		x := n.Node
		if len(x.Capacity) == 0 {
			for _, t := range s.DeclaredNodes {
				if t.Name == n.Name {
					x.Capacity = t.Capacity
				}
			}
		}
		up = append(up, x)
	}
	for _, floor := range s.AgreedFloors {
		needs := max(floor.Minimum, loadMargin*f.Load[floor.Region][floor.Group])
		if left := capacity.RemainingAfterLosses(up, floor.Region, floor.Group, out, s.FaultTolerance); left < needs {
			short = append(short, Shortfall{floor, needs, left})
		}
	}
	return short
}

// Reconcile is what should become of the state now. It makes one change at a time: what nodes have said is noted, then windows
// are taken back where a floor is not kept, else the next one is granted.
func (s State) Reconcile(f Fleet) (State, bool) {
	n := s.clone()
	said := map[string]Node{}
	for _, x := range f.Nodes {
		said[x.Name] = x
	}
	for i := 0; i < len(n.Windows); i++ {
		w := &n.Windows[i]
		x, ok := said[w.Node]
		if !ok || x.FencingToken != w.FencingToken || w.Phase == Requested {
			continue
		}
		switch {
		case w.Phase == Draining && x.Phase == Drained:
			w.Phase = Drained
			n.appendAudit("%s is drained", w.Node)
			return n, true
		case w.Phase == Returning && x.Phase == Serving && x.Serving:
			n.appendAudit("%s serves again", w.Node)
			n.Windows = slices.Delete(n.Windows, i, i+1)
			return n, true
		}
	}
	if !f.Complete {
		return s, false // what is not known may be what lacks
	}
	if short := n.Shortfalls(f, n.IsOut); len(short) > 0 {
		return n.revoke(f, short)
	}
	if n.Paused {
		return s, false
	}
	changed := false
	for i := range n.Windows {
		w := &n.Windows[i]
		x, ok := said[w.Node]
		if w.Phase != Requested {
			continue
		}
		why := ""
		switch {
		case !ok || !x.Serving:
			why = "it is not serving"
		default:
			out := func(node string) bool { return node == w.Node || n.IsOut(node) }
			if short := n.Shortfalls(f, out); len(short) > 0 {
				why = "without it " + short[0].String()
			}
		}
		if why == "" {
			n.FencingToken++
			w.Phase, w.FencingToken, w.Reason = Draining, n.FencingToken, "granted: "+n.describeRemaining(f, w.Node)
			n.appendAudit("%s %s", w.Node, w.Reason)
			return n, true
		}
		if w.Reason != why && kind(w.Reason) != kind(why) {
			w.Reason, changed = why, true
		}
	}
	return n, changed
}

// kind is a reason without its figures, which move all the time.
func kind(why string) string { return strings.SplitN(why, ":", 2)[0] }

// describeRemaining tells in words what is left with a node out.
func (s State) describeRemaining(f Fleet, node string) string {
	var words []string
	out := func(x string) bool { return x == node || s.IsOut(x) }
	var up []capacity.Node
	for _, n := range f.Nodes {
		if n.Serving {
			up = append(up, n.Node)
		}
	}
	for _, floor := range s.AgreedFloors {
		words = append(words, fmt.Sprintf("%s of %s %.1f for %.1f", floor.Group, floor.Region, capacity.RemainingAfterLosses(up, floor.Region, floor.Group, out, s.FaultTolerance), floor.Minimum))
	}
	return strings.Join(words, ", ")
}

// revoke takes a window back where a floor is not kept: in the regions that lack, first one that has not drained yet, as it
// is back at once; the youngest first.
func (s State) revoke(f Fleet, short []Shortfall) (State, bool) {
	lacks, region := map[string]bool{}, map[string]string{}
	for _, x := range short {
		lacks[x.Region] = true
	}
	for _, n := range f.Nodes {
		region[n.Name] = n.Region
	}
	best := -1
	for i, w := range s.Windows {
		if w.Phase != Draining && w.Phase != Drained || region[w.Node] != "" && !lacks[region[w.Node]] {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(one(w.Phase == Draining), one(s.Windows[best].Phase == Draining)), cmp.Compare(w.FencingToken, s.Windows[best].FencingToken)) > 0 {
			best = i
		}
	}
	if best < 0 {
		return s, false
	}
	s.returnToService(best, "a floor is not kept: "+short[0].String())
	return s, true
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Instructions are what nodes are to be told: the phase that each is to reach, and its fence.
func (s State) Instructions() map[string]Window {
	all := map[string]Window{}
	for _, w := range s.Windows {
		if w.Phase != Requested {
			all[w.Node] = w
		}
	}
	return all
}
