package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/messages"
)

// fleetRetries records the times of all gateways' requests and retries to one service, in ascending order.
type fleetRetries struct {
	requests, retries []time.Duration
}

// countBetween counts the sorted times that are after from and not after until.
func countBetween(times []time.Duration, from, until time.Duration) float64 {
	first, _ := slices.BinarySearch(times, from+1)
	end, _ := slices.BinarySearch(times, until+1)
	return float64(end - first)
}

// limit returns the maximum number of retries in the window that ends at the given time. It is based on the requests in that
// window, the previous window, or the window half a window earlier, whichever has the most.
func (f *fleetRetries) limit(at, window time.Duration, ratio, slack float64) float64 {
	mostRequests := 0.0
	for _, earlier := range []time.Duration{0, window / 2, window} {
		mostRequests = max(mostRequests, countBetween(f.requests, at-earlier-window, at-earlier))
	}
	return ratio*mostRequests + slack
}

// fleetNode runs one gateway at a time. Its router is nil until the first one starts.
type fleetNode struct {
	router    *Router
	startedAt time.Duration
}

// Guards the fleet's retry limit in any window: gateways restart at random times, receive the correct number of gateways, half
// of it, or none, and spend their whole budgets.
func TestFleetRetriesStayWithinLimit(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 60.0
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]fleetNode, rapid.IntRange(1, 40).Draw(t, "gateways"))
		requestsPerStep := rapid.IntRange(0, 8).Draw(t, "requests per gateway and step")
		restarts := rapid.IntRange(0, 100).Draw(t, "restarts per hundred steps")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "restart seed"), 0))
		countSent := rapid.SampledFrom([]string{"correct", "half", "none", "delayed"}).Draw(t, "gateway count sent")
		step := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second}).Draw(t, "step")
		retryFrom := time.Duration(rapid.IntRange(0, 20).Draw(t, "second of the first retry")) * time.Second
		var fleet fleetRetries
		for now := time.Duration(0); now < 30*time.Second; now += step {
			for i := range nodes {
				node := &nodes[i]
				if node.router == nil || random.IntN(100) < restarts {
					node.router, node.startedAt = New(Settings{RetryRatio: ratio, RetrySlack: slack, RetryWindow: window}), now
				}
				node.sendGatewayCount(now, countSent, len(nodes))
				for range requestsPerStep {
					fleet.requests = append(fleet.requests, now)
					node.router.StartRequest(now, "svc")
				}
				for now >= retryFrom && node.router.TryRetry(now, "svc") {
					fleet.retries = append(fleet.retries, now)
				}
			}
			if retries, limit := countBetween(fleet.retries, now-window, now), fleet.limit(now, window, ratio, slack); retries > limit {
				t.Fatalf("got %.0f retries in the window that ends at %s, want at most %.1f", retries, now, limit)
			}
		}
	})
}

// sendGatewayCount sends an update with the number of gateways: "correct", "half" of it as on one side of a partition, "none",
// or "delayed" after a start.
func (n *fleetNode) sendGatewayCount(now time.Duration, how string, gateways int) {
	switch {
	case how == "half":
		gateways = (gateways + 1) / 2
	case how == "none", how == "delayed" && now-n.startedAt < 2*time.Second:
		return
	}
	n.router.Apply(now, &messages.StateUpdate{GatewayCount: gateways})
}

// Guards against budgets that refill on restart, and against a share of the slack for gateways that reach no member: restarting
// the fleet within a window must not add retries.
func TestRestartsAddNoRetries(t *testing.T) {
	const gateways, slack, ratio, window = 80, 160.0, 0.2, 10 * time.Second
	for _, restarts := range []int{1, 10} {
		for _, partitioned := range []bool{false, true} {
			retries := 0
			uptime := window / time.Duration(restarts)
			for restart := range restarts {
				for range gateways {
					settings := Settings{RetrySlack: slack, RetryRatio: ratio, RetryWindow: window}
					retries += retriesDuringUptime(time.Duration(restart)*uptime, uptime, gateways, settings, partitioned)
				}
			}
			if limit := slack + ratio*float64(gateways*restarts); float64(retries) > limit {
				t.Errorf("%d restarts, partitioned %t: got %d retries in a window, want at most %.0f", restarts, partitioned, retries, limit)
			}
		}
	}
}

// retriesDuringUptime starts a gateway that serves one request and retries as often as its budget allows.
func retriesDuringUptime(start, uptime time.Duration, gateways int, settings Settings, partitioned bool) (retries int) {
	r := New(settings)
	r.StartRequest(start, "svc")
	if !partitioned {
		r.Apply(start, &messages.StateUpdate{Full: true, GatewayCount: gateways})
	}
	for now := start; now < start+uptime; now += uptime / 100 {
		for r.TryRetry(now, "svc") {
			retries++
		}
	}
	return retries
}
