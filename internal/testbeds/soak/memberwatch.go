package soak

import (
	"context"
	"strings"
	"time"
)

const (
	memberWatchInterval = 500 * time.Millisecond
	minSilence          = 2 * time.Second // shorter ones are not recorded

	// maxSilence is how long a member may not respond after the last fault that acted on the control plane.
	maxSilence = 4 * time.Second

	// longStall is the length of a stall of the machine that may silence a member.
	longStall = 500 * time.Millisecond
)

// Silence is a time during which a member's main goroutine did not respond.
type Silence struct {
	Member string        `json:"member"`
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
}

// watchMembers records the silences of all members until ctx ends.
func (c *cluster) watchMembers(ctx context.Context) {
	for _, member := range c.members {
		c.traffic.Go(func() { c.watchMember(ctx, member) })
	}
}

func (c *cluster) watchMember(ctx context.Context, member *daemon) {
	lastResponse := c.now()
	for ctx.Err() == nil {
		text, err := member.metrics(ctx)
		responds := err == nil && strings.Contains(text, "zincloft_controlplane_responsive 1\n")
		now := c.now()
		ended := ctx.Err() != nil
		if (responds || ended) && now-lastResponse > minSilence {
			silence := Silence{Member: member.name, From: lastResponse, To: now}
			c.record.update(func(r *Record) { r.Silences = append(r.Silences, silence) })
		}
		if responds {
			lastResponse = now
		}
		select {
		case <-ctx.Done():
		case <-time.After(memberWatchInterval):
		}
	}
}

// checkSilences checks that each member responds again soon after the faults on the control plane, the connections held at its ports, its own start
// and long stalls of the machine.
func (c *checker) checkSilences() {
	for _, silence := range c.record.Silences {
		disturbed := silence.From
		for _, fault := range c.record.Faults {
			disturbs := fault.Kind.affectsControlPlane() || strings.HasPrefix(string(fault.Kind), "hoard")
			if disturbs && fault.BeganAt <= silence.To {
				disturbed = max(disturbed, fault.EndedAt)
			}
		}
		for _, event := range c.record.Processes {
			if event.Process == silence.Member && event.At <= silence.To {
				disturbed = max(disturbed, event.At)
			}
		}
		for _, stall := range c.record.Stalls {
			if stall.Ended-stall.Began > longStall && stall.Began <= silence.To {
				disturbed = max(disturbed, stall.Ended)
			}
		}
		if silence.To-disturbed > maxSilence {
			c.report(RuleUnresponsive, silence.To, "%s did not respond from %.2f s on; the last fault that may explain it ended at %.2f s", silence.Member,
				silence.From.Seconds(), disturbed.Seconds())
		}
	}
}
