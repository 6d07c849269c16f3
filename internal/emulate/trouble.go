package emulate

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/rules"
)

// Trouble is something that goes wrong, or changes, for a time.
type Trouble struct {
	Kind   string        `toml:"kind"`
	At     time.Duration `toml:"at"`               // from the start, or after When has become true
	For    time.Duration `toml:"for" json:"For"`   // how long it lasts, or over how long it is spread; 0: to the end
	Share  float64       `toml:"share"`            // of the replicas, proxies or governors that it hits
	Zone   *int          `toml:"zone"`             // only there; for zone troubles, which one
	Factor float64       `toml:"factor"`           // how strong; see the kind
	Back   time.Duration `toml:"back" json:"Back"` // what died comes back after this; 0: never
	When   string        `toml:"when" json:"When"` // begins only once so much is measured over a second: "dropped > 0.1", "late > 0.2", "load > 0.8"
	Name   string        `toml:"name"`             // for `when = "NAME"`: begins with the trouble of that name
}

// kindOf tells what each kind does, for people and for checks.
var kindOf = map[string]string{
	"crash":             "a share of the replicas dies; cold after back",
	"vanish":            "the same, without a word: nothing is reset",
	"hang":              "a share of the replicas takes flows and answers none",
	"slow":              "a share of the replicas is factor times slower",
	"ageing":            "a share of the replicas slows down steadily to factor times slower",
	"stolen":            "another program takes a factor of each core of a share of the replicas",
	"errors":            "a share of the replicas quickly fails a factor of its flows",
	"partial":           "a share of the replicas fails all flows of a factor of the proxies",
	"false_reports":     "a share of the replicas reports no load",
	"zone_cut":          "a zone is cut off from the others",
	"zone_loss":         "all replicas of a zone die; cold after back",
	"growth":            "factor times as many replicas are added, one after the other",
	"deploy":            "a share of the replicas drains and is replaced by new ones, one after the other",
	"burst":             "factor times the flows",
	"shift":             "factor times the flows in a zone, less elsewhere",
	"impatient":         "clients give up after a factor of their time",
	"insistent":         "clients come again factor times",
	"governors_die":     "a share of the governors is killed; back after back",
	"proxies_die":       "a share of the proxies is killed; back after back",
	"streams_break":     "a share of the streams breaks",
	"list_down":         "discovery is down",
	"list_late":         "discovery is factor times as late",
	"channel_slow":      "channels are factor times slower",
	"reports_lost":      "a factor of the reports is lost",
	"reports_late":      "reports are later by factor periods",
	"clear_of_troubles": "nothing: a mark that others may wait for",
}

