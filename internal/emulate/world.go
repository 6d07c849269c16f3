package emulate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"zincloft.example/zincloft/rules"
)

// Decider is what steers the proxies of one governor. rules.Governor is one.
type Decider interface {
	Step(now rules.Time, events []rules.Event) []rules.Order
}

// Picking is how proxies choose among the lines of a table.
type Picking int

// Ways of picking.
const (
	ByWeight Picking = iota
	OfTwo            // two by weight; the one that the proxy itself has fewer flows at
)

// Play is one run.
type Play struct {
	Fleet    Fleet
	Troubles []Trouble
	Seed     uint64
	// New makes the decider of a governor at each of its starts; nil: rules.Governor, with Settings.
	New     func(w *World, governor int) Decider
	Picking Picking
	// Settings changes what governors are told; nil: nothing.
	Settings func(*rules.Settings)
	// OnBreak is called with the world as it stands when a rule breaks for the first time; may be nil.
	OnBreak func(*World, Break)
	// FreeChannel takes the channel's pace and rule away, for deciders that know of none.
	FreeChannel bool
}

// World is a run under way. All of it is used by one goroutine.
type World struct {
	play  Play
	fleet *Fleet
	set   rules.Settings
	now   rules.Time
	begun rules.Time
	end   rules.Time // no flow begins from then on
	queue events
	count uint64 // events so far

	flowing, chance *rand.Rand // flows and their work; all else: so that deciders meet the same flows
	replicas        []*replica
	kinds           []int
	proxies         []*proxy
	governors       []*governor
	list            list
	rate            float64 // flows a second, over all proxies
	shares          []float64
	troubles        []*trouble
	cut             []int // troubles that cut a zone off, by zone
	watch           watch
	res             Result
	second          *Second
}

// began is the emulated clock at the start: any time that is not 0, as 0 means long ago.
const began = rules.Time(1_000_000 * time.Second)

type event struct {
	at    rules.Time
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Run plays a run to its end.
func Run(p Play) (*Result, error) {
	if err := p.Fleet.Check(); err != nil {
		return nil, err
	}
	w := &World{play: p, fleet: &p.Fleet, now: began, begun: began,
		flowing: rand.New(rand.NewPCG(p.Seed, 1)), chance: rand.New(rand.NewPCG(p.Seed, 2))}
	if err := w.build(); err != nil {
		return nil, err
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at >= w.end+rules.Time(w.fleet.Settle) {
			break
		}
		w.now = e.at
		w.count++
		e.do()
	}
	return w.finish(), nil
}

func (w *World) build() error {
	f := w.fleet
	w.set = f.Settings()
	if w.play.Settings != nil {
		w.play.Settings(&w.set)
	}
	w.end = w.begun + rules.Time(f.Length)
	w.cut = make([]int, f.Zones)
	w.res = Result{Seed: w.play.Seed}
	w.watch.init(w)
	w.kinds = spread(f.Kinds, f.Replicas)
	for i := range f.Replicas {
		w.add(i%f.Zones, w.kinds[i], 0)
	}
	all, each := f.capacity(w.replicas)
	w.rate = f.Load * all / each
	total := 0.0
	for _, g := range f.Groups {
		total += g.Share
		w.shares = append(w.shares, total)
	}
	w.list.begin(w)
	for i := range f.Governors {
		w.governors = append(w.governors, newGovernor(w, i))
	}
	sum := 0.0
	for i := range f.Proxies {
		p := newProxy(w, i)
		w.proxies = append(w.proxies, p)
		sum += p.rate
	}
	for _, p := range w.proxies {
		p.rate *= w.rate / sum
	}
	for _, g := range w.governors {
		g.start()
	}
	for _, p := range w.proxies {
		w.in(w.between(0, time.Second), p.dial)
		p.next()
	}
	w.everySecond()
	return w.plan()
}

// spread gives each machine a kind, so that each kind has its share.
func spread(kinds []Kind, n int) (of []int) {
	total := 0.0
	for _, k := range kinds {
		total += k.Share
	}
	owed := make([]float64, len(kinds))
	for range n {
		best := 0
		for k := range kinds {
			if owed[k] += kinds[k].Share / total; owed[k] > owed[best] {
				best = k
			}
		}
		owed[best]--
		of = append(of, best)
	}
	return of
}

// in has something happen after a time.
func (w *World) in(after time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{w.now + rules.Time(max(after, 0)), w.count, do})
}

// between draws a time.
func (w *World) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.chance.Float64()*float64(most-least))
}

// seconds is a time on the run's clock.
func (w *World) seconds() float64 { return time.Duration(w.now - w.begun).Seconds() }

// way is how long a message takes between two zones, one way; cut tells that it never arrives.
func (w *World) way(from, to int) (took time.Duration, cut bool) {
	took = w.fleet.Net
	if from != to {
		took = w.fleet.Cross
		cut = w.cut[from] > 0 || w.cut[to] > 0
	}
	return w.between(took*3/4, took*5/4), cut
}

// gamma draws with mean 1 and a coefficient of variation, by Marsaglia and Tsang (2000).
func gamma(r *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	shape := 1 / (cv * cv)
	boost := 1.0
	a := shape
	if a < 1 {
		boost, a = math.Pow(r.Float64(), 1/a), a+1
	}
	d := a - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := r.NormFloat64()
		v := 1 + c*x
		if v <= 0 {
			continue
		}
		v = v * v * v
		if math.Log(1-r.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v * boost / shape
		}
	}
}
