package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/messages"
)

const (
	windowsNote = "windows"
	driveEvery  = time.Second
	freshFor    = 2500 * time.Millisecond // what a forager or another comb told of nodes counts for so long
	sureAfter   = 3 * time.Second         // a comb that has just started does not know all nodes
	triesMost   = 4                       // of a command, where others change the windows at the same moment
)

// hived is what the head has begun and waits for, and what it knows of nodes elsewhere.
type hived struct {
	rev      uint64
	state    maintenance.State
	drivesAt time.Duration
	open     map[uint64]change        // by the core's token
	elsewhat map[string]elsewhere     // by a comb's identity
	drained  map[string]time.Duration // since when a node is known to be drained, by this comb's clock
	proposed uint64
}

type elsewhere struct {
	at    time.Duration
	fleet messages.GatewaySummary
}

// change is a proposal for a note that waits for its commit.
type change struct {
	by      string
	command *maintenance.Command // an operator's, that must be answered; nil: our own
	token   uint64
	tries   int
}

// windows is the state that is committed.
func (c *Comb) windows() maintenance.State {
	r, known := c.core.Register()
	n, ok := r.Records[windowsNote]
	if !known || !ok {
		return maintenance.State{}
	}
	if n.Revision != c.hived.rev {
		var s maintenance.State
		if err := cbor.Unmarshal(n.Value, &s); err != nil {
			c.warn("windows_unreadable", "error", err.Error())
		}
		c.hived.rev, c.hived.state = n.Revision, s
	}
	return c.hived.state
}

// propose has the chain take another state of the windows, if nobody was faster.
func (c *Comb) propose(now time.Duration, s maintenance.State, x change) {
	value, err := cbor.Marshal(s)
	if err != nil {
		c.warn("windows_unwritable", "error", err.Error())
		return
	}
	r, _ := c.core.Register()
	c.hived.proposed++
	x.by = fmt.Sprintf("%s %d %d", c.core.Self().ID, c.set.Seed, c.hived.proposed)
	token, a := c.core.Propose(now, chainreplication.Command{Record: windowsNote, ExpectedRevision: r.Records[windowsNote].Revision, ChangeID: x.by, Value: value})
	c.hived.open[token] = x
	c.do(now, a)
}

// proposed takes the core's answer to a proposal.
func (c *Comb) proposed(now time.Duration, x change, status int) {
	r, _ := c.core.Register()
	switch {
	case x.command == nil:
	case status != http.StatusOK:
		c.answer(Answer{Token: x.token, Status: status})
	case r.Records[windowsNote].HasChange(x.by):
		c.answer(Answer{Token: x.token, Status: http.StatusOK})
	case x.tries < triesMost:
		c.command(now, x.token, x.command, x.tries+1)
	default:
		c.answer(Answer{Token: x.token, Status: http.StatusServiceUnavailable})
	}
}

// command takes an operator's.
func (c *Comb) command(now time.Duration, token uint64, w *maintenance.Command, tries int) {
	if _, known := c.core.Register(); !known || !c.core.HasQuorumContact(now) {
		c.answer(Answer{Token: token, Status: http.StatusServiceUnavailable})
		return
	}
	next, err := c.windows().Apply(*w)
	if err != nil {
		c.answer(Answer{Token: token, Status: http.StatusConflict, Body: []byte(err.Error())})
		return
	}
	c.propose(now, next, change{command: w, token: token, tries: tries})
}

// drive has the head grant, take back and note what nodes have said.
func (c *Comb) drive(now time.Duration) {
	if now < c.hived.drivesAt || len(c.hived.open) > 0 {
		return
	}
	c.hived.drivesAt = now + driveEvery
	s := c.windows()
	if !s.On() || c.core.View().Position(c.core.Self().ID) != 0 || !c.core.HasQuorumContact(now) {
		clear(c.hived.drained)
		return
	}
	next, changed := s.Next(c.fleet(now))
	for _, w := range s.Windows { // a window that was drained for as long as it was to take is over
		if changed || w.Phase != maintenance.Drained || w.Takes <= 0 {
			continue
		}
		if _, ok := c.hived.drained[w.Node]; !ok {
			c.hived.drained[w.Node] = now
		}
		if now-c.hived.drained[w.Node] >= time.Duration(w.Takes)*time.Second {
			delete(c.hived.drained, w.Node)
			next, changed = s.Over(w.Node)
		}
	}
	if changed {
		if n := len(next.Audit); n > 0 && (len(s.Audit) == 0 || next.Audit[n-1] != s.Audit[len(s.Audit)-1]) {
			c.note("window", "what", next.Audit[n-1])
		}
		c.propose(now, next, change{})
	}
}

