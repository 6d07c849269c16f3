package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	memberZones  = []string{"a", "b", "c"}
	gatewayZones = []string{"a", "b", "c", "a"}
)

// link names one directed pair of hosts: who dials, and who is dialed.
type link struct{ from, to string }

// cluster is one run: daemons, the relays between them, replicas, clients and operators.
type cluster struct {
	options  Options
	begunAt  time.Time
	record   *Record
	members  []*daemon
	gateways []*daemon

	links        map[link]*relay   // between daemons
	controlLinks map[string]*relay // from callers to each member's control address
	clientLinks  map[string]*relay // from clients to each gateway

	fleet     *fleet
	operators *operators

	traffic     sync.WaitGroup
	stopTraffic context.CancelFunc
	running     context.Context // of the daemons' checks and the replicas
	cancel      context.CancelFunc
}

func newCluster(options Options) (*cluster, error) {
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	c := &cluster{
		options:      options,
		begunAt:      time.Now(),
		record:       &Record{Schedule: options.Schedule},
		links:        map[link]*relay{},
		controlLinks: map[string]*relay{},
		clientLinks:  map[string]*relay{},
	}
	c.running, c.cancel = context.WithCancel(context.Background())
	c.operators = &operators{cluster: c}
	c.fleet = newFleet(c, rand.New(rand.NewPCG(options.Schedule.Seed, 2)))
	if err := c.build(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// now is the time since the run's begin.
func (c *cluster) now() time.Duration { return time.Since(c.begunAt) }

func (c *cluster) progressf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.options.Progress, "%7.2f s  %s\n", c.now().Seconds(), fmt.Sprintf(format, arguments...)) // progress is no result
}

func (c *cluster) noteProcess(name string, change ProcessEventKind, detail string) {
	at := c.now()
	c.record.change(func(r *Record) {
		r.Processes = append(r.Processes, ProcessEvent{Process: name, Event: change, At: at, Detail: detail})
	})
	if change == ProcessEnded {
		c.progressf("%s ended by itself: %s", name, detail)
	}
}

func (c *cluster) noteFinding(name, text string) {
	c.record.change(func(r *Record) { r.Findings = append(r.Findings, Finding{Process: name, Text: text}) })
	c.progressf("%s: %s", name, text)
}

// start starts everything and waits until all gateways serve.
func (c *cluster) start(ctx context.Context) error {
	for _, d := range c.daemons() {
		if err := d.start(); err != nil {
			return merry.Prepend(err, "starting "+d.name)
		}
	}
	if err := c.fleet.fill(c.running); err != nil {
		return merry.Prepend(err, "starting replicas")
	}
	deadline := time.Now().Add(startupTimeout)
	first := Operation{Kind: PutOperation, Version: c.operators.nextVersion()}
	for first.Member = c.members[0].name; !c.operators.call(first).Acknowledged(); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return merry.New("the first configuration was not acknowledged")
		}
		time.Sleep(ackRetryPause)
	}
	for !c.allServe(ctx) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return merry.New("not all gateways became ready")
		}
		time.Sleep(ackRetryPause)
	}
	c.startTraffic(ctx)
	time.Sleep(warmUpTime)
	return nil
}

func (c *cluster) daemons() []*daemon {
	return append(append([]*daemon{}, c.members...), c.gateways...)
}

func (c *cluster) startTraffic(ctx context.Context) {
	ctx, c.stopTraffic = context.WithCancel(ctx)
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

// settle waits until all gateways serve again after the last fault.
func (c *cluster) settle(ctx context.Context) {
	over := c.now()
	c.record.change(func(r *Record) { r.FaultsEndedAt = over })
	for c.now() < over+recoveryTimeout && ctx.Err() == nil {
		if c.allServe(ctx) {
			recovered := c.now()
			c.record.change(func(r *Record) { r.RecoveredAt = recovered })
			break
		}
		time.Sleep(ackRetryPause)
	}
	time.Sleep(lastReads) // traffic in calm times, by which the newest configuration must be in force
}

// allServe tells whether each gateway is ready and answers a request with success.
func (c *cluster) allServe(ctx context.Context) bool {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.frontAddress()+safePath, nil)
	if err != nil {
		return false
	}
	request.Host, request.Close = hostSafe, true
	sent := Request{Gateway: gateway.name, Kind: SafeRequest, SentAt: c.now()}
	sent.ID = fmt.Sprintf("settled-%s-%d", gateway.name, sent.SentAt)
	request.Header.Set("X-Attempt-Id", sent.ID)
	sent.Status, sent.Body, sent.Problem = roundTrip(request)
	sent.EndedAt = c.now()
	c.record.change(func(r *Record) { r.Requests = append(r.Requests, sent) })
	return sent.Status == http.StatusOK
}

// roundTrip sends a request on a connection of its own. The status is 0 where there is no complete answer.
func roundTrip(request *http.Request) (status int, body, problem string) {
	response, err := controlTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }() // it was read
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, string(read), ""
}

// finish reads the configuration back at every member, ends everything and returns the record.
func (c *cluster) finish(ctx context.Context) *Record {
	c.stopTraffic()
	c.traffic.Wait()
	for _, member := range c.members {
		c.operators.call(Operation{Operator: operatorCount, Kind: ReadOperation, Member: member.name})
	}
	c.readFigures(ctx)
	c.fleet.close()
	c.cancel()
	for _, d := range c.daemons() {
		d.finish()
	}
	ended := c.now()
	c.record.change(func(r *Record) { r.EndedAt = ended })
	return c.record
}

// readFigures asks each daemon whether it counted violations of invariants.
func (c *cluster) readFigures(ctx context.Context) {
	for _, d := range c.daemons() {
		text, err := d.figures(ctx)
		if err != nil {
			c.noteFinding(d.name, "its figures cannot be read: "+err.Error())
			continue
		}
		for line := range strings.Lines(text) {
			if strings.HasPrefix(line, "zincloft_invariant_violations_total") && !strings.HasSuffix(strings.TrimSpace(line), " 0") {
				c.noteFinding(d.name, strings.TrimSpace(line))
			}
		}
	}
}

func (d *daemon) figures(ctx context.Context) (string, error) {
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
	defer func() { _ = response.Body.Close() }() // it was read
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// close ends what still runs; after finish nothing does.
func (c *cluster) close() {
	c.cancel()
	if c.stopTraffic != nil {
		c.stopTraffic()
	}
	for _, d := range c.daemons() {
		d.finish()
	}
	c.fleet.close()
	for _, passes := range c.links {
		passes.close()
	}
	for _, links := range []map[string]*relay{c.controlLinks, c.clientLinks} {
		for _, passes := range links {
			passes.close()
		}
	}
}
