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
	Asked     Phase = "asked"     // waits for its grant
	Draining  Phase = "draining"  // granted; the node ends what is under way
	Drained   Phase = "drained"   // the node has said that nothing is under way: it may be worked on
	Returning Phase = "returning" // it is to serve again
	Serving   Phase = "serving"   // a node's own word; such a window is over
)

const (
	auditMost  = 64
	loadMargin = 1.15 // of the load at hand, that must be carried where it is above what is agreed
)

// Window is one node's.
type Window struct {
	Node  string `json:"node" cbor:"1,keyasint"`
	Name  string `json:"window" cbor:"2,keyasint"`
	Phase Phase  `json:"phase" cbor:"3,keyasint"`
	Fence uint64 `json:"fence" cbor:"4,keyasint,omitempty"`
	Why   string `json:"why,omitempty" cbor:"5,keyasint,omitempty"` // it waits, or was granted, or was taken back
	Takes int64  `json:"takes_s" cbor:"6,keyasint,omitempty"`       // seconds from drained on, after which it is to serve again; 0: until it is said
}

// State is what the core keeps. It is not changed once made.
type State struct {
	Fence   uint64           `json:"fence" cbor:"1,keyasint"`
	Agreed  []capacity.Floor `json:"agreed" cbor:"2,keyasint,omitempty"`
	Losses  capacity.Losses  `json:"losses" cbor:"3,keyasint,omitempty"`
	Told    []capacity.Node  `json:"nodes,omitempty" cbor:"4,keyasint,omitempty"` // what operators say of nodes, where nothing was measured
	Windows []Window         `json:"windows" cbor:"5,keyasint,omitempty"`         // in the order in which they are wished
	Paused  bool             `json:"paused" cbor:"6,keyasint,omitempty"`          // by an operator: nothing more is granted
	Audit   []string         `json:"audit,omitempty" cbor:"7,keyasint,omitempty"`
}

// Node is what the core knows of one now.
type Node struct {
	capacity.Node
	Serving bool   `cbor:"11,keyasint,omitempty"` // it was heard lately and takes requests
	Phase   Phase  `cbor:"12,keyasint,omitempty"` // its own word
	Fence   uint64 `cbor:"13,keyasint,omitempty"`
}

// Fleet is all of them, and what is asked of them.
type Fleet struct {
	Nodes []Node
	Load  map[string]map[string]float64 // requests a second, by region and group
	Sure  bool                          // every core machine's nodes are in it
}

func (s State) clone() State {
	s.Windows, s.Audit = slices.Clone(s.Windows), slices.Clone(s.Audit)
	return s
}

func (s State) find(node string) int {
	return slices.IndexFunc(s.Windows, func(w Window) bool { return w.Node == node })
}

func (s *State) audit(format string, a ...any) {
	s.Audit = append(s.Audit, fmt.Sprintf("fence %d: ", s.Fence)+fmt.Sprintf(format, a...))
	if len(s.Audit) > auditMost {
		s.Audit = s.Audit[len(s.Audit)-auditMost:]
	}
}

// Out tells whether a node counts as out.
func (s State) Out(node string) bool {
	i := s.find(node)
	return i >= 0 && s.Windows[i].Phase != Asked
}

// On tells whether windows are used at all.
func (s State) On() bool { return len(s.Agreed) > 0 || len(s.Windows) > 0 }

// Command is an operator's.
type Command struct {
	Verb   string           `json:"verb" cbor:"1,keyasint"` // agree, ask, finish, cancel, pause, resume
	Nodes  []string         `json:"nodes,omitempty" cbor:"2,keyasint,omitempty"`
	Name   string           `json:"window,omitempty" cbor:"3,keyasint,omitempty"`
	Agreed []capacity.Floor `json:"agreed,omitempty" cbor:"4,keyasint,omitempty"`
	Losses capacity.Losses  `json:"losses" cbor:"5,keyasint,omitempty"`
	Told   []capacity.Node  `json:"told,omitempty" cbor:"6,keyasint,omitempty"`
	Takes  int64            `json:"takes_s,omitempty" cbor:"7,keyasint,omitempty"`
}

// Apply takes a command. Given again it changes nothing.
func (s State) Apply(c Command) (State, error) {
	n := s.clone()
	switch c.Verb {
	case "agree":
		n.Agreed, n.Losses, n.Told = c.Agreed, c.Losses, c.Told
		n.audit("%d floors agreed, %d machines and %d zones may be lost meanwhile", len(c.Agreed), c.Losses.Machines, c.Losses.Zones)
	case "ask":
		if len(s.Agreed) == 0 {
			return s, merry.New("windows: no capacity has been agreed, so none can be kept")
		}
		for _, node := range c.Nodes {
			if i := n.find(node); i >= 0 {
				if w := n.Windows[i]; w.Phase == Returning || w.Name != c.Name {
					return s, merry.Errorf("windows: %s has a window already: %s, %s", node, w.Name, w.Phase)
				}
				continue
			}
			n.Windows = append(n.Windows, Window{Node: node, Name: c.Name, Phase: Asked, Takes: c.Takes})
		}
	case "finish", "cancel":
		for _, node := range c.Nodes {
			i := n.find(node)
			if i < 0 {
				continue // it is over
			}
			switch w := n.Windows[i]; {
			case w.Phase == Asked && c.Verb == "finish":
				return s, merry.Errorf("windows: %s has not begun; cancel it", node)
			case w.Phase == Asked:
				n.Windows = slices.Delete(n.Windows, i, i+1)
			case w.Phase != Returning:
				n.back(i, "by an operator: "+c.Verb)
			}
		}
	case "pause", "resume":
		n.Paused = c.Verb == "pause"
		n.audit("%sd by an operator", c.Verb)
	default:
		return s, merry.Errorf("windows: verb: %q is none of agree, ask, finish, cancel, pause, resume", c.Verb)
	}
	return n, nil
}

