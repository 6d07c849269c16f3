package router

import (
	"testing"
	"time"

	"zincloft.example/zincloft/messages"
)

// Guards the fleet's retry limit when all gateways start at once: each must reduce its share of the slack as the number of
// gateways that it is sent grows.
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
		t.Errorf("got %d retries by %d gateways, want at most %g", spent, gateways, slack)
	}
}
