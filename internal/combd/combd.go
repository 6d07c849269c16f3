// Package combd is a control-plane governor: it takes the beats of replicas and the orders of operators, keeps the
// lasting state with the other combs, and steers its proxy governors (foragers).
//
// One goroutine decides; sockets and the disk talk to it through a channel. What decides is in hive.
package combd

import (
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"zincloft.example/zincloft/hive/chain"
	"zincloft.example/zincloft/hive/config"
	"zincloft.example/zincloft/hive/registry"
	"zincloft.example/zincloft/hive/steer"
	"zincloft.example/zincloft/hive/view"
	"zincloft.example/zincloft/hive/words"
	"zincloft.example/zincloft/internal/cell"
	"zincloft.example/zincloft/internal/link"
	"zincloft.example/zincloft/internal/nodefile"
)

const (
	tickEvery   = 100 * time.Millisecond
	gossipEvery = time.Second
	tellAgain   = 3 * time.Second        // changes are told to other combs for so long, as links lose some
	signEvery   = 400 * time.Millisecond // foragers hear at least this often
	newsEvery   = 200 * time.Millisecond // changes that may wait are told this often
	silentBeats = 3.6                    // a replica silent for so many beats counts as gone
	youngFor    = 2.2                    // beats after which a comb that started knows all replicas
	slowDisk    = 400 * time.Millisecond // a write that takes longer makes the disk count as sick
	diskAgain   = 300 * time.Millisecond
	keepLives   = time.Second // changes of replicas are written this often at the most
	memoryPart  = 0.6
)

// kept is what lies on disk.
type kept struct {
	Disk     string         `cbor:"1,keyasint"`
	View     view.Durable   `cbor:"2,keyasint"`
	Register chain.Register `cbor:"3,keyasint"`
	SyncedIn uint64         `cbor:"4,keyasint"`

	// Lives are kept as a hint only: a comb that comes back after a loss of all machines would else know those few
	// replicas that beat first, and have all traffic sent to them.
	Lives []registry.Life `cbor:"5,keyasint,omitempty"`
}

const keptKey = "state"

// Comb is one control-plane governor.
type Comb struct {
	set   *nodefile.Settings
	log   *log.Logger
	start time.Time
	loop  chan func()
	store *cell.Cell

	view  *view.Engine
	chain *chain.Engine
	reg   *registry.Registry
	peers map[string]*link.Peer // by address
	hello []byte

	// What waits for the disk.
	gen, saved uint64
	saving     bool
	savingAt   time.Duration
	sick       bool
	retryAt    time.Duration
	keptRev    uint64
	keptAt     time.Duration
	gated      []gatedSend

	orders map[uint64]*order
	reads  map[uint64]*read
	token  uint64
	config *config.Config // committed
	wasOut []string

	steer    *steer.Steer
	steerRev uint64

	streams  map[*link.Conn]*stream
	fleets   map[string]int // foragers of other combs, by identity
	gossipAt time.Duration
	newsAt   time.Duration
	revs     []revAt
	touched  map[string]bool // peers in touch at the last gossip
	alone    bool
	inTouch  time.Duration // last time that this comb was
	counts   map[string]int
	countAt  time.Duration
	failed   chan error
}

type revAt struct {
	at  time.Duration
	rev uint64
}

type gatedSend struct {
	gen  uint64
	send func()
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
	return &Comb{set: set, steer: steer.New(site), log: logger, start: time.Now(), loop: make(chan func(), 1024), peers: map[string]*link.Peer{},
		orders: map[uint64]*order{}, reads: map[uint64]*read{}, streams: map[*link.Conn]*stream{}, fleets: map[string]int{},
		touched: map[string]bool{}, counts: map[string]int{}, failed: make(chan error, 4),
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
	var k kept
	if raw, ok := store.Get(keptKey); ok {
		if err := cbor.Unmarshal(raw, &k); err != nil {
			return merry.Prepend(err, "reading the kept state")
		}
	}
	var seeds []string
	for _, s := range c.set.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(s.Addr(), uint16(c.set.PortFirst)).String())
	}
	if k.Disk == "" {
		k.Disk = c.addr() + "/0"
		if !c.set.FirstStart { // this machine has lost its disk, and with it its word
			var b [6]byte
			rand.Read(b[:])
			k.Disk = c.addr() + "/" + hex.EncodeToString(b[:])
		} else {
			first := view.View{N: 1}
			for _, addr := range sortedUnique(seeds) {
				first.Roster = append(first.Roster, view.Member{ID: addr + "/0", Addr: addr})
				first.Chain = append(first.Chain, addr+"/0")
			}
			if first.In(k.Disk) {
				k.View.View = first
			}
		}
	}
	for i := range k.Lives {
		k.Lives[i].Age = 0 // heard now, as far as anyone knows; those that do not beat go as any silent one
	}
	c.reg.Merge(c.now(), k.Lives)
	c.keptRev = c.reg.Rev()
	self := view.Member{ID: k.Disk, Addr: c.addr(), Zone: c.set.Zone, Call: c.set.Control}
	c.view = view.New(self, k.View, seeds, mrand.Float64)
	c.chain = chain.New(k.Disk, k.Register, k.SyncedIn)
	c.hello, err = link.Frame(&link.Msg{Hello: &words.Hello{Member: self}})
	if err != nil {
		return err
	}
	if err := c.put(); err != nil {
		return merry.Prepend(err, "first write")
	}
	c.log.Info().Str("event", "start").Str("name", c.set.Name).Str("disk", k.Disk).Uint64("view", k.View.View.N).
		Uint64("seq", k.Register.Seq).Uint64("version", k.Register.Version).Bool("first", c.set.FirstStart).Msg("")
	return nil
}

