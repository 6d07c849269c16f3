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

// Plan is what is played.
type Plan struct {
	Bin      string // folder of comb and forager
	Target   Target
	Parts    []float64 // of the target, in turn
	Combs    int       // processes, a zone each
	Real     int       // real foragers, processes
	Cores    int       // that all of it may use
	MemoryGB float64   // that all of it may use: a part that goes beyond ends the run
	Settle   time.Duration
	Steady   time.Duration
	Beat     time.Duration // of replicas
	Changes  int
	Joins    float64       // foragers that begin a second; 0: all at once
	Most     time.Duration // of the whole run
	Keep     string        // folder for logs and settings; empty: one that is removed
	Progress io.Writer
}

// Row is one figure.
type Row struct {
	Part             float64
	Role, What, Unit string
	Value            float64
}

type run struct {
	Plan
	fleet                sizes.Fleet
	part                 float64
	dir                  string
	began                time.Time
	combs                []*process
	real                 []*process
	foragers             []*Forager
	replicas             []*Replica
	fin, fout, rin, rout *Counts
	rows                 []Row
	net                  byte // second octet of addresses
	acks                 []changed
}

const (
	controlPort = 18080
	innerFirst  = 17540
	innerLast   = 17555
	procsMost   = 100
	patience    = 60 * time.Second
)

// Run plays all parts. What was measured before a fault is returned with it.
func Run(ctx context.Context, p Plan) ([]Row, error) {
	if p.Combs < 1 || p.Combs > 26 || p.Combs+p.Real > procsMost || p.Combs > 1 && p.Combs < 3 {
		return nil, merry.Errorf("%d combs and %d real foragers: one comb or three to 26, and at most %d processes", p.Combs, p.Real, procsMost)
	}
	if err := within(p.Cores); err != nil {
		return nil, merry.Prepend(err, "keeping to some cores")
	}
	runtime.GOMAXPROCS(min(p.Cores, runtime.GOMAXPROCS(0)))
	ctx, stop := context.WithTimeout(ctx, p.Most)
	defer stop()
	var rows []Row
	for i, part := range p.Parts {
		r := &run{Plan: p, part: part, began: time.Now(), net: byte(64 + (os.Getpid()*7+i)%120), fin: &Counts{}, fout: &Counts{}, rin: &Counts{}, rout: &Counts{}}
		r.fleet = p.Target.Fleet().Part(part)
		r.fleet.Zones = p.Combs
		err := r.play(ctx)
		rows = append(rows, r.rows...)
		if err != nil {
			return rows, merry.Prepend(err, fmt.Sprintf("part %v", part))
		}
	}
	return rows, nil
}

func (r *run) say(format string, a ...any) {
	fmt.Fprintf(r.Progress, "part %-7.4g %5.1fs  %s\n", r.part, time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

func (r *run) row(role, what, unit string, v float64) {
	r.rows = append(r.rows, Row{r.part, role, what, unit, v})
}

func (r *run) play(ctx context.Context) (err error) {
	if r.dir = r.Keep; r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "zinclab-scale"); err != nil {
			return err
		}
		defer os.RemoveAll(r.dir)
	} else {
		r.dir = filepath.Join(r.dir, fmt.Sprintf("part-%g", r.part))
	}
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() {
		stop()
		all.Wait()
		for _, p := range slices.Concat(r.combs, r.real) {
			if p.cmd != nil && p.cmd.Process != nil {
				p.kill()
			}
		}
	}()
	r.say("%d foragers (%d of them real), %d replicas, %d services, %d routes, %d combs", r.fleet.Foragers, r.Real, r.fleet.Replicas, r.fleet.Services, r.fleet.Routes, r.Combs)
	if err := r.startCombs(ctx); err != nil {
		return err
	}
	if err := r.change(ctx, 1, false); err != nil {
		return err
	}
	at := time.Now()
	r.startReplicas(ctx, &all)
	if err := r.until(ctx, "every replica is acknowledged", func() bool {
		return !slices.ContainsFunc(r.replicas, func(x *Replica) bool { return x.Acked().IsZero() })
	}); err != nil {
		return err
	}
	r.row("replica", "all acknowledged after", "s", time.Since(at).Seconds())
	r.say("replicas beat")
	if err := r.startForagers(ctx, &all); err != nil {
		return err
	}
	r.say("foragers have joined; %v until calm", r.Settle)
	if err := r.wait(ctx, r.Settle); err != nil {
		return err
	}
	if err := r.steady(ctx); err != nil {
		return err
	}
	for v := range r.Changes {
		if err := r.change(ctx, uint64(v+2), true); err != nil {
			return err
		}
		if err := r.wait(ctx, time.Second); err != nil {
			return err
		}
	}
	r.quantiles("configuration", "from acknowledged to arrived", r.inForce())
	return r.lose(ctx)
}

