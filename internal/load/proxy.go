package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"zincloft.example/zincloft/internal/resp"
)

// proxy is one stream and the flows behind it.
type proxy struct {
	play    *play
	id      int
	conn    net.Conn
	held    atomic.Int32 // 1 from its first table on
	part    bool         // of the 1%
	chance  *rand.Rand
	writing sync.Mutex

	mu      sync.Mutex
	weights []float32
	shut    map[int]bool
	isDown  bool
	before  float32 // weight of the replica that is to swallow, before it does
	seq     int

	tries, drops []int // since the last batch
	late         [][2]int
}

func (x *proxy) write(words ...string) error {
	x.writing.Lock()
	defer x.writing.Unlock()
	_, err := x.conn.Write(message(nil, words...))
	return err
}

// read does as the governor orders.
func (x *proxy) read() {
	in := resp.NewReader(x.conn, 64<<20, 64)
	for {
		words, err := in.NextStrings()
		if err != nil {
			return
		}
		if words[0] != "assign" {
			continue
		}
		f := map[string]string{}
		for i := 1; i+1 < len(words); i += 2 {
			f[words[i]] = words[i+1]
		}
		x.apply(f)
		if f["nonce_out"] != "" && f["continued"] == "" {
			if x.write("done", "sidecar", strconv.Itoa(x.id), "version", f["nonce_out"], "lag_ms", "1.0") != nil {
				return
			}
		}
	}
}

func (x *proxy) apply(f map[string]string) {
	p, now := x.play, x.play.since()
	x.mu.Lock()
	defer x.mu.Unlock()
	if f["full"] == "1" {
		clear(x.weights)
	}
	cut, drained := 0, false
	for l := range strings.SplitSeq(f["endpoints"], ",") {
		name, text, ok := strings.Cut(l, ":")
		if !ok {
			continue
		}
		r, _ := strconv.Atoi(name[2:])
		w, _ := strconv.ParseFloat(text, 32)
		was := x.weights[r]
		x.weights[r] = float32(w)
		ill := r == 0 && now > p.HangAt || r == 1 && now > p.DrainAt
		if now > 0 && !ill && w < float64(was)/4 {
			cut++
		}
		drained = drained || r == 1 && w == 0 && was > 0 && now > p.DrainAt
	}
	total := float32(0)
	for _, w := range x.weights {
		total += w
	}
	if now < p.HangAt {
		x.before = x.weights[0]
	}
	wasDown := x.isDown
	x.isDown = now > p.HangAt && x.weights[0] <= x.before/4
	if total > 0 {
		x.held.Store(1)
	}
	told := p.told.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Messages++
	p.result.Cut += cut
	if drained && told > 0 {
		_ = p.drains.RecordValue((time.Now().UnixNano() - told) / 1000) // within a minute, as all runs are
	}
	if x.isDown && !wasDown && now > p.HangAt {
		if p.down++; p.down == (p.Proxies*99+99)/100 {
			p.result.Down = now - p.HangAt
		}
	}
	for _, kind := range []string{"eject", "restore"} {
		for name := range strings.SplitSeq(f[kind], ",") {
			if name == "" {
				continue
			}
			r, _ := strconv.Atoi(name[2:])
			if x.shut == nil {
				x.shut = map[int]bool{}
			}
			if x.shut[r] = kind == "eject"; kind != "eject" {
				continue
			}
			if r == 2 && x.part && now > p.PartAt {
				if p.result.PartRight++; p.result.Part == 0 {
					p.result.Part = now - p.PartAt
				}
			} else {
				p.result.PartWrong++
			}
		}
	}
}

// flows picks replicas by the table, a second's flows at a time, and tells what was met.
func (x *proxy) flows(ctx context.Context) {
	p := x.play
	from := time.Duration(x.chance.Int64N(int64(time.Second)))
	if p.Phase == 0 {
		from = 0
	}
	sums := &p.met[x.id%p.Zones]
	for n := 0; p.wait(ctx, p.until(from+time.Duration(n)*time.Second)); n++ {
		count := int(p.Rate)
		x.pick(sums, count)
		if n > 0 && p.Met {
			x.tell(n)
		}
		if err := x.write("client_stats", "sidecar", strconv.Itoa(x.id), "kind", []string{"look", "edit", "pay"}[n%3], "n", strconv.Itoa(count), "bad", "0", "window", "1000.0"); err != nil {
			return
		}
		if now := p.since(); p.Flood && x.id == 0 && now > p.DrainAt-3*time.Second && now < p.DrainAt+3*time.Second {
			x.flood()
		}
	}
}

func (x *proxy) pick(sums *zoneSums, count int) {
	now := x.play.since()
	x.mu.Lock()
	defer x.mu.Unlock()
	sums.mu.Lock()
	defer sums.mu.Unlock()
	for _, l := range x.late { // those that were swallowed a second ago are dropped by now
		sums.tries[l[0]] += l[1]
		sums.drops[l[0]] += l[1]
		x.tries[l[0]] += l[1]
		x.drops[l[0]] += l[1]
	}
	x.late = x.late[:0]
	total := float32(0)
	for r, w := range x.weights {
		if !x.shut[r] {
			total += w
		}
	}
	for range count {
		at := x.chance.Float32() * total
		for r, w := range x.weights {
			if x.shut[r] {
				continue
			}
			if at -= w; at > 0 {
				continue
			}
			if r == 0 && now > x.play.HangAt || r == 2 && x.part && now > x.play.PartAt {
				x.late = append(x.late, [2]int{r, 1})
			} else {
				sums.tries[r]++
				x.tries[r]++
			}
			break
		}
	}
}

func (x *proxy) tell(seq int) {
	var records []string
	for r, n := range x.tries {
		if n > 0 {
			records = append(records, fmt.Sprintf("%s:%d:%d:%.1f", x.play.names[r], n, x.drops[r], 50.0))
		}
		x.tries[r], x.drops[r] = 0, 0
	}
	if len(records) > 0 {
		_ = x.write("met", "sidecar", strconv.Itoa(x.id), "seq", strconv.Itoa(seq), "sent", strconv.FormatInt(time.Now().UnixMilli(), 10),
			"age", "0", "window", "1000", "records", strings.Join(records, ",")) // a broken stream shows at the next write
	}
}

// flood writes reports as fast as they are taken, for a second.
func (x *proxy) flood() {
	var b []byte
	for i := range 200 {
		if x.play.Met {
			b = message(b, "met", "sidecar", strconv.Itoa(x.id), "seq", strconv.Itoa(1000+i), "window", "1000", "records", "r-0005:1:1:0,r-0006:1:1:0")
		}
		b = message(b, "client_stats", "sidecar", strconv.Itoa(x.id), "kind", "look", "n", "1", "bad", "0", "window", "1000.0")
	}
	x.writing.Lock()
	defer x.writing.Unlock()
	_ = x.conn.SetWriteDeadline(time.Now().Add(900 * time.Millisecond))
	for {
		if _, err := x.conn.Write(b); err != nil {
			break
		}
	}
	_ = x.conn.SetWriteDeadline(time.Time{})
}
