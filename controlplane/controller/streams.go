package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/messages"
)

// coldPart is the part of what a cold replica bears that is dealt out.
const coldPart = 0.9

// dealsAfter is for how long a comb that is newly in touch deals nothing.
const dealsAfter = router.GrantsHold + 100*time.Millisecond

// stream is a forager that holds to this comb, with what it has been told.
type stream struct {
	n        uint64
	name     string
	zone     string
	whole    bool
	seq      uint64
	known    bool
	version  uint64
	rev      uint64
	combs    bool
	foragers int
	grants   map[string]float32
	saidAt   time.Duration
	bee      *messages.GatewayStatus // where windows are used
	beeAt    time.Duration
}

func (c *Comb) stream(n uint64) *stream {
	for _, s := range c.streams {
		if s.n == n {
			return s
		}
	}
	return nil
}

// joined has a forager wait until a majority has said, after it came, that what is committed here is the newest: else one
// that begins a new life could be handed what this comb knew before it was cut off or stood still. Those that come while
// the others are being asked wait for the next question.
func (c *Comb) joined(now time.Duration, j Joined) {
	if c.leaving {
		c.out.End = append(c.out.End, j.Stream)
		return
	}
	c.joining = append(c.joining, j)
	c.ask(now)
}

func (c *Comb) ask(now time.Duration) {
	if c.question != 0 || len(c.joining) == 0 {
		return
	}
	c.asking, c.joining = c.joining, nil
	token, a := c.core.Read(now)
	c.question = token
	c.do(now, a)
}

// admit takes in the foragers for which the others were asked, or has them go elsewhere.
func (c *Comb) admit(now time.Duration, status int) {
	all := c.asking
	c.asking, c.question = nil, 0
	for _, j := range all {
		if status != http.StatusOK && status != http.StatusNotFound {
			c.out.End = append(c.out.End, j.Stream)
			continue
		}
		c.streams = append(c.streams, &stream{n: j.Stream, name: j.Forager, zone: j.Zone})
		c.steer.Join(now, j.Forager, j.Zone)
	}
	c.touch(now)
	c.tell(now, true)
	c.ask(now)
}

func (c *Comb) left(now time.Duration, n uint64) {
	its := func(j Joined) bool { return j.Stream == n }
	c.joining, c.asking = slices.DeleteFunc(c.joining, its), slices.DeleteFunc(c.asking, its)
	s := c.stream(n)
	if s == nil {
		return
	}
	c.streams = slices.DeleteFunc(c.streams, func(o *stream) bool { return o == s })
	if slices.ContainsFunc(c.streams, func(o *stream) bool { return o.name == s.name }) {
		return // it has come again meanwhile
	}
	c.steer.Leave(now, s.name)
	c.note("forager_left", "name", s.name)
}

// reported takes what a forager met. What it was told by a comb before us is taken like another comb's word.
func (c *Comb) reported(now time.Duration, s *stream, r *messages.LoadReport) {
	c.steer.Report(now, s.name, r)
	if r.Status != nil {
		s.bee, s.beeAt = r.Status, now
	}
	for _, w := range r.Observations {
		if o, ok := c.falls.Told(now, s.name, w, c.peersOf(now, w.Replica)); ok {
			c.note("fell", "id", o.Replica, "out_ms", o.Millis, "by", s.name)
			c.fell(o)
			for _, m := range c.core.Peers(now) {
				c.send(m.Addr, Message{Fell: []outlier.Out{o}})
			}
		}
	}
	for _, id := range r.Deregistered {
		c.gone(now, id, s.name)
	}
	if len(r.Instances) > 0 {
		if news, urgent := c.reg.Merge(now, r.Instances); news {
			c.tell(now, urgent)
		}
	}
}

// peersOf lists the replicas in use of the service that one is of.
func (c *Comb) peersOf(now time.Duration, id string) (peers []string) {
	l, ok := c.reg.Get(now, id)
	if !ok {
		return nil
	}
	c.reg.Each(now, func(o registry.Life) {
		if o.Service == l.Service && !o.Draining && !o.Silent {
			peers = append(peers, o.ID)
		}
	})
	return peers
}

// fell tells the foragers of a replica that broke.
func (c *Comb) fell(o outlier.Out) {
	t := Tell{State: messages.StateUpdate{Ejections: []outlier.Out{o}}}
	for _, s := range c.streams {
		if s.whole {
			t.Streams = append(t.Streams, s.n)
		}
	}
	if len(t.Streams) > 0 {
		c.out.Tell = append(c.out.Tell, t)
	}
}

// young tells whether this comb may not know all replicas: it has just started, or was cut off.
func (c *Comb) young(now time.Duration) bool {
	return c.alone || now-c.backAt < time.Duration(youngFor*float64(c.set.Heartbeat))
}

