// Package scalerun plays the gateway at several sizes on loopback: real combs and a few real foragers as processes, beside hollow
// foragers and replicas by the thousand in this one, which say the same words over real sockets. It measures each role, fits a
// power to each figure, and carries it on to a target. docs/design/scale.md tells why it is so, docs/operate/scale.md how it is used.
package scalerun

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/sizes"
)

// Options is what is played.
type Options struct {
	BinDir            string // folder of comb and forager
	Target            Target
	Scales            []float64 // of the target, in turn
	Members           int       // processes, a zone each
	RealGateways      int       // real foragers, processes
	MaxCores          int       // that all of it may use
	MaxMemoryGB       float64   // that all of it may use: a part that goes beyond ends the run
	SettleTime        time.Duration
	SteadyTime        time.Duration
	HeartbeatInterval time.Duration // of replicas
	ConfigChanges     int
	JoinsPerSecond    float64       // foragers that begin a second; 0: all at once
	Timeout           time.Duration // of the whole run
	KeepDir           string        // folder for logs and settings; empty: one that is removed
	Progress          io.Writer
}

// Row is one figure.
type Row struct {
	Scale              float64
	Role, Metric, Unit string
	Value              float64
}

type experiment struct {
	Options
	fleet                                                      sizes.Fleet
	scale                                                      float64
	dir                                                        string
	began                                                      time.Time
	members                                                    []*process
	realGateways                                               []*process
	gateways                                                   []*SyntheticGateway
	replicas                                                   []*SyntheticReplica
	gatewayReceived, gatewaySent, replicaReceived, replicaSent *TrafficCounts
	rows                                                       []Row
	addressOctet                                               byte // second octet of addresses
	acknowledgements                                           []acknowledgement
}

const (
	controlPort       = 18080
	firstInternalPort = 17540
	lastInternalPort  = 17555
	maxProcesses      = 100
	stepTimeout       = 60 * time.Second
)

// Run plays all parts. What was measured before a fault is returned with it.
func Run(ctx context.Context, p Options) ([]Row, error) {
	if p.Members < 1 || p.Members > 26 || p.Members+p.RealGateways > maxProcesses || p.Members > 1 && p.Members < 3 {
		return nil, merry.Errorf("%d combs and %d real foragers: one comb or three to 26, and at most %d processes", p.Members, p.RealGateways, maxProcesses)
	}
	if err := limitCores(p.MaxCores); err != nil {
		return nil, merry.Prepend(err, "keeping to some cores")
	}
	runtime.GOMAXPROCS(min(p.MaxCores, runtime.GOMAXPROCS(0)))
	ctx, stop := context.WithTimeout(ctx, p.Timeout)
	defer stop()
	var rows []Row
	for i, part := range p.Scales {
		r := &experiment{Options: p, scale: part, began: time.Now(), addressOctet: byte(64 + (os.Getpid()*7+i)%120), gatewayReceived: &TrafficCounts{}, gatewaySent: &TrafficCounts{}, replicaReceived: &TrafficCounts{}, replicaSent: &TrafficCounts{}}
		r.fleet = p.Target.Fleet().Scale(part)
		r.fleet.Zones = p.Members
		err := r.run(ctx)
		rows = append(rows, r.rows...)
		if err != nil {
			return rows, merry.Prepend(err, fmt.Sprintf("part %v", part))
		}
	}
	return rows, nil
}

func (r *experiment) logf(format string, a ...any) {
	fmt.Fprintf(r.Progress, "part %-7.4g %5.1fs  %s\n", r.scale, time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

func (r *experiment) addRow(role, what, unit string, v float64) {
	r.rows = append(r.rows, Row{r.scale, role, what, unit, v})
}

func (r *experiment) run(ctx context.Context) (err error) {
	if r.dir = r.KeepDir; r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "zinclab-scale"); err != nil {
			return err
		}
		defer os.RemoveAll(r.dir)
	} else {
		r.dir = filepath.Join(r.dir, fmt.Sprintf("part-%g", r.scale))
	}
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() {
		stop()
		all.Wait()
		for _, p := range slices.Concat(r.members, r.realGateways) {
			if p.cmd != nil && p.cmd.Process != nil {
				p.kill()
			}
		}
	}()
	r.logf("%d foragers (%d of them real), %d replicas, %d services, %d routes, %d combs", r.fleet.Gateways, r.RealGateways, r.fleet.Replicas, r.fleet.Services, r.fleet.Routes, r.Members)
	if err := r.startMembers(ctx); err != nil {
		return err
	}
	if err := r.changeConfiguration(ctx, 1, false); err != nil {
		return err
	}
	at := time.Now()
	r.startReplicas(ctx, &all)
	if err := r.until(ctx, "every replica is acknowledged", func() bool {
		return !slices.ContainsFunc(r.replicas, func(x *SyntheticReplica) bool { return x.LastAcknowledged().IsZero() })
	}); err != nil {
		return err
	}
	r.addRow("replica", "all acknowledged after", "s", time.Since(at).Seconds())
	r.logf("replicas beat")
	if err := r.startGateways(ctx, &all); err != nil {
		return err
	}
	r.logf("foragers have joined; %v until calm", r.SettleTime)
	if err := r.wait(ctx, r.SettleTime); err != nil {
		return err
	}
	if err := r.measureSteadyState(ctx); err != nil {
		return err
	}
	for v := range r.ConfigChanges {
		if err := r.changeConfiguration(ctx, uint64(v+2), true); err != nil {
			return err
		}
		if err := r.wait(ctx, time.Second); err != nil {
			return err
		}
	}
	r.addQuantiles("configuration", "from acknowledged to arrived", r.propagationTimes())
	return r.loseMember(ctx)
}

