// Package gatewayconfig reads, checks and searches the operator's configuration of the gateway: services, limits and routes. It is free of
// I/O.
//
// A configuration is invalid where the protocol page says so, and where a field could not be read. Each error names the path at fault, so
// that an operator finds it.
package gatewayconfig

import (
	"sync"
	"time"
)

// Config is one complete version of the configuration. It is not changed once parsed, and may be read by many goroutines.
type Config struct {
	Version    uint64
	Raw        []byte // the document it was parsed from
	Services   map[string]Service
	Limits     Limits
	RouteCount int

	routesByHost map[string][]Route // by hostname in lower case

	indexOnce       sync.Once
	routesByService map[string][]Route // built when it is first asked for: gateways never do
}

// Service is what the operator says of one service.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int
	WarmupDuration  time.Duration // how long a replica is taken to warm up after its start
	WarmupRate      float64       // requests a second that a replica bears while it warms up
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for a request's header to come
	IdleTimeout    time.Duration // of a connection between requests
}

// Route tells how the requests under a path prefix of a host are handled.
type Route struct {
	Name          string
	PathPrefix    string
	Idempotent    bool          // requests may run more than once
	Timeout       time.Duration // 0: none
	LatencyTarget time.Duration // a response within it has its full value; 0: none
	Priority      int           // 0 is the highest
	TrafficSplit  []TrafficShare
	MaxAttempts   int // replicas that one request may be sent to, one after the other
}

// TrafficShare is the part of a route's requests that goes to one service, in relation to the weights of the others.
type TrafficShare struct {
	Service string
	Weight  float64
}
