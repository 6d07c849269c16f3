// Package controlserver is a control-plane governor: it takes the beats of replicas and the orders of operators, keeps the
// lasting state with the other combs, and steers its proxy governors (foragers).
//
// One goroutine drives what decides (controlplane/controller); sockets and the disk talk to it through a channel.
package controlserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"maps"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/internal/gossip"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/statestore"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

const (
	meetEvery   = 2 * time.Second
	dropAfter   = 30 * time.Second // a peer to whom nothing was sent for so long
	endWithin   = time.Second      // of the grace period, for what remains once others do without this comb
	lastAnswers = 200 * time.Millisecond
	diskAgain   = 300 * time.Millisecond
	memoryPart  = 0.6
)

const keptKey = "state"

// Comb is one control-plane governor.
type Comb struct {
	set   *nodesettings.Settings
	log   *log.Logger
	start time.Time
	loop  chan func()
	store *statestore.Store

	brain *controller.Comb
	peers map[string]*peertransport.Peer // by address
	hello messages.Hello
	ends  peertransport.InboundConns // of other combs' connections

	token   uint64
	waiting map[uint64]chan controller.Answer
	streams map[uint64]*peertransport.Conn
	metAt   time.Duration
	sentAt  map[string]time.Duration // to peers, by address
	ended   bool
	dance   *gossip.Dance
	failed  chan error
}

// New makes a comb from its settings.
func New(set *nodesettings.Settings, logger *log.Logger) (*Comb, error) {
	if set.Control == "" {
		return nil, merry.New("settings: network_settings.listen_addresses.control: a comb needs it")
	}
	if set.DataDir == "" {
		return nil, merry.New("settings: self_settings.data_directory: a comb needs a disk")
	}
	return &Comb{set: set, log: logger, start: time.Now(), loop: make(chan func(), 1024), peers: map[string]*peertransport.Peer{}, sentAt: map[string]time.Duration{},
		waiting: map[uint64]chan controller.Answer{}, streams: map[uint64]*peertransport.Conn{}, failed: make(chan error, 4)}, nil
}

func (c *Comb) now() time.Duration { return time.Since(c.start) }

// post has the deciding goroutine run f.
func (c *Comb) post(f func()) { c.loop <- f }

func (c *Comb) addr() string {
	return netip.AddrPortFrom(c.set.IP, uint16(c.set.PortFirst)).String()
}

// open reads the disk, or begins anew.
func (c *Comb) open() error {
	store, err := statestore.Open(statestore.Directory(c.set.DataDir))
	if err != nil {
		return err
	}
	c.store = store
	for _, name := range store.Quarantined {
		c.log.Error().Str("event", "file_set_aside").Str("file", name).Msg("")
	}
	var k coordinator.PersistentState
	if raw, ok := store.Get(keptKey); ok {
		if k, err = coordinator.DecodePersistentState(raw); err != nil {
			return merry.Prepend(err, "reading the kept state")
		}
	}
	seeds := c.set.Governors()
	var b [6]byte
	rand.Read(b[:])
	k.Initialize(c.addr(), seeds, c.set.FirstStart, hex.EncodeToString(b[:]))
	self := membership.Member{ID: k.DiskID, Addr: c.addr(), Zone: c.set.Zone, APIAddr: c.set.Control}
	c.brain = controller.New(c.now(), controller.Settings{Zone: c.set.Zone, Control: c.set.Control, Zones: slices.Sorted(maps.Keys(c.set.Zones)), Seeds: seeds,
		LinkMbps: c.set.LinkMbps, DrainDeadline: c.set.Bounds.DrainDeadline, Heartbeat: c.set.Heartbeat, Seed: mrand.Uint64(), Regions: c.set.Zones}, self, k)
	c.hello = messages.Hello{Member: self, Incarnation: mrand.Uint64()}
	raw, err := c.brain.Kept()
	if err != nil {
		return err
	}
	if err := store.Put(map[string][]byte{keptKey: raw}); err != nil {
		return merry.Prepend(err, "first write")
	}
	c.log.Info().Str("event", "start").Str("name", c.set.Name).Str("disk", k.DiskID).Uint64("view", k.View.View.Number).
		Uint64("seq", k.Register.Sequence).Uint64("version", k.Register.Version).Bool("first", c.set.FirstStart).Msg("")
	return nil
}

