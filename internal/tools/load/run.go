package load

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// runMargin is the time allowed for startup and shutdown in addition to a plan's duration.
	runMargin = 2 * time.Minute
	// maxTableDelay is the time limit for all proxies to receive their first table.
	maxTableDelay = time.Minute
	// baselineStart is the plan time at which the baseline measurement starts, after the initial tables were sent.
	baselineStart = 3 * time.Second
)

// Run executes a plan. It fails if the governor does not start or if any proxy receives no table.
func Run(ctx context.Context, plan Plan) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Duration+runMargin)
	defer cancel()
	s, err := newSite(plan)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	governor, err := s.startGovernor(ctx)
	if err != nil {
		return Result{}, err
	}
	defer governor.stop(syscall.SIGTERM)
	connecting := time.Now()
	proxies, err := s.connectProxies(ctx)
	if err != nil {
		return Result{}, err
	}
	delay, ready := waitForTables(ctx, proxies, connecting, maxTableDelay)
	if ready < len(proxies) {
		return Result{}, fmt.Errorf("%d of %d proxies received a table within %v", ready, len(proxies), delay.Round(time.Second))
	}
	s.result.TableDelay = delay
	traffic := s.startTraffic(ctx, proxies)
	s.measureBaseline(governor)
	s.sleepUntil(plan.DrainAt)
	s.discovery.drain(drainingReplica)
	s.sleepUntil(plan.Duration)
	s.result.PeakMemoryMB = governor.peakMemoryMB()
	close(s.stopped)
	for _, p := range proxies {
		p.close()
	}
	traffic.Wait()
	return s.finalResult(), nil
}

// measureBaseline measures the governor's CPU usage before the first fault.
func (s *site) measureBaseline(governor *governor) {
	start, end := s.timeAt(baselineStart), s.timeAt(s.plan.HangAt)
	time.Sleep(time.Until(start))
	before := governor.cpuSeconds()
	time.Sleep(time.Until(end))
	s.result.CPUUsage = (governor.cpuSeconds() - before) / end.Sub(start).Seconds()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.BaselineWeightCuts = s.result.WeightCuts
}

func (s *site) finalResult() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.DrainP99 = time.Duration(s.drainDelays.ValueAtQuantile(99)) * time.Microsecond
	s.result.DrainMax = time.Duration(s.drainDelays.Max()) * time.Microsecond
	return s.result
}

// waitForTables waits until all proxies have received a table, the time limit has passed or ctx is done. It returns the time elapsed
// since the given time and the number of proxies with a table.
func waitForTables(ctx context.Context, proxies []*proxy, since time.Time, limit time.Duration) (elapsed time.Duration, ready int) {
	for ; ; time.Sleep(5 * time.Millisecond) {
		ready = 0
		for _, p := range proxies {
			if p.hasTable.Load() {
				ready++
			}
		}
		if elapsed = time.Since(since); ready == len(proxies) || ctx.Err() != nil || elapsed > limit {
			return elapsed, ready
		}
	}
}