func (r *experiment) peerAddress(comb int) string {
	return fmt.Sprintf("127.%d.250.%d:%d", r.addressOctet, comb+1, firstInternalPort)
}
func (r *experiment) controlAddress(comb int) string {
	return fmt.Sprintf("127.%d.250.%d:%d", r.addressOctet, comb+1, controlPort)
}

func (r *experiment) settings(name, ip, zone, data, front, ready, control string) string {
	var seeds, zones []string
	for i := range r.Members {
		zones = append(zones, sizes.ZoneName(i)+": region")
		if i < 3 {
			seeds = append(seeds, strconv.Quote(r.controlAddress(i)))
		}
	}
	return fmt.Sprintf(`
self_settings: {node_name: %q, zone: %q, region: region, ip_address: %s, counted: true, first_start: %%v, data_directory: %q,
  limits: {cpu_share: 1, memory_mb: 4096, file_descriptors: 16384, link_mbps: 1000}}
network_settings:
  listen_addresses: {front: %q, readiness: %q, control: %q}
  internal_port_range: [%d, %d]
  seed_nodes: [%s]
  zones: {%s}
platform_settings: {heartbeat_interval: %q}
`, name, zone, ip, data, front, ready, control, firstInternalPort, lastInternalPort, strings.Join(seeds, ", "), strings.Join(zones, ", "), r.HeartbeatInterval)
}

func (r *experiment) startMembers(ctx context.Context) error {
	for i := range r.Members {
		ip, name := fmt.Sprintf("127.%d.250.%d", r.addressOctet, i+1), fmt.Sprintf("comb-%d", i+1)
		p := &process{name: name, program: filepath.Join(r.BinDir, "controlplane"), dir: filepath.Join(r.dir, name), control: r.controlAddress(i), zone: sizes.ZoneName(i)}
		p.settings = r.settings(name, ip, p.zone, filepath.Join(p.dir, "data"), "", "", p.control)
		if err := p.start(true); err != nil {
			return merry.Prepend(err, name)
		}
		r.members = append(r.members, p)
	}
	return r.until(ctx, "the combs are in touch", func() bool {
		return !slices.ContainsFunc(r.members, func(p *process) bool { return !ready(ctx, p.control) })
	})
}

func (r *experiment) startReplicas(ctx context.Context, all *sync.WaitGroup) {
	var seeds []string
	for i := range min(r.Members, 3) {
		seeds = append(seeds, r.controlAddress(i))
	}
	for _, l := range r.fleet.Instances() {
		x := &SyntheticReplica{Instance: l, HeartbeatInterval: r.HeartbeatInterval, Seeds: seeds, Sent: r.replicaSent, Received: r.replicaReceived}
		r.replicas = append(r.replicas, x)
		all.Go(func() { x.Run(ctx) })
	}
}

