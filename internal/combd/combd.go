// Package combd is a control-plane governor: it takes the beats of replicas and the orders of operators, keeps the
// lasting state with the other combs, and steers its proxy governors (foragers).
//
// One goroutine decides; sockets and the disk talk to it through a channel. What decides is in hive.
package combd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"zincloft.example/zincloft/hive/config"
	"zincloft.example/zincloft/hive/core"
	"zincloft.example/zincloft/hive/falls"
	"zincloft.example/zincloft/hive/neighbours"
	"zincloft.example/zincloft/hive/registry"
	"zincloft.example/zincloft/hive/steer"
	"zincloft.example/zincloft/hive/view"
	"zincloft.example/zincloft/hive/words"
	"zincloft.example/zincloft/internal/cell"
	"zincloft.example/zincloft/internal/link"
	"zincloft.example/zincloft/internal/nodefile"
	"zincloft.example/zincloft/internal/waggle"
)

const (
	heldUp      = time.Second // between two ticks
	meetEvery   = 2 * time.Second
	tickEvery   = 100 * time.Millisecond
	gossipEvery = time.Second
	tellAgain   = 3 * time.Second        // changes are told to other combs for so long, as links lose some
	signEvery   = 400 * time.Millisecond // foragers hear at least this often
	newsEvery   = 200 * time.Millisecond // changes that may wait are told this often
	silentBeats = 3.6                    // a replica silent for so many beats counts as gone
	youngFor    = 2.2                    // beats after which a comb that started knows all replicas
	diskAgain   = 300 * time.Millisecond
	memoryPart  = 0.6
)

const keptKey = "state"

// Comb is one control-plane governor.
type Comb struct {
	set   *nodefile.Settings
	log   *log.Logger
	start time.Time
	loop  chan func()
	store *cell.Cell

	core  *core.Core
	reg   *registry.Registry
	peers map[string]*link.Peer // by address
	hello []byte

	waiting map[uint64]chan core.Answer
	config  *config.Config // committed
	wasOut  []string

	steer    *steer.Steer
	steerRev uint64

	streams  map[*link.Conn]*stream
	fleets   map[string]int // foragers of other combs, by identity
	gossipAt time.Duration
	newsAt   time.Duration
	revs     []revAt
	touched  map[string]bool // peers in touch at the last gossip
	alone    bool
	ticked   time.Duration
	metAt    time.Duration
	dance    *waggle.Dance
	falls    *falls.Falls
	failed   chan error
}

type revAt struct {
	at  time.Duration
	rev uint64
}

// New makes a comb from its settings.
func New(set *nodefile.Settings, logger *log.Logger) (*Comb, error) {
	if set.Control == "" {
		return nil, merry.New("settings: network_settings.listen_addresses.control: a comb needs it")
	}
	if set.DataDir == "" {
		return nil, merry.New("settings: self_settings.data_directory: a comb needs a disk")
	}
	site := steer.Site{Seed: mrand.Uint64(), Zone: set.Zone, Zones: sortedKeys(set.Zones), Combs: max(len(set.Seeds), 1),
		LinkMbps: set.LinkMbps, DrainGrace: set.Bounds.DrainDeadline}
	return &Comb{set: set, steer: steer.New(site), falls: falls.New(), log: logger, start: time.Now(), loop: make(chan func(), 1024), peers: map[string]*link.Peer{},
		waiting: map[uint64]chan core.Answer{}, streams: map[*link.Conn]*stream{}, fleets: map[string]int{},
		touched: map[string]bool{}, failed: make(chan error, 4),
		alone: true, reg: registry.New(time.Duration(silentBeats * float64(set.Heartbeat)))}, nil
}

func (c *Comb) now() time.Duration { return time.Since(c.start) }

// post has the deciding goroutine run f.
func (c *Comb) post(f func()) { c.loop <- f }

func (c *Comb) addr() string {
	return netip.AddrPortFrom(c.set.IP, uint16(c.set.PortFirst)).String()
}

