package load

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// runMargin is added to a plan's duration for the start and the end of a run.
	runMargin = 2 * time.Minute
	// maxTableDelay is how long proxies may take to hold their first table.
	maxTableDelay = time.Minute
	// baselineStart is when the measurement of CPU time begins, after the first tables.
	baselineStart = 3 * time.Second
)

// Run runs a plan to its end. It fails if the governor doesn't start or if a proxy gets no table.
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
	joined := time.Now()
	proxies, err := s.connectProxies(ctx)
	if err != nil {
		return Result{}, err
	}
	took, ready := waitForTables(ctx, proxies, joined, maxTableDelay)
	if ready < len(proxies) {
		return Result{}, fmt.Errorf("%d of %d proxies hold a table after %v", ready, len(proxies), took.Round(time.Second))
	}
	s.result.TableDelay = took
	running := s.startTraffic(ctx, proxies)
	s.measureBaseline(governor)
	s.sleepUntil(plan.DrainAt)
	s.discovery.drain(drainingReplica)
	s.sleepUntil(plan.Duration)
	s.result.PeakMemoryMB = governor.peakMemoryMB()
	close(s.stopped)
	for _, p := range proxies {
		p.close()
	}
	running.Wait()
	return s.finalResult(), nil
}

// measureBaseline measures the governor's CPU time between the first tables and the first fault.
func (s *site) measureBaseline(governor *governor) {
	from, to := s.timeAt(baselineStart), s.timeAt(s.plan.HangAt)
	time.Sleep(time.Until(from))
	before := governor.cpuSeconds()
	time.Sleep(time.Until(to))
	s.result.CPUUsage = (governor.cpuSeconds() - before) / to.Sub(from).Seconds()
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

// waitForTables waits until all proxies hold a table, and returns how long that took since a time. After a limit, or when ctx
// is done, it returns how many do.
func waitForTables(ctx context.Context, proxies []*proxy, since time.Time, limit time.Duration) (took time.Duration, ready int) {
	for ; ; time.Sleep(5 * time.Millisecond) {
		ready = 0
		for _, p := range proxies {
			if p.hasTable.Load() {
				ready++
			}
		}
		if took = time.Since(since); ready == len(proxies) || ctx.Err() != nil || took > limit {
			return took, ready
		}
	}
}
