package granter

import (
	"math"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/messages"
)

// loadSmoothing is the time constant of the moving average of the request rates.
const loadSmoothing = 1500 * time.Millisecond

// loadWindow is the time over which a plain count has the same variance as the moving average.
const loadWindow = 2 * loadSmoothing

// keyLoad is a moving average of the request rate of each key of a service.
type keyLoad struct {
	average   ownership.Load // requests per second
	counts    []uint32       // requests since updatedAt, by key; nil until some are reported
	updatedAt time.Duration
	known     bool // some requests were reported, so that the average means something
}

func newKeyLoad() *keyLoad { return &keyLoad{} }

// RecordLoad counts the requests of a service by key, as reported by gateways.
func (g *Granter) RecordLoad(reported messages.ServiceKeyLoad) {
	service := g.services[reported.Service]
	if service == nil {
		return
	}
	load := service.load
	if load.counts == nil {
		load.average = make(ownership.Load, ownership.MaxKey+1)
		load.counts = make([]uint32, ownership.MaxKey+1)
	}
	for _, key := range reported.Keys {
		load.counts[key.Key] += key.Requests
	}
	load.known = true
}

// update adds the counts since the last update to the average.
func (l *keyLoad) update(now time.Duration) {
	elapsed := (now - l.updatedAt).Seconds()
	l.updatedAt = now
	if l.counts == nil || elapsed <= 0 {
		return
	}
	keep := float32(math.Exp(-elapsed / loadSmoothing.Seconds()))
	add := (1 - keep) / float32(elapsed)
	for key, count := range l.counts {
		l.average[key] = l.average[key]*keep + float32(count)*add
	}
	clear(l.counts)
}

// rates returns the average rates, or nil if no requests were reported yet.
func (l *keyLoad) rates() ownership.Load {
	if !l.known {
		return nil
	}
	return l.average
}
