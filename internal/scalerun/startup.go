package scalerun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/sizes"
)

const (
	controlPort       = 18080
	frontPort         = 18548
	readinessPort     = 18542
	firstInternalPort = 17540
	lastInternalPort  = 17555
)

// settingsTemplate is a daemon's settings file; %%v stays for first_start.
const settingsTemplate = `
self_settings: {node_name: %q, zone: %q, region: region, ip_address: %s, counted: true, first_start: %%v, data_directory: %q,
  limits: {cpu_share: 1, memory_mb: 4096, file_descriptors: 16384, link_mbps: 1000}}
network_settings:
  listen_addresses: {front: %q, readiness: %q, control: %q}
  internal_port_range: [%d, %d]
  seed_nodes: [%s]
  zones: {%s}
platform_settings: {heartbeat_interval: %q}
`

// listenAddresses are a daemon's; empty where it has none.
type listenAddresses struct{ front, readiness, control string }

func (e *experiment) memberIP(i int) string { return fmt.Sprintf("127.%d.250.%d", e.addressOctet, i+1) }

func (e *experiment) realGatewayIP(i int) string {
	return fmt.Sprintf("127.%d.251.%d", e.addressOctet, i+1)
}

func (e *experiment) syntheticGatewayIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, e.addressOctet, byte(i >> 8), byte(i)})
}

// peerAddress is where a member listens for peers; controlAddress where replicas and operators call it.
func (e *experiment) peerAddress(member int) string {
	return fmt.Sprintf("%s:%d", e.memberIP(member), firstInternalPort)
}

func (e *experiment) controlAddress(member int) string {
	return fmt.Sprintf("%s:%d", e.memberIP(member), controlPort)
}

// seeds lists an address of each seed.
func (e *experiment) seeds(address func(member int) string) []string {
	var seeds []string
	for i := range min(e.Members, maxSeeds) {
		seeds = append(seeds, address(i))
	}
	return seeds
}

func (e *experiment) settings(name, ip, zone, dataDir string, listen listenAddresses) string {
	var seeds, zones []string
	for _, seed := range e.seeds(e.controlAddress) {
		seeds = append(seeds, strconv.Quote(seed))
	}
	for i := range e.Members {
		zones = append(zones, sizes.ZoneName(i)+": region")
	}
	return fmt.Sprintf(settingsTemplate, name, zone, ip, dataDir, listen.front, listen.readiness, listen.control,
		firstInternalPort, lastInternalPort, strings.Join(seeds, ", "), strings.Join(zones, ", "), e.HeartbeatInterval)
}

func (e *experiment) startMembers(ctx context.Context) error {
	for i := range e.Members {
		name := fmt.Sprintf("member-%d", i+1)
		p := &process{
			name:           name,
			program:        filepath.Join(e.BinDir, "controlplane"),
			dir:            filepath.Join(e.dir, name),
			controlAddress: e.controlAddress(i),
		}
		p.settings = e.settings(name, e.memberIP(i), sizes.ZoneName(i), filepath.Join(p.dir, "data"), listenAddresses{control: p.controlAddress})
		if err := p.start(true); err != nil {
			return merry.Prepend(err, name)
		}
		e.members = append(e.members, p)
	}
	return e.until(ctx, "the members are in contact", func() bool {
		return !slices.ContainsFunc(e.members, func(p *process) bool { return !memberReady(ctx, p.controlAddress) })
	})
}

func (e *experiment) startReplicas(ctx context.Context) {
	seeds := e.seeds(e.controlAddress)
	for _, instance := range e.fleet.Instances() {
		replica := &SyntheticReplica{
			Instance:          instance,
			HeartbeatInterval: e.HeartbeatInterval,
			Seeds:             seeds,
			Sent:              e.replicaSent,
			Received:          e.replicaReceived,
		}
		e.replicas = append(e.replicas, replica)
		e.synthetic.Go(func() { replica.Run(ctx) })
	}
}

