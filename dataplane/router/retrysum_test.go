package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/messages"
)

// retrySum counts requests and retries of one service over all gateways.
type retrySum struct {
	requests, retries []time.Duration
}

// countIn counts the moments, which are in order, after from, up to and including until.
func countIn(moments []time.Duration, from, until time.Duration) float64 {
	first, _ := slices.BinarySearch(moments, from+1)
	end, _ := slices.BinarySearch(moments, until+1)
	return float64(end - first)
}

// allowed is the bound of the retries in the window that ends at a moment: by the requests of that window, of the one before it, or of the one
// half a window before, whichever holds most.
func (s *retrySum) allowed(at, window time.Duration, ratio, slack float64) float64 {
	most := 0.0
	for _, before := range []time.Duration{0, window / 2, window} {
		most = max(most, countIn(s.requests, at-before-window, at-before))
	}
	return ratio*most + slack
}

// fleetNode is a place for a gateway in the property test; its router is nil while it is down.
type fleetNode struct {
	router    *Router
	startedAt time.Duration
}

// TestRetrySumOverIncarnations draws fleets whose gateways start, stop, are replaced and forget at any moment, are told a number of gateways that
// is right, stale, half of it (as by one side of a partition) or none at all, and retry whatever their budgets allow. In no window may all
// together retry more than ratio and slack allow.
func TestRetrySumOverIncarnations(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 60.0
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]fleetNode, rapid.IntRange(1, 40).Draw(t, "gateways"))
		requestsEach := rapid.IntRange(0, 8).Draw(t, "requests of a gateway in a step")
		restarts := rapid.IntRange(0, 100).Draw(t, "restarts in a hundred steps")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed of the restarts"), 0))
		told := rapid.SampledFrom([]string{"right", "half", "none", "late"}).Draw(t, "told")
		step := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second}).Draw(t, "step")
		greedyFrom := time.Duration(rapid.IntRange(0, 20).Draw(t, "retries from second")) * time.Second
		var sum retrySum
		for now := time.Duration(0); now < 30*time.Second; now += step {
			for i := range nodes {
				node := &nodes[i]
				if node.router == nil || random.IntN(100) < restarts {
					node.router, node.startedAt = New(Settings{RetryRatio: ratio, RetrySlack: slack, RetryWindow: window}), now
				}
				node.tell(now, told, len(nodes))
				for range requestsEach {
					sum.requests = append(sum.requests, now)
					node.router.StartRequest(now, "svc")
				}
				for now >= greedyFrom && node.router.TryRetry(now, "svc") {
					sum.retries = append(sum.retries, now)
				}
			}
			if spent, allowed := countIn(sum.retries, now-window, now), sum.allowed(now, window, ratio, slack); spent > allowed {
				t.Fatalf("%.0f retries in the window up to %s, %.1f are allowed", spent, now, allowed)
			}
		}
	})
}

// tell has a member tell a gateway how many there are.
func (n *fleetNode) tell(now time.Duration, how string, gateways int) {
	switch {
	case how == "half":
		gateways = (gateways + 1) / 2
	case how == "none", how == "late" && now-n.startedAt < 2*time.Second:
		return
	}
	n.router.Apply(now, &messages.StateUpdate{GatewayCount: gateways})
}

// TestRestartsAddNoRetries guards the bound on retries against restarts: each incarnation began with a full share of the slack, so that ten
// restarts of all gateways within a window had ten times the slack. Neither does a gateway that reaches no member take a share it was not told.
func TestRestartsAddNoRetries(t *testing.T) {
	const gateways, slack, ratio, window = 80, 160.0, 0.2, 10 * time.Second
	for _, restarts := range []int{1, 10} {
		for _, cutOff := range []bool{false, true} {
			spent := 0
			life := window / time.Duration(restarts)
			for restart := range restarts {
				for range gateways {
					spent += retriesOfALife(time.Duration(restart)*life, life, gateways, Settings{RetrySlack: slack, RetryRatio: ratio, RetryWindow: window}, cutOff)
				}
			}
			if allowed := slack + ratio*float64(gateways*restarts); float64(spent) > allowed {
				t.Errorf("%d restarts, cut off %t: %d retries in a window, %.0f are allowed", restarts, cutOff, spent, allowed)
			}
		}
	}
}

// retriesOfALife has a gateway start, serve one request and retry whatever it may until it ends.
func retriesOfALife(start, life time.Duration, gateways int, settings Settings, cutOff bool) (spent int) {
	r := New(settings)
	r.StartRequest(start, "svc")
	if !cutOff {
		r.Apply(start, &messages.StateUpdate{Full: true, GatewayCount: gateways})
	}
	for now := start; now < start+life; now += life / 100 {
		for r.TryRetry(now, "svc") {
			spent++
		}
	}
	return spent
}