// Run serves until the context ends.
func (c *Comb) Run(ctx context.Context, hup <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(c.set.MemoryMB<<20) * memoryPart))
	for {
		err := c.open()
		if err == nil {
			break
		}
		c.log.Error().Str("event", "disk").Err(err).Msg("")
		select {
		case <-time.After(diskAgain):
		case <-ctx.Done():
			return nil
		}
	}
	inner, err := net.Listen("tcp", c.addr())
	if err != nil {
		return merry.Prepend(err, "listening for governors")
	}
	outer, err := net.Listen("tcp", c.set.Control)
	if err != nil {
		return merry.Prepend(err, "listening for replicas and operators")
	}
	srv := &http.Server{Handler: c.routes(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: c.log.Std("", 0)}
	go func() {
		if err := srv.Serve(outer); err != http.ErrServerClosed {
			c.failed <- err
		}
	}()
	go c.accept(inner)
	if c.dance, err = gossip.Start(ctx, peersampling.Node{Addr: c.addr(), Kind: peersampling.Comb, Zone: c.set.Zone}, c.set.Governors()); err != nil {
		return err
	}
	c.step(controller.Event{Start: true})
	ticks := time.NewTicker(controller.TickEvery)
	leave := ctx.Done()
	var enough <-chan time.Time
	for !c.ended {
		select {
		case f := <-c.loop:
			f()
		case <-ticks.C:
			c.tick()
		case err := <-c.failed:
			return merry.Prepend(err, "serving")
		case <-hup:
			c.reload()
		case <-leave: // what it alone holds must be with others before it ends
			leave, enough = nil, time.After(max(c.set.Bounds.GracePeriod-endWithin, 0))
			c.step(controller.Event{Leaving: true})
		case <-enough:
			c.log.Warn().Str("event", "left_early").Msg("")
			c.ended = true
		}
	}
	c.end(srv, inner)
	return nil
}

// end has the calls at hand answered, for a moment, and closes what is open.
func (c *Comb) end(srv *http.Server, inner net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	done := make(chan struct{})
	go func() {
		srv.Shutdown(ctx)
		close(done)
	}()
	for open := true; open; {
		select {
		case f := <-c.loop:
			f()
		case <-done:
			open = false
		}
	}
	srv.Close()
	inner.Close()
	for _, x := range c.streams {
		x.Shutdown()
	}
	c.log.Info().Str("event", "stopped").Msg("")
}

func (c *Comb) reload() {
	set, err := nodesettings.Load()
	if err != nil {
		c.log.Error().Str("event", "settings_refused").Err(err).Msg("")
		return
	}
	c.set.Seeds = set.Seeds
	c.log.Info().Str("event", "settings_read").Int("seeds", len(set.Seeds)).Msg("")
}

func (c *Comb) tick() {
	if now := c.now(); now-c.metAt > meetEvery {
		c.metAt = now
		if nodesettings.Changed() { // without a signal
			c.reload()
		}
		met := c.set.Governors()
		for _, n := range c.dance.Known(peersampling.Comb) {
			met = append(met, n.Addr)
		}
		c.step(controller.Event{Met: met})
		for addr, at := range c.sentAt { // machines come and go
			if now-at > dropAfter {
				c.peers[addr].Stop()
				delete(c.peers, addr)
				delete(c.sentAt, addr)
			}
		}
	}
	c.step(controller.Event{})
}

