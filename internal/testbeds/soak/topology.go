package soak

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// createHosts creates the daemons of all hosts and the relays between them.
func (c *cluster) createHosts() error {
	var hosts []host
	size := c.options.Size
	for i := range size.Members {
		hosts = append(hosts, host{name: fmt.Sprintf("member-%d", i+1), ip: c.ip(1, i+1), zone: zoneAt(i), isMember: true, forwarded: map[string]string{}})
	}
	for i := range size.Gateways {
		hosts = append(hosts, host{name: fmt.Sprintf("gateway-%d", i+1), ip: c.ip(2, i+1), zone: zoneAt(i), forwarded: map[string]string{}})
	}
	members := hosts[:size.Members]
	if err := c.createShardAddresses(members); err != nil {
		return err
	}
	var seeds []string
	for _, member := range members {
		seeds = append(seeds, member.controlAddress())
		if err := c.addRelay(c.controlLinks, member.name, member.controlAddress()); err != nil {
			return err
		}
	}
	for _, from := range hosts {
		for _, to := range members {
			if from.name == to.name {
				continue
			}
			linkRelay, err := newRelay("127.0.0.1:0", to.peerAddress())
			if err != nil {
				return merry.Prependf(err, "starting the relay from %s to %s", from.name, to.name)
			}
			c.links[link{from.name, to.name}] = linkRelay
			from.forwarded[to.peerAddress()] = linkRelay.address()
		}
	}
	for _, h := range hosts {
		h.descriptors = size.descriptors()
		h.tolerance = (size.Members - 1) / 2
		reportEvent := func(kind ProcessEventKind, detail string) { c.recordProcessEvent(h.name, kind, detail) }
		reportFinding := func(text string) { c.recordFinding(h.name, text) }
		d := newDaemon(h, c.options, seeds, reportEvent, reportFinding)
		if h.isMember {
			c.members = append(c.members, d)
			continue
		}
		c.gateways = append(c.gateways, d)
		if err := c.addRelay(c.clientLinks, h.name, h.frontAddress()); err != nil {
			return err
		}
	}
	return nil
}

// createShardAddresses creates the addresses that sharded replicas advertise, and has each member dial relays of its own for them.
func (c *cluster) createShardAddresses(members []host) error {
	for range c.options.Size.shardAddresses() {
		gateways, err := newRelay("127.0.0.1:0", "")
		if err != nil {
			return merry.Prepend(err, "starting the relay to a sharded replica")
		}
		address := &shardAddress{gateways: gateways, members: map[string]*relay{}}
		c.shardAddresses = append(c.shardAddresses, address)
		for _, member := range members {
			linkRelay, err := newRelayFrom(member.ip, "127.0.0.1:0", "")
			if err != nil {
				return merry.Prepend(err, "starting the relay from "+member.name+" to a sharded replica")
			}
			address.members[member.name] = linkRelay
			member.forwarded[address.advertised()] = linkRelay.address()
		}
	}
	return nil
}

func (c *cluster) addRelay(to map[string]*relay, name, target string) error {
	linkRelay, err := newRelay("127.0.0.1:0", target)
	if err != nil {
		return merry.Prepend(err, "starting the relay to "+name)
	}
	to[name] = linkRelay
	return nil
}

func (c *cluster) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.options.Network, group, number)
}
