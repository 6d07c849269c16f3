package load

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// maxRestartTableDelay is the time limit for all proxies to receive a table after a restart.
const maxRestartTableDelay = 10 * time.Second

// RunRestart runs a governor for the plan's duration, kills it, stops discovery and starts the governor again. Every second replica
// counts as restarted meanwhile. All proxies reconnect at once, holding only their default table.
func RunRestart(ctx context.Context, plan Plan) (RestartResult, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Duration+runMargin)
	defer cancel()
	plan.HangAt, plan.DrainAt, plan.PartialHangAt = plan.Duration, plan.Duration, plan.Duration // no faults
	s, err := newSite(plan)
	if err != nil {
		return RestartResult{}, err
	}
	defer s.close()
	if err := s.runBeforeRestart(ctx); err != nil {
		return RestartResult{}, err
	}
	restarted := time.Now()
	governor, err := s.startGovernor(ctx)
	if err != nil {
		return RestartResult{}, err
	}
	defer governor.stop(syscall.SIGKILL)
	proxies, err := s.connectProxies(ctx)
	if err != nil {
		return RestartResult{}, err
	}
	var result RestartResult
	result.TableDelay, result.ProxiesWithTable = waitForTables(ctx, proxies, restarted, maxRestartTableDelay)
	result.addWeights(proxies)
	return result, nil
}

// runBeforeRestart runs the governor with discovery and traffic for the plan's duration and stops all of them.
func (s *site) runBeforeRestart(ctx context.Context) error {
	governor, err := s.startGovernor(ctx)
	if err != nil {
		return err
	}
	defer governor.stop(syscall.SIGKILL)
	proxies, err := s.connectProxies(ctx)
	if err != nil {
		return err
	}
	if _, ready := waitForTables(ctx, proxies, time.Now(), maxTableDelay); ready < len(proxies) {
		return fmt.Errorf("%d of %d proxies received a table", ready, len(proxies))
	}
	traffic := s.startTraffic(ctx, proxies)
	time.Sleep(s.plan.Duration)
	governor.stop(syscall.SIGKILL)
	close(s.stopped)
	s.discovery.close()
	traffic.Wait()
	return nil
}

// addWeights computes the weight shares from the proxies' tables. Replicas with odd numbers have restarted; every second one of the
// others is fast, see Plan.FastReplicas.
func (r *RestartResult) addWeights(proxies []*proxy) {
	total, restarted, faster, slower := 0.0, 0.0, 0.0, 0.0
	for _, p := range proxies {
		for id, weight := range p.currentWeights() {
			w := float64(weight)
			total += w
			switch {
			case id%2 == 1:
				restarted += w
			case isFast(id):
				faster += w
			default:
				slower += w
			}
		}
	}
	if total > 0 {
		r.RestartedShare, r.FasterShare = restarted/total, faster/(faster+slower)
	}
}