// open reads the disk, or begins anew.
func (c *Comb) open() error {
	store, err := cell.Open(cell.Folder(c.set.DataDir))
	if err != nil {
		return err
	}
	c.store = store
	for _, name := range store.SetAside {
		c.log.Error().Str("event", "file_set_aside").Str("file", name).Msg("")
	}
	var k core.Kept
	if raw, ok := store.Get(keptKey); ok {
		if k, err = core.Decode(raw); err != nil {
			return merry.Prepend(err, "reading the kept state")
		}
	}
	seeds := c.set.Governors()
	if k.Disk == "" {
		k.Disk = c.addr() + "/0"
		if !c.set.FirstStart { // this machine has lost its disk, and with it its word
			var b [6]byte
			rand.Read(b[:])
			k.Disk = c.addr() + "/" + hex.EncodeToString(b[:])
		} else {
			first := core.First(seeds)
			if first.In(k.Disk) {
				k.View.View = first
			}
		}
	}
	for i := range k.Lives {
		k.Lives[i].Age = 0 // heard now, as far as anyone knows; those that do not beat go as any silent one
	}
	c.reg.Merge(c.now(), k.Lives)
	self := view.Member{ID: k.Disk, Addr: c.addr(), Zone: c.set.Zone, Call: c.set.Control}
	c.core = core.New(self, k, seeds, mrand.Float64, hints{c})
	c.hello, err = link.Frame(&link.Msg{Hello: &words.Hello{Member: self}})
	if err != nil {
		return err
	}
	raw, err := c.core.Kept()
	if err != nil {
		return err
	}
	if err := store.Put(map[string][]byte{keptKey: raw}); err != nil {
		return merry.Prepend(err, "first write")
	}
	c.log.Info().Str("event", "start").Str("name", c.set.Name).Str("disk", k.Disk).Uint64("view", k.View.View.N).
		Uint64("seq", k.Register.Seq).Uint64("version", k.Register.Version).Bool("first", c.set.FirstStart).Msg("")
	return nil
}

// hints are the lives of replicas, as they are kept on disk.
type hints struct{ c *Comb }

func (h hints) Revision() uint64       { return h.c.reg.Rev() }
func (h hints) Lives() []registry.Life { return h.c.reg.Changes(h.c.now(), registry.All) }

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
	if c.dance, err = waggle.Start(ctx, neighbours.Node{Addr: c.addr(), Kind: neighbours.Comb, Zone: c.set.Zone}, c.set.Governors()); err != nil {
		return err
	}
	c.do(c.core.Start(c.now()))
	c.ticked = c.now()
	ticks := time.NewTicker(tickEvery)
	for {
		select {
		case f := <-c.loop:
			f()
		case <-ticks.C:
			c.tick()
		case err := <-c.failed:
			return merry.Prepend(err, "serving")
		case <-hup:
			c.reload()
		case <-ctx.Done():
			c.log.Info().Str("event", "stopped").Msg("")
			srv.Close()
			inner.Close()
			for x := range c.streams {
				x.End()
			}
			return nil
		}
	}
}

func (c *Comb) reload() {
	set, err := nodefile.Load()
	if err != nil {
		c.log.Error().Str("event", "settings_refused").Err(err).Msg("")
		return
	}
	c.set.Seeds = set.Seeds
	c.log.Info().Str("event", "settings_read").Int("seeds", len(set.Seeds)).Msg("")
}

