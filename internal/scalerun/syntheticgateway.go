package scalerun

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/internal/gossip"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

// As internal/gateway has them.
const (
	memberTimeout   = time.Second // without a frame, after which a member is left
	dialTimeout     = 300 * time.Millisecond
	zoneReturnDelay = 4 * time.Second // on a stream from another zone, before one from the own zone is tried
	reconnectDelay  = 100 * time.Millisecond
	reportInterval  = time.Second

	streamBufferSize = 4 << 10
)

// SyntheticGateway holds a stream from a control-plane member and sends what a real gateway sends (internal/gateway), with the same
// codec in the same sequence, but carries no requests and keeps no tables. What its load reports tell is made up.
type SyntheticGateway struct {
	Name, Zone     string
	IP             netip.Addr
	Seeds          []string // where members listen for peers
	Load           RequestLoad
	Received, Sent *TrafficCounts

	instances *sharedInstances
	router    *router.Router // knows the members, and chooses among them

	mu              sync.Mutex // guards the fields below
	member          string     // whose stream it holds; empty: none
	snapshotAt      time.Time  // when its full state came
	versionArrivals map[uint64]time.Time
}

func (g *SyntheticGateway) initialize(zones int) {
	g.versionArrivals = map[uint64]time.Time{}
	g.router = router.New(router.Settings{Zone: g.Zone, Zones: zones, Seed: rand.Uint64()})
}

// Connection returns the member whose stream the gateway holds, empty if none, and when its full state came.
func (g *SyntheticGateway) Connection() (member string, since time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member, g.snapshotAt
}

// VersionArrival returns when a version of the configuration came; false if it has not.
func (g *SyntheticGateway) VersionArrival(version uint64) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.versionArrivals[version]
	return at, ok
}

// Run follows members until ctx ends. Port is where it gossips with peers; 0: it does not.
func (g *SyntheticGateway) Run(ctx context.Context, port int) error {
	candidates := func() []string { return g.router.Candidates(g.Seeds) }
	if port > 0 {
		addr := netip.AddrPortFrom(g.IP, uint16(port)).String()
		shuffler, err := gossip.Start(ctx, peersampling.Descriptor{Addr: addr, Role: peersampling.RoleGateway, Zone: g.Zone}, g.Seeds, nil)
		if err != nil {
			return err
		}
		candidates = func() []string {
			addresses := append([]string(nil), g.Seeds...)
			for _, peer := range shuffler.Peers(peersampling.RoleControlPlane) {
				addresses = append(addresses, peer.Addr)
			}
			return g.router.Candidates(addresses)
		}
	}
	for ctx.Err() == nil {
		for _, addr := range candidates() {
			if g.follow(ctx, addr, candidates) || ctx.Err() != nil {
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

// follow holds a stream from a member until it ends. It returns whether a full state came.
func (g *SyntheticGateway) follow(ctx context.Context, addr string, candidates func() []string) (joined bool) {
	stream, err := peertransport.NewDialer(dialTimeout, memberTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	conn := peertransport.NewConn(stream)
	defer conn.Shutdown()
	g.send(conn, &peertransport.Frame{Hello: &messages.Hello{Gateway: g.Name, Member: membership.Member{Addr: g.IP.String(), Zone: g.Zone}}})
	done := make(chan struct{})
	defer close(done)
	defer g.setDisconnected()
	connectedAt := time.Now()
	in := bufio.NewReaderSize(stream, streamBufferSize)
	for {
		if err := stream.SetReadDeadline(time.Now().Add(memberTimeout)); err != nil {
			return joined
		}
		state, err := g.receive(in)
		if err != nil {
			return joined
		}
		if state == nil {
			continue
		}
		if !joined && state.Full {
			joined = true
			g.setConnected(addr)
			g.send(conn, &peertransport.Frame{LoadReport: &messages.LoadReport{Sequence: 1, Instances: g.instances.all()}})
			go g.sendReports(conn, done)
		}
		if g.prefersOtherThan(addr) && time.Since(connectedAt) > zoneReturnDelay {
			if reachable(ctx, candidates()[0]) {
				return true
			}
			connectedAt = time.Now()
		}
	}
}

// prefersOtherThan tells whether the gateway's zone has members, and the given one is none of them.
func (g *SyntheticGateway) prefersOtherThan(addr string) bool {
	zoneHasMembers := false
	for _, member := range g.router.Members() {
		if member.Zone != g.Zone {
			continue
		}
		if member.Addr == addr {
			return false
		}
		zoneHasMembers = true
	}
	return zoneHasMembers
}

func reachable(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close() // it was opened to see whether it can be
	return true
}

// send counts and sends a frame.
func (g *SyntheticGateway) send(conn *peertransport.Conn, frame *peertransport.Frame) {
	encoded, err := peertransport.EncodeFrame(frame)
	if err != nil {
		return
	}
	g.Sent.add(MessageKind(frame), len(encoded))
	conn.Send(encoded)
}

// sendReports sends a load report each second until done is closed.
func (g *SyntheticGateway) sendReports(conn *peertransport.Conn, done <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			g.send(conn, &peertransport.Frame{LoadReport: g.Load.LoadReport(g.instances.inZone(g.Zone), time.Since(last))})
			last = time.Now()
		}
	}
}

// receive reads a frame and counts its parts; only a full state is decoded. It returns nil for a frame that is no state update.
func (g *SyntheticGateway) receive(in *bufio.Reader) (*stateFrame, error) {
	body, err := readFrame(in)
	if err != nil {
		return nil, err
	}
	var frame peerFrame
	if err := cbor.Unmarshal(body, &frame); err != nil {
		return nil, err
	}
	frameSize := len(body) + lengthPrefixSize
	state := frame.State
	if state == nil {
		g.Received.add(kindOther, frameSize)
		return nil, nil
	}
	state.countParts(g.Received, frameSize)
	if len(state.Configuration) > 0 {
		g.recordVersion(state.Version)
	}
	if state.Full {
		var full fullFrame
		if err := snapshotDecoding.Unmarshal(body, &full); err != nil {
			return nil, err
		}
		g.instances.update(full.State.Instances)
	}
	if len(state.Members) > 0 {
		var members []membership.Member
		if err := cbor.Unmarshal(state.Members, &members); err != nil {
			return nil, err
		}
		g.router.Apply(0, &messages.StateUpdate{Members: members})
	}
	return state, nil
}

func (g *SyntheticGateway) recordVersion(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versionArrivals[version] = time.Now()
}

func (g *SyntheticGateway) setConnected(member string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.member, g.snapshotAt = member, time.Now()
}

func (g *SyntheticGateway) setDisconnected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.member = ""
}
