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

// Share is a part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route tells what becomes of the requests under a prefix of a host.
type Route struct {
	Name, Prefix string
	Safe         bool // may run more than once
	Timeout      time.Duration
	Target       time.Duration // an answer within this earns its full worth
	Priority     int           // 0 is highest
	Shares       []Share
	MaxAttempts  int // replicas that one try may be sent to
}

// Service is what the operator says of one.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	ColdStart      time.Duration
	ColdPerSecond  float64
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes int64
	Header, Idle           time.Duration
}

// Config is one version, whole. It is not changed once parsed.
type Config struct {
	Version  uint64
	Raw      []byte
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]Route
	Routes   int

	indexed sync.Once
	to      map[string][]Route // by service, once asked for: foragers do not ask
}

// Latest is how far a target may stand above its route's timeout.
const aimOver = time.Minute

type reader struct{ err error }

func (r *reader) fail(path, why string) {
	if r.err == nil {
		r.err = merry.Errorf("configuration: %s: %s", path, why)
	}
}

func (r *reader) text(v gjson.Result, at, key string, needed bool) string {
	x := v.Get(key)
	if x.Type == gjson.String && (x.Str != "" || !needed) {
		return x.Str
	}
	if x.Exists() && x.Type != gjson.Null || needed {
		r.fail(at+key, "is missing, empty or not a text")
	}
	return ""
}

func (r *reader) span(v gjson.Result, at, key string, def time.Duration) time.Duration {
	s := r.text(v, at, key, false)
	if s == "" {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		r.fail(at+key, `is not a time such as "1500ms"`)
	}
	return d
}

func (r *reader) number(v gjson.Result, at, key string, least, def float64) float64 {
	x := v.Get(key)
	if !x.Exists() || x.Type == gjson.Null {
		return def
	}
	if x.Type != gjson.Number || x.Num < least {
		r.fail(at+key, "is not a number of "+strconv.FormatFloat(least, 'g', -1, 64)+" or more")
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
	r := &reader{}
	c := &Config{Raw: raw, Services: map[string]Service{}, hosts: map[string][]Route{}}
	version := r.text(doc, "", "version", true)
	n, err := strconv.ParseUint(version, 16, 64)
	if err != nil || len(version) != 8 {
		r.fail("version", "is not eight hexadecimal digits")
	}
	c.Version = n
	list := func(v gjson.Result, at, key string) []gjson.Result {
		x := v.Get(key)
		if !x.IsArray() {
			r.fail(at+key, "is not a list")
			return nil
		}
		return x.Array()
	}
	for i, v := range list(doc, "", "services") {
		at := "services." + strconv.Itoa(i) + "."
		s := Service{Name: r.text(v, at, "name", true), HealthPath: r.text(v, at, "health_check_path", false),
			MaxConnections: int(r.number(v, at, "max_connections", 0, 0)), ColdStart: r.span(v, at, "cold_start", 0),
			ColdPerSecond: r.number(v, at, "cold_per_s", 0, 0)}
		if _, twice := c.Services[s.Name]; twice {
			r.fail(at+"name", "stands twice")
		}
		c.Services[s.Name] = s
	}
	if x := doc.Get("limits"); x.Exists() && !x.IsObject() {
		r.fail("limits", "is not a table")
	}
	lim := doc.Get("limits")
	c.Limits = Limits{HeaderBytes: int64(r.number(lim, "limits.", "max_header_bytes", 1, 16<<10)),
		BodyBytes: int64(r.number(lim, "limits.", "max_body_bytes", 0, 64<<20)),
		Header:    r.span(lim, "limits.", "header_timeout", 3*time.Second), Idle: r.span(lim, "limits.", "idle_timeout", 15*time.Second)}
	for i, v := range list(doc, "", "virtual_hosts") {
		at := "virtual_hosts." + strconv.Itoa(i) + "."
		host := strings.ToLower(r.text(v, at, "hostname", true))
		for j, p := range list(v, at, "path_routes") {
			at := at + "path_routes." + strconv.Itoa(j) + "."
			route := r.route(c, p, at)
			for _, other := range c.hosts[host] {
				if other.Prefix == route.Prefix {
					r.fail(at+"path_prefix", "stands twice under this host")
				}
			}
			c.hosts[host] = append(c.hosts[host], route)
			c.Routes++
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	return c, nil
}

func (r *reader) route(c *Config, p gjson.Result, at string) Route {
	x := Route{Name: r.text(p, at, "name", false), Prefix: r.text(p, at, "path_prefix", true),
		Timeout: r.span(p, at, "timeout", 0), Target: r.span(p, at, "target_latency", 0),
		Priority: int(r.number(p, at, "priority", 0, 0)), MaxAttempts: max(int(r.number(p, at, "max_attempts", 0, 1)), 1)}
	if !strings.HasPrefix(x.Prefix, "/") {
		r.fail(at+"path_prefix", "starts with something other than a slash")
	}
	switch kind := r.text(p, at, "kind", true); kind {
	case "safe":
		x.Safe = true
	case "unsafe":
	default:
		r.fail(at+"kind", "is neither safe nor unsafe")
	}
	if p.Get("timeout").Exists() && x.Timeout <= 0 {
		r.fail(at+"timeout", "is not above nothing")
	}
	if x.Timeout > 0 && x.Target-x.Timeout >= aimOver {
		r.fail(at+"target_latency", "stands a minute or more above the timeout")
	}
	known := func(path, service string) {
		if _, ok := c.Services[service]; !ok && service != "" {
			r.fail(path, "names an unknown service")
		}
	}
	split := p.Get("traffic_split")
	if !split.Exists() || split.Type == gjson.Null {
		s := r.text(p, at, "service", true)
		known(at+"service", s)
		x.Shares = []Share{{s, 1}}
		return x
	}
	if !split.IsArray() {
		r.fail(at+"traffic_split", "is not a list")
	}
	sum := 0.0
	for i, v := range split.Array() {
		at := at + "traffic_split." + strconv.Itoa(i) + "."
		s := Share{r.text(v, at, "service", true), r.number(v, at, "weight", 0, 0)}
		known(at+"service", s.Service)
		x.Shares, sum = append(x.Shares, s), sum+s.Weight
	}
	if sum <= 0 {
		r.fail(at+"traffic_split", "has no weight")
	}
	return x
}

// Find returns the route with the longest prefix of the path under a host, which may carry a port.
func (c *Config) Find(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	best := -1
	routes := c.hosts[strings.ToLower(host)]
	for i, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return routes[best], true
}

// RoutesTo lists the routes that may send to a service, in the order of their hosts. It is asked for each service when a comb
// takes a configuration, so the routes are gone through once for all.
func (c *Config) RoutesTo(service string) []Route {
	c.indexed.Do(func() {
		c.to = map[string][]Route{}
		for _, host := range slices.Sorted(maps.Keys(c.hosts)) {
			for _, r := range c.hosts[host] {
				for _, s := range r.Shares {
					c.to[s.Service] = append(c.to[s.Service], r)
				}
			}
		}
	})
	return c.to[service]
}

// Pick chooses a service of the route by its shares; chance is from 0 up to 1.
func (r Route) Pick(chance float64) string {
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	left := chance * sum
	for _, s := range r.Shares {
		if left -= s.Weight; left < 0 {
			return s.Service
		}
	}
	for i := len(r.Shares) - 1; i >= 0; i-- { // rounding
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}
