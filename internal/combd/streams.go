package combd

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/hive/chain"
	"zincloft.example/zincloft/hive/falls"
	"zincloft.example/zincloft/hive/registry"
	"zincloft.example/zincloft/hive/view"
	"zincloft.example/zincloft/hive/words"
	"zincloft.example/zincloft/internal/link"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// coldPart is the part of what a cold replica bears that is dealt out.
const coldPart = 0.9

// stream is a forager that holds to this comb, with what it has been told.
type stream struct {
	conn     *link.Conn
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
}

// forager holds a forager's stream until it ends.
func (c *Comb) forager(conn net.Conn, h *words.Hello) {
	x := link.Wrap(conn)
	defer x.End()
	s := &stream{conn: x, name: h.Forager, zone: h.Member.Zone}
	c.post(func() {
		if c.alone = c.alone && !c.core.InTouch(c.now()); c.alone {
			x.End()
			return
		}
		c.streams[x] = s
		c.steer.Join(c.now(), s.name, s.zone)
		c.tell(c.now(), true)
	})
	for {
		conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		m, err := link.Read(conn)
		if err != nil {
			break
		}
		if m.Report != nil {
			c.post(func() { c.reported(s, m.Report) })
		}
	}
	c.post(func() {
		if c.streams[x] != nil {
			delete(c.streams, x)
			c.left(s)
		}
	})
}

func (c *Comb) left(s *stream) {
	for _, o := range c.streams {
		if o.name == s.name {
			return // it has come again meanwhile
		}
	}
	c.steer.Leave(c.now(), s.name)
	c.log.Info().Str("event", "forager_left").Str("name", s.name).Msg("")
}

// reported takes what a forager met. What it was told by a comb before us is taken like another comb's word.
func (c *Comb) reported(s *stream, r *words.Report) {
	now := c.now()
	c.steer.Report(now, s.name, r)
	for _, w := range r.Falls {
		if o, ok := c.falls.Told(now, s.name, w, c.peersOf(now, w.Replica)); ok {
			c.log.Info().Str("event", "fell").Str("id", o.Replica).Int64("out_ms", o.Millis).Str("by", s.name).Msg("")
			c.fell(o)
			for _, m := range c.core.Peers(now) {
				c.to(m.Addr, &link.Msg{Fell: []falls.Out{o}})
			}
		}
	}
	for _, id := range r.Gone {
		c.gone(now, id, s.name)
	}
	if len(r.Lives) > 0 {
		if news, urgent := c.reg.Merge(now, r.Lives); news {
			c.tell(now, urgent)
		}
	}
}

// gone takes a replica's end, by its own word or a forager's proof, and tells everybody at once.
func (c *Comb) gone(now time.Duration, id, by string) {
	if c.reg.Leave(now, id) {
		c.log.Info().Str("event", "gone").Str("id", id).Str("by", by).Msg("")
		c.gossipNow(now, []registry.Life{{ID: id, Gone: true}})
		c.tell(now, true)
	}
}

// peersOf lists the replicas in use of the service that one is of.
func (c *Comb) peersOf(now time.Duration, id string) (peers []string) {
	service := ""
	c.reg.Each(now, func(l registry.Life) {
		if l.ID == id {
			service = l.Service
		}
	})
	c.reg.Each(now, func(l registry.Life) {
		if l.Service == service && !l.Draining && !l.Silent {
			peers = append(peers, l.ID)
		}
	})
	return peers
}

// fell tells the foragers of a replica that broke.
func (c *Comb) fell(o falls.Out) {
	b, err := link.Frame(&link.Msg{State: &words.State{Fell: []falls.Out{o}}})
	if err != nil {
		return
	}
	for _, s := range c.streams {
		if s.whole {
			s.conn.Send(b)
		}
	}
}

func (c *Comb) young(now time.Duration) bool {
	return now < time.Duration(youngFor*float64(c.set.Heartbeat))
}