// Kinds names all kinds of trouble.
func Kinds() (names []string) {
	for k := range kindOf {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// Tells what a kind does.
func Tells(kind string) string { return kindOf[kind] }

// Check tells what is impossible in a trouble.
func (t *Trouble) Check(f *Fleet) error {
	if _, is := kindOf[t.Kind]; !is {
		return fmt.Errorf("kind: there is no %q; there are %s", t.Kind, strings.Join(Kinds(), ", "))
	}
	if t.Share < 0 || t.Share > 1 {
		return fmt.Errorf("share: want 0 to 1, got %v", t.Share)
	}
	if t.Zone != nil && (*t.Zone < 0 || *t.Zone >= f.Zones) {
		return fmt.Errorf("zone: want 0 to %d, got %d", f.Zones-1, *t.Zone)
	}
	if t.Factor < 0 || math.IsInf(t.Factor, 0) || math.IsNaN(t.Factor) {
		return fmt.Errorf("factor: want a figure of 0 or more, got %v", t.Factor)
	}
	if t.At < 0 || t.For < 0 || t.Back < 0 {
		return fmt.Errorf("at, for and back must not be below 0")
	}
	_, err := condition(t.When)
	return err
}

// trouble is one under way.
type trouble struct {
	Trouble
	w         *World
	began     bool
	condition func(Second) bool
}

// condition reads a When: a measure of the last second against a figure, or the name of a trouble.
func condition(when string) (func(Second) bool, error) {
	var measure string
	var most float64
	if n, _ := fmt.Sscanf(when, "%s > %g", &measure, &most); n != 2 {
		return nil, nil
	}
	switch measure {
	case "dropped":
		return func(s Second) bool { return s.Tries > 0 && float64(s.Bad) > most*float64(s.Tries) }, nil
	case "late":
		return func(s Second) bool { return s.Offered > 0 && float64(s.Late) > most*float64(s.Offered) }, nil
	case "load":
		return func(s Second) bool { return s.Load > most }, nil
	}
	return nil, fmt.Errorf("when: want dropped, late or load, got %q", measure)
}

// plan sets the troubles up.
func (w *World) plan() error {
	names := map[string]bool{}
	for _, t := range w.play.Troubles {
		names[t.Name] = true
	}
	for i := range w.play.Troubles {
		t := &trouble{Trouble: w.play.Troubles[i], w: w}
		if err := t.Check(w.fleet); err != nil {
			return fmt.Errorf("trouble %d: %w", i+1, err)
		}
		t.condition, _ = condition(t.When)
		w.troubles = append(w.troubles, t)
		switch {
		case t.When == "":
			w.in(t.At, t.begin)
		case t.condition == nil && !names[t.When]:
			return fmt.Errorf("trouble %d: when: there is no trouble named %q", i+1, t.When)
		}
	}
	return nil
}

// arise begins the troubles that a second's measures call for.
func (w *World) arise(s Second) {
	for _, t := range w.troubles {
		if t.condition != nil && !t.began && t.condition(s) {
			t.began = true
			w.in(t.At, t.begin)
		}
	}
}

func (t *trouble) log(text string) {
	t.w.res.Notes = append(t.w.res.Notes, Note{t.w.seconds(), text})
}

// some draws a share of a list, at least one where the share is above 0.
func some[T any](w *World, share float64, all []T) []T {
	all = slices.Clone(all)
	w.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := int(math.Round(share * float64(len(all))))
	if share > 0 && n == 0 {
		n = min(1, len(all))
	}
	return all[:n]
}

// hit are the replicas that a trouble is for: of those that are up.
func (t *trouble) hit() []*replica {
	var all []*replica
	for _, r := range t.w.replicas {
		if r.up && r.state == rules.Ready && (t.Zone == nil || r.zone == *t.Zone) {
			all = append(all, r)
		}
	}
	return some(t.w, t.Share, all)
}

// lasting does something for the time of a trouble.
func (t *trouble) lasting(undo func()) {
	if t.For > 0 {
		t.w.in(t.For, undo)
	}
}

// set puts a figure of each replica to a value while the trouble lasts.
func (t *trouble) set(figure func(*replica) *float64, value, normal float64) {
	for _, r := range t.hit() {
		*figure(r) = value
		life := r.life
		t.lasting(func() {
			if r.life == life {
				*figure(r) = normal
				r.serve()
			}
		})
	}
}

func (t *trouble) begin() {
	w := t.w
	if w.now >= w.end {
		return
	}
	t.began = true
	t.log(fmt.Sprintf("%s: %s", t.Kind, kindOf[t.Kind]))
	for _, other := range w.troubles {
		if t.Name != "" && other.When == t.Name && !other.began {
			w.in(other.At, other.begin)
		}
	}
	switch t.Kind {
	case "crash", "vanish", "zone_loss":
		hit := t.hit()
		if t.Kind == "zone_loss" {
			t.Share = 1
			hit = t.hit()
		}
		for _, r := range hit {
			r.die(t.Kind == "vanish")
			r.state = rules.Gone
			w.list.change(r)
			if t.Back > 0 {
				w.in(w.between(t.Back*9/10, t.Back*11/10), func() {
					r.state = rules.Ready
					r.hung, r.errors, r.partial, r.slow, r.stolen, r.liar = 0, 0, 0, 1, 0, 0
					r.back()
				})
			}
		}
	case "hang":
		t.set(func(r *replica) *float64 { return &r.hung }, 1, 0)
	case "slow":
		t.set(func(r *replica) *float64 { return &r.slow }, max(t.Factor, 1), 1)
	case "ageing":
		const steps = 20
		for _, r := range t.hit() {
			life, span := r.life, t.For
			if span == 0 {
				span = time.Duration(w.end - w.now)
			}
			for i := range steps {
				w.in(span/steps*time.Duration(i), func() {
					if r.life == life {
						r.slow = 1 + (max(t.Factor, 1)-1)*float64(i+1)/steps
					}
				})
			}
		}
	case "stolen":
		t.set(func(r *replica) *float64 { return &r.stolen }, min(t.Factor, 0.95), 0)
	case "errors":
		t.set(func(r *replica) *float64 { return &r.errors }, t.Factor, 0)
	case "partial":
		t.set(func(r *replica) *float64 { return &r.partial }, t.Factor, 0)
	case "false_reports":
		t.set(func(r *replica) *float64 { return &r.liar }, 1, 0)
	case "zone_cut":
		z := t.theZone()
		w.cut[z]++
		t.lasting(func() { w.cut[z]-- })
	case "growth":
		n := int(t.Factor * float64(len(w.ready())))
		for i := range n {
			w.in(t.For*time.Duration(i)/time.Duration(max(n, 1)), func() {
				w.list.change(w.add(i%w.fleet.Zones, w.kinds[i%len(w.kinds)], w.now))
			})
		}
	case "deploy":
		hit := t.hit()
		for i, r := range hit {
			w.in(t.For*time.Duration(i)/time.Duration(max(len(hit), 1)), func() { w.replace(r) })
		}
	case "burst", "shift", "impatient", "insistent":
		t.lasting(func() { t.log("over: " + t.Kind); t.Factor = 1; t.Kind = "clear_of_troubles" })
	case "governors_die":
		for _, g := range some(w, t.Share, w.governors) {
			g.kill()
			if t.Back > 0 {
				w.in(w.between(t.Back*9/10, t.Back*11/10), g.start)
			}
		}
	case "proxies_die":
		for _, p := range some(w, t.Share, w.proxies) {
			p.die()
			if t.Back > 0 {
				w.in(w.between(t.Back*9/10, t.Back*11/10), p.back)
			}
		}
	case "streams_break":
		for _, p := range some(w, t.Share, w.proxies) {
			p.part()
		}
	case "list_down":
		w.list.fall()
		t.lasting(func() { w.list.down-- })
	case "list_late":
		more := time.Duration((max(t.Factor, 1) - 1) * float64(w.fleet.ListLate))
		w.list.late += more
		t.lasting(func() { w.list.late -= more })
	case "channel_slow":
		for _, g := range w.governors {
			g.slow = max(t.Factor, 1)
			t.lasting(func() { g.slow = 1 })
		}
	case "reports_lost":
		for _, g := range w.governors {
			g.lost = t.Factor
			t.lasting(func() { g.lost = 0 })
		}
	case "reports_late":
		for _, g := range w.governors {
			g.late = time.Duration(t.Factor * float64(w.fleet.Period))
			t.lasting(func() { g.late = 0 })
		}
	}
}

func (t *trouble) theZone() int {
	if t.Zone != nil {
		return *t.Zone
	}
	return t.w.chance.IntN(t.w.fleet.Zones)
}

// drainTakes is how long one that drains stays after its grace, to finish what it has.
const drainTakes = time.Second

// replace drains a replica, starts another in its place, and takes it away when the grace is over.
func (w *World) replace(r *replica) {
	if r.state != rules.Ready {
		return
	}
	r.state = rules.Draining
	w.list.change(r)
	w.in(w.between(500*time.Millisecond, time.Second), func() { w.list.change(w.add(r.zone, r.kind, w.now)) })
	w.in(w.fleet.ListLate+w.fleet.DrainGrace+drainTakes, func() {
		r.die(false)
		r.state = rules.Gone
		w.list.change(r)
	})
}

// under are the troubles of a kind that have begun.
func (w *World) under(kind string, do func(*trouble)) {
	for _, t := range w.troubles {
		if t.began && t.Kind == kind {
			do(t)
		}
	}
}

// burst is how many times its usual flows a proxy gets.
func (w *World) burst(p *proxy) float64 {
	times := 1.0
	w.under("burst", func(t *trouble) { times *= max(t.Factor, 0.01) })
	w.under("shift", func(t *trouble) {
		zones := float64(w.fleet.Zones)
		if t.Zone != nil && p.zone == *t.Zone || t.Zone == nil && p.zone == 0 {
			times *= max(t.Factor, 0.01)
		} else if zones > 1 {
			times *= max((zones-t.Factor)/(zones-1), 0.05)
		}
	})
	return times
}

// impatience is the share of its expiry after which a client gives up, patience how often it comes again.
func (w *World) impatience() float64 {
	share := w.fleet.TryShare
	w.under("impatient", func(t *trouble) { share *= min(t.Factor, 1) })
	return share
}

func (w *World) patience() int {
	n := w.fleet.Retries
	w.under("insistent", func(t *trouble) { n *= int(max(t.Factor, 1)) })
	return n
}