// tell brings the foragers up to date: at once where it must not wait, else now and then.
func (c *Comb) tell(now time.Duration, urgent bool) {
	r, known := c.core.Register()
	if !known || c.alone || !c.core.HasQuorumContact(now) || c.config == nil {
		return
	}
	news := urgent || now-c.newsAt >= newsEvery
	for _, s := range c.streams {
		news = news || !s.whole // a whole state without the replicas would say that there are none
	}
	if news {
		c.newsAt = now
	}
	total := c.foragers()
	if rev := c.reg.Rev(); rev > c.steerRev {
		c.steer.Lives(now, c.reg.Changes(now, c.steerRev))
		c.steerRev = rev
	}
	var grants map[*stream]map[string]float32
	if news {
		grants = c.deal(now)
	}
	for _, s := range c.streams {
		st := messages.StateUpdate{}
		say := now-s.saidAt >= signEvery
		if !s.whole {
			st.Full, st.Bootstrapping, st.WarmupRatesComplete, s.whole, say = true, c.young(now), true, true, true
		}
		if !s.known || r.Sequence > s.seq {
			st.Sequence, st.ConfigVersion, st.EvacuatedZones, say = r.Sequence, r.Version, sortedKeys(r.EvacuatedZones), true
			if r.Version != s.version {
				st.Config = r.Body
			}
			s.known, s.seq, s.version = true, r.Sequence, r.Version
			if wins := c.windows(); wins.On() {
				w := wins.Orders()[s.name]
				st.MaintenanceEnabled, st.Maintenance = true, messages.MaintenanceWindow{Phase: w.Phase, FencingToken: w.Fence}
			}
		}
		if news {
			if rev := c.reg.Rev(); rev > s.rev || st.Full {
				st.Instances, say = c.reg.Changes(now, s.rev), true
				s.rev = rev
			}
			if lines := c.steer.Lines(s.name); len(lines) > 0 {
				st.Weights, say = lines, true
			}
			if shuns := c.steer.Shuns(s.name); len(shuns) > 0 {
				st.PairEjections, say = shuns, true
			}
			if !s.combs {
				st.Members, s.combs, say = c.combs(now), true, true
			}
			if total != s.foragers {
				st.GatewayCount, s.foragers, say = total, total, true
			}
			if g := grants[s]; st.Full || !maps.Equal(g, s.grants) {
				st.WarmupRatesComplete, s.grants, say = true, g, true
				for _, id := range sortedKeys(g) {
					st.WarmupRates = append(st.WarmupRates, messages.EndpointWeight{Replica: id, WarmupRate: g[id]})
				}
			}
		}
		if say {
			s.saidAt = now
			c.out.Tell = append(c.out.Tell, Tell{[]uint64{s.n}, st})
		}
	}
}

// foragers is how many there are, over all combs.
func (c *Comb) foragers() int {
	total := len(c.streams)
	for _, n := range c.fleets {
		total += n
	}
	return total
}

func (c *Comb) combs(now time.Duration) []membership.Member {
	all := []membership.Member{c.core.Self()}
	for _, m := range c.core.Peers(now) {
		if m.ID != "" && m.Zone != "" {
			all = append(all, m)
		}
	}
	return all
}

// deal gives the right to call a cold replica to one of this comb's foragers, in its zone where there is one. Each
// comb of the view deals an equal part of what the replica bears, whether or not the others live, so that the sum holds
// while combs die and foragers change sides. One that has just started or was cut off first waits until what it dealt
// before has run out (forage.GrantsHold).
func (c *Comb) deal(now time.Duration) map[*stream]map[string]float32 {
	grants := map[*stream]map[string]float32{}
	v := c.core.View()
	if c.config == nil || len(c.streams) == 0 || !v.HasVoter(c.core.Self().ID) || c.alone || now-c.backAt < dealsAfter {
		return grants
	}
	part := coldPart / float64(len(v.Voters))
	c.reg.Each(now, func(l registry.Life) {
		if l.Cold == 0 && !l.Doubt && !l.Old || l.Draining {
			return
		}
		var best *stream
		var bestScore uint64
		for _, s := range c.streams {
			score := xxhash.Sum64String(l.ID+" "+s.name) >> 1
			if s.zone == l.Zone {
				score |= 1 << 63
			}
			if best == nil || score > bestScore {
				best, bestScore = s, score
			}
		}
		if grants[best] == nil {
			grants[best] = map[string]float32{}
		}
		grants[best][l.ID] = float32(c.config.Services[l.Service].ColdPerSecond * part)
	})
	return grants
}