// step has the brain decide, and carries out what it says. It runs on the deciding goroutine only.
func (c *Comb) step(e controller.Event) {
	e.Wall = time.Duration(time.Now().UnixNano())
	a := c.brain.Step(c.now(), e)
	for _, n := range a.Notes {
		program.Note(c.log, n.Warn, n.Event, func(yield func(string, any) bool) {
			for _, f := range n.Fields {
				if !yield(f.Key, f.Value) {
					return
				}
			}
		})
	}
	for i := range a.Send {
		m := &a.Send[i].Message
		c.to(a.Send[i].To, &peertransport.Frame{Coordinator: m.Core, Instances: m.Lives, GatewaySummary: m.Fleet, Ejections: m.Fell})
	}
	if a.Write != nil {
		go func() {
			problem := ""
			if err := c.store.Put(map[string][]byte{keptKey: a.Write}); err != nil {
				problem = err.Error()
			}
			c.post(func() { c.step(controller.Event{Written: &controller.Written{Problem: problem}}) })
		}()
	}
	for i := range a.Tell {
		b, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &a.Tell[i].State})
		if err != nil {
			c.log.Error().Str("event", "encode").Err(err).Msg("")
			continue
		}
		for _, n := range a.Tell[i].Streams {
			if x := c.streams[n]; x != nil {
				x.Send(b)
			}
		}
	}
	for _, x := range a.Answers {
		if done := c.waiting[x.Token]; done != nil {
			delete(c.waiting, x.Token)
			done <- x
		}
	}
	c.ended = c.ended || a.Ended
	for _, n := range a.End {
		if x := c.streams[n]; x != nil {
			x.Shutdown()
		}
	}
}

func (c *Comb) to(addr string, m *peertransport.Frame) {
	b, err := peertransport.EncodeFrame(m)
	if err != nil {
		c.log.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	p := c.peers[addr]
	if p == nil {
		p = peertransport.NewPeer(addr, c.hello)
		c.peers[addr] = p
	}
	c.sentAt[addr] = c.now()
	p.Send(b)
}

func (c *Comb) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.failed <- err
			return
		}
		if raw, err := conn.(*net.TCPConn).SyscallConn(); err == nil {
			peertransport.SetUnackedTimeout(raw, time.Second)
		}
		go c.receive(conn)
	}
}

func (c *Comb) receive(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	first, err := peertransport.ReadFrame(conn)
	if err != nil || first.Hello == nil {
		return
	}
	if first.Hello.Gateway != "" {
		c.forager(conn, first.Hello)
		return
	}
	from := first.Hello.Member
	c.post(func() {
		if !c.ends.Admit(first.Hello, conn) {
			conn.Close()
		}
	})
	defer c.post(func() { c.ends.Remove(from.Addr, conn) })
	for {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		m, err := peertransport.ReadFrame(conn)
		if err != nil {
			return
		}
		c.post(func() {
			if !c.ends.IsCurrent(from.Addr, conn) {
				return // of an earlier connection
			}
			c.step(controller.Event{From: &from, Message: &controller.Message{Core: m.Coordinator, Lives: m.Instances, Fleet: m.GatewaySummary, Fell: m.Ejections}})
		})
	}
}

// forager holds a forager's stream until it ends.
func (c *Comb) forager(conn net.Conn, h *messages.Hello) {
	x := peertransport.NewConn(conn)
	defer x.Shutdown()
	var n uint64
	c.post(func() {
		c.token++
		n = c.token
		c.streams[n] = x
		c.step(controller.Event{Joined: &controller.Joined{Stream: n, Forager: h.Gateway, Zone: h.Member.Zone}})
	})
	for {
		conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		m, err := peertransport.ReadFrame(conn)
		if err != nil {
			break
		}
		if m.LoadReport != nil {
			c.post(func() { c.step(controller.Event{Stream: n, Report: m.LoadReport}) })
		}
	}
	c.post(func() {
		delete(c.streams, n)
		c.step(controller.Event{Left: n})
	})
}