func (r *experiment) startGateways(ctx context.Context, all *sync.WaitGroup) error {
	var seeds []string
	for i := range min(r.Members, 3) {
		seeds = append(seeds, r.peerAddress(i))
	}
	at := time.Now()
	first, err := r.memberCPU()
	if err != nil {
		return err
	}
	share := &sharedInstances{}
	perSecond := r.Target.Requests / float64(max(r.Target.Fleet().Gateways, 1))
	for i := range max(r.fleet.Gateways-r.RealGateways, 1) {
		ip := netip.AddrFrom4([4]byte{127, r.addressOctet, byte(i >> 8), byte(i)})
		f := &SyntheticGateway{Name: fmt.Sprintf("edge-%05d", i), Zone: sizes.ZoneName(i % r.Members), IP: ip, Seeds: seeds, Received: r.gatewayReceived, Sent: r.gatewaySent, instances: share,
			Requests: RequestLoad{PerSecond: perSecond, Chance: rand.Float64}}
		f.initialize(r.Members)
		r.gateways = append(r.gateways, f)
		if r.JoinsPerSecond > 0 {
			if err := r.wait(ctx, time.Duration(float64(time.Second)/r.JoinsPerSecond)); err != nil {
				return err
			}
		}
		all.Go(func() { f.Run(ctx, lastInternalPort) })
	}
	for i := range r.RealGateways {
		ip, name := fmt.Sprintf("127.%d.251.%d", r.addressOctet, i+1), fmt.Sprintf("forager-%d", i+1)
		p := &process{name: name, program: filepath.Join(r.BinDir, "gateway"), dir: filepath.Join(r.dir, name), zone: sizes.ZoneName(i % r.Members)}
		p.settings = r.settings(name, ip, p.zone, "", ip+":18548", ip+":18542", "")
		if err := p.start(true); err != nil {
			return merry.Prepend(err, name)
		}
		r.realGateways = append(r.realGateways, p)
	}
	hold := func() (n int) {
		for _, f := range r.gateways {
			if comb, _ := f.Connection(); comb != "" {
				n++
			}
		}
		return n
	}
	err = r.until(ctx, "every forager holds a whole state", func() bool {
		if hold() < len(r.gateways) {
			return false
		}
		for _, p := range r.realGateways {
			resp, err := http.Get(fmt.Sprintf("http://127.%d.251.%s:18542/api/readiness", r.addressOctet, strings.TrimPrefix(p.name, "forager-")))
			if err != nil {
				return false
			}
			if resp.Body.Close(); resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	if last, e := r.memberCPU(); e == nil {
		r.addRow("comb", "joining: processor", "s", (last-first).Seconds()/float64(r.Members))
	}
	r.addRow("forager", "joining: streams begun, each", "", float64(r.gatewaySent.Snapshot()["hello"].Messages)/float64(len(r.gateways)))
	if err != nil {
		return merry.Appendf(err, "%d of %d hold one", hold(), len(r.gateways))
	}
	if r.JoinsPerSecond > 0 {
		return nil
	}
	var took []float64
	for _, f := range r.gateways {
		_, since := f.Connection()
		took = append(took, since.Sub(at).Seconds())
	}
	r.addQuantiles("forager", "all at once: joined after", took)
	return nil
}

// memberCPU is the processor time that the combs have used.
func (r *experiment) memberCPU() (d time.Duration, err error) {
	for _, p := range r.members {
		u, err := p.usage()
		if err != nil {
			return 0, err
		}
		d += u.CPU
	}
	return d, nil
}

// until waits for something, and ends where a process has ended or memory is short.
func (r *experiment) until(ctx context.Context, what string, f func() bool) error {
	for end := time.Now().Add(stepTimeout); !f(); {
		if time.Now().After(end) {
			return merry.Errorf("%s: not within %v", what, stepTimeout)
		}
		if err := r.wait(ctx, 50*time.Millisecond); err != nil {
			return merry.Prepend(err, what)
		}
	}
	return nil
}

func (r *experiment) wait(ctx context.Context, d time.Duration) error {
	for end := time.Now().Add(d); ; {
		memory := ownMemory()
		for _, p := range slices.Concat(r.members, r.realGateways) {
			if !p.running() {
				return merry.Errorf("%s has ended; its log: %s", p.name, tail(p.log()))
			}
			if u, err := p.usage(); err == nil {
				memory += u.Memory
			}
		}
		if memory > r.MaxMemoryGB*1e9 {
			return merry.Errorf("%.1f GB are in use, above the bound of %v", memory/1e9, r.MaxMemoryGB)
		}
		left := time.Until(end)
		if left <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(left, time.Second)):
		}
	}
}

func ownMemory() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys - m.HeapReleased)
}

func tail(path string) string {
	raw, _ := os.ReadFile(path)
	return strings.TrimSpace(string(raw[max(len(raw)-600, 0):]))
}