// tell brings the foragers up to date: at once where it must not wait, else now and then.
func (c *Comb) tell(now time.Duration, urgent bool) {
	r, known := c.core.Register()
	if !known || c.alone || c.config == nil {
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
		st := words.State{}
		say := now-s.saidAt >= signEvery
		if !s.whole {
			st.Whole, st.Young, s.whole, say = true, c.young(now), true, true
		}
		if !s.known || r.Seq > s.seq {
			st.Seq, st.Version, st.Out, say = r.Seq, r.Version, sortedKeys(r.Out), true
			if r.Version != s.version {
				st.Body = r.Body
			}
			s.known, s.seq, s.version = true, r.Seq, r.Version
		}
		if news {
			if rev := c.reg.Rev(); rev > s.rev || st.Whole {
				st.Lives, say = c.reg.Changes(now, s.rev), true
				s.rev = rev
			}
			if lines := c.steer.Lines(s.name); len(lines) > 0 {
				st.Lines, say = lines, true
			}
			if !s.combs {
				st.Combs, s.combs, say = c.combs(now), true, true
			}
			if total != s.foragers {
				st.Foragers, s.foragers, say = total, total, true
			}
			if g := grants[s]; !maps.Equal(g, s.grants) {
				st.Granted, s.grants, say = true, g, true
				for _, id := range sortedKeys(g) {
					st.Grants = append(st.Grants, words.Line{Replica: id, Grant: g[id]})
				}
			}
		}
		if !say {
			continue
		}
		s.saidAt = now
		if b, err := link.Frame(&link.Msg{State: &st}); err == nil {
			s.conn.Send(b)
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

func (c *Comb) combs(now time.Duration) []view.Member {
	all := []view.Member{c.core.Self()}
	for _, m := range c.core.Peers(now) {
		if m.ID != "" && m.Zone != "" {
			all = append(all, m)
		}
	}
	return all
}

// deal gives the right to call a cold replica to one of this comb's foragers, in its zone where there is one. Each
// comb deals an equal part of what the replica bears, whether or not the others live, so that the sum holds while
// combs die and foragers change sides.
func (c *Comb) deal(now time.Duration) map[*stream]map[string]float32 {
	grants := map[*stream]map[string]float32{}
	if c.config == nil || len(c.streams) == 0 {
		return grants
	}
	part := coldPart / float64(max(len(c.core.View().Roster), 1))
	c.reg.Each(now, func(l registry.Life) {
		if l.Cold == 0 && !l.Doubt || l.Draining {
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

// evacuated has the replicas of zones that were given back spared until they have said how they are.
func (c *Comb) evacuated(now time.Duration, r chain.Register) {
	for _, zone := range c.wasOut {
		if !r.Out[zone] {
			c.reg.Doubt(now, zone)
		}
	}
	if out := sortedKeys(r.Out); !slices.Equal(out, c.wasOut) {
		c.log.Info().Str("event", "evacuations").Strs("zones", out).Uint64("seq", r.Seq).Msg("")
		c.wasOut = out
	}
}

// gossipNow tells the other combs at once.
func (c *Comb) gossipNow(now time.Duration, lives []registry.Life) {
	for _, m := range c.core.Peers(now) {
		c.to(m.Addr, &link.Msg{Lives: lives})
	}
}

// gossip tells the other combs which replicas beat here, what changed lately, and all that is known to those that
// were out of touch.
func (c *Comb) gossip(now time.Duration) {
	if now < c.gossipAt {
		return
	}
	signs := c.reg.Signs(now, c.gossipAt-gossipEvery)
	c.gossipAt = now + gossipEvery
	c.revs = append(c.revs, revAt{now, c.reg.Rev()})
	for len(c.revs) > 1 && now-c.revs[0].at > tellAgain {
		c.revs = c.revs[1:]
	}
	lately := c.reg.Changes(now, c.revs[0].rev)
	for _, m := range c.core.Peers(now) {
		if m.ID == "" {
			continue
		}
		touch := c.core.Heard(now, m.ID)
		msg := &link.Msg{Lives: lately, Fleet: &words.Fleet{Foragers: len(c.streams)}}
		if touch && !c.touched[m.ID] {
			msg.Lives = c.reg.Changes(now, registry.All)
		}
		c.touched[m.ID] = touch
		told := map[string]bool{}
		for _, l := range msg.Lives {
			told[l.ID] = true
		}
		msg.Lives = slices.Clone(msg.Lives)
		for _, l := range signs {
			if !told[l.ID] {
				msg.Lives = append(msg.Lives, l)
			}
		}
		slices.SortStableFunc(msg.Lives, func(a, b registry.Life) int { return cmp.Compare(a.ID, b.ID) })
		c.to(m.Addr, msg)
	}
	for id := range c.fleets {
		if !c.core.Heard(now, id) {
			delete(c.fleets, id)
		}
	}
}
