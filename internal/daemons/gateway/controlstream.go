package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/invariant"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

const (
	streamTimeout       = time.Second // without a frame; must equal messages.WarmupRateLifetime
	controlDialTimeout  = 300 * time.Millisecond
	localMemberInterval = 4 * time.Second // between attempts to return to a member of the local zone
	reconnectDelay      = 100 * time.Millisecond
)

// maintainControlStream keeps a stream open to one control-plane member at a time until ctx ends.
func (g *Gateway) maintainControlStream(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range g.candidates() {
			if g.runStream(ctx, member) {
				break // the stream was established: restart with the best candidate
			}
		}
		time.Sleep(reconnectDelay/2 + rand.N(reconnectDelay))
	}
}

// candidates returns member addresses in order of preference: the local zone first, then the others in random order.
func (g *Gateway) candidates() []string {
	peers := g.gossip.Peers(peersampling.RoleControlPlane)
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := g.settings.SeedPeerAddresses()
	for _, peer := range peers {
		addresses = append(addresses, peer.Addr)
	}
	return g.router.MemberCandidates(addresses)
}

// controlStream is a connection to a control-plane member.
type controlStream struct {
	gateway        *Gateway
	member         string // address
	conn           *peertransport.Conn
	established    bool      // the member has sent its full state
	lastLocalCheck time.Time // last attempt to reach a member of the local zone
}

// runStream processes a member's stream until it fails, turns out stale, or a member of the local zone becomes reachable.
// It reports whether the member sent its full state.
func (g *Gateway) runStream(ctx context.Context, member string) (established bool) {
	netConn, err := peertransport.NewDialer(controlDialTimeout, streamTimeout).DialContext(ctx, "tcp", g.settings.DialAddress(member))
	if err != nil {
		return false
	}
	stream := &controlStream{gateway: g, member: member, conn: peertransport.NewConn(netConn), lastLocalCheck: time.Now()}
	defer stream.conn.Shutdown()
	self := fleet.Member{Addr: g.settings.IP.String(), Zone: g.settings.Zone}
	stream.send(&peertransport.Frame{Hello: &messages.Hello{Gateway: g.settings.Name, Member: self}})
	done := make(chan struct{})
	defer close(done)
	defer g.onStreamEnd()
	for {
		_ = netConn.SetReadDeadline(time.Now().Add(streamTimeout)) // fails on a closed connection only, as the read does then
		frame, err := peertransport.ReadFrame(netConn)
		if err != nil {
			if stream.established {
				g.logger.Info().Str("event", "stream_lost").Str("member", member).Err(err).Msg("connection to the control plane lost")
			}
			return stream.established
		}
		if frame.StateUpdate == nil {
			continue
		}
		if g.applyUpdate(frame.StateUpdate) {
			g.logger.Info().Str("event", "stream_stale").Str("member", member).Msg("state update may be stale and was not applied; closing the stream")
			return stream.established
		}
		if !stream.established && frame.StateUpdate.Full {
			stream.establish(frame.StateUpdate.Sequence, done)
		}
		if stream.shouldSwitchToLocalZone(ctx) {
			return true
		}
	}
}

// establish starts reporting to a member that has sent its full state.
func (s *controlStream) establish(sequence uint64, done <-chan struct{}) {
	s.established = true
	s.gateway.logger.Info().Str("event", "stream_established").Str("member", s.member).Uint64("sequence", sequence).Msg("receiving state from the control plane")
	s.send(&peertransport.Frame{LoadReport: s.gateway.initialReport()})
	go s.sendReports(done)
}

// send queues a frame. A frame that cannot be encoded is dropped.
func (s *controlStream) send(frame *peertransport.Frame) {
	if encoded, err := peertransport.EncodeFrame(frame); err == nil {
		s.conn.Send(encoded)
	}
}

// shouldSwitchToLocalZone reports whether the stream comes from another zone while a local member accepts connections,
// which is checked every localMemberInterval.
func (s *controlStream) shouldSwitchToLocalZone(ctx context.Context) bool {
	if !s.gateway.hasLocalAlternativeTo(s.member) || time.Since(s.lastLocalCheck) <= localMemberInterval {
		return false
	}
	dialer := net.Dialer{Timeout: controlDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.gateway.settings.DialAddress(s.gateway.candidates()[0]))
	if err != nil {
		s.lastLocalCheck = time.Now()
		return false
	}
	closeQuietly(conn)
	return true
}

// hasLocalAlternativeTo reports whether members of the local zone are known and member is not one of them.
func (g *Gateway) hasLocalAlternativeTo(member string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := false
	for _, m := range g.router.Members() {
		if m.Zone != g.settings.Zone {
			continue
		}
		if m.Addr == member {
			return false
		}
		known = true
	}
	return known
}

// onStreamEnd drops router state that is valid only during a stream.
func (g *Gateway) onStreamEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.StreamEnded(g.now())
}

// applyUpdate applies a state update. It reports whether the update was stale; a stale update changes nothing, and the
// stream must be closed.
func (g *Gateway) applyUpdate(update *messages.StateUpdate) (stale bool) {
	g.mu.Lock()
	result := g.router.Apply(g.now(), update)
	if result.OwnershipChanged || len(update.Instances) > 0 && g.ownership.count.Load() > 0 {
		g.ownership.broadcast()
	}
	draining := !g.router.IsServing()
	g.mu.Unlock()
	if g.draining.Swap(draining) != draining {
		g.logger.Info().Str("event", "maintenance").Bool("draining", draining).Uint64("fencing_token", update.Maintenance.FencingToken).Msg("draining state changed")
	}
	if result.ConfigError != "" {
		g.logger.Error().Str("event", "config_rejected").Uint64("version", update.ConfigVersion).Str("error", result.ConfigError).Msg("invalid configuration rejected; the previous one stays in effect")
	}
	if result.OwnershipError != "" && g.logLimiter.Allow() {
		g.logger.Error().Str("event", "ownership_rejected").Str("error", result.OwnershipError).Msg("invalid table of shard-key owners rejected; the previous one stays in effect")
	}
	for _, endpoint := range result.RemovedEndpoints {
		g.pool.CloseIdle(endpoint)
	}
	if result.Config != nil {
		g.applyConfig(result.Config)
	}
	if result.FullTable {
		g.hasTable.Store(true)
	}
	return result.Stale
}

// applyConfig puts a newer configuration in force.
func (g *Gateway) applyConfig(config *gatewayconfig.Config) {
	g.metrics.services.update(config.Services)
	var previousVersion uint64
	if previous := g.config.Swap(config); previous != nil {
		previousVersion = previous.Version
		invariant.NotBelow(invariant.ConfigVersionMonotonic, config.Version, previousVersion)
	}
	g.configAppliedAt.Store(time.Now().UnixMilli())
	sharded := 0
	for _, service := range config.Services {
		if service.Sharded {
			sharded++
		}
	}
	g.logger.Info().Str("event", "config_applied").Uint64("version", config.Version).Uint64("previous_version", previousVersion).
		Int("routes", config.RouteCount).Int("services", len(config.Services)).Int("sharded_services", sharded).Msg("configuration in force")
	g.startFrontServer(config.Limits)
}