// measureSteadyState measures a while in which nothing happens but beats, reports and what follows from them.
func (r *experiment) measureSteadyState(ctx context.Context) error {
	before := make([]usage, 0, r.Members+r.RealGateways)
	for _, p := range slices.Concat(r.members, r.realGateways) {
		u, err := p.usage()
		if err != nil {
			return err
		}
		before = append(before, u)
	}
	in, out, rin, rout := r.gatewayReceived.Snapshot(), r.gatewaySent.Snapshot(), r.replicaReceived.Snapshot(), r.replicaSent.Snapshot()
	at := time.Now()
	if err := r.wait(ctx, r.SteadyTime); err != nil {
		return err
	}
	over := time.Since(at).Seconds()
	in2, out2, rin2, rout2 := r.gatewayReceived.Snapshot(), r.gatewaySent.Snapshot(), r.replicaReceived.Snapshot(), r.replicaSent.Snapshot()
	var combs, real, toReal, cpu float64
	for i, p := range slices.Concat(r.members, r.realGateways) {
		u, err := p.usage()
		if err != nil {
			return err
		}
		b := before[i]
		busy := (u.CPU - b.CPU).Seconds() / over
		cpu += busy
		role, n := "comb", float64(r.Members)
		if i >= r.Members {
			role, n = "real forager", float64(r.RealGateways)
			toReal += u.Read - b.Read
			real += 1
		} else {
			combs += u.Read - b.Read
		}
		r.addRow(role, "processor", "% of a core", 100*busy/n)
		r.addRow(role, "memory", "MB", u.Memory/1e6/n)
		r.addRow(role, "connections", "", u.Sockets/n)
		r.addRow(role, "read", "B/s", (u.Read-b.Read)/over/n)
	}
	r.rows = sumRows(r.rows)
	hollow := float64(len(r.gateways))
	said := 0.0
	kinds := func(role string, n float64, a, b map[string]Count) (bytes float64) {
		for _, k := range sortedKeys(b) {
			d := Count{b[k].Messages - a[k].Messages, b[k].Bytes - a[k].Bytes}
			bytes += float64(d.Bytes)
			r.addRow(role, k, "1/s", float64(d.Messages)/over/n)
			r.addRow(role, k, "B/s", float64(d.Bytes)/over/n)
		}
		return bytes
	}
	heard := kinds("forager hears", hollow, in, in2)
	said = kinds("forager says", hollow, out, out2)
	beats := kinds("replica says", float64(len(r.replicas)), rout, rout2)
	kinds("replica hears", float64(len(r.replicas)), rin, rin2)
	r.addRow("forager", "control bytes, both ways", "B/s", (heard+said)/over/hollow)
	perForager := said / hollow
	// What a comb reads is what foragers and replicas say, and the rest is other combs'.
	r.addRow("comb", "read from foragers", "B/s", (said+perForager*real)/over/float64(r.Members))
	r.addRow("comb", "read from replicas", "B/s", beats/over/float64(r.Members))
	r.addRow("comb", "read from combs", "B/s", max(combs-said-perForager*real-beats, 0)/over/float64(r.Members))
	r.addRow("comb", "written to foragers", "B/s", (heard+toReal)/over/float64(r.Members))
	r.addRow("all", "processor of combs and real foragers", "% of a core", 100*cpu)
	r.addRow("hollow", "memory", "MB", ownMemory()/1e6)
	r.logf("steady: combs and real foragers use %.2f cores; a forager hears %.0f and says %.0f B/s", cpu, heard/over/hollow, said/over/hollow)
	return nil
}