// own lists the nodes of this comb's streams.
func (c *Comb) own(now time.Duration) messages.GatewaySummary {
	f := messages.GatewaySummary{GatewayCount: len(c.streams)}
	load := map[[2]string]float64{}
	for _, s := range c.streams {
		if s.bee == nil || now-s.beeAt > freshFor {
			continue
		}
		n := maintenance.Node{Serving: s.bee.Ready && s.bee.Phase == maintenance.Serving, Phase: s.bee.Phase, Fence: s.bee.FencingToken}
		n.Name, n.Zone, n.Region, n.Carries = s.name, s.zone, c.set.Regions[s.zone], s.bee.CapacityByGroup
		f.Nodes = append(f.Nodes, n)
		for g, x := range s.bee.LoadByGroup {
			load[[2]string{n.Region, g}] += x
		}
	}
	for _, l := range c.windows().Agreed {
		if x := load[[2]string{l.Region, l.Group}]; x > 0 {
			f.Load = append(f.Load, messages.GroupLoad{Region: l.Region, Group: l.Group, RequestsPerSecond: x})
		}
	}
	return f
}

// fleet is what is known of all nodes.
func (c *Comb) fleet(now time.Duration) maintenance.Fleet {
	f := maintenance.Fleet{Load: map[string]map[string]float64{}, Sure: now > sureAfter}
	named := map[string]bool{}
	take := func(x messages.GatewaySummary) {
		for _, n := range x.Nodes {
			if !named[n.Name] { // it may just have changed sides
				named[n.Name] = true
				f.Nodes = append(f.Nodes, n)
			}
		}
		for _, l := range x.Load {
			if f.Load[l.Region] == nil {
				f.Load[l.Region] = map[string]float64{}
			}
			f.Load[l.Region][l.Group] += l.RequestsPerSecond
		}
	}
	take(c.own(now))
	for _, m := range c.core.Peers(now) {
		if m.ID == "" || !c.core.IsReachable(now, m.ID) {
			continue // its foragers go elsewhere within a second
		}
		if x, ok := c.hived.elsewhat[m.ID]; ok && now-x.at <= freshFor {
			take(x.fleet)
		} else {
			f.Sure = false
		}
	}
	return f
}

// Shown is what operators see of windows.
type Shown struct {
	maintenance.State
	Nodes   []ShownNode                   `json:"fleet"`
	Load    map[string]map[string]float64 `json:"load"`
	Missing []string                      `json:"missing"` // floors that are not kept now
	Sure    bool                          `json:"sure"`
}

// ShownNode is one node.
type ShownNode struct {
	Node    string             `json:"node"`
	Zone    string             `json:"zone"`
	Region  string             `json:"region"`
	Serving bool               `json:"serving"`
	Phase   maintenance.Phase  `json:"phase"`
	Carries map[string]float64 `json:"carries"`
}

// Windows tells operators how windows stand, as this comb knows.
func (c *Comb) Windows(now time.Duration) ([]byte, error) {
	f := c.fleet(now)
	s := Shown{State: c.windows(), Load: f.Load, Sure: f.Sure, Nodes: []ShownNode{}, Missing: []string{}}
	for _, n := range f.Nodes {
		s.Nodes = append(s.Nodes, ShownNode{n.Name, n.Zone, n.Region, n.Serving, n.Phase, n.Carries})
	}
	for _, x := range s.State.Missing(f, s.State.Out) {
		s.Missing = append(s.Missing, x.String())
	}
	return json.MarshalIndent(s, "", "  ")
}
