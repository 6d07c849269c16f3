package gatewayconfig

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Default limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// A route's latency target must exceed its timeout by less than maxLatencyTargetExcess.
const maxLatencyTargetExcess = time.Minute

// versionDigits is the number of hexadecimal digits in a version, with leading zeros.
const versionDigits = 8

// ErrMalformed is returned for a document that is not valid JSON.
var ErrMalformed = errors.New("configuration: the body is not valid JSON or is truncated")

// FieldError describes the first invalid field of a configuration.
type FieldError struct {
	Path   string // path of the field, such as virtual_hosts.0.hostname
	Reason string
}

func (e *FieldError) Error() string { return "configuration: " + e.Path + ": " + e.Reason }

// Parse parses and validates a configuration document. Its error is ErrMalformed or a *FieldError.
func Parse(raw []byte) (*Config, error) {
	if !gjson.ValidBytes(raw) {
		return nil, ErrMalformed
	}
	raw = append([]byte(nil), raw...) // the strings in gjson results refer to these bytes
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
		p.fail("version", "must be eight hexadecimal digits")
	}
	p.config.Version = version
}

func (p *parser) parseServices(document gjson.Result) {
	for i, value := range p.arrayField(document, "", "services") {
		prefix := "services." + strconv.Itoa(i) + "."
		service := Service{
			Name:            p.stringField(value, prefix, "name", true),
			HealthCheckPath: p.stringField(value, prefix, "health_check_path", false),
			MaxConnections:  int(p.numberField(value, prefix, "max_connections", 0, 0)),
			WarmupDuration:  p.durationField(value, prefix, "cold_start", 0),
			WarmupRate:      p.numberField(value, prefix, "cold_per_s", 0, 0),
			Sharded:         p.boolField(value, prefix, "sharded"),
			ShardWarmup:     p.durationField(value, prefix, "warm_up", 0),
		}
		if _, exists := p.config.Services[service.Name]; exists {
			p.fail(prefix+"name", "must be unique")
		}
		p.config.Services[service.Name] = service
	}
}

func (p *parser) parseLimits(document gjson.Result) {
	limits := document.Get("limits")
	if limits.Exists() && !limits.IsObject() {
		p.fail("limits", "must be an object")
	}
	p.config.Limits = Limits{
		MaxHeaderBytes: int64(p.numberField(limits, "limits.", "max_header_bytes", 1, defaultMaxHeaderBytes)),
		MaxBodyBytes:   int64(p.numberField(limits, "limits.", "max_body_bytes", 0, defaultMaxBodyBytes)),
		HeaderTimeout:  p.durationField(limits, "limits.", "header_timeout", defaultHeaderTimeout),
		IdleTimeout:    p.durationField(limits, "limits.", "idle_timeout", defaultIdleTimeout),
	}
}

func (p *parser) parseHosts(document gjson.Result) {
	for i, value := range p.arrayField(document, "", "virtual_hosts") {
		hostPrefix := "virtual_hosts." + strconv.Itoa(i) + "."
		host := strings.ToLower(p.stringField(value, hostPrefix, "hostname", true))
		for j, route := range p.arrayField(value, hostPrefix, "path_routes") {
			routePrefix := hostPrefix + "path_routes." + strconv.Itoa(j) + "."
			p.addRoute(host, p.parseRoute(route, routePrefix), routePrefix)
		}
	}
}

// addRoute adds a route to a host. Its path prefix must be unique within the host.
func (p *parser) addRoute(host string, route Route, prefix string) {
	for _, other := range p.config.routesByHost[host] {
		if other.PathPrefix == route.PathPrefix {
			p.fail(prefix+"path_prefix", "must be unique within the host")
		}
	}
	p.config.routesByHost[host] = append(p.config.routesByHost[host], route)
	p.config.RouteCount++
}

func (p *parser) parseRoute(value gjson.Result, prefix string) Route {
	route := Route{
		Name:          p.stringField(value, prefix, "name", false),
		PathPrefix:    p.stringField(value, prefix, "path_prefix", true),
		Timeout:       p.durationField(value, prefix, "timeout", 0),
		LatencyTarget: p.durationField(value, prefix, "target_latency", 0),
		Priority:      int(p.numberField(value, prefix, "priority", 0, 0)),
		MaxAttempts:   max(int(p.numberField(value, prefix, "max_attempts", 0, 1)), 1),
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		p.fail(prefix+"path_prefix", "must start with a slash")
	}
	route.Idempotent = p.parseKind(value, prefix)
	if value.Get("timeout").Exists() && route.Timeout <= 0 {
		p.fail(prefix+"timeout", "must be greater than zero")
	}
	if route.Timeout > 0 && route.LatencyTarget-route.Timeout >= maxLatencyTargetExcess {
		p.fail(prefix+"target_latency", "must exceed the timeout by less than a minute")
	}
	route.TrafficSplit = p.parseTrafficSplit(value, prefix)
	return route
}

// parseKind parses the kind of a route and reports whether its requests are idempotent.
func (p *parser) parseKind(value gjson.Result, prefix string) (idempotent bool) {
	switch p.stringField(value, prefix, "kind", true) {
	case "safe":
		return true
	case "unsafe":
	default:
		p.fail(prefix+"kind", `must be "safe" or "unsafe"`)
	}
	return false
}

// parseTrafficSplit parses the services of a route: either an array of services with weights, or a single service.
func (p *parser) parseTrafficSplit(value gjson.Result, prefix string) []TrafficShare {
	split := value.Get("traffic_split")
	if isAbsent(split) {
		return []TrafficShare{{Service: p.serviceField(value, prefix, "service"), Weight: 1}}
	}
	if !split.IsArray() {
		p.fail(prefix+"traffic_split", "must be an array")
	}
	var shares []TrafficShare
	sum := 0.0
	for i, element := range split.Array() {
		elementPrefix := prefix + "traffic_split." + strconv.Itoa(i) + "."
		share := TrafficShare{
			Service: p.stringField(element, elementPrefix, "service", true),
			Weight:  p.numberField(element, elementPrefix, "weight", 0, 0),
		}
		p.checkService(elementPrefix+"service", share.Service)
		shares = append(shares, share)
		sum += share.Weight
	}
	if sum <= 0 {
		p.fail(prefix+"traffic_split", "must have a total weight greater than zero")
	}
	return shares
}
