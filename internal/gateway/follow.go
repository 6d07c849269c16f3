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
	// ReportInterval is the report period.
	ReportInterval      = time.Second
	streamTimeout       = time.Second // a comb that says nothing for so long is left
	controlDialTimeout  = 300 * time.Millisecond
	localMemberInterval = 4 * time.Second // after so long with a comb of another zone, the own zone's is tried again
	reconnectDelay      = 100 * time.Millisecond
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// candidates are the combs to call, best first: those of the own zone, then the others by chance.
func (g *Gateway) candidates() []string {
	known := g.gossip.Peers(peersampling.RoleControlPlane)
	g.mu.Lock()
	defer g.mu.Unlock()
	also := g.settings.SeedPeerAddresses()
	for _, n := range known {
		also = append(also, n.Addr)
	}
	return g.router.Candidates(also)
}

// followControlPlane keeps a stream from one comb.
func (g *Gateway) followControlPlane(ctx context.Context) {
	for ctx.Err() == nil {
		for _, addr := range g.candidates() {
			if g.followMember(ctx, addr) {
				break // it stood: begin again with the best
			}
		}
		time.Sleep(reconnectDelay/2 + rand.N(reconnectDelay))
	}
}

func (g *Gateway) home(addr string) (known, home bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.router.Members() {
		if m.Zone == g.settings.Zone {
			known = true
			home = home || m.Addr == addr
		}
	}
	return
}

// followMember holds a stream until it breaks. It tells whether the comb had let us in.
func (g *Gateway) followMember(ctx context.Context, addr string) (stood bool) {
	nc, err := peertransport.NewDialer(controlDialTimeout, streamTimeout).DialContext(ctx, "tcp", addr)
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
	send(&peertransport.Frame{Hello: &messages.Hello{Gateway: g.settings.Name, Member: membership.Member{Addr: g.settings.IP.String(), Zone: g.settings.Zone}}})
	done := make(chan struct{})
	defer close(done)
	defer g.streamEnded()
	began := time.Now()
	for {
		nc.SetReadDeadline(time.Now().Add(streamTimeout))
		m, err := peertransport.ReadFrame(nc)
		if err != nil {
			if stood {
				g.logger.Info().Str("event", "comb_lost").Str("comb", addr).Err(err).Msg("")
			}
			return stood
		}
		if m.StateUpdate == nil {
			continue
		}
		if g.applyUpdate(m.StateUpdate) {
			g.logger.Info().Str("event", "comb_late").Str("comb", addr).Msg("")
			return stood
		}
		if !stood && m.StateUpdate.Full {
			stood = true
			g.logger.Info().Str("event", "comb_joined").Str("comb", addr).Uint64("seq", m.StateUpdate.Sequence).Msg("")
			send(&peertransport.Frame{LoadReport: g.initialReport()})
			go g.sendReports(send, done)
		}
		if known, home := g.home(addr); known && !home && time.Since(began) > localMemberInterval {
			if conn, err := (&net.Dialer{Timeout: controlDialTimeout}).Dial("tcp", g.candidates()[0]); err == nil {
				conn.Close()
				return true
			}
			began = time.Now()
		}
	}
}

// streamEnded drops what holds only with the stream.
func (g *Gateway) streamEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.StreamEnded(g.now())
}

func (g *Gateway) initialReport() *messages.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.InitialReport(g.now())
}

func (g *Gateway) sendReports(send func(*peertransport.Frame), done chan struct{}) {
	t := time.NewTicker(ReportInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case w := <-g.observations:
			send(&peertransport.Frame{LoadReport: &messages.LoadReport{Observations: []outlier.Observation{w}}})
		case id := <-g.misdirected:
			g.pool.CloseIdle(id)
			send(&peertransport.Frame{LoadReport: &messages.LoadReport{Deregistered: []string{id}}})
		case <-t.C:
			send(&peertransport.Frame{LoadReport: g.loadReport(time.Since(last))})
			last = time.Now()
		}
	}
}

// loadReport takes what was met at replicas since the last report.
func (g *Gateway) loadReport(over time.Duration) *messages.LoadReport {
	var u syscall.Rusage
	busy := 0.0
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
		busy = (used - g.processorTime).Seconds() / max(over.Seconds(), 0.001) / g.settings.CPUCores
		g.processorTime = used
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Report(g.now(), over, busy)
}

// applyUpdate puts in force what a comb tells. It tells whether that came too late, and the stream must be left.
func (g *Gateway) applyUpdate(s *messages.StateUpdate) (late bool) {
	g.mu.Lock()
	t := g.router.Apply(g.now(), s)
	drains := !g.router.IsServing()
	g.mu.Unlock()
	if g.draining.Swap(drains) != drains {
		g.logger.Info().Str("event", "window").Bool("draining", drains).Uint64("fence", s.Maintenance.FencingToken).Msg("")
	}
	if t.ConfigError != "" {
		g.logger.Error().Str("event", "config_refused").Uint64("version", s.ConfigVersion).Str("error", t.ConfigError).Msg("")
	}
	for _, id := range t.RemovedEndpoints {
		g.pool.CloseIdle(id)
	}
	if c := t.Config; c != nil {
		g.config.Store(c)
		g.logger.Info().Str("event", "config").Uint64("version", c.Version).Int("routes", c.RouteCount).Msg("")
		g.openFront(c)
	}
	if t.FullTable {
		g.hasTable.Store(true)
	}
	return t.Late
}
