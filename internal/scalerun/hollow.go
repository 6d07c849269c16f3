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

// TrafficCounts are kept by kind; those of states are parts of frames: "state" counts frames and what no other kind covers.
type TrafficCounts struct {
	mu sync.Mutex
	by map[string]Count
}

func (c *TrafficCounts) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]Count{}
	}
	x := c.by[kind]
	c.by[kind] = Count{x.Messages + 1, x.Bytes + bytes}
}

// Snapshot copies them.
func (c *TrafficCounts) Snapshot() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]Count{}
	for k, v := range c.by {
		out[k] = v
	}
	return out
}

// MessageKind names what a forager's frame is.
func MessageKind(m *peertransport.Frame) string {
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

// stateFrame is what is looked at in a state; the rest stays bytes. Its keys are those of words.State.
type stateFrame struct {
	Full          bool            `cbor:"1,keyasint"`
	Version       uint64          `cbor:"3,keyasint"`
	Configuration cbor.RawMessage `cbor:"4,keyasint"`
	Instances     cbor.RawMessage `cbor:"6,keyasint"`
	Weights       cbor.RawMessage `cbor:"7,keyasint"`
	WarmupQuotas  cbor.RawMessage `cbor:"10,keyasint"`
	Members       cbor.RawMessage `cbor:"8,keyasint"`
}

type peerFrame struct {
	State *stateFrame `cbor:"4,keyasint"`
}

// RequestLoad make what a forager meets in a second: so many requests, each to a replica of its zone by chance, at whom it
// finds so much load.
type RequestLoad struct {
	PerSecond float64
	Chance    func() float64
}

// LoadReport is what a forager with such requests says, as dataplane/router makes it.
func (r RequestLoad) LoadReport(lives []registry.Instance, over time.Duration) *messages.LoadReport {
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

// sharedInstances is what all hollow foragers of a process share instead of each holding it: the replicas as a whole state last told
// them, the largest so far.
type sharedInstances struct {
	mu        sync.Mutex
	instances []registry.Instance
	byZone    map[string][]registry.Instance
}

func (k *sharedInstances) update(lives []registry.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(lives) < len(k.instances) {
		return
	}
	k.instances, k.byZone = nil, map[string][]registry.Instance{}
	for _, l := range lives {
		if l.Deregistered || l.Addr == "" {
			continue
		}
		l = registry.Instance{ID: l.ID, Service: l.Service, Addr: l.Addr, Zone: l.Zone, Slots: l.Slots, Draining: l.Draining, WarmthUnknown: l.WarmthUnknown, WarmupMillis: l.WarmupMillis}
		k.instances = append(k.instances, l)
		k.byZone[l.Zone] = append(k.byZone[l.Zone], l)
	}
}

func (k *sharedInstances) all() []registry.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.instances
}
func (k *sharedInstances) inZone(zone string) []registry.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byZone[zone]
}

// SyntheticGateway is a hollow one: it holds a stream from a comb and says what a real one says (internal/gateway, follow.go), with the
// same codec in the same sequence, but carries no requests and keeps no tables. What its reports tell is made up.
type SyntheticGateway struct {
	Name, Zone     string
	IP             netip.Addr
	Seeds          []string // where combs are called by governors
	Requests       RequestLoad
	Received, Sent *TrafficCounts

	instances *sharedInstances
	router    *router.Router // knows the combs, and chooses among them

	mu              sync.Mutex
	member          string // it holds to; empty: none
	snapshotAt      time.Time
	versionArrivals map[uint64]time.Time // versions, when they came
}

const (
	memberTimeout   = time.Second // of a comb
	dialTimeout     = 300 * time.Millisecond
	zoneReturnDelay = 4 * time.Second
	reconnectDelay  = 100 * time.Millisecond
)

func (f *SyntheticGateway) initialize(zones int) {
	f.versionArrivals = map[uint64]time.Time{}
	f.router = router.New(router.Settings{Zone: f.Zone, Zones: zones, Seed: rand.Uint64()})
}

