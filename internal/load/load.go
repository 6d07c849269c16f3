// Package load plays proxies, collectors and discovery of one site on loopback against a governor's binary, by the
// platform's protocol, and measures what the governor makes of them. It is an auditing tool: nothing in the daemon
// imports it.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Plan is one run. Times count from the moment at which all proxies hold their tables.
type Plan struct {
	Binary   string        // the governor's program
	Operator string        // its operator file; none if empty
	Proxies  int           // streams
	Replicas int           // listed, all healthy at first
	Zones    int           // a collector each
	Rate     float64       // flows a second at each proxy
	Pace     float64       // lines a second that the channel takes, for each proxy
	Phase    time.Duration // between one collector's writing and the next one's
	Spread   time.Duration // a collector takes so long to write its sums
	Late     time.Duration // the last collector writes so much later
	Fast     bool          // each fourth replica does the same work at half the load
	Met      bool          // proxies tell what each met at each replica
	Flood    bool          // one proxy writes without end while a replica drains
	HangAt   time.Duration // a replica swallows flows from then on
	DrainAt  time.Duration // a replica drains
	PartAt   time.Duration // a replica swallows the flows of 1% of the proxies
	Length   time.Duration
	Seed     uint64
	Profile  string // where the governor's CPU profile goes, with a binary that can write one
}

// Result is what a run has shown.
type Result struct {
	Proxies   int
	Bound     time.Duration // until the last proxy held a table
	Cut       int           // lines of healthy replicas that fell below a quarter
	CutBefore int           // of these, before the first trouble
	CPU       float64       // seconds of CPU a second, in the calm part
	MemoryMB  float64       // resident memory at its highest
	Down      time.Duration // until the swallowing replica was down to a quarter at 99% of the proxies; 0: never
	Drain     time.Duration // 99th percentile from the drain told to the order read
	DrainMost time.Duration
	Part      time.Duration // until the first order for a proxy of the 1% alone; 0: never
	PartRight int           // proxies of the 1% that were told to shun the replica
	PartWrong int           // withdrawals elsewhere
	Messages  int
}

// Swallowed flows are dropped by the proxies after this time.
const giveUp = time.Second

type play struct {
	Plan
	began  atomic.Int64 // unix nanoseconds at which time zero was; 0: not yet
	told   atomic.Int64 // unix nanoseconds at which discovery answered with the drain
	names  []string
	dir    string
	listen string
	list   *list

	mu     sync.Mutex
	drains *hdrhistogram.Histogram
	result Result
	down   int
	met    []zoneSums
	closed chan struct{}
}

type zoneSums struct {
	mu    sync.Mutex
	tries []int
	drops []int
}

// prepare makes what a run needs; done takes it away again.
func prepare(plan Plan) (p *play, done func(), err error) {
	dir, err := os.MkdirTemp("", "zinclab")
	if err != nil {
		return nil, nil, fmt.Errorf("a folder for the run: %w", err)
	}
	p = &play{Plan: plan, dir: dir, closed: make(chan struct{}), drains: hdrhistogram.New(1, 60_000_000, 3), met: make([]zoneSums, plan.Zones)}
	p.result.Proxies = plan.Proxies
	for i := range plan.Replicas {
		p.names = append(p.names, fmt.Sprintf("r-%04d", i))
	}
	for z := range p.met {
		p.met[z].tries, p.met[z].drops = make([]int, plan.Replicas), make([]int, plan.Replicas)
	}
	if p.list, err = newList(p); err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	return p, func() { p.list.server.Close(); os.RemoveAll(dir) }, nil
}

// held waits until all proxies hold a table and tells how long that took, or how many do after most.
func held(ctx context.Context, proxies []*proxy, since time.Time, most time.Duration) (took time.Duration, holding int) {
	for ; ; time.Sleep(5 * time.Millisecond) {
		holding = 0
		for _, x := range proxies {
			holding += int(x.held.Load())
		}
		if took = time.Since(since); holding == len(proxies) || ctx.Err() != nil || took > most {
			return took, holding
		}
	}
}

