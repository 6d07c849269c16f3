package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"zincloft.example/zincloft/gatewayconfig"
)

const (
	maxCountedServices   = 128 // services with counters of their own
	uncountedServiceName = ""  // label of the counters that all further services share
)

// outcomes are the outcomes of requests. Each request has one of them.
var outcomes = [...]string{"answered", "rejected", "failed"}

// outcomeCounters count the requests of one service by outcome.
type outcomeCounters struct {
	answered *metrics.Counter // requests answered with a replica's response
	rejected *metrics.Counter // requests that reached no replica, or were confirmed not executed
	failed   *metrics.Counter // requests that may have been executed, or whose client disconnected
}

// serviceCounters count requests by service and outcome. It has counters of the services of the latest configuration only.
type serviceCounters struct {
	set    *metrics.Set
	others *outcomeCounters

	mu        sync.Mutex                                  // serializes update
	byService atomic.Pointer[map[string]*outcomeCounters] // immutable
}

func newServiceCounters(set *metrics.Set) *serviceCounters {
	counters := &serviceCounters{set: set}
	counters.others = counters.register(uncountedServiceName)
	counters.byService.Store(&map[string]*outcomeCounters{})
	return counters
}

// of returns the counters of a service.
func (c *serviceCounters) of(service string) *outcomeCounters {
	if known := (*c.byService.Load())[service]; known != nil {
		return known
	}
	return c.others
}

// update adds counters for new services and removes those of services that are no longer configured. Requests to them that are still
// in progress count no more.
func (c *serviceCounters) update(services map[string]gatewayconfig.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := *c.byService.Load()
	current := make(map[string]*outcomeCounters, min(len(services), maxCountedServices))
	for name, counters := range previous {
		if _, ok := services[name]; ok {
			current[name] = counters
			continue
		}
		for _, outcome := range outcomes {
			c.set.UnregisterMetric(serviceCounterName(name, outcome))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if current[name] == nil && len(current) < maxCountedServices {
			current[name] = c.register(name)
		}
	}
	c.byService.Store(&current)
}

func (c *serviceCounters) register(service string) *outcomeCounters {
	var registered [len(outcomes)]*metrics.Counter
	for i, outcome := range outcomes {
		registered[i] = c.set.GetOrCreateCounter(serviceCounterName(service, outcome))
	}
	return &outcomeCounters{answered: registered[0], rejected: registered[1], failed: registered[2]}
}

func serviceCounterName(service, outcome string) string {
	return fmt.Sprintf("zincloft_gateway_service_requests_total{service=%q,outcome=%q}", service, outcome)
}
