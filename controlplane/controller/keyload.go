package controller

import (
	"time"

	"zincloft.example/zincloft/messages"
)

// keyLoads counts requests by key since the last forwarding, by service.
type keyLoads map[string]map[uint16]uint32

// add adds the counts of a gateway's report.
func (k keyLoads) add(reported []messages.ServiceKeyLoad) {
	for _, service := range reported {
		counts := k[service.Service]
		if counts == nil {
			counts = map[uint16]uint32{}
			k[service.Service] = counts
		}
		for _, key := range service.Keys {
			counts[key.Key] += key.Requests
		}
	}
}

// take returns the counts, sorted by service and key, and clears them.
func (k keyLoads) take() []messages.ServiceKeyLoad {
	var taken []messages.ServiceKeyLoad
	for _, name := range sortedKeys(k) {
		load := messages.ServiceKeyLoad{Service: name}
		for _, key := range sortedKeyCounts(k[name]) {
			load.Keys = append(load.Keys, messages.KeyCount{Key: key, Requests: k[name][key]})
		}
		taken = append(taken, load)
	}
	clear(k)
	return taken
}

// forwardKeyLoads passes the loads that gateways have reported to the head of the chain.
func (c *Controller) forwardKeyLoads(now time.Duration) {
	if len(c.owners.keyLoads) == 0 {
		return
	}
	loads := c.owners.keyLoads.take()
	view := c.coordinator.View()
	if len(view.Chain) == 0 {
		return
	}
	head := view.Chain[0]
	if head == c.coordinator.Self().ID {
		c.recordKeyLoads(loads)
		return
	}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID == head {
			c.send(peer.Addr, Message{KeyLoads: loads})
		}
	}
}

// recordKeyLoads records loads at the head of the chain.
func (c *Controller) recordKeyLoads(loads []messages.ServiceKeyLoad) {
	for _, load := range loads {
		c.owners.granter.RecordLoad(load)
	}
}
