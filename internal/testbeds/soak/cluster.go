package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
)

// link identifies a connection direction between two hosts: from dials to.
type link struct{ from, to string }

// cluster is the state of one run: daemons, the relays between them, replicas, clients and operators.
type cluster struct {
	options   Options
	startedAt time.Time
	record    *Record
	members   []*daemon
	gateways  []*daemon

	links        map[link]*relay   // between daemons
	controlLinks map[string]*relay // from callers to each member's control address
	clientLinks  map[string]*relay // from clients to each gateway

	shardAddresses []*shardAddress
	shards         *shardreplica.Record // of the sharded replicas

	fleet     *fleet
	operators *operators

	traffic     sync.WaitGroup
	stopTraffic context.CancelFunc
	running     context.Context // canceled at the end of the run; replicas use it
	cancel      context.CancelFunc
}

func newCluster(options Options) (*cluster, error) {
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	options.Size = options.Size.orDefault()
	startedAt := time.Now()
	c := &cluster{
		options:      options,
		startedAt:    startedAt,
		shards:       shardreplica.NewRecordSince(startedAt),
		record:       &Record{Schedule: options.Schedule, Size: options.Size},
		links:        map[link]*relay{},
		controlLinks: map[string]*relay{},
		clientLinks:  map[string]*relay{},
	}
	c.running, c.cancel = context.WithCancel(context.Background())
	c.operators = &operators{cluster: c}
	c.fleet = newFleet(c, rand.New(rand.NewPCG(options.Schedule.Seed, 2)))
	if err := c.createHosts(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// now returns the time since the start of the run.
func (c *cluster) now() time.Duration { return time.Since(c.startedAt) }

func (c *cluster) progressf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.options.Progress, "%7.2f s  %s\n", c.now().Seconds(), fmt.Sprintf(format, arguments...)) // progress messages are best effort
}

func (c *cluster) recordProcessEvent(name string, kind ProcessEventKind, detail string) {
	at := c.now()
	c.record.update(func(r *Record) {
		r.Processes = append(r.Processes, ProcessEvent{Process: name, Event: kind, At: at, Detail: detail})
	})
	if kind == ProcessEnded {
		c.progressf("%s exited unexpectedly: %s", name, detail)
	}
}

func (c *cluster) recordFinding(name, text string) {
	c.record.update(func(r *Record) { r.Findings = append(r.Findings, Finding{Process: name, Text: text}) })
	c.progressf("%s: %s", name, text)
}

// start starts daemons and replicas, waits until all gateways serve, and starts the traffic.
func (c *cluster) start(ctx context.Context) error {
	for _, d := range c.daemons() {
		if err := d.start(); err != nil {
			return merry.Prepend(err, "starting "+d.name)
		}
	}
	if err := c.fleet.startAll(c.running); err != nil {
		return merry.Prepend(err, "starting replicas")
	}
	limit := c.options.Size.startupTimeout()
	deadline := time.Now().Add(limit)
	first := Operation{Kind: PutOperation, Version: c.operators.nextVersion()}
	for first.Member = c.members[0].name; !c.operators.call(first).Acknowledged(); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return merry.Errorf("no member acknowledged the first configuration within %v", limit)
		}
		time.Sleep(ackRetryPause)
	}
	for !c.allGatewaysServe(ctx) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return merry.Errorf("not all gateways became ready within %v", limit)
		}
		time.Sleep(ackRetryPause)
	}
	if unserved := c.awaitKeys(ctx, c.now()+limit); len(unserved) > 0 {
		return merry.Errorf("%d sampled shard keys were not served within %v of the gateways", len(unserved), limit)
	}
	trafficFrom := c.now()
	c.record.update(func(r *Record) { r.TrafficFrom = trafficFrom })
	c.startTraffic(ctx)
	time.Sleep(warmUpTime)
	return nil
}

func (c *cluster) daemons() []*daemon {
	return append(append([]*daemon{}, c.members...), c.gateways...)
}

func (c *cluster) startTraffic(ctx context.Context) {
	ctx, c.stopTraffic = context.WithCancel(ctx)
	c.watchMachine(ctx)
	c.watchMembers(ctx)
	for i, gateway := range c.gateways {
		for j := range clientsPerGateway {
			number := i*clientsPerGateway + j
			sender := &client{
				cluster: c,
				gateway: gateway,
				address: c.clientLinks[gateway.name].address(),
				name:    fmt.Sprintf("c%d", number),
				random:  rand.New(rand.NewPCG(c.options.Schedule.Seed, uint64(100+number))),
			}
			c.traffic.Go(func() { sender.run(ctx) })
		}
	}
	for number := range operatorCount {
		random := rand.New(rand.NewPCG(c.options.Schedule.Seed, uint64(10+number)))
		c.traffic.Go(func() { c.operators.run(ctx, number, random) })
	}
}