// traffic begins the run's time, the collectors' writing and the proxies' flows, until closed is.
func (p *play) traffic(ctx context.Context, proxies []*proxy) *sync.WaitGroup {
	p.began.Store(time.Now().UnixNano())
	running := &sync.WaitGroup{}
	for z := range p.Zones {
		running.Go(func() { p.collect(ctx, z) })
	}
	for _, x := range proxies {
		running.Go(func() { x.flows(ctx) })
	}
	return running
}

// AwayResult is what a start without discovery has shown.
type AwayResult struct {
	Took    time.Duration // from the start of the second life until the last proxy held a table
	Holding int           // proxies that did, 10 s after the start at the latest
	Cold    float64       // share of what the tables ask for that goes to replicas which started anew meanwhile
	Learnt  float64       // share of it that goes to the faster half of the others; 0.5: nothing is known of speeds
}

// Away lets a governor live for the plan's length, kills it outright and takes discovery away, has each second replica start anew,
// and starts the governor again: all proxies come at once and know only their standing tables.
func Away(ctx context.Context, plan Plan) (r AwayResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Length+2*time.Minute)
	defer cancel()
	p, done, err := prepare(plan)
	if err != nil {
		return r, err
	}
	defer done()
	p.HangAt, p.DrainAt, p.PartAt = plan.Length, plan.Length, plan.Length
	first, err := p.start(ctx)
	if err != nil {
		return r, err
	}
	proxies, err := p.join(ctx)
	if err != nil {
		return r, err
	}
	if _, n := held(ctx, proxies, time.Now(), time.Minute); n < len(proxies) {
		return r, fmt.Errorf("%d of %d proxies hold a table", n, len(proxies))
	}
	running := p.traffic(ctx, proxies)
	time.Sleep(plan.Length)
	_ = first.Process.Kill()
	_ = first.Wait() // killed, as meant
	close(p.closed)
	p.list.server.Close()
	running.Wait()
	begun := time.Now()
	second, err := p.start(ctx)
	if err != nil {
		return r, err
	}
	defer func() { _ = second.Process.Kill(); _ = second.Wait() }()
	if proxies, err = p.join(ctx); err != nil {
		return r, err
	}
	const most = 10 * time.Second
	r.Took, r.Holding = held(ctx, proxies, begun, most)
	all, cold, fast, slow := 0.0, 0.0, 0.0, 0.0
	for _, x := range proxies {
		x.mu.Lock()
		for i, w := range x.weights {
			switch all += float64(w); {
			case i%2 == 1:
				cold += float64(w)
			case i%4 == 0:
				fast += float64(w)
			default:
				slow += float64(w)
			}
		}
		x.mu.Unlock()
	}
	if all > 0 {
		r.Cold, r.Learnt = cold/all, fast/(fast+slow)
	}
	return r, nil
}

// Run plays a plan to its end.
func Run(ctx context.Context, plan Plan) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Length+2*time.Minute)
	defer cancel()
	p, done, err := prepare(plan)
	if err != nil {
		return Result{}, err
	}
	defer done()
	governor, err := p.start(ctx)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = governor.Process.Signal(syscall.SIGTERM); _ = governor.Wait() }()
	joined := time.Now()
	proxies, err := p.join(ctx)
	if err != nil {
		return Result{}, err
	}
	took, holding := held(ctx, proxies, joined, time.Minute)
	if holding < len(proxies) {
		return Result{}, fmt.Errorf("%d of %d proxies hold a table after %v", holding, len(proxies), took.Round(time.Second))
	}
	p.result.Bound = took
	running := p.traffic(ctx, proxies)
	calmFrom, calmTo := p.until(3*time.Second), p.until(plan.HangAt)
	time.Sleep(time.Until(calmFrom))
	before := cpu(governor.Process.Pid)
	time.Sleep(time.Until(calmTo))
	p.result.CPU = (cpu(governor.Process.Pid) - before) / (calmTo.Sub(calmFrom)).Seconds()
	p.mu.Lock()
	p.result.CutBefore = p.result.Cut
	p.mu.Unlock()
	time.Sleep(time.Until(p.until(plan.DrainAt)))
	p.list.drain(1)
	time.Sleep(time.Until(p.until(plan.Length)))
	p.result.MemoryMB = memory(governor.Process.Pid)
	close(p.closed)
	for _, x := range proxies {
		x.conn.Close()
	}
	running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Drain = time.Duration(p.drains.ValueAtQuantile(99)) * time.Microsecond
	p.result.DrainMost = time.Duration(p.drains.Max()) * time.Microsecond
	return p.result, nil
}