// sumRows adds rows of one figure up; each holds its part.
func sumRows(rows []Row) (out []Row) {
	at := map[Row]int{}
	for _, x := range rows {
		key := x
		key.Value = 0
		if i, ok := at[key]; ok {
			out[i].Value += x.Value
		} else {
			at[key] = len(out)
			out = append(out, x)
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

type acknowledgement struct {
	version uint64
	acked   time.Time
}

// changeConfiguration gives a version to the first comb, and waits until all foragers have it where there are any.
func (r *experiment) changeConfiguration(ctx context.Context, version uint64, measured bool) error {
	body := r.fleet.Configuration(version, 8)
	at := time.Now()
	if err := r.until(ctx, "a configuration is acknowledged", func() bool {
		status, _, err := call(ctx, r.members[0].control, "configuration.replace", body)
		return err == nil && status == http.StatusOK
	}); err != nil {
		return err
	}
	acked := time.Now()
	if !measured {
		return nil
	}
	r.addRow("configuration", "acknowledged after", "ms", float64(acked.Sub(at).Milliseconds())/float64(r.ConfigChanges))
	r.rows = sumRows(r.rows)
	r.acknowledgements = append(r.acknowledgements, acknowledgement{version, acked})
	return r.until(ctx, "a version has come to all", func() bool {
		for _, f := range r.gateways {
			if _, ok := f.VersionArrival(version); !ok {
				return false
			}
		}
		return true
	})
}

// propagationTimes are the times from an acknowledgement until the version had come to a forager, in milliseconds.
func (r *experiment) propagationTimes() (ms []float64) {
	for _, c := range r.acknowledgements {
		for _, f := range r.gateways {
			if at, ok := f.VersionArrival(c.version); ok {
				ms = append(ms, max(float64(at.Sub(c.acked).Microseconds())/1000, 0))
			}
		}
	}
	return ms
}

func (r *experiment) addQuantiles(role, what string, of []float64) {
	slices.Sort(of)
	if len(of) == 0 {
		return
	}
	unit := "s"
	if role == "configuration" {
		unit = "ms"
	}
	at := func(q float64) float64 { return of[min(int(q*float64(len(of))), len(of)-1)] }
	r.addRow(role, what+", p50", unit, at(0.5))
	r.addRow(role, what+", p99", unit, at(0.99))
	r.addRow(role, what+", all", unit, of[len(of)-1])
}

// loseMember kills the last comb, waits until its foragers have another one, starts it again and waits until it is filled.
func (r *experiment) loseMember(ctx context.Context) error {
	p := r.members[len(r.members)-1]
	if len(r.members) < 3 {
		return nil
	}
	inner := r.peerAddress(len(r.members) - 1)
	var orphans []*SyntheticGateway
	for _, f := range r.gateways {
		if comb, _ := f.Connection(); comb == inner {
			orphans = append(orphans, f)
		}
	}
	read := r.gatewayReceived.Snapshot()
	bytes := func(a, b map[string]Count) (n float64) {
		for k := range b {
			n += float64(b[k].Bytes - a[k].Bytes)
		}
		return n
	}
	at := time.Now()
	p.kill()
	if err := r.waitWithout(ctx, p, "the orphans hold a whole state of another comb", func() bool {
		for _, f := range orphans {
			if comb, since := f.Connection(); comb == "" || comb == inner || !since.After(at) {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	var took []float64
	for _, f := range orphans {
		_, since := f.Connection()
		took = append(took, since.Sub(at).Seconds())
	}
	r.addQuantiles("forager", "comb killed: joined another after", took)
	r.addRow("forager", "comb killed: bytes told until then", "MB", bytes(read, r.gatewayReceived.Snapshot())/1e6)
	if err := r.waitWithout(ctx, p, "", nil); err != nil {
		return err
	}
	at = time.Now()
	if err := p.start(false); err != nil {
		return err
	}
	if err := r.until(ctx, "the comb is back in the chain", func() bool { return ready(ctx, p.control) }); err != nil {
		return err
	}
	r.addRow("comb", "back in the chain after", "s", time.Since(at).Seconds())
	if u, err := p.usage(); err == nil {
		r.addRow("comb", "back: read by then", "MB", u.Read/1e6)
		r.addRow("comb", "back: processor by then", "s", u.CPU.Seconds())
		r.addRow("comb", "back: peak memory by then", "MB", u.Peak/1e6)
	}
	r.logf("a comb was killed (%d foragers) and is back", len(orphans))
	return nil
}

// waitWithout waits while one process is down.
func (r *experiment) waitWithout(ctx context.Context, down *process, what string, f func() bool) error {
	all := r.members
	r.members = slices.DeleteFunc(slices.Clone(all), func(p *process) bool { return p == down })
	defer func() { r.members = all }()
	if f == nil {
		return r.wait(ctx, 3*time.Second) // the view is mended by then, and foragers have settled
	}
	return r.until(ctx, what, f)
}

// WriteCSV writes rows with a head.
func WriteCSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	c.Write([]string{"part", "role", "what", "unit", "value"})
	for _, x := range rows {
		c.Write([]string{strconv.FormatFloat(x.Scale, 'g', -1, 64), x.Role, x.Metric, x.Unit, strconv.FormatFloat(x.Value, 'g', 6, 64)})
	}
	c.Flush()
	return c.Error()
}

// GroupSeries orders rows into series over the parts, in the order in which they first stand.
func GroupSeries(rows []Row) (out []Series) {
	at := map[string]int{}
	for _, x := range rows {
		key := x.Role + ": " + x.Metric + "\x00" + x.Unit
		i, ok := at[key]
		if !ok {
			i = len(out)
			at[key] = i
			out = append(out, Series{Name: x.Role + ": " + x.Metric, Unit: x.Unit})
		}
		out[i].X, out[i].Y = append(out[i].X, x.Scale), append(out[i].Y, x.Value)
	}
	return out
}