func (c *Comb) tick() {
	now := c.now()
	if now-c.ticked > heldUp { // frozen or starved: nobody could be heard meanwhile
		c.log.Warn().Str("event", "held_up").Dur("for", now-c.ticked).Msg("")
		c.reg.Excuse(now)
	}
	c.ticked = now
	if now-c.metAt > meetEvery {
		c.metAt = now
		c.falls.Forget(now)
		if nodefile.Changed() { // without a signal
			c.reload()
		}
		var combs []string
		for _, n := range c.dance.Known(neighbours.Comb) {
			combs = append(combs, n.Addr)
		}
		c.core.Meet(append(c.set.Governors(), combs...))
	}
	c.do(c.core.Tick(now))
	alone := !c.core.InTouch(now)
	if alone != c.alone {
		c.alone = alone
		c.log.Info().Str("event", "in_touch").Bool("now", !alone).Uint64("view", c.core.View().N).Msg("")
		if alone {
			for x := range c.streams {
				x.End()
			}
		} else {
			c.reg.Excuse(now)
		}
	}
	if !alone {
		for _, id := range c.reg.Expire(now) {
			c.log.Info().Str("event", "replica_silent").Str("id", id).Msg("")
		}
	}
	c.gossip(now)
	c.steer.Tick(now)
	c.tell(now, false)
}

// do carries out what the core has decided.
func (c *Comb) do(a core.Actions) {
	now := c.now()
	if a.Sick != "" {
		c.log.Warn().Str("event", "disk").Str("state", a.Sick).Msg("")
	}
	for _, s := range a.Send {
		c.to(s.To, &link.Msg{Core: &s.Message})
	}
	if a.Write != nil {
		go func() {
			err := c.store.Put(map[string][]byte{keptKey: a.Write})
			c.post(func() { c.do(c.core.Written(c.now(), err)) })
		}()
	}
	if a.Viewed {
		v := c.core.View()
		c.log.Info().Str("event", "view").Uint64("n", v.N).Strs("chain", v.Chain).Int("roster", len(v.Roster)).Msg("")
		for _, s := range c.streams {
			s.combs = false
		}
	}
	if a.Committed {
		c.committed(now)
	}
	for _, x := range a.Answers {
		if done := c.waiting[x.Token]; done != nil {
			delete(c.waiting, x.Token)
			done <- x
		}
	}
}

// committed puts a register that nobody can lose any more in force.
func (c *Comb) committed(now time.Duration) {
	r, _ := c.core.Register()
	if c.config == nil || c.config.Version != r.Version {
		if len(r.Body) > 0 {
			conf, err := config.Parse(r.Body)
			if err != nil {
				c.log.Error().Str("event", "config_unreadable").Uint64("version", r.Version).Err(err).Msg("")
			} else {
				c.config = conf
				c.steer.Configure(now, conf, c.foragers())
				c.steerRev = registry.All
				c.log.Info().Str("event", "config").Uint64("version", r.Version).Uint64("seq", r.Seq).Int("routes", conf.Routes).Msg("")
			}
		}
	}
	c.evacuated(now, r)
	c.tell(now, true)
}

func (c *Comb) to(addr string, m *link.Msg) {
	if addr == c.addr() || addr == "" {
		return
	}
	b, err := link.Frame(m)
	if err != nil {
		c.log.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	p := c.peers[addr]
	if p == nil {
		p = link.To(addr, c.hello)
		c.peers[addr] = p
	}
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
			link.Unacked(raw, time.Second)
		}
		go c.receive(conn)
	}
}

func (c *Comb) receive(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	first, err := link.Read(conn)
	if err != nil || first.Hello == nil {
		return
	}
	if first.Hello.Forager != "" {
		c.forager(conn, first.Hello)
		return
	}
	from := first.Hello.Member
	for {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		m, err := link.Read(conn)
		if err != nil {
			return
		}
		c.post(func() { c.message(from, m) })
	}
}

// message takes what another comb says.
func (c *Comb) message(from view.Member, m *link.Msg) {
	now := c.now()
	if m.Core != nil {
		c.do(c.core.Receive(now, from, *m.Core))
	}
	if m.Fleet != nil {
		c.fleets[from.ID] = m.Fleet.Foragers
	}
	for _, o := range m.Fell {
		c.falls.Heard(now, o)
		c.fell(o)
	}
	if len(m.Lives) > 0 {
		if news, urgent := c.reg.Merge(now, m.Lives); news {
			c.tell(now, urgent)
		}
	}
}
