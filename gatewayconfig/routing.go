package gatewayconfig

import (
	"maps"
	"slices"
	"strings"
)

// FindRoute returns the route with the longest matching path prefix under a host, which may carry a port.
func (c *Config) FindRoute(host, path string) (Route, bool) {
	routes := c.routesByHost[strings.ToLower(withoutPort(host))]
	longest := -1
	for i, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) && (longest < 0 || len(route.PathPrefix) > len(routes[longest].PathPrefix)) {
			longest = i
		}
	}
	if longest < 0 {
		return Route{}, false
	}
	return routes[longest], true
}

// withoutPort cuts the port off a host. A bare IPv6 address in brackets has none.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// RoutesToService lists the routes that may send to a service, in the order of their hosts. A member of the control plane asks for each
// service when it takes a configuration into force, so all routes are indexed by the first call.
func (c *Config) RoutesToService(service string) []Route {
	c.indexOnce.Do(c.indexRoutes)
	return c.routesByService[service]
}

func (c *Config) indexRoutes() {
	c.routesByService = map[string][]Route{}
	for _, host := range slices.Sorted(maps.Keys(c.routesByHost)) {
		for _, route := range c.routesByHost[host] {
			for _, share := range route.TrafficSplit {
				c.routesByService[share.Service] = append(c.routesByService[share.Service], route)
			}
		}
	}
}

// PickService chooses a service by the weights of the route's traffic split. chance lies from 0 up to, not including, 1.
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
	return r.lastWeighted()
}

// lastWeighted is the last service with a weight: the choice where rounding leaves none.
func (r Route) lastWeighted() string {
	for _, share := range slices.Backward(r.TrafficSplit) {
		if share.Weight > 0 {
			return share.Service
		}
	}
	return ""
}