func (r *run) inner(comb int) string {
	return fmt.Sprintf("127.%d.250.%d:%d", r.net, comb+1, innerFirst)
}
func (r *run) control(comb int) string {
	return fmt.Sprintf("127.%d.250.%d:%d", r.net, comb+1, controlPort)
}

func (r *run) settings(name, ip, zone, data, front, ready, control string) string {
	var seeds, zones []string
	for i := range r.Combs {
		zones = append(zones, sizes.Zone(i)+": region")
		if i < 3 {
			seeds = append(seeds, strconv.Quote(r.control(i)))
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
`, name, zone, ip, data, front, ready, control, innerFirst, innerLast, strings.Join(seeds, ", "), strings.Join(zones, ", "), r.Beat)
}

func (r *run) startCombs(ctx context.Context) error {
	for i := range r.Combs {
		ip, name := fmt.Sprintf("127.%d.250.%d", r.net, i+1), fmt.Sprintf("comb-%d", i+1)
		p := &process{name: name, program: filepath.Join(r.Bin, "controlplane"), dir: filepath.Join(r.dir, name), control: r.control(i), zone: sizes.Zone(i)}
		p.settings = r.settings(name, ip, p.zone, filepath.Join(p.dir, "data"), "", "", p.control)
		if err := p.start(true); err != nil {
			return merry.Prepend(err, name)
		}
		r.combs = append(r.combs, p)
	}
	return r.until(ctx, "the combs are in touch", func() bool {
		return !slices.ContainsFunc(r.combs, func(p *process) bool { return !ready(ctx, p.control) })
	})
}

func (r *run) startReplicas(ctx context.Context, all *sync.WaitGroup) {
	var seeds []string
	for i := range min(r.Combs, 3) {
		seeds = append(seeds, r.control(i))
	}
	for _, l := range r.fleet.Lives() {
		x := &Replica{Life: l, Every: r.Beat, Seeds: seeds, Out: r.rout, Back: r.rin}
		r.replicas = append(r.replicas, x)
		all.Go(func() { x.Run(ctx) })
	}
}

func (r *run) startForagers(ctx context.Context, all *sync.WaitGroup) error {
	var seeds []string
	for i := range min(r.Combs, 3) {
		seeds = append(seeds, r.inner(i))
	}
	at := time.Now()
	first, err := r.busy()
	if err != nil {
		return err
	}
	share := &known{}
	perSecond := r.Target.Requests / float64(max(r.Target.Fleet().Foragers, 1))
	for i := range max(r.fleet.Foragers-r.Real, 1) {
		ip := netip.AddrFrom4([4]byte{127, r.net, byte(i >> 8), byte(i)})
		f := &Forager{Name: fmt.Sprintf("edge-%05d", i), Zone: sizes.Zone(i % r.Combs), IP: ip, Seeds: seeds, In: r.fin, Out: r.fout, share: share,
			Requests: Requests{PerSecond: perSecond, Chance: rand.Float64}}
		f.begin(r.Combs)
		r.foragers = append(r.foragers, f)
		if r.Joins > 0 {
			if err := r.wait(ctx, time.Duration(float64(time.Second)/r.Joins)); err != nil {
				return err
			}
		}
		all.Go(func() { f.Run(ctx, innerLast) })
	}
	for i := range r.Real {
		ip, name := fmt.Sprintf("127.%d.251.%d", r.net, i+1), fmt.Sprintf("forager-%d", i+1)
		p := &process{name: name, program: filepath.Join(r.Bin, "gateway"), dir: filepath.Join(r.dir, name), zone: sizes.Zone(i % r.Combs)}
		p.settings = r.settings(name, ip, p.zone, "", ip+":18548", ip+":18542", "")
		if err := p.start(true); err != nil {
			return merry.Prepend(err, name)
		}
		r.real = append(r.real, p)
	}
	hold := func() (n int) {
		for _, f := range r.foragers {
			if comb, _ := f.Standing(); comb != "" {
				n++
			}
		}
		return n
	}
	err = r.until(ctx, "every forager holds a whole state", func() bool {
		if hold() < len(r.foragers) {
			return false
		}
		for _, p := range r.real {
			resp, err := http.Get(fmt.Sprintf("http://127.%d.251.%s:18542/api/readiness", r.net, strings.TrimPrefix(p.name, "forager-")))
			if err != nil {
				return false
			}
			if resp.Body.Close(); resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	if last, e := r.busy(); e == nil {
		r.row("comb", "joining: processor", "s", (last-first).Seconds()/float64(r.Combs))
	}
	r.row("forager", "joining: streams begun, each", "", float64(r.fout.Now()["hello"].Messages)/float64(len(r.foragers)))
	if err != nil {
		return merry.Appendf(err, "%d of %d hold one", hold(), len(r.foragers))
	}
	if r.Joins > 0 {
		return nil
	}
	var took []float64
	for _, f := range r.foragers {
		_, since := f.Standing()
		took = append(took, since.Sub(at).Seconds())
	}
	r.quantiles("forager", "all at once: joined after", took)
	return nil
}

// busy is the processor time that the combs have used.
func (r *run) busy() (d time.Duration, err error) {
	for _, p := range r.combs {
		u, err := p.use()
		if err != nil {
			return 0, err
		}
		d += u.CPU
	}
	return d, nil
}

// until waits for something, and ends where a process has ended or memory is short.
func (r *run) until(ctx context.Context, what string, f func() bool) error {
	for end := time.Now().Add(patience); !f(); {
		if time.Now().After(end) {
			return merry.Errorf("%s: not within %v", what, patience)
		}
		if err := r.wait(ctx, 50*time.Millisecond); err != nil {
			return merry.Prepend(err, what)
		}
	}
	return nil
}

func (r *run) wait(ctx context.Context, d time.Duration) error {
	for end := time.Now().Add(d); ; {
		memory := own()
		for _, p := range slices.Concat(r.combs, r.real) {
			if !p.running() {
				return merry.Errorf("%s has ended; its log: %s", p.name, tail(p.log()))
			}
			if u, err := p.use(); err == nil {
				memory += u.Memory
			}
		}
		if memory > r.MemoryGB*1e9 {
			return merry.Errorf("%.1f GB are in use, above the bound of %v", memory/1e9, r.MemoryGB)
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

func own() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys - m.HeapReleased)
}

func tail(path string) string {
	raw, _ := os.ReadFile(path)
	return strings.TrimSpace(string(raw[max(len(raw)-600, 0):]))
}

// steady measures a while in which nothing happens but beats, reports and what follows from them.
func (r *run) steady(ctx context.Context) error {
	before := make([]use, 0, r.Combs+r.Real)
	for _, p := range slices.Concat(r.combs, r.real) {
		u, err := p.use()
		if err != nil {
			return err
		}
		before = append(before, u)
	}
	in, out, rin, rout := r.fin.Now(), r.fout.Now(), r.rin.Now(), r.rout.Now()
	at := time.Now()
	if err := r.wait(ctx, r.Steady); err != nil {
		return err
	}
	over := time.Since(at).Seconds()
	in2, out2, rin2, rout2 := r.fin.Now(), r.fout.Now(), r.rin.Now(), r.rout.Now()
	var combs, real, toReal, cpu float64
	for i, p := range slices.Concat(r.combs, r.real) {
		u, err := p.use()
		if err != nil {
			return err
		}
		b := before[i]
		busy := (u.CPU - b.CPU).Seconds() / over
		cpu += busy
		role, n := "comb", float64(r.Combs)
		if i >= r.Combs {
			role, n = "real forager", float64(r.Real)
			toReal += u.Read - b.Read
			real += 1
		} else {
			combs += u.Read - b.Read
		}
		r.row(role, "processor", "% of a core", 100*busy/n)
		r.row(role, "memory", "MB", u.Memory/1e6/n)
		r.row(role, "connections", "", u.Sockets/n)
		r.row(role, "read", "B/s", (u.Read-b.Read)/over/n)
	}
	r.rows = summed(r.rows)
	hollow := float64(len(r.foragers))
	said := 0.0
	kinds := func(role string, n float64, a, b map[string]Count) (bytes float64) {
		for _, k := range sorted(b) {
			d := Count{b[k].Messages - a[k].Messages, b[k].Bytes - a[k].Bytes}
			bytes += float64(d.Bytes)
			r.row(role, k, "1/s", float64(d.Messages)/over/n)
			r.row(role, k, "B/s", float64(d.Bytes)/over/n)
		}
		return bytes
	}
	heard := kinds("forager hears", hollow, in, in2)
	said = kinds("forager says", hollow, out, out2)
	beats := kinds("replica says", float64(len(r.replicas)), rout, rout2)
	kinds("replica hears", float64(len(r.replicas)), rin, rin2)
	r.row("forager", "control bytes, both ways", "B/s", (heard+said)/over/hollow)
	perForager := said / hollow
	// What a comb reads is what foragers and replicas say, and the rest is other combs'.
	r.row("comb", "read from foragers", "B/s", (said+perForager*real)/over/float64(r.Combs))
	r.row("comb", "read from replicas", "B/s", beats/over/float64(r.Combs))
	r.row("comb", "read from combs", "B/s", max(combs-said-perForager*real-beats, 0)/over/float64(r.Combs))
	r.row("comb", "written to foragers", "B/s", (heard+toReal)/over/float64(r.Combs))
	r.row("all", "processor of combs and real foragers", "% of a core", 100*cpu)
	r.row("hollow", "memory", "MB", own()/1e6)
	r.say("steady: combs and real foragers use %.2f cores; a forager hears %.0f and says %.0f B/s", cpu, heard/over/hollow, said/over/hollow)
	return nil
}

// summed adds rows of one figure up; each holds its part.
func summed(rows []Row) (out []Row) {
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

func sorted[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

type changed struct {
	version uint64
	acked   time.Time
}

// change gives a version to the first comb, and waits until all foragers have it where there are any.
func (r *run) change(ctx context.Context, version uint64, measured bool) error {
	body := r.fleet.Configuration(version, 8)
	at := time.Now()
	if err := r.until(ctx, "a configuration is acknowledged", func() bool {
		status, _, err := call(ctx, r.combs[0].control, "configuration.replace", body)
		return err == nil && status == http.StatusOK
	}); err != nil {
		return err
	}
	acked := time.Now()
	if !measured {
		return nil
	}
	r.row("configuration", "acknowledged after", "ms", float64(acked.Sub(at).Milliseconds())/float64(r.Changes))
	r.rows = summed(r.rows)
	r.acks = append(r.acks, changed{version, acked})
	return r.until(ctx, "a version has come to all", func() bool {
		for _, f := range r.foragers {
			if _, ok := f.Saw(version); !ok {
				return false
			}
		}
		return true
	})
}

// inForce are the times from an acknowledgement until the version had come to a forager, in milliseconds.
func (r *run) inForce() (ms []float64) {
	for _, c := range r.acks {
		for _, f := range r.foragers {
			if at, ok := f.Saw(c.version); ok {
				ms = append(ms, max(float64(at.Sub(c.acked).Microseconds())/1000, 0))
			}
		}
	}
	return ms
}

func (r *run) quantiles(role, what string, of []float64) {
	slices.Sort(of)
	if len(of) == 0 {
		return
	}
	unit := "s"
	if role == "configuration" {
		unit = "ms"
	}
	at := func(q float64) float64 { return of[min(int(q*float64(len(of))), len(of)-1)] }
	r.row(role, what+", p50", unit, at(0.5))
	r.row(role, what+", p99", unit, at(0.99))
	r.row(role, what+", all", unit, of[len(of)-1])
}

// lose kills the last comb, waits until its foragers have another one, starts it again and waits until it is filled.
func (r *run) lose(ctx context.Context) error {
	p := r.combs[len(r.combs)-1]
	if len(r.combs) < 3 {
		return nil
	}
	inner := r.inner(len(r.combs) - 1)
	var orphans []*Forager
	for _, f := range r.foragers {
		if comb, _ := f.Standing(); comb == inner {
			orphans = append(orphans, f)
		}
	}
	read := r.fin.Now()
	bytes := func(a, b map[string]Count) (n float64) {
		for k := range b {
			n += float64(b[k].Bytes - a[k].Bytes)
		}
		return n
	}
	at := time.Now()
	p.kill()
	if err := r.without(ctx, p, "the orphans hold a whole state of another comb", func() bool {
		for _, f := range orphans {
			if comb, since := f.Standing(); comb == "" || comb == inner || !since.After(at) {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	var took []float64
	for _, f := range orphans {
		_, since := f.Standing()
		took = append(took, since.Sub(at).Seconds())
	}
	r.quantiles("forager", "comb killed: joined another after", took)
	r.row("forager", "comb killed: bytes told until then", "MB", bytes(read, r.fin.Now())/1e6)
	if err := r.without(ctx, p, "", nil); err != nil {
		return err
	}
	at = time.Now()
	if err := p.start(false); err != nil {
		return err
	}
	if err := r.until(ctx, "the comb is back in the chain", func() bool { return ready(ctx, p.control) }); err != nil {
		return err
	}
	r.row("comb", "back in the chain after", "s", time.Since(at).Seconds())
	if u, err := p.use(); err == nil {
		r.row("comb", "back: read by then", "MB", u.Read/1e6)
		r.row("comb", "back: processor by then", "s", u.CPU.Seconds())
		r.row("comb", "back: peak memory by then", "MB", u.Peak/1e6)
	}
	r.say("a comb was killed (%d foragers) and is back", len(orphans))
	return nil
}

// without waits while one process is down.
func (r *run) without(ctx context.Context, down *process, what string, f func() bool) error {
	all := r.combs
	r.combs = slices.DeleteFunc(slices.Clone(all), func(p *process) bool { return p == down })
	defer func() { r.combs = all }()
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
		c.Write([]string{strconv.FormatFloat(x.Part, 'g', -1, 64), x.Role, x.What, x.Unit, strconv.FormatFloat(x.Value, 'g', 6, 64)})
	}
	c.Flush()
	return c.Error()
}

// Gather orders rows into series over the parts, in the order in which they first stand.
func Gather(rows []Row) (out []Series) {
	at := map[string]int{}
	for _, x := range rows {
		key := x.Role + ": " + x.What + "\x00" + x.Unit
		i, ok := at[key]
		if !ok {
			i = len(out)
			at[key] = i
			out = append(out, Series{Name: x.Role + ": " + x.What, Unit: x.Unit})
		}
		out[i].X, out[i].Y = append(out[i].X, x.Part), append(out[i].Y, x.Value)
	}
	return out
}
