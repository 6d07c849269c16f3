// Package gatewayconfig reads, checks and searches an operator's configuration. It is free of I/O.
//
// A configuration is read by gjson paths. What makes one invalid is what the protocol page lists, and whatever
// would leave a field unreadable; each message names the path at fault, so that an operator finds it.
package gatewayconfig

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tidwall/gjson"
)

// TrafficShare is a part of a route's requests that goes to a service.
type TrafficShare struct {
	Service string
	Weight  float64
}

// Route tells what becomes of the requests under a prefix of a host.
type Route struct {
	Name, PathPrefix string
	Idempotent       bool // may run more than once
	Timeout          time.Duration
	LatencyTarget    time.Duration // an answer within this earns its full worth
	Priority         int           // 0 is highest
	TrafficSplit     []TrafficShare
	MaxAttempts      int // replicas that one try may be sent to
}

// Service is what the operator says of one.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int
	WarmupDuration  time.Duration
	WarmupRate      float64
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is one version, whole. It is not changed once parsed.
type Config struct {
	Version      uint64
	Raw          []byte
	Services     map[string]Service
	Limits       Limits
	routesByHost map[string][]Route
	RouteCount   int

	indexOnce       sync.Once
	routesByService map[string][]Route // by service, once asked for: foragers do not ask
}

// Latest is how far a target may stand above its route's timeout.
const maxLatencyTargetExcess = time.Minute

type parser struct{ err error }

func (p *parser) fail(path, why string) {
	if p.err == nil {
		p.err = merry.Errorf("configuration: %s: %s", path, why)
	}
}

func (p *parser) stringField(v gjson.Result, at, key string, needed bool) string {
	x := v.Get(key)
	if x.Type == gjson.String && (x.Str != "" || !needed) {
		return x.Str
	}
	if x.Exists() && x.Type != gjson.Null || needed {
		p.fail(at+key, "is missing, empty or not a text")
	}
	return ""
}

func (p *parser) durationField(v gjson.Result, at, key string, def time.Duration) time.Duration {
	s := p.stringField(v, at, key, false)
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		p.fail(at+key, `is not a time such as "1500ms"`)
	}
	return d
}

func (p *parser) numberField(v gjson.Result, at, key string, least, def float64) float64 {
	x := v.Get(key)
	if !x.Exists() || x.Type == gjson.Null {
		return def
	}
	if x.Type != gjson.Number || x.Num < least {
		p.fail(at+key, "is not a number of "+strconv.FormatFloat(least, 'g', -1, 64)+" or more")
	}
	return x.Num
}

// Parse reads a configuration whole, or names the path at fault.
func Parse(raw []byte) (*Config, error) {
	if !gjson.ValidBytes(raw) {
		return nil, merry.New("configuration: the body is not JSON, or is cut short")
	}
	raw = append([]byte(nil), raw...) // gjson's texts share its bytes
	doc := gjson.ParseBytes(raw)
	parser := &parser{}
	config := &Config{Raw: raw, Services: map[string]Service{}, routesByHost: map[string][]Route{}}
	version := parser.stringField(doc, "", "version", true)
	n, err := strconv.ParseUint(version, 16, 64)
	if err != nil || len(version) != 8 {
		parser.fail("version", "is not eight hexadecimal digits")
	}
	config.Version = n
	list := func(v gjson.Result, at, key string) []gjson.Result {
		x := v.Get(key)
		if !x.IsArray() {
			parser.fail(at+key, "is not a list")
			return nil
		}
		return x.Array()
	}
	for i, v := range list(doc, "", "services") {
		at := "services." + strconv.Itoa(i) + "."
		s := Service{Name: parser.stringField(v, at, "name", true), HealthCheckPath: parser.stringField(v, at, "health_check_path", false),
			MaxConnections: int(parser.numberField(v, at, "max_connections", 0, 0)), WarmupDuration: parser.durationField(v, at, "cold_start", 0),
			WarmupRate: parser.numberField(v, at, "cold_per_s", 0, 0)}
		if _, twice := config.Services[s.Name]; twice {
			parser.fail(at+"name", "stands twice")
		}
		config.Services[s.Name] = s
	}
	if x := doc.Get("limits"); x.Exists() && !x.IsObject() {
		parser.fail("limits", "is not a table")
	}
	limits := doc.Get("limits")
	config.Limits = Limits{MaxHeaderBytes: int64(parser.numberField(limits, "limits.", "max_header_bytes", 1, 16<<10)),
		MaxBodyBytes:  int64(parser.numberField(limits, "limits.", "max_body_bytes", 0, 64<<20)),
		HeaderTimeout: parser.durationField(limits, "limits.", "header_timeout", 3*time.Second), IdleTimeout: parser.durationField(limits, "limits.", "idle_timeout", 15*time.Second)}
	for i, v := range list(doc, "", "virtual_hosts") {
		at := "virtual_hosts." + strconv.Itoa(i) + "."
		host := strings.ToLower(parser.stringField(v, at, "hostname", true))
		for j, p := range list(v, at, "path_routes") {
			at := at + "path_routes." + strconv.Itoa(j) + "."
			route := parser.parseRoute(config, p, at)
			for _, other := range config.routesByHost[host] {
				if other.PathPrefix == route.PathPrefix {
					parser.fail(at+"path_prefix", "stands twice under this host")
				}
			}
			config.routesByHost[host] = append(config.routesByHost[host], route)
			config.RouteCount++
		}
	}
	if parser.err != nil {
		return nil, parser.err
	}
	return config, nil
}

