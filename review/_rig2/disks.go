package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// diskCase loses two of five core machines for some seconds and, while they are down, the disks of two others. No more disks are lost than
// fault_tolerance allows. When all machines have been back for `recovery`, the operator reads the configuration back.
func diskCase(rec *record, trouble bool) int {
	c, err := newCluster(rec, 5, 2)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	c.tolerated, c.bounds = 2, grownBounds
	defer c.finish()
	if err := c.startAll(); err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	services := []service{{name: "orders"}}
	routes := []route{{name: "r1", host: "a.example", prefix: "/o/", kind: "unsafe", service: "orders", timeoutMs: 6000, targetMs: 1200, attempts: 2}}
	op := &caller{cluster: c, name: "operator"}
	if status, _ := op.call("call=configuration.replace", configuration(1, services, routes, "15000ms"), 20*time.Second); status != 200 {
		rec.say("could not run: the first configuration was answered %d", status)
		return 2
	}
	for i := range 3 {
		r, err := newReplica(c, fmt.Sprintf("i-%d", i+1), "orders", zones[i], fmt.Sprintf("%s.3.%d:%d", c.prefix, i+1, replicaPort), 4, fixed(50*time.Millisecond))
		if err != nil {
			rec.say("could not run: %v", err)
			return 2
		}
		defer r.close()
		go r.sendBeats()
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	time.Sleep(7 * time.Second) // more than catch_up: no machine counts as new any more

	down := time.Duration(envInt("DOWN_S", 15)) * time.Second
	if trouble {
		rec.say("trouble: core-4 and core-5 lose power")
		both(c.members[3:5], func(n *node) { n.end(syscall.SIGKILL, true) })
	}
	time.Sleep(down)

	routes = append(routes, route{name: "r2", host: "a.example", prefix: "/new/", kind: "unsafe", service: "orders", timeoutMs: 6000, targetMs: 1200, attempts: 2})
	newest := configuration(2, services, routes, "15000ms")
	status, _ := op.call("call=configuration.replace", newest, 6*time.Second)
	rec.say("configuration 2 is answered %d", status)
	if status != 200 {
		rec.say("could not run: configuration 2 was not acknowledged")
		return 2
	}
	time.Sleep(2 * time.Second)

	if trouble {
		rec.say("trouble: core-1 and core-2 lose power and their disks; core-3 runs on")
		both(c.members[0:2], func(n *node) { n.end(syscall.SIGKILL, true) })
		for _, n := range c.members[0:2] {
			if err := n.wipe(); err != nil {
				rec.say("could not run: %v", err)
				return 2
			}
		}
		time.Sleep(time.Second)
		rec.say("all machines are started again")
		for _, n := range []*node{c.members[0], c.members[1], c.members[3], c.members[4]} {
			if err := n.start(); err != nil {
				rec.say("could not run: %v", err)
				return 2
			}
		}
	}
	time.Sleep(16 * time.Second) // recovery, 15 s, and one more
	return readBack(rec, c, newest)
}

// both calls do for several machines at the same time.
func both(nodes []*node, do func(*node)) {
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() { do(n) })
	}
	group.Wait()
}

// readBack asks all members for the configuration for 10 s, twice the contact bound.
func readBack(rec *record, c *cluster, newest []byte) int {
	reader := &caller{cluster: c, name: "operator"}
	read := map[string]int{}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		for _, n := range c.members {
			status, body := reader.callAt(n.control(), "call=configuration.describe", nil, time.Second)
			what := fmt.Sprint("answered ", status)
			switch {
			case status == 200 && bytes.Equal(body, newest):
				what = "the acknowledged configuration"
			case status == 200:
				what = "another configuration"
			}
			rec.line("operator: reads at %s: %s", n.name, what)
			read[what]++
		}
	}
	rec.say("read back: %v", read)
	switch {
	case read["another configuration"] > 0:
		rec.say("BROKEN: an older configuration than the acknowledged one was read back")
		return 1
	case read["the acknowledged configuration"] == 0:
		rec.say("BROKEN: the acknowledged configuration doesn't come")
		return 1
	}
	rec.say("held")
	return 0
}