func (p *play) until(d time.Duration) time.Time { return time.Unix(0, p.began.Load()).Add(d) }

// since is the time of the run, below 0 before it begins.
func (p *play) since() time.Duration {
	if p.began.Load() == 0 {
		return -1
	}
	return time.Duration(time.Now().UnixNano() - p.began.Load())
}

func (p *play) start(ctx context.Context) (*exec.Cmd, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("an address for the governor: %w", err)
	}
	p.listen = free.Addr().String()
	free.Close()
	pace := p.Pace * float64(p.Proxies)
	var zones []string
	for z := range p.Zones {
		zones = append(zones, zone(z))
	}
	s := int64(time.Second)
	conf, err := json.Marshal(map[string]any{
		"name": "load", "listen": p.listen, "discovery": p.list.address, "seed": strconv.FormatUint(p.Seed, 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": p.Proxies + 200},
		"settings": map[string]any{
			"balancers": 1, "discovery": "on_request", "tick": 4_000_000, "zones": zones, "hostTypes": []string{"m"}, "myZone": 0,
			"lanes": []map[string]any{
				{"name": "look", "aim": s, "deadline": 3 * s, "effect": "retryable", "importance": 3},
				{"name": "edit", "aim": 2 * s, "deadline": 5 * s, "effect": "dedup", "group": "all", "window": 5 * s, "importance": 2},
				{"name": "pay", "aim": 3 * s, "deadline": 7 * s, "effect": "unsafe", "importance": 2}},
			"familyInfo": map[string]any{"bare": 5 * s, "interval": s, "levelKind": "none", "linesPerS": pace, "perMessage": 6,
				"queueCap": 2 * pace, "pushDelayMax": s / 2, "updateCap": 20, "reloadSpan": 10 * s, "dataPlaneSize": p.Proxies,
				"failsToEject": 3},
			"guarantees": map[string]any{"askWithin": 10 * s, "coldFrom": 0.2, "fallMultiple": 4, "overloadFor": 2 * s,
				"stopSendingWithin": 3 * s, "warmAfter": 18 * s},
			"report": map[string]any{"fields": []string{"util", "inflight"}}, "permissions": map[string]any{"connIdle": 15 * s},
		}})
	if err != nil {
		return nil, fmt.Errorf("the configuration: %w", err)
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		return nil, fmt.Errorf("the configuration: %w", err)
	}
	c := exec.CommandContext(ctx, p.Binary)
	c.Env = append(os.Environ(), "LB_CONFIG="+path, "ZINCLOFT_OPERATOR="+p.Operator, "ZINCLOFT_PROFILE="+p.Profile)
	log, err := os.Create(filepath.Join(os.TempDir(), "zinclab-governor.log"))
	if err != nil {
		return nil, fmt.Errorf("the governor's log: %w", err)
	}
	defer log.Close()
	c.Stderr = log
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("the governor: %w", err)
	}
	for range 200 {
		if n, err := net.Dial("tcp", p.listen); err == nil {
			n.Close()
			return c, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("the governor does not listen on %s", p.listen)
}

func zone(z int) string { return string(rune('a' + z)) }

func (p *play) join(ctx context.Context) ([]*proxy, error) {
	proxies := make([]*proxy, p.Proxies)
	for i := range proxies {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			return nil, fmt.Errorf("proxy %d: %w", i, err)
		}
		x := &proxy{play: p, id: i, conn: c, weights: make([]float32, p.Replicas), chance: rand.New(rand.NewPCG(p.Seed, uint64(i))),
			part: i%100 == 7, tries: make([]int, p.Replicas), drops: make([]int, p.Replicas)}
		proxies[i] = x
		go x.read()
		if err := x.write("attach", "sidecar", strconv.Itoa(i), "az", zone(i%p.Zones), "share", fmt.Sprint(p.Rate), "standing", "1"); err != nil {
			return nil, fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	return proxies, ctx.Err()
}

// collect writes a zone's sums each second.
func (p *play) collect(ctx context.Context, z int) {
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		return
	}
	defer c.Close()
	say(c, "telemetry", "az", zone(z))
	shift := time.Duration(z) * p.Phase
	if z == p.Zones-1 {
		shift += p.Late
	}
	for n := 1; ; n++ {
		if !p.wait(ctx, p.until(time.Duration(n)*time.Second+shift+230*time.Millisecond)) {
			return
		}
		m := &p.met[z]
		m.mu.Lock()
		var sums [][]byte
		for i, tries := range m.tries {
			drops := m.drops[i]
			if tries == 0 {
				continue
			}
			words := []string{"upstream_stats", "az", zone(z), "host", p.names[i], "n", strconv.Itoa(tries), "bad", strconv.Itoa(drops), "window", "1000.0"}
			if drops < tries {
				util := "0.50"
				if p.Fast && i%4 == 0 {
					util = "0.25"
				}
				inFlight := 1 + tries/20 // by Little's law, with answers after 50 ms
				words = append(words, "avg", "50.0", "report", fmt.Sprintf("inflight:%d,util:%s", inFlight, util))
			}
			sums = append(sums, message(nil, words...))
			m.tries[i], m.drops[i] = 0, 0
		}
		m.mu.Unlock()
		for i, b := range sums {
			if _, err := c.Write(b); err != nil {
				return
			}
			if parts := 1 + len(sums)/8; p.Spread > 0 && i%parts == parts-1 {
				time.Sleep(p.Spread / 8)
			}
		}
	}
}

func (p *play) wait(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-p.closed:
	case <-ctx.Done():
	}
	return false
}

