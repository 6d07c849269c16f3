package forager

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"zincloft.example/zincloft/hive/config"
	"zincloft.example/zincloft/hive/falls"
	"zincloft.example/zincloft/hive/neighbours"
	"zincloft.example/zincloft/hive/registry"
	"zincloft.example/zincloft/hive/spread"
	"zincloft.example/zincloft/hive/view"
	"zincloft.example/zincloft/hive/words"
	"zincloft.example/zincloft/internal/link"
)

const (
	// ReportEvery is the report period.
	ReportEvery = time.Second
	silentMost  = time.Second // a comb that says nothing for so long is left
	dialComb    = 300 * time.Millisecond
	homeAgain   = 4 * time.Second // after so long with a comb of another zone, the own zone's is tried again
	retryPause  = 100 * time.Millisecond
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// candidates are the combs to call, best first: those of the own zone, then the others by chance.
func (f *Forager) candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []string
	for _, m := range f.combs {
		if m.Zone == f.set.Zone {
			near = append(near, m.Addr)
		} else {
			far = append(far, m.Addr)
		}
	}
	also := f.set.Governors()
	for _, n := range f.dance.Known(neighbours.Comb) {
		also = append(also, n.Addr)
	}
	for _, a := range also {
		if !slices.Contains(near, a) && !slices.Contains(far, a) {
			far = append(far, a)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// follow keeps a stream from one comb.
func (f *Forager) follow(ctx context.Context) {
	for ctx.Err() == nil {
		for _, addr := range f.candidates() {
			if f.listen(ctx, addr) {
				break // it stood: begin again with the best
			}
		}
		time.Sleep(retryPause/2 + rand.N(retryPause))
	}
}

func (f *Forager) home(addr string) (known, home bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.combs {
		if m.Zone == f.set.Zone {
			known = true
			home = home || m.Addr == addr
		}
	}
	return
}

// listen holds a stream until it breaks. It tells whether the comb had let us in.
func (f *Forager) listen(ctx context.Context, addr string) (stood bool) {
	nc, err := link.Dialer(dialComb, silentMost).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c := link.Wrap(nc)
	defer c.End()
	send := func(m *link.Msg) {
		if b, err := link.Frame(m); err == nil {
			c.Send(b)
		}
	}
	send(&link.Msg{Hello: &words.Hello{Forager: f.set.Name, Member: view.Member{Addr: f.set.IP.String(), Zone: f.set.Zone}}})
	done := make(chan struct{})
	defer close(done)
	began := time.Now()
	for {
		nc.SetReadDeadline(time.Now().Add(silentMost))
		m, err := link.Read(nc)
		if err != nil {
			if stood {
				f.log.Info().Str("event", "comb_lost").Str("comb", addr).Err(err).Msg("")
			}
			return stood
		}
		if m.State == nil {
			continue
		}
		f.take(m.State)
		if !stood && m.State.Whole {
			stood = true
			f.log.Info().Str("event", "comb_joined").Str("comb", addr).Uint64("seq", m.State.Seq).Msg("")
			send(&link.Msg{Report: &words.Report{Lives: f.lives(), Seq: f.heldSeq()}})
			go f.report(send, done)
		}
		if known, home := f.home(addr); known && !home && time.Since(began) > homeAgain {
			if conn, err := (&net.Dialer{Timeout: dialComb}).Dial("tcp", f.candidates()[0]); err == nil {
				conn.Close()
				return true
			}
			began = time.Now()
		}
	}
}

func (f *Forager) heldSeq() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seq
}

// lives is what this forager was told, for a comb that may have lost it.
func (f *Forager) lives() []registry.Life {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []registry.Life
	for _, r := range f.spread.All() {
		all = append(all, registry.Life{ID: r.ID, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining})
	}
	return all
}

func (f *Forager) report(send func(*link.Msg), done chan struct{}) {
	t := time.NewTicker(ReportEvery)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case w := <-f.fell:
			send(&link.Msg{Report: &words.Report{Falls: []falls.Word{w}}})
		case id := <-f.gone:
			f.replicas.Drop(id)
			send(&link.Msg{Report: &words.Report{Gone: []string{id}}})
		case <-t.C:
			r := f.sums()
			r.Over = time.Since(last).Milliseconds()
			last = time.Now()
			send(&link.Msg{Report: r})
		}
	}
}

// sums takes what was met at replicas since the last report.
func (f *Forager) sums() *words.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	rep := &words.Report{Requests: f.requests}
	f.requests = map[string]int{}
	for _, r := range f.spread.All() {
		if r.Tries == 0 && r.Good == 0 && r.Dropped == 0 {
			continue
		}
		s := words.Sum{Replica: r.ID, Tries: r.Good + r.Dropped, Dropped: r.Dropped, Running: r.Running, Waiting: r.Waiting, Slots: r.Told}
		if r.Good > 0 {
			s.Took = (r.Took / time.Duration(r.Good)).Microseconds()
		}
		r.Tries, r.Dropped, r.Good, r.Took, r.Told = 0, 0, 0, 0, 0
		rep.Sums = append(rep.Sums, s)
	}
	return rep
}

// take puts in force what a comb tells. Within a life nothing goes back: an older register is passed over.
func (f *Forager) take(s *words.State) {
	var c *config.Config
	fresh := false
	if len(s.Body) > 0 {
		if held := f.config.Load(); held == nil || held.Version < s.Version {
			var err error
			if c, err = config.Parse(s.Body); err != nil {
				f.log.Error().Str("event", "config_refused").Uint64("version", s.Version).Err(err).Msg("")
				c = nil
			}
		}
	}
	f.mu.Lock()
	now := f.now()
	ended := f.spread.Lives(now, s.Whole && !s.Young, s.Lives)
	if s.Seq > 0 && s.Seq >= f.seq {
		f.seq = s.Seq
		f.spread.Evacuated(s.Out)
	}
	for _, l := range s.Lines {
		f.spread.Line(l.Replica, float64(l.Weight))
	}
	if s.Granted {
		grants := map[string]float64{}
		for _, l := range s.Grants {
			grants[l.Replica] = float64(l.Grant)
		}
		f.spread.Grants(now, grants)
	}
	for _, o := range s.Fell {
		f.spread.Fell(now, o.Replica, time.Duration(o.Millis)*time.Millisecond)
	}
	if len(s.Combs) > 0 {
		f.combs = s.Combs
	}
	if s.Foragers > 0 {
		f.foragers = s.Foragers
	}
	if c == nil {
		c = f.config.Load()
	} else {
		fresh = true
	}
	if c != nil && (fresh || s.Foragers > 0) {
		caps := map[string]int{}
		for name, svc := range c.Services {
			if svc.MaxConnections > 0 {
				caps[name] = spread.Part(svc.MaxConnections, f.foragers, len(f.set.Zones))
			}
		}
		f.spread.Caps(caps)
	}
	f.mu.Unlock()
	for _, id := range ended {
		f.replicas.Drop(id)
	}
	if fresh {
		f.config.Store(c)
		f.log.Info().Str("event", "config").Uint64("version", c.Version).Int("routes", c.Routes).Msg("")
		f.open(c)
	}
	if s.Whole {
		f.tabled.Store(true)
	}
}
