package soak

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// build makes all hosts and the relays between them.
func (c *cluster) build() error {
	var hosts []host
	for i, zone := range memberZones {
		hosts = append(hosts, host{name: fmt.Sprintf("member-%d", i+1), ip: c.ip(1, i+1), zone: zone, isMember: true, forwarded: map[string]string{}})
	}
	for i, zone := range gatewayZones {
		hosts = append(hosts, host{name: fmt.Sprintf("gateway-%d", i+1), ip: c.ip(2, i+1), zone: zone, forwarded: map[string]string{}})
	}
	members := hosts[:len(memberZones)]
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
			passes, err := newRelay("127.0.0.1:0", to.peerAddress())
			if err != nil {
				return merry.Prepend(err, "relay between daemons")
			}
			c.links[link{from.name, to.name}] = passes
			from.forwarded[to.peerAddress()] = passes.address()
		}
	}
	for _, h := range hosts {
		report := func(change ProcessEventKind, detail string) { c.noteProcess(h.name, change, detail) }
		finding := func(text string) { c.noteFinding(h.name, text) }
		d := newDaemon(h, c.options, seeds, report, finding)
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

func (c *cluster) addRelay(to map[string]*relay, name, target string) error {
	passes, err := newRelay("127.0.0.1:0", target)
	if err != nil {
		return merry.Prepend(err, "relay to "+name)
	}
	to[name] = passes
	return nil
}

func (c *cluster) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.options.Network, group, number)
}
