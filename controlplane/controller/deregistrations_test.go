package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// deregistrationLog returns the member's log lines about deregistrations since the last call.
func (c *cluster) deregistrationLog(member int) (lines []string) {
	for _, event := range c.logged[member] {
		if event.Name == "instance_deregistered" || event.Name == "service_without_instances" {
			lines = append(lines, fmt.Sprintln(event.Name, event.Warning, event.Fields))
		}
	}
	c.logged[member] = nil
	return lines
}

// TestDeregistrationNamesItsEvidence guards against deregistrations of which nobody can tell the reason, and against a service that
// loses all instances unnoticed.
func TestDeregistrationNamesItsEvidence(t *testing.T) {
	replacement := fleet.Instance{ID: "i2", Service: "svc", Addr: "10.9.0.1:80", Zone: "a", Slots: 4, Sequence: 1}
	for _, test := range []struct {
		evidence registry.Evidence
		by       string
		cause    func(c *cluster)
		isLast   bool
	}{
		{registry.EvidenceOwnCall, "", func(c *cluster) { c.call(0, Event{Deregister: "i1"}) }, true},
		{registry.EvidenceMisdirected, "f9", func(c *cluster) {
			c.step(0, Event{Stream: 9, Report: &messages.LoadReport{Deregistered: []string{"i1"}}})
		}, true},
		{registry.EvidenceAddressReused, "i2", func(c *cluster) { c.call(0, Event{Heartbeat: &replacement}) }, false},
		{registry.EvidenceTimeout, "", func(c *cluster) { c.run(40 * time.Second) }, true},
	} {
		c := newCluster()
		c.join(0, 9)
		c.sendHeartbeat(0, 1, 0)
		c.run(3 * time.Second)
		c.deregistrationLog(0)
		test.cause(c)
		c.run(time.Second)
		lines := strings.Join(c.deregistrationLog(0), "")
		want := fmt.Sprintf("instance_deregistered false [{instance i1} {service svc} {evidence %s} {by %s}]\n", test.evidence, test.by)
		if test.isLast {
			want += "service_without_instances true [{service svc}]\n"
		}
		if lines != want {
			t.Errorf("%s: logged %q, want %q", test.evidence, lines, want)
		}
		for _, count := range c.controllers[0].Metrics(c.now).Deregistrations {
			if (count.Count == 1) != (count.Evidence == test.evidence) {
				t.Errorf("%s: counted %v", test.evidence, count)
			}
		}
	}
}