// awaitRecovery waits until all gateways serve and all shard keys are served again after the last fault, then lets traffic run for
// finalTrafficTime.
func (c *cluster) awaitRecovery(ctx context.Context) {
	faultsEnded := c.now()
	c.record.update(func(r *Record) { r.FaultsEndedAt = faultsEnded })
	for c.now() < faultsEnded+recoveryTimeout && ctx.Err() == nil {
		if c.allGatewaysServe(ctx) {
			recovered := c.now()
			c.record.update(func(r *Record) { r.RecoveredAt = recovered })
			break
		}
		time.Sleep(ackRetryPause)
	}
	unserved := c.awaitKeys(ctx, faultsEnded+recoveryTimeout)
	keysServed := c.now()
	c.record.update(func(r *Record) {
		if r.UnservedKeys = unserved; len(unserved) == 0 {
			r.KeysServedAt = keysServed
		}
	})
	time.Sleep(finalTrafficTime) // probes must find the newest configuration in use during this time
}

// allGatewaysServe reports whether each gateway is ready and answers a request with 200.
func (c *cluster) allGatewaysServe(ctx context.Context) bool {
	for _, gateway := range c.gateways {
		if !gateway.isReady(ctx) || !c.serves(ctx, gateway) {
			return false
		}
	}
	return true
}

func (c *cluster) serves(ctx context.Context, gateway *daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	sent := Request{Gateway: gateway.name, Kind: SafeRequest, SentAt: c.now()}
	sent.ID = fmt.Sprintf("settled-%s-%d", gateway.name, sent.SentAt)
	return c.sendOnce(ctx, gateway, sent, safePath).Status == http.StatusOK
}

// sendOnce sends a request on a new connection and records it.
func (c *cluster) sendOnce(ctx context.Context, gateway *daemon, sent Request, path string) Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.frontAddress()+path, nil)
	if err != nil {
		return sent
	}
	request.Host, request.Close = shopHost, true
	request.Header.Set("X-Attempt-Id", sent.ID)
	if sent.Kind.isSharded() {
		request.Header.Set("X-Shard-Key", strconv.Itoa(int(sent.Key)))
	}
	sent.Status, sent.Body, sent.Problem = roundTrip(request)
	sent.EndedAt = c.now()
	c.record.update(func(r *Record) { r.Requests = append(r.Requests, sent) })
	return sent
}

// roundTrip sends a request on a new connection. The status is 0 if there is no complete response.
func roundTrip(request *http.Request) (status int, body, problem string) {
	response, err := controlTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }() // ReadAll reports read errors
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, string(read), ""
}

// finish stops the traffic, reads the configuration back from every member, ends all processes and returns the record.
func (c *cluster) finish(ctx context.Context) *Record {
	c.stopTraffic()
	c.traffic.Wait()
	for _, member := range c.members {
		c.operators.call(Operation{Operator: finalReadOperator, Kind: ReadOperation, Member: member.name})
	}
	c.checkInvariantMetrics(ctx)
	c.fleet.close()
	c.cancel()
	for _, d := range c.daemons() {
		d.finish()
	}
	ended := c.now()
	c.record.update(func(r *Record) { r.EndedAt = ended })
	c.recordShards()
	return c.record
}

// checkInvariantMetrics records a finding for each daemon whose metrics count violated invariants.
func (c *cluster) checkInvariantMetrics(ctx context.Context) {
	for _, d := range c.daemons() {
		text, err := d.metrics(ctx)
		if err != nil {
			c.recordFinding(d.name, "cannot read metrics: "+err.Error())
			continue
		}
		for line := range strings.Lines(text) {
			if strings.HasPrefix(line, "zincloft_invariant_violations_total") && !strings.HasSuffix(strings.TrimSpace(line), " 0") {
				c.recordFinding(d.name, strings.TrimSpace(line))
			}
		}
	}
}

func (d *daemon) metrics(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.metricsURL(), nil)
	if err != nil {
		return "", err
	}
	response, err := controlTransport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // ReadAll reports read errors
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// close ends everything that is still running. After finish, that is only the relays.
func (c *cluster) close() {
	c.cancel()
	if c.stopTraffic != nil {
		c.stopTraffic()
	}
	for _, d := range c.daemons() {
		d.finish()
	}
	c.fleet.close()
	for _, linkRelay := range c.links {
		linkRelay.close()
	}
	for _, address := range c.shardAddresses {
		address.close()
	}
	for _, links := range []map[string]*relay{c.controlLinks, c.clientLinks} {
		for _, linkRelay := range links {
			linkRelay.close()
		}
	}
}
