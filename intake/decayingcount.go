package intake

import "zincloft.example/zincloft/rules"

type count struct{ attempts, dropped float64 }

func (c count) plus(d count) count { return count{c.attempts + d.attempts, c.dropped + d.dropped} }

func (c count) scaled(by float64) count { return count{c.attempts * by, c.dropped * by} }

func (c count) total() float64 { return c.attempts }

// decayingCount is an exponentially decaying count, together with the count of the latest period with attempts. The latter
// shows a replica that has just begun to fail before its earlier successes have decayed. Both are scaled by pairTable.scale.
type decayingCount struct {
	count
	latest   count
	latestAt rules.Time // time of the period counted in latest
}

// addCurrent adds a count of the current period.
func (t *pairTable) addCurrent(d decayingCount, c count) decayingCount {
	if d.latestAt != t.now {
		d.latest, d.latestAt = count{}, t.now
	}
	c.attempts, c.dropped = c.attempts*t.scale, c.dropped*t.scale
	d.count, d.latest = d.plus(c), d.latest.plus(c)
	return d
}

// scaleAndPrune scales counts and deletes those that have decayed to almost nothing.
func scaleAndPrune[K comparable, C interface{ total() float64 }](counts map[K]C, scaled func(C) C) {
	for k, c := range counts {
		if c = scaled(c); c.total() < minRememberedDrops {
			delete(counts, k)
		} else {
			counts[k] = c
		}
	}
}
