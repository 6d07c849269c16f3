package router

import (
	"testing"
	"time"

	"zincloft.example/zincloft/messages"
)

// TestRetryBudgetFollowsGatewayCount guards the sum of all gateways' retries: after a start of all, each gateway hears of the others one by
// one, and kept the share of the slack that it had when few were known. Together they had several times the slack.
func TestRetryBudgetFollowsGatewayCount(t *testing.T) {
	const slack, gateways = 160.0, 80
	spent := 0
	for gateway := range gateways {
		r := New(Settings{RetrySlack: slack, Seed: uint64(gateway)})
		r.Apply(time.Second, &messages.StateUpdate{Full: true, GatewayCount: 1 + gateway%4})
		r.StartRequest(time.Second, "svc")
		r.Apply(2*time.Second, &messages.StateUpdate{GatewayCount: gateways})
		for r.TryRetry(2*time.Second, "svc") {
			spent++
		}
	}
	if float64(spent) > slack {
		t.Errorf("%d retries by %d gateways, %g are allowed", spent, gateways, slack)
	}
}
