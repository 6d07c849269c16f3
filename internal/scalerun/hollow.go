package scalerun

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/internal/gossip"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

// Count is how many words of a kind went over sockets, and their bytes, lengths of frames included.
type Count struct{ Messages, Bytes int }

// Counts are kept by kind; those of states are parts of frames: "state" counts frames and what no other kind covers.
type Counts struct {
	mu sync.Mutex
	by map[string]Count
}

func (c *Counts) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]Count{}
	}
	x := c.by[kind]
	c.by[kind] = Count{x.Messages + 1, x.Bytes + bytes}
}

// Now copies them.
func (c *Counts) Now() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]Count{}
	for k, v := range c.by {
		out[k] = v
	}
	return out
}

// Said names what a forager's frame is.
func Said(m *peertransport.Frame) string {
	switch r := m.LoadReport; {
	case m.Hello != nil:
		return "hello"
	case r == nil:
		return "other"
	case r.PeriodMillis > 0:
		return "report"
	case len(r.Instances) > 0 || r.Sequence > 0:
		return "first"
	default:
		return "word" // a fall, or an address that is another's
	}
}

// told is what is looked at in a state; the rest stays bytes. Its keys are those of words.State.
type told struct {
	Whole   bool            `cbor:"1,keyasint"`
	Version uint64          `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
	Lives   cbor.RawMessage `cbor:"6,keyasint"`
	Lines   cbor.RawMessage `cbor:"7,keyasint"`
	Grants  cbor.RawMessage `cbor:"10,keyasint"`
	Combs   cbor.RawMessage `cbor:"8,keyasint"`
}

type heard struct {
	State *told `cbor:"4,keyasint"`
}

// Requests make what a forager meets in a second: so many requests, each to a replica of its zone by chance, at whom it
// finds so much load.
type Requests struct {
	PerSecond float64
	Chance    func() float64
}

// Report is what a forager with such requests says, as dataplane/router makes it.
func (r Requests) Report(lives []registry.Instance, over time.Duration) *messages.LoadReport {
	rep := &messages.LoadReport{PeriodMillis: over.Milliseconds(), Requests: map[string]int{}}
	met := map[string]int{}
	if len(lives) > 0 {
		for range int(r.PerSecond*over.Seconds() + r.Chance()) {
			i := int(r.Chance() * float64(len(lives)))
			l := lives[i%len(lives)]
			rep.Requests[l.Service]++
			if at, ok := met[l.ID]; ok {
				rep.Endpoints[at].Attempts++
				continue
			}
			met[l.ID] = len(rep.Endpoints)
			rep.Endpoints = append(rep.Endpoints, messages.EndpointStats{Replica: l.ID, Attempts: 1, MeanLatencyMicros: 200000, Running: 2, Slots: l.Slots})
		}
	}
	return rep
}

// known is what all hollow foragers of a process share instead of each holding it: the replicas as a whole state last told
// them, the largest so far.
type known struct {
	mu   sync.Mutex
	life []registry.Instance
	zone map[string][]registry.Instance
}

func (k *known) take(lives []registry.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(lives) < len(k.life) {
		return
	}
	k.life, k.zone = nil, map[string][]registry.Instance{}
	for _, l := range lives {
		if l.Deregistered || l.Addr == "" {
			continue
		}
		l = registry.Instance{ID: l.ID, Service: l.Service, Addr: l.Addr, Zone: l.Zone, Slots: l.Slots, Draining: l.Draining, WarmthUnknown: l.WarmthUnknown, WarmupMillis: l.WarmupMillis}
		k.life = append(k.life, l)
		k.zone[l.Zone] = append(k.zone[l.Zone], l)
	}
}

func (k *known) all() []registry.Instance { k.mu.Lock(); defer k.mu.Unlock(); return k.life }
func (k *known) near(zone string) []registry.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.zone[zone]
}

// Forager is a hollow one: it holds a stream from a comb and says what a real one says (internal/gateway, follow.go), with the
// same codec in the same sequence, but carries no requests and keeps no tables. What its reports tell is made up.
type Forager struct {
	Name, Zone string
	IP         netip.Addr
	Seeds      []string // where combs are called by governors
	Requests   Requests
	In, Out    *Counts

	share *known
	brain *router.Forager // knows the combs, and chooses among them

	mu      sync.Mutex
	comb    string // it holds to; empty: none
	wholeAt time.Time
	seen    map[uint64]time.Time // versions, when they came
}

const (
	silentMost = time.Second // of a comb
	dialComb   = 300 * time.Millisecond
	homeAgain  = 4 * time.Second
	retryPause = 100 * time.Millisecond
)

func (f *Forager) begin(zones int) {
	f.seen = map[uint64]time.Time{}
	f.brain = router.New(router.Settings{Zone: f.Zone, Zones: zones, Seed: rand.Uint64()})
}

// Run follows combs until the context ends. Port is where it shuffles neighbours; 0: it does not.
func (f *Forager) Run(ctx context.Context, port int) error {
	var also func() []string
	if port > 0 {
		d, err := gossip.Start(ctx, peersampling.Node{Addr: netip.AddrPortFrom(f.IP, uint16(port)).String(), Kind: peersampling.Forager, Zone: f.Zone}, f.Seeds)
		if err != nil {
			return err
		}
		also = func() (out []string) {
			for _, n := range d.Known(peersampling.Comb) {
				out = append(out, n.Addr)
			}
			return
		}
	}
	candidates := func() []string {
		more := f.Seeds
		if also != nil {
			more = append(append([]string(nil), f.Seeds...), also()...)
		}
		return f.brain.Candidates(more)
	}
	for ctx.Err() == nil {
		for _, addr := range candidates() {
			if f.listen(ctx, addr, candidates) || ctx.Err() != nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause/2 + rand.N(retryPause)):
		}
	}
	return nil
}

func (f *Forager) listen(ctx context.Context, addr string, candidates func() []string) (stood bool) {
	nc, err := peertransport.NewDialer(dialComb, silentMost).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := peertransport.NewConn(nc)
	defer c.Shutdown()
	send := func(m *peertransport.Frame) {
		if b, err := peertransport.EncodeFrame(m); err == nil {
			f.Out.add(Said(m), len(b))
			c.Send(b)
		}
	}
	send(&peertransport.Frame{Hello: &messages.Hello{Gateway: f.Name, Member: membership.Member{Addr: f.IP.String(), Zone: f.Zone}}})
	done := make(chan struct{})
	defer close(done)
	defer f.at("", false)
	began := time.Now()
	in := bufio.NewReaderSize(nc, 4<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(silentMost))
		s, err := f.hear(in)
		if err != nil {
			return stood
		}
		if s == nil {
			continue
		}
		if !stood && s.Whole {
			stood = true
			f.at(addr, true)
			send(&peertransport.Frame{LoadReport: &messages.LoadReport{Sequence: 1, Instances: f.share.all()}})
			go f.report(send, done)
		}
		near, home := false, false
		for _, m := range f.brain.Combs() {
			if m.Zone == f.Zone {
				near, home = true, home || m.Addr == addr
			}
		}
		if near && !home && time.Since(began) > homeAgain {
			if conn, err := net.DialTimeout("tcp", candidates()[0], dialComb); err == nil {
				conn.Close()
				return true
			}
			began = time.Now()
		}
	}
}

// hear reads a frame and counts its parts. Only a whole state is decoded.
func (f *Forager) hear(in io.Reader) (*told, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	var h heard
	if err := cbor.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	s := h.State
	if s == nil {
		f.In.add("other", len(body)+4)
		return nil, nil
	}
	rest := len(body) + 4
	part := func(kind string, b cbor.RawMessage) {
		if len(b) > 0 {
			f.In.add(kind, len(b))
			rest -= len(b)
		}
	}
	what := "changed "
	if s.Whole {
		what = "whole "
	}
	part("configuration", s.Body)
	part(what+"lives", s.Lives)
	part(what+"lines", s.Lines)
	part("grants", s.Grants)
	part("combs", s.Combs)
	f.In.add("state", rest)
	if len(s.Body) > 0 {
		f.mu.Lock()
		f.seen[s.Version] = time.Now()
		f.mu.Unlock()
	}
	if s.Whole {
		m := &struct {
			State *messages.StateUpdate `cbor:"4,keyasint"`
		}{}
		if err := whole.Unmarshal(body, m); err != nil {
			return nil, err
		}
		f.share.take(m.State.Instances)
	}
	if len(s.Combs) > 0 {
		var combs []membership.Member
		if err := cbor.Unmarshal(s.Combs, &combs); err != nil {
			return nil, err
		}
		f.brain.Take(0, &messages.StateUpdate{Members: combs})
	}
	return s, nil
}

// whole reads lists as long as internal/peertransport does.
var whole = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (f *Forager) report(send func(*peertransport.Frame), done chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			send(&peertransport.Frame{LoadReport: f.Requests.Report(f.share.near(f.Zone), time.Since(last))})
			last = time.Now()
		}
	}
}

func (f *Forager) at(comb string, joined bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.comb = comb; joined {
		f.wholeAt = time.Now()
	}
}

// Standing tells which comb it holds to, and since when it has had a whole state of it.
func (f *Forager) Standing() (comb string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.comb, f.wholeAt
}

// Saw tells when a version of the configuration came.
func (f *Forager) Saw(version uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.seen[version]
	return at, ok
}

// Replica is a hollow one: it beats as the protocol page says, on a connection of its own, and serves nobody.
type Replica struct {
	Life  registry.Instance
	Every time.Duration
	Seeds []string // control addresses
	Out   *Counts
	Back  *Counts

	mu     sync.Mutex
	target string
	ackAt  time.Time
}

// Acked tells when a beat was last acknowledged; never is the zero time.
func (r *Replica) Acked() time.Time { r.mu.Lock(); defer r.mu.Unlock(); return r.ackAt }

// Run beats until the context ends, first after a part of a period that differs from replica to replica.
func (r *Replica) Run(ctx context.Context) {
	var conn net.Conn
	var in *bufio.Reader
	drop := func() {
		if conn != nil {
			conn.Close()
			conn, r.target = nil, ""
		}
	}
	defer drop()
	wait := rand.N(r.Every)
	for seq := r.Life.Sequence; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = r.Every
		to := r.target
		if to == "" {
			to = r.Seeds[rand.IntN(len(r.Seeds))]
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", to, time.Second); err != nil {
				conn, r.target, wait = nil, "", 100*time.Millisecond
				continue
			}
			in = bufio.NewReaderSize(counted{conn, r.Back}, 512)
		}
		next, err := r.beat(conn, in, to, seq)
		if err != nil {
			drop()
			wait = 100 * time.Millisecond
			continue
		}
		r.mu.Lock()
		r.ackAt = time.Now()
		r.mu.Unlock()
		if next != "" && next != to {
			drop()
			r.target = next
		}
	}
}

// counted counts what is read: an answer comes in one piece.
type counted struct {
	net.Conn
	by *Counts
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.by.add("beat answer", n)
	}
	return n, err
}

func (r *Replica) beat(conn net.Conn, in *bufio.Reader, host string, seq uint64) (string, error) {
	l := r.Life
	body, _ := json.Marshal(map[string]any{"service": l.Service, "address": l.Addr, "zone": l.Zone, "version": "v1", "slots": l.Slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": seq})
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /api/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", url.QueryEscape(l.ID), host, len(body))
	b.Write(body)
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(b.Bytes()); err != nil {
		return "", err
	}
	r.Out.add("beat", b.Len())
	resp, err := http.ReadResponse(in, nil) // what it read is counted by the connection
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("a beat got %d", resp.StatusCode)
	}
	var to struct {
		Target string `json:"heartbeat_target"`
	}
	json.Unmarshal(answer, &to)
	return to.Target, nil
}
