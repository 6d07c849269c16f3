package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/emulate"
)

// Find is a day that goes badly.
type Find struct {
	Seed     uint64
	Troubles []emulate.Fault
	Result   *emulate.Result
}

// drawable are the kinds that a search draws from.
var drawable = []string{"crash", "vanish", "hang", "slow", "stolen", "errors", "partial", "false_reports", "zone_cut", "zone_loss", "deploy", "burst",
	"impatient", "governors_die", "proxies_die", "list_down", "list_late", "channel_slow", "reports_lost", "reports_late"}

// day draws one of one to three troubles.
func day(r *rand.Rand, f *emulate.Fleet) (out []emulate.Fault) {
	for range 1 + r.IntN(3) {
		zone := r.IntN(f.Zones)
		t := emulate.Fault{Kind: drawable[r.IntN(len(drawable))], At: time.Duration(5+r.IntN(10)) * time.Second, Duration: time.Duration(3+r.IntN(12)) * time.Second,
			RecoverAfter: time.Duration(3+r.IntN(10)) * time.Second, Share: 0.05 + 0.5*r.Float64(), Factor: 0.3 + 3*r.Float64()}
		if strings.HasPrefix(t.Kind, "zone") {
			t.Zone = &zone
		}
		out = append(out, t)
	}
	return out
}

// Hunt plays days drawn by seed until ctx ends or so many are played, and returns those on which a rule broke, and the ones of least
// service, worst first, ten at most.
func Hunt(ctx context.Context, p Plan, days int, cores int) (found []Find, played int, err error) {
	finds := make([]Find, days)
	todo := make(chan int)
	errs := make(chan error, days+cores)
	for range cores {
		go func() {
			for i := range todo {
				seed := p.First + uint64(i)
				troubles := day(rand.New(rand.NewPCG(seed, 9)), &p.Fleet)
				r, err := emulate.Run(p.play(Scenario{Troubles: troubles}, seed, p.Variants[0]))
				if err != nil {
					errs <- fmt.Errorf("day %d: %w", seed, err)
					continue
				}
				finds[i] = Find{seed, troubles, r}
			}
			errs <- nil
		}()
	}
	for i := range days {
		select {
		case todo <- i:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(todo)
	for left := cores; left > 0; { // each tells nil at its end
		if e := <-errs; e != nil {
			err = e
		} else {
			left--
		}
	}
	finds = slices.DeleteFunc(finds, func(f Find) bool { return f.Result == nil })
	slices.SortStableFunc(finds, func(a, b Find) int {
		if x, y := len(a.Result.Violations) > 0, len(b.Result.Violations) > 0; x != y {
			if x {
				return -1
			}
			return 1
		}
		return int((a.Result.ServiceLevel - b.Result.ServiceLevel) * 1e6)
	})
	return finds[:min(len(finds), 10)], len(finds), err
}

// Shrink makes a day on which a rule broke as small as it can be with that rule still broken: without troubles that are not needed,
// with smaller shares and shorter times.
func Shrink(p Plan, f Find) (Find, int) {
	rule, plays := f.Result.Violations[0].Invariant, 0
	still := func(troubles []emulate.Fault) bool {
		plays++
		r, err := emulate.Run(p.play(Scenario{Troubles: troubles}, f.Seed, p.Variants[0]))
		if err != nil || !slices.ContainsFunc(r.Violations, func(b emulate.Violation) bool { return b.Invariant == rule }) {
			return false
		}
		f.Troubles, f.Result = troubles, r
		return true
	}
	for i := 0; i < len(f.Troubles); {
		if len(f.Troubles) == 1 || !still(slices.Delete(slices.Clone(f.Troubles), i, i+1)) {
			i++
		}
	}
	for i := range f.Troubles {
		for _, smaller := range []func(*emulate.Fault){
			func(t *emulate.Fault) { t.Share /= 2 },
			func(t *emulate.Fault) { t.Factor = 1 + (t.Factor-1)/2 },
			func(t *emulate.Fault) { t.Duration /= 2 },
		} {
			for range 4 {
				troubles := slices.Clone(f.Troubles)
				before := troubles[i]
				if smaller(&troubles[i]); troubles[i] == before || !still(troubles) {
					break
				}
			}
		}
	}
	return f, plays
}