func (p *parser) parseRoute(config *Config, value gjson.Result, at string) Route {
	route := Route{Name: p.stringField(value, at, "name", false), PathPrefix: p.stringField(value, at, "path_prefix", true),
		Timeout: p.durationField(value, at, "timeout", 0), LatencyTarget: p.durationField(value, at, "target_latency", 0),
		Priority: int(p.numberField(value, at, "priority", 0, 0)), MaxAttempts: max(int(p.numberField(value, at, "max_attempts", 0, 1)), 1)}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		p.fail(at+"path_prefix", "starts with something other than a slash")
	}
	switch kind := p.stringField(value, at, "kind", true); kind {
	case "safe":
		route.Idempotent = true
	case "unsafe":
	default:
		p.fail(at+"kind", "is neither safe nor unsafe")
	}
	if value.Get("timeout").Exists() && route.Timeout <= 0 {
		p.fail(at+"timeout", "is not above nothing")
	}
	if route.Timeout > 0 && route.LatencyTarget-route.Timeout >= maxLatencyTargetExcess {
		p.fail(at+"target_latency", "stands a minute or more above the timeout")
	}
	known := func(path, service string) {
		if _, ok := config.Services[service]; !ok && service != "" {
			p.fail(path, "names an unknown service")
		}
	}
	split := value.Get("traffic_split")
	if !split.Exists() || split.Type == gjson.Null {
		s := p.stringField(value, at, "service", true)
		known(at+"service", s)
		route.TrafficSplit = []TrafficShare{{s, 1}}
		return route
	}
	if !split.IsArray() {
		p.fail(at+"traffic_split", "is not a list")
	}
	sum := 0.0
	for i, v := range split.Array() {
		at := at + "traffic_split." + strconv.Itoa(i) + "."
		s := TrafficShare{p.stringField(v, at, "service", true), p.numberField(v, at, "weight", 0, 0)}
		known(at+"service", s.Service)
		route.TrafficSplit, sum = append(route.TrafficSplit, s), sum+s.Weight
	}
	if sum <= 0 {
		p.fail(at+"traffic_split", "has no weight")
	}
	return route
}

// FindRoute returns the route with the longest prefix of the path under a host, which may carry a port.
func (c *Config) FindRoute(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	best := -1
	routes := c.routesByHost[strings.ToLower(host)]
	for i, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) && (best < 0 || len(route.PathPrefix) > len(routes[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return routes[best], true
}

// RoutesToService lists the routes that may send to a service, in the order of their hosts. It is asked for each service when a comb
// takes a configuration, so the routes are gone through once for all.
func (c *Config) RoutesToService(service string) []Route {
	c.indexOnce.Do(func() {
		c.routesByService = map[string][]Route{}
		for _, host := range slices.Sorted(maps.Keys(c.routesByHost)) {
			for _, route := range c.routesByHost[host] {
				for _, share := range route.TrafficSplit {
					c.routesByService[share.Service] = append(c.routesByService[share.Service], route)
				}
			}
		}
	})
	return c.routesByService[service]
}

// PickService chooses a service of the route by its shares; chance is from 0 up to 1.
func (r Route) PickService(chance float64) string {
	sum := 0.0
	for _, share := range r.TrafficSplit {
		sum += share.Weight
	}
	left := chance * sum
	for _, share := range r.TrafficSplit {
		if left -= share.Weight; left < 0 {
			return share.Service
		}
	}
	for i := len(r.TrafficSplit) - 1; i >= 0; i-- { // rounding
		if r.TrafficSplit[i].Weight > 0 {
			return r.TrafficSplit[i].Service
		}
	}
	return ""
}