// Over takes back a window whose time is over.
func (s State) Over(node string) (State, bool) {
	n := s.clone()
	i := n.find(node)
	if i < 0 || n.Windows[i].Phase != Drained {
		return s, false
	}
	n.back(i, "its time is over")
	return n, true
}

// back has a node serve again.
func (s *State) back(i int, why string) {
	s.Fence++
	s.Windows[i].Phase, s.Windows[i].Fence, s.Windows[i].Why = Returning, s.Fence, why
	s.audit("%s is to serve again: %s", s.Windows[i].Node, why)
}

// Short is a floor that would not be kept.
type Short struct {
	capacity.Floor
	Needs, Left float64
}

func (x Short) String() string {
	return fmt.Sprintf("%s of %s: %.1f a second are needed, %.1f are left", x.Group, x.Region, x.Needs, x.Left)
}

// Missing lists the floors that are not kept with some nodes out.
func (s State) Missing(f Fleet, out func(string) bool) (short []Short) {
	var up []capacity.Node
	for _, n := range f.Nodes {
		if !n.Serving {
			continue
		}
		x := n.Node
		if len(x.Carries) == 0 {
			for _, t := range s.Told {
				if t.Name == n.Name {
					x.Carries = t.Carries
				}
			}
		}
		up = append(up, x)
	}
	for _, floor := range s.Agreed {
		needs := max(floor.Least, loadMargin*f.Load[floor.Region][floor.Group])
		if left := capacity.Left(up, floor.Region, floor.Group, out, s.Losses); left < needs {
			short = append(short, Short{floor, needs, left})
		}
	}
	return short
}

// Next is what should become of the state now. It makes one change at a time: what nodes have said is noted, then windows
// are taken back where a floor is not kept, else the next one is granted.
func (s State) Next(f Fleet) (State, bool) {
	n := s.clone()
	said := map[string]Node{}
	for _, x := range f.Nodes {
		said[x.Name] = x
	}
	for i := 0; i < len(n.Windows); i++ {
		w := &n.Windows[i]
		x, ok := said[w.Node]
		if !ok || x.Fence != w.Fence || w.Phase == Asked {
			continue
		}
		switch {
		case w.Phase == Draining && x.Phase == Drained:
			w.Phase = Drained
			n.audit("%s is drained", w.Node)
			return n, true
		case w.Phase == Returning && x.Phase == Serving && x.Serving:
			n.audit("%s serves again", w.Node)
			n.Windows = slices.Delete(n.Windows, i, i+1)
			return n, true
		}
	}
	if !f.Sure {
		return s, false // what is not known may be what lacks
	}
	if short := n.Missing(f, n.Out); len(short) > 0 {
		return n.yield(f, short)
	}
	if n.Paused {
		return s, false
	}
	changed := false
	for i := range n.Windows {
		w := &n.Windows[i]
		x, ok := said[w.Node]
		if w.Phase != Asked {
			continue
		}
		why := ""
		switch {
		case !ok || !x.Serving:
			why = "it is not serving"
		default:
			out := func(node string) bool { return node == w.Node || n.Out(node) }
			if short := n.Missing(f, out); len(short) > 0 {
				why = "without it " + short[0].String()
			}
		}
		if why == "" {
			n.Fence++
			w.Phase, w.Fence, w.Why = Draining, n.Fence, "granted: "+n.room(f, w.Node)
			n.audit("%s %s", w.Node, w.Why)
			return n, true
		}
		if w.Why != why && kind(w.Why) != kind(why) {
			w.Why, changed = why, true
		}
	}
	return n, changed
}

// kind is a reason without its figures, which move all the time.
func kind(why string) string { return strings.SplitN(why, ":", 2)[0] }

// room tells in words what is left with a node out.
func (s State) room(f Fleet, node string) string {
	var words []string
	out := func(x string) bool { return x == node || s.Out(x) }
	var up []capacity.Node
	for _, n := range f.Nodes {
		if n.Serving {
			up = append(up, n.Node)
		}
	}
	for _, floor := range s.Agreed {
		words = append(words, fmt.Sprintf("%s of %s %.1f for %.1f", floor.Group, floor.Region, capacity.Left(up, floor.Region, floor.Group, out, s.Losses), floor.Least))
	}
	return strings.Join(words, ", ")
}

// yield takes a window back where a floor is not kept: in the regions that lack, first one that has not drained yet, as it
// is back at once; the youngest first.
func (s State) yield(f Fleet, short []Short) (State, bool) {
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
		if best < 0 || cmp.Or(cmp.Compare(one(w.Phase == Draining), one(s.Windows[best].Phase == Draining)), cmp.Compare(w.Fence, s.Windows[best].Fence)) > 0 {
			best = i
		}
	}
	if best < 0 {
		return s, false
	}
	s.back(best, "a floor is not kept: "+short[0].String())
	return s, true
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Orders are what nodes are to be told: the phase that each is to reach, and its fence.
func (s State) Orders() map[string]Window {
	all := map[string]Window{}
	for _, w := range s.Windows {
		if w.Phase != Asked {
			all[w.Node] = w
		}
	}
	return all
}
