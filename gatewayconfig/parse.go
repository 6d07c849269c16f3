package gatewayconfig

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// The limits in force where the operator sets none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// maxLatencyTargetExcess bounds how far a route's latency target may be above its timeout.
const maxLatencyTargetExcess = time.Minute

// versionDigits is the length of a version: it is written in hexadecimal, with leading zeros.
const versionDigits = 8

// ErrMalformed is returned for a document that is not complete JSON.
var ErrMalformed = errors.New("configuration: the body is not JSON, or is cut short")

// FieldError is returned for a configuration that is invalid; it names the first field at fault.
type FieldError struct {
	Path   string // of the field, such as virtual_hosts.0.hostname
	Reason string
}

func (e *FieldError) Error() string { return "configuration: " + e.Path + ": " + e.Reason }

// Parse reads a complete configuration. It returns ErrMalformed or a *FieldError where it can't.
func Parse(raw []byte) (*Config, error) {
	if !gjson.ValidBytes(raw) {
		return nil, ErrMalformed
	}
	raw = append([]byte(nil), raw...) // gjson's strings share its bytes
	document := gjson.ParseBytes(raw)
	p := &parser{config: &Config{Raw: raw, Services: map[string]Service{}, routesByHost: map[string][]Route{}}}
	p.parseVersion(document)
	p.parseServices(document)
	p.parseLimits(document)
	p.parseHosts(document)
	if p.err != nil {
		return nil, p.err
	}
	return p.config, nil
}

func (p *parser) parseVersion(document gjson.Result) {
	text := p.stringField(document, "", "version", true)
	version, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != versionDigits {
		p.fail("version", "is not eight hexadecimal digits")
	}
	p.config.Version = version
}

func (p *parser) parseServices(document gjson.Result) {
	for i, value := range p.listField(document, "", "services") {
		at := "services." + strconv.Itoa(i) + "."
		service := Service{
			Name:            p.stringField(value, at, "name", true),
			HealthCheckPath: p.stringField(value, at, "health_check_path", false),
			MaxConnections:  int(p.numberField(value, at, "max_connections", 0, 0)),
			WarmupDuration:  p.durationField(value, at, "cold_start", 0),
			WarmupRate:      p.numberField(value, at, "cold_per_s", 0, 0),
		}
		if _, exists := p.config.Services[service.Name]; exists {
			p.fail(at+"name", "is used twice")
		}
		p.config.Services[service.Name] = service
	}
}

func (p *parser) parseLimits(document gjson.Result) {
	limits := document.Get("limits")
	if limits.Exists() && !limits.IsObject() {
		p.fail("limits", "is not a table")
	}
	p.config.Limits = Limits{
		MaxHeaderBytes: int64(p.numberField(limits, "limits.", "max_header_bytes", 1, defaultMaxHeaderBytes)),
		MaxBodyBytes:   int64(p.numberField(limits, "limits.", "max_body_bytes", 0, defaultMaxBodyBytes)),
		HeaderTimeout:  p.durationField(limits, "limits.", "header_timeout", defaultHeaderTimeout),
		IdleTimeout:    p.durationField(limits, "limits.", "idle_timeout", defaultIdleTimeout),
	}
}

func (p *parser) parseHosts(document gjson.Result) {
	for i, value := range p.listField(document, "", "virtual_hosts") {
		at := "virtual_hosts." + strconv.Itoa(i) + "."
		host := strings.ToLower(p.stringField(value, at, "hostname", true))
		for j, route := range p.listField(value, at, "path_routes") {
			p.addRoute(host, p.parseRoute(route, routePath(at, j)), routePath(at, j))
		}
	}
}

func routePath(host string, i int) string { return host + "path_routes." + strconv.Itoa(i) + "." }

// addRoute adds a route to a host, under which no other may have its prefix.
func (p *parser) addRoute(host string, route Route, at string) {
	for _, other := range p.config.routesByHost[host] {
		if other.PathPrefix == route.PathPrefix {
			p.fail(at+"path_prefix", "stands twice under this host")
		}
	}
	p.config.routesByHost[host] = append(p.config.routesByHost[host], route)
	p.config.RouteCount++
}

func (p *parser) parseRoute(value gjson.Result, at string) Route {
	route := Route{
		Name:          p.stringField(value, at, "name", false),
		PathPrefix:    p.stringField(value, at, "path_prefix", true),
		Timeout:       p.durationField(value, at, "timeout", 0),
		LatencyTarget: p.durationField(value, at, "target_latency", 0),
		Priority:      int(p.numberField(value, at, "priority", 0, 0)),
		MaxAttempts:   max(int(p.numberField(value, at, "max_attempts", 0, 1)), 1),
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		p.fail(at+"path_prefix", "starts with something other than a slash")
	}
	route.Idempotent = p.parseKind(value, at)
	if value.Get("timeout").Exists() && route.Timeout <= 0 {
		p.fail(at+"timeout", "is not above zero")
	}
	if route.Timeout > 0 && route.LatencyTarget-route.Timeout >= maxLatencyTargetExcess {
		p.fail(at+"target_latency", "is a minute or more above the timeout")
	}
	route.TrafficSplit = p.parseTrafficSplit(value, at)
	return route
}

// parseKind reports whether a route's requests may run more than once.
func (p *parser) parseKind(value gjson.Result, at string) (idempotent bool) {
	switch p.stringField(value, at, "kind", true) {
	case "safe":
		return true
	case "unsafe":
	default:
		p.fail(at+"kind", "is neither safe nor unsafe")
	}
	return false
}

// parseTrafficSplit reads the services of a route: a list with weights, or one service that gets all.
func (p *parser) parseTrafficSplit(value gjson.Result, at string) []TrafficShare {
	split := value.Get("traffic_split")
	if isAbsent(split) {
		return []TrafficShare{{Service: p.serviceField(value, at, "service"), Weight: 1}}
	}
	if !split.IsArray() {
		p.fail(at+"traffic_split", "is not a list")
	}
	var shares []TrafficShare
	sum := 0.0
	for i, part := range split.Array() {
		at := at + "traffic_split." + strconv.Itoa(i) + "."
		share := TrafficShare{Service: p.stringField(part, at, "service", true), Weight: p.numberField(part, at, "weight", 0, 0)}
		p.checkService(at+"service", share.Service)
		shares = append(shares, share)
		sum += share.Weight
	}
	if sum <= 0 {
		p.fail(at+"traffic_split", "has no weight")
	}
	return shares
}