// Run follows combs until the context ends. Port is where it shuffles neighbours; 0: it does not.
func (f *SyntheticGateway) Run(ctx context.Context, port int) error {
	var also func() []string
	if port > 0 {
		d, err := gossip.Start(ctx, peersampling.Descriptor{Addr: netip.AddrPortFrom(f.IP, uint16(port)).String(), Role: peersampling.RoleGateway, Zone: f.Zone}, f.Seeds)
		if err != nil {
			return err
		}
		also = func() (out []string) {
			for _, n := range d.Peers(peersampling.RoleControlPlane) {
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
		return f.router.Candidates(more)
	}
	for ctx.Err() == nil {
		for _, addr := range candidates() {
			if f.follow(ctx, addr, candidates) || ctx.Err() != nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay/2 + rand.N(reconnectDelay)):
		}
	}
	return nil
}

func (f *SyntheticGateway) follow(ctx context.Context, addr string, candidates func() []string) (stood bool) {
	nc, err := peertransport.NewDialer(dialTimeout, memberTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := peertransport.NewConn(nc)
	defer c.Shutdown()
	send := func(m *peertransport.Frame) {
		if b, err := peertransport.EncodeFrame(m); err == nil {
			f.Sent.add(MessageKind(m), len(b))
			c.Send(b)
		}
	}
	send(&peertransport.Frame{Hello: &messages.Hello{Gateway: f.Name, Member: membership.Member{Addr: f.IP.String(), Zone: f.Zone}}})
	done := make(chan struct{})
	defer close(done)
	defer f.setMember("", false)
	began := time.Now()
	in := bufio.NewReaderSize(nc, 4<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(memberTimeout))
		s, err := f.readFrame(in)
		if err != nil {
			return stood
		}
		if s == nil {
			continue
		}
		if !stood && s.Full {
			stood = true
			f.setMember(addr, true)
			send(&peertransport.Frame{LoadReport: &messages.LoadReport{Sequence: 1, Instances: f.instances.all()}})
			go f.report(send, done)
		}
		near, home := false, false
		for _, m := range f.router.Members() {
			if m.Zone == f.Zone {
				near, home = true, home || m.Addr == addr
			}
		}
		if near && !home && time.Since(began) > zoneReturnDelay {
			if conn, err := net.DialTimeout("tcp", candidates()[0], dialTimeout); err == nil {
				conn.Close()
				return true
			}
			began = time.Now()
		}
	}
}

// readFrame reads a frame and counts its parts. Only a whole state is decoded.
func (f *SyntheticGateway) readFrame(in io.Reader) (*stateFrame, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	var h peerFrame
	if err := cbor.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	s := h.State
	if s == nil {
		f.Received.add("other", len(body)+4)
		return nil, nil
	}
	rest := len(body) + 4
	part := func(kind string, b cbor.RawMessage) {
		if len(b) > 0 {
			f.Received.add(kind, len(b))
			rest -= len(b)
		}
	}
	what := "changed "
	if s.Full {
		what = "whole "
	}
	part("configuration", s.Configuration)
	part(what+"lives", s.Instances)
	part(what+"lines", s.Weights)
	part("grants", s.WarmupQuotas)
	part("combs", s.Members)
	f.Received.add("state", rest)
	if len(s.Configuration) > 0 {
		f.mu.Lock()
		f.versionArrivals[s.Version] = time.Now()
		f.mu.Unlock()
	}
	if s.Full {
		m := &struct {
			State *messages.StateUpdate `cbor:"4,keyasint"`
		}{}
		if err := snapshotDecoding.Unmarshal(body, m); err != nil {
			return nil, err
		}
		f.instances.update(m.State.Instances)
	}
	if len(s.Members) > 0 {
		var combs []membership.Member
		if err := cbor.Unmarshal(s.Members, &combs); err != nil {
			return nil, err
		}
		f.router.Apply(0, &messages.StateUpdate{Members: combs})
	}
	return s, nil
}

// snapshotDecoding reads lists as long as internal/peertransport does.
var snapshotDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (f *SyntheticGateway) report(send func(*peertransport.Frame), done chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			send(&peertransport.Frame{LoadReport: f.Requests.LoadReport(f.instances.inZone(f.Zone), time.Since(last))})
			last = time.Now()
		}
	}
}

func (f *SyntheticGateway) setMember(comb string, joined bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member = comb; joined {
		f.snapshotAt = time.Now()
	}
}

// Connection tells which comb it holds to, and since when it has had a whole state of it.
func (f *SyntheticGateway) Connection() (comb string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member, f.snapshotAt
}

// VersionArrival tells when a version of the configuration came.
func (f *SyntheticGateway) VersionArrival(version uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.versionArrivals[version]
	return at, ok
}

// SyntheticReplica is a hollow one: it beats as the protocol page says, on a connection of its own, and serves nobody.
type SyntheticReplica struct {
	Instance          registry.Instance
	HeartbeatInterval time.Duration
	Seeds             []string // control addresses
	Sent              *TrafficCounts
	Received          *TrafficCounts

	mu               sync.Mutex
	target           string
	lastAcknowledged time.Time
}

// LastAcknowledged tells when a beat was last acknowledged; never is the zero time.
func (r *SyntheticReplica) LastAcknowledged() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAcknowledged
}

// Run beats until the context ends, first after a part of a period that differs from replica to replica.
func (r *SyntheticReplica) Run(ctx context.Context) {
	var conn net.Conn
	var in *bufio.Reader
	drop := func() {
		if conn != nil {
			conn.Close()
			conn, r.target = nil, ""
		}
	}
	defer drop()
	wait := rand.N(r.HeartbeatInterval)
	for seq := r.Instance.Sequence; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = r.HeartbeatInterval
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
			in = bufio.NewReaderSize(countingConn{conn, r.Received}, 512)
		}
		next, err := r.sendHeartbeat(conn, in, to, seq)
		if err != nil {
			drop()
			wait = 100 * time.Millisecond
			continue
		}
		r.mu.Lock()
		r.lastAcknowledged = time.Now()
		r.mu.Unlock()
		if next != "" && next != to {
			drop()
			r.target = next
		}
	}
}

// countingConn counts what is read: an answer comes in one piece.
type countingConn struct {
	net.Conn
	by *TrafficCounts
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.by.add("beat answer", n)
	}
	return n, err
}

func (r *SyntheticReplica) sendHeartbeat(conn net.Conn, in *bufio.Reader, host string, seq uint64) (string, error) {
	l := r.Instance
	body, _ := json.Marshal(map[string]any{"service": l.Service, "address": l.Addr, "zone": l.Zone, "version": "v1", "slots": l.Slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": seq})
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /api/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", url.QueryEscape(l.ID), host, len(body))
	b.Write(body)
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(b.Bytes()); err != nil {
		return "", err
	}
	r.Sent.add("beat", b.Len())
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