// startGateways starts synthetic and real gateways, waits until all have joined, and measures what that took.
func (e *experiment) startGateways(ctx context.Context) error {
	startedAt := time.Now()
	cpuBefore, err := e.memberCPU()
	if err != nil {
		return err
	}
	if err := e.startSyntheticGateways(ctx); err != nil {
		return err
	}
	if err := e.startRealGateways(); err != nil {
		return err
	}
	joinErr := e.until(ctx, "every gateway holds a whole state", func() bool {
		return e.joinedGateways() == len(e.gateways) &&
			!slices.ContainsFunc(e.realGateways, func(p *process) bool { return !gatewayReady(ctx, p.readinessAddress) })
	})
	if cpuAfter, err := e.memberCPU(); err == nil {
		e.addRow(roleMember, "joining: processor", "s", (cpuAfter-cpuBefore).Seconds()/float64(e.Members))
	}
	streams := e.gatewaySent.Snapshot()[kindHello].Messages
	e.addRow(roleGateway, "joining: streams begun, each", "", float64(streams)/float64(len(e.gateways)))
	if joinErr != nil {
		return merry.Appendf(joinErr, "%d of %d hold one", e.joinedGateways(), len(e.gateways))
	}
	if e.JoinsPerSecond > 0 {
		return nil
	}
	e.addQuantiles(roleGateway, "all at once: joined after", "s", secondsUntilJoined(e.gateways, startedAt))
	return nil
}

func (e *experiment) startSyntheticGateways(ctx context.Context) error {
	shared := &sharedInstances{}
	load := RequestLoad{
		PerSecond: e.Target.Requests / float64(max(e.Target.Fleet().Gateways, 1)),
		Random:    rand.Float64,
	}
	for i := range max(e.fleet.Gateways-e.RealGateways, 1) {
		gateway := &SyntheticGateway{
			Name:      fmt.Sprintf("edge-%05d", i),
			Zone:      sizes.ZoneName(i % e.Members),
			IP:        e.syntheticGatewayIP(i),
			Seeds:     e.seeds(e.peerAddress),
			Load:      load,
			Received:  e.gatewayReceived,
			Sent:      e.gatewaySent,
			instances: shared,
		}
		gateway.initialize(e.Members)
		e.gateways = append(e.gateways, gateway)
		if e.JoinsPerSecond > 0 {
			if err := e.wait(ctx, time.Duration(float64(time.Second)/e.JoinsPerSecond)); err != nil {
				return err
			}
		}
		e.synthetic.Go(func() {
			if err := gateway.Run(ctx, lastInternalPort); err != nil {
				e.logf("%s: %v", gateway.Name, err) // it never joins, which ends the wait for all
			}
		})
	}
	return nil
}

func (e *experiment) startRealGateways() error {
	for i := range e.RealGateways {
		name, ip := fmt.Sprintf("gateway-%d", i+1), e.realGatewayIP(i)
		p := &process{
			name:             name,
			program:          filepath.Join(e.BinDir, "gateway"),
			dir:              filepath.Join(e.dir, name),
			readinessAddress: fmt.Sprintf("%s:%d", ip, readinessPort),
		}
		listen := listenAddresses{front: fmt.Sprintf("%s:%d", ip, frontPort), readiness: p.readinessAddress}
		p.settings = e.settings(name, ip, sizes.ZoneName(i%e.Members), "", listen)
		if err := p.start(true); err != nil {
			return merry.Prepend(err, name)
		}
		e.realGateways = append(e.realGateways, p)
	}
	return nil
}

// joinedGateways counts the synthetic gateways that hold a full state.
func (e *experiment) joinedGateways() int {
	joined := 0
	for _, gateway := range e.gateways {
		if member, _ := gateway.Connection(); member != "" {
			joined++
		}
	}
	return joined
}

func secondsUntilJoined(gateways []*SyntheticGateway, from time.Time) []float64 {
	var seconds []float64
	for _, gateway := range gateways {
		_, since := gateway.Connection()
		seconds = append(seconds, since.Sub(from).Seconds())
	}
	return seconds
}

// memberCPU is the processor time that the members have used.
func (e *experiment) memberCPU() (time.Duration, error) {
	var total time.Duration
	for _, p := range e.members {
		used, err := p.usage()
		if err != nil {
			return 0, err
		}
		total += used.CPU
	}
	return total, nil
}
