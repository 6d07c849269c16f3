package granter

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// removeServices removes services from the table that are not sharded services of the configuration any more, once no replica can hold their keys.
// Until then a service that returns keeps its owners. Their state is dropped after that.
func (g *Granter) removeServices(now time.Duration, input Input, changes *changes) {
	for _, name := range slices.Sorted(maps.Keys(input.Table.Services)) {
		if !slices.Contains(input.Services, name) && g.haveAllLeasesEnded(now, name, g.service(name)) {
			changes.remove(name)
		}
	}
	for name, service := range g.services {
		_, inTable := input.Table.Services[name]
		if !inTable && !slices.Contains(input.Services, name) && g.haveAllLeasesEnded(now, name, service) {
			delete(g.services, name)
		}
	}
}

// mayDivide reports whether no replica can hold keys of a service that is not in the table. The service may have been in it before.
func (g *Granter) mayDivide(now time.Duration, name string, service *serviceState, table ownership.Table) bool {
	return table.LastToken == 0 || g.haveAllLeasesEnded(now, name, service)
}

// haveAllLeasesEnded reports whether all leases of a service's keys must have ended.
func (g *Granter) haveAllLeasesEnded(now time.Duration, name string, service *serviceState) bool {
	return now >= g.leaseEnd(service, 0, ownership.MaxKey) && !g.hasGrantInFlight(name, 0, ownership.MaxKey)
}
