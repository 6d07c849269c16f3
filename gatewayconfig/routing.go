package gatewayconfig

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// WarmupDurations returns how long the replicas of each service warm up, by service.
func (c *Config) WarmupDurations() map[string]time.Duration {
	durations := map[string]time.Duration{}
	for name, service := range c.Services {
		durations[name] = service.WarmupDuration
	}
	return durations
}

// ShardedServices returns the names of the sharded services, sorted.
func (c *Config) ShardedServices() []string {
	var names []string
	for name, service := range c.Services {
		if service.Sharded {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// FindRoute returns the route of a host with the longest matching path prefix. The host may include a port.
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

// withoutPort removes the port from a host. An IPv6 address must be in brackets.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// RoutesToService returns the routes that may send requests to a service, sorted by host. The first call builds an index of all
// routes, as control-plane members call it for each service of a new configuration.
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

// PickService selects a service in proportion to the weights of the traffic split. Random is a random number in [0, 1).
func (r Route) PickService(random float64) string {
	sum := 0.0
	for _, share := range r.TrafficSplit {
		sum += share.Weight
	}
	remaining := random * sum
	for _, share := range r.TrafficSplit {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return r.lastWeighted()
}

// lastWeighted returns the last service with a weight above zero. It is selected if rounding errors leave no other.
func (r Route) lastWeighted() string {
	for _, share := range slices.Backward(r.TrafficSplit) {
		if share.Weight > 0 {
			return share.Service
		}
	}
	return ""
}
