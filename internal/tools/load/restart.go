package load

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// maxRestartTableDelay is how long proxies may take to hold a table after a restart.
const maxRestartTableDelay = 10 * time.Second

// RunRestart runs a governor for the plan's duration, kills it and takes discovery away, has every second replica restart, and
// starts the governor again: all proxies connect at once and know only their standing tables.
func RunRestart(ctx context.Context, plan Plan) (RestartResult, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Duration+runMargin)
	defer cancel()
	plan.HangAt, plan.DrainAt, plan.PartialHangAt = plan.Duration, plan.Duration, plan.Duration // no faults
	s, err := newSite(plan)
	if err != nil {
		return RestartResult{}, err
	}
	defer s.close()
	if err := s.runFirstIncarnation(ctx); err != nil {
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

// runFirstIncarnation runs the governor with discovery and traffic, and ends all of it.
func (s *site) runFirstIncarnation(ctx context.Context) error {
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
		return fmt.Errorf("%d of %d proxies hold a table", ready, len(proxies))
	}
	running := s.startTraffic(ctx, proxies)
	time.Sleep(s.plan.Duration)
	governor.stop(syscall.SIGKILL)
	close(s.stopped)
	s.discovery.close()
	running.Wait()
	return nil
}

// addWeights sums up where the proxies' tables send flows. Replicas with odd numbers have restarted; of the others every second
// one is fast, see Plan.FastReplicas.
func (r *RestartResult) addWeights(proxies []*proxy) {
	all, restarted, faster, slower := 0.0, 0.0, 0.0, 0.0
	for _, p := range proxies {
		for id, weight := range p.currentWeights() {
			w := float64(weight)
			all += w
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
	if all > 0 {
		r.RestartedShare, r.FasterShare = restarted/all, faster/(faster+slower)
	}
}