func message(b []byte, words ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

func say(c net.Conn, words ...string) { _, _ = c.Write(message(nil, words...)) } // a broken stream shows at its reader

// list is discovery.
type list struct {
	play    *play
	server  *http.Server
	address string
	mu      sync.Mutex
	version int
	changed chan struct{}
	drained int
}

func newList(p *play) (*list, error) {
	l := &list{play: p, version: 1, changed: make(chan struct{}), drained: -1}
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	l.address = at.Addr().String()
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(at) }() // ends with Close
	return l, nil
}

func (l *list) drain(replica int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained, l.version = replica, l.version+1
	close(l.changed)
}

func (l *list) serve(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	if index == version {
		select {
		case <-l.changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []string
	for i, name := range l.play.names {
		state := "ready"
		if i == l.drained {
			state = "draining"
		}
		if index == 0 || i == l.drained && index < l.version {
			entries = append(entries, fmt.Sprintf(`{"id":%q,"zone":%q,"kind":"m","state":%q,"weight":1.0,"started_ms":0}`, name, zone(i%l.play.Zones), state))
		}
	}
	if l.drained >= 0 {
		l.play.told.CompareAndSwap(0, time.Now().UnixNano())
	}
	fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, l.version, index == 0, strings.Join(entries, ","))
}

// cpu is the CPU time of a process, in seconds.
func cpu(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // clock ticks
}

// memory is the highest resident memory of a process, in MB.
func memory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
