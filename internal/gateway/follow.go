package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
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
	known := f.dance.Peers(peersampling.RoleControlPlane)
	f.mu.Lock()
	defer f.mu.Unlock()
	also := f.set.SeedPeerAddresses()
	for _, n := range known {
		also = append(also, n.Addr)
	}
	return f.brain.Candidates(also)
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
	for _, m := range f.brain.Combs() {
		if m.Zone == f.set.Zone {
			known = true
			home = home || m.Addr == addr
		}
	}
	return
}

// listen holds a stream until it breaks. It tells whether the comb had let us in.
func (f *Forager) listen(ctx context.Context, addr string) (stood bool) {
	nc, err := peertransport.NewDialer(dialComb, silentMost).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c := peertransport.NewConn(nc)
	defer c.Shutdown()
	send := func(m *peertransport.Frame) {
		if b, err := peertransport.EncodeFrame(m); err == nil {
			c.Send(b)
		}
	}
	send(&peertransport.Frame{Hello: &messages.Hello{Gateway: f.set.Name, Member: membership.Member{Addr: f.set.IP.String(), Zone: f.set.Zone}}})
	done := make(chan struct{})
	defer close(done)
	defer f.left()
	began := time.Now()
	for {
		nc.SetReadDeadline(time.Now().Add(silentMost))
		m, err := peertransport.ReadFrame(nc)
		if err != nil {
			if stood {
				f.log.Info().Str("event", "comb_lost").Str("comb", addr).Err(err).Msg("")
			}
			return stood
		}
		if m.StateUpdate == nil {
			continue
		}
		if f.take(m.StateUpdate) {
			f.log.Info().Str("event", "comb_late").Str("comb", addr).Msg("")
			return stood
		}
		if !stood && m.StateUpdate.Full {
			stood = true
			f.log.Info().Str("event", "comb_joined").Str("comb", addr).Uint64("seq", m.StateUpdate.Sequence).Msg("")
			send(&peertransport.Frame{LoadReport: f.first()})
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

// left drops what holds only with the stream.
func (f *Forager) left() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brain.Left(f.now())
}

func (f *Forager) first() *messages.LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brain.First(f.now())
}

func (f *Forager) report(send func(*peertransport.Frame), done chan struct{}) {
	t := time.NewTicker(ReportEvery)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case w := <-f.fell:
			send(&peertransport.Frame{LoadReport: &messages.LoadReport{Observations: []outlier.Word{w}}})
		case id := <-f.gone:
			f.replicas.Drop(id)
			send(&peertransport.Frame{LoadReport: &messages.LoadReport{Deregistered: []string{id}}})
		case <-t.C:
			send(&peertransport.Frame{LoadReport: f.sums(time.Since(last))})
			last = time.Now()
		}
	}
}

// sums takes what was met at replicas since the last report.
func (f *Forager) sums(over time.Duration) *messages.LoadReport {
	var u syscall.Rusage
	busy := 0.0
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
		busy = (used - f.used).Seconds() / max(over.Seconds(), 0.001) / f.set.CPUCores
		f.used = used
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brain.Report(f.now(), over, busy)
}

// take puts in force what a comb tells. It tells whether that came too late, and the stream must be left.
func (f *Forager) take(s *messages.StateUpdate) (late bool) {
	f.mu.Lock()
	t := f.brain.Take(f.now(), s)
	drains := !f.brain.Serves()
	f.mu.Unlock()
	if f.draining.Swap(drains) != drains {
		f.log.Info().Str("event", "window").Bool("draining", drains).Uint64("fence", s.Maintenance.FencingToken).Msg("")
	}
	if t.Problem != "" {
		f.log.Error().Str("event", "config_refused").Uint64("version", s.ConfigVersion).Str("error", t.Problem).Msg("")
	}
	for _, id := range t.Ended {
		f.replicas.Drop(id)
	}
	if c := t.Config; c != nil {
		f.config.Store(c)
		f.log.Info().Str("event", "config").Uint64("version", c.Version).Int("routes", c.RouteCount).Msg("")
		f.open(c)
	}
	if t.Table {
		f.tabled.Store(true)
	}
	return t.Late
}
