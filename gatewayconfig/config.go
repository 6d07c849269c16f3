// Package gatewayconfig parses and validates the operator's gateway configuration of services, limits and routes, and looks up
// routes in it. The package performs no I/O.
//
// Errors name the path of the first invalid field.
package gatewayconfig

import (
	"sync"
	"time"
)

// Config is one complete version of the configuration. It is immutable and safe for concurrent use.
type Config struct {
	Version    uint64
	Raw        []byte // JSON document
	Services   map[string]Service
	Limits     Limits
	RouteCount int

	routesByHost map[string][]Route // by lowercase hostname

	indexOnce       sync.Once
	routesByService map[string][]Route // built on first use, as gateways do not need it
}

// Service is the configuration of one service.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int
	WarmupDuration  time.Duration // duration of the warm-up of a replica after its start
	WarmupRate      float64       // requests per second that a replica can serve while it is warming up
	Sharded         bool          // each replica serves only requests on the shard keys that it was granted
	ShardWarmup     time.Duration // how long keys are slow at a replica that received them without a handover
}

// Limits are the limits on client requests and connections.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // time to receive the header of a request
	IdleTimeout    time.Duration // time that a connection may be idle between requests
}

// Route is the configuration of the requests under a path prefix of a host.
type Route struct {
	Name          string
	PathPrefix    string
	Idempotent    bool          // requests may be executed more than once
	Timeout       time.Duration // 0 if there is none
	LatencyTarget time.Duration // desired response time; 0 if there is none
	Priority      int           // 0 is the highest
	TrafficSplit  []TrafficShare
	MaxAttempts   int // maximum number of attempts per request
}

// TrafficShare assigns a share of a route's requests to a service, in proportion to its weight.
type TrafficShare struct {
	Service string
	Weight  float64
}
