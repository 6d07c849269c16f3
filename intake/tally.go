package intake

import (
	"zincloft.example/zincloft/rules"
)

type count struct{ attempts, dropped float64 }

func (c count) plus(d count) count { return count{c.attempts + d.attempts, c.dropped + d.dropped} }

func (c count) scaled(by float64) count { return count{c.attempts * by, c.dropped * by} }

func (c count) all() float64 { return c.attempts }

// tally is a decaying count, and the count of the latest period that brought any: a replica that has just begun to fail
// in general shows it there, long before its successful past has decayed.
type tally struct {
	count
	latest count
	at     rules.Time
}

func (t *pairTable) plusNow(y tally, c count) tally {
	if y.at != t.now {
		y.latest, y.at = count{}, t.now
	}
	c.attempts, c.dropped = c.attempts*t.scale, c.dropped*t.scale
	y.count, y.latest = y.plus(c), y.latest.plus(c)
	return y
}

// scaleAndPrune scales counts and deletes those that have decayed.
func scaleAndPrune[K comparable, C interface{ all() float64 }](counts map[K]C, scaled func(C) C) {
	for k, c := range counts {
		if c = scaled(c); c.all() < minRememberedDrops {
			delete(counts, k)
		} else {
			counts[k] = c
		}
	}
}