func (c *Comb) snapshot() ([]byte, error) {
	return cbor.Marshal(kept{c.view.Self().ID, c.view.Durable(), c.chain.Held(), c.chain.SyncedIn(), c.reg.Changes(c.now(), registry.All)})
}

func (c *Comb) put() error {
	raw, err := c.snapshot()
	if err != nil {
		return err
	}
	return c.store.Put(map[string][]byte{keptKey: raw})
}

// Run serves until the process is told to stop.
func (c *Comb) Run() error {
	debug.SetMemoryLimit(int64(float64(c.set.MemoryMB<<20) * memoryPart))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		err := c.open()
		if err == nil {
			break
		}
		c.log.Error().Str("event", "disk").Err(err).Msg("")
		select {
		case <-time.After(diskAgain):
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil
			}
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
	c.adopted(c.now())
	ticks := time.NewTicker(tickEvery)
	for {
		select {
		case f := <-c.loop:
			f()
		case <-ticks.C:
			c.tick()
		case err := <-c.failed:
			return merry.Prepend(err, "serving")
		case s := <-signals:
			if s == syscall.SIGHUP {
				c.reload()
				continue
			}
			c.log.Info().Str("event", "stopping").Str("signal", s.String()).Msg("")
			srv.Close()
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
	c.disk(now)
	if c.chain.Settled() {
		c.view.SetSettled(c.chain.CommittedIn())
	}
	c.viewed(now, c.view.Tick(now))
	c.chained(now, c.chain.Tick(now))
	c.advance(now)
	alone := !c.view.InTouch(now)
	if alone != c.alone {
		c.alone = alone
		c.log.Info().Str("event", "in_touch").Bool("now", !alone).Uint64("view", c.view.View().N).Msg("")
		if alone {
			for x := range c.streams {
				x.End()
			}
		} else {
			c.reg.Excuse(now)
		}
	}
	if !alone {
		c.inTouch = now
		for _, id := range c.reg.Expire(now) {
			c.log.Info().Str("event", "replica_silent").Str("id", id).Msg("")
		}
	}
	c.gossip(now)
	c.steer.Tick(now)
	c.tell(now, false)
	if now-c.countAt > 10*time.Second && len(c.counts) > 0 {
		c.countAt = now
		e := c.log.Info().Str("event", "counts")
		for _, k := range sortedKeys(c.counts) {
			e = e.Int(k, c.counts[k])
		}
		e.Msg("")
		clear(c.counts)
	}
}

// disk keeps one write under way while something is to be kept. What rests on it goes out when it is synced.
func (c *Comb) disk(now time.Duration) {
	if c.saving {
		if now-c.savingAt > slowDisk {
			c.setSick(true, "slow")
		}
		return
	}
	news := c.reg.Rev() != c.keptRev && now-c.keptAt > keepLives
	if c.gen == c.saved && !c.sick && !news || now < c.retryAt {
		return
	}
	c.keptRev, c.keptAt = c.reg.Rev(), now
	raw, err := c.snapshot()
	if err != nil {
		c.failed <- err
		return
	}
	gen := c.gen
	c.saving, c.savingAt = true, now
	go func() {
		err := c.store.Put(map[string][]byte{keptKey: raw})
		c.post(func() {
			now := c.now()
			c.saving = false
			if err != nil {
				c.setSick(true, err.Error())
				c.retryAt = now + diskAgain
				return
			}
			c.setSick(now-c.savingAt > slowDisk, "slow")
			c.saved = gen
			c.release()
			c.disk(c.now())
		})
	}()
}

func (c *Comb) setSick(sick bool, why string) {
	if sick == c.sick {
		return
	}
	c.sick = sick
	c.view.SetSick(sick)
	c.log.Warn().Str("event", "disk_sick").Bool("now", sick).Str("why", why).Msg("")
}

func (c *Comb) release() {
	i := 0
	for ; i < len(c.gated) && c.gated[i].gen <= c.saved; i++ {
		c.gated[i].send()
	}
	c.gated = append([]gatedSend(nil), c.gated[i:]...)
}

// after runs f once what is held now is on disk, or now if nothing need be.
func (c *Comb) after(durable bool, f func()) {
	if !durable || c.gen == c.saved {
		f()
		return
	}
	c.gated = append(c.gated, gatedSend{c.gen, f})
}

func (c *Comb) viewed(now time.Duration, o view.Output) {
	if o.Save {
		c.gen++
	}
	for _, s := range o.Send {
		c.after(s.Durable, func() {
			if s.To.ID == c.view.Self().ID {
				m := s.Message
				c.later(func() { c.viewed(c.now(), c.view.Receive(c.now(), m)) })
				return
			}
			msg := &link.Msg{View: &s.Message}
			if s.Message.Kind == view.Beat {
				r, known := c.chain.Committed()
				msg.Committed = &words.Committed{Seq: r.Seq, Known: known}
			}
			c.to(s.To.Addr, msg)
		})
	}
	if o.Adopted {
		c.adopted(now)
	}
	if o.Save {
		c.disk(now)
	}
}

// later runs f after what is being done; the channel must not be waited for by its own reader.
func (c *Comb) later(f func()) { go c.post(f) }

func (c *Comb) adopted(now time.Duration) {
	v := c.view.View()
	if v.N == 0 {
		return
	}
	c.log.Info().Str("event", "view").Uint64("n", v.N).Strs("chain", v.Chain).Int("roster", len(v.Roster)).Msg("")
	c.chained(now, c.chain.Adopt(now, v))
	for _, s := range c.streams {
		s.combs = false
	}
}

func (c *Comb) chained(now time.Duration, o chain.Output) {
	if o.Save {
		c.gen++
	}
	for _, s := range o.Send {
		c.after(s.Durable, func() {
			if s.To == c.view.Self().ID {
				m := s.Message
				c.later(func() { c.chained(c.now(), c.chain.Receive(c.now(), m)) })
				return
			}
			if m, ok := c.member(s.To); ok {
				c.to(m.Addr, &link.Msg{Chain: &s.Message})
			}
		})
	}
	if o.Save {
		c.disk(now)
	}
	if o.Committed {
		c.committed(now)
	}
}

func (c *Comb) member(id string) (view.Member, bool) {
	for _, m := range c.view.View().Roster {
		if m.ID == id {
			return m, true
		}
	}
	for _, m := range c.view.Peers(c.now()) {
		if m.ID == id {
			return m, true
		}
	}
	return view.Member{}, false
}

// committed puts a register that nobody can lose any more in force.
func (c *Comb) committed(now time.Duration) {
	r, _ := c.chain.Committed()
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
	c.advance(now)
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
	switch {
	case m.View != nil:
		c.viewed(now, c.view.Receive(now, *m.View))
		if k := m.Committed; k != nil {
			c.chained(now, c.chain.Lacks(from.ID, k.Seq, k.Known))
		}
	case m.Chain != nil:
		c.chained(now, c.chain.Receive(now, *m.Chain))
	case m.Enter != nil:
		ans := &words.Entered{Token: m.Enter.Token}
		if c.chain.Head() && c.view.InTouch(now) && !c.sick {
			n, seq, out := c.chain.Enter(now, m.Enter.Order)
			ans.N, ans.Seq, ans.OK = n, seq, true
			c.chained(now, out)
		}
		c.to(from.Addr, &link.Msg{Entered: ans})
	case m.Entered != nil:
		if o := c.orders[m.Entered.Token]; o != nil && m.Entered.OK {
			o.entered, o.n, o.seq = true, m.Entered.N, m.Entered.Seq
			c.advance(now)
		}
	case m.Confirm != nil:
		c.to(from.Addr, &link.Msg{Confirmed: &words.Confirm{Token: m.Confirm.Token, N: m.Confirm.N, OK: c.view.Vouches(m.Confirm.N)}})
	case m.Confirmed != nil:
		if r := c.reads[m.Confirmed.Token]; r != nil && m.Confirmed.OK && m.Confirmed.N == r.n {
			r.votes[from.ID] = true
			c.advance(now)
		}
	}
	if m.Fleet != nil {
		c.fleets[from.ID] = m.Fleet.Foragers
	}
	if len(m.Lives) > 0 {
		if news, urgent := c.reg.Merge(now, m.Lives); news {
			c.tell(now, urgent)
		}
	}
}
