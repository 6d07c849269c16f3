package daemon

import (
	"context"
	"math"
	"time"

	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// maxLateBatches bounds what is read before a late timer, in times of the queue's length: against senders that never stop.
const maxLateBatches = 4

// timer is a time at which the governor wants to be called, with the number that it gave it.
type timer struct {
	at rules.Time
	id uint64
}

// now returns the wall clock of the start plus the monotonic time since then, so that steps of the wall clock do not reach
// decisions.
func (d *Daemon) now() rules.Time {
	return rules.Time(d.startedAt.UnixNano()) + rules.Time(time.Since(d.startedAt))
}

// rulesTime returns a moment on the clock of now.
func (d *Daemon) rulesTime(t time.Time) rules.Time {
	return rules.Time(d.startedAt.UnixNano()) + rules.Time(t.Sub(d.startedAt))
}

// loop takes a step for each batch of events until ctx ends.
func (d *Daemon) loop(ctx context.Context) error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for ctx.Err() == nil {
		facts := d.nextFacts(ctx, wake)
		if len(facts) == 0 {
			continue
		}
		if err := d.step(facts); err != nil {
			return err
		}
		d.sendSnapshot()
		d.saveState()
	}
	return nil
}

// nextFacts waits until an event has come or a timer is due, and gathers what comes within a tick, as the messages to
// proxies are limited in number. After the process was suspended it takes in all waiting events before the timers:
// otherwise replicas and proxies would be judged silent while their reports wait to be read.
func (d *Daemon) nextFacts(ctx context.Context, wake *time.Timer) []rules.Event {
	wake.Reset(d.untilNextTimer())
	var events []eventqueue.Input
	select {
	case <-ctx.Done():
		return nil
	case <-d.reloadSignals:
		d.reload()
		return nil
	case e := <-d.queue.Urgent():
		events = append(events, e)
	case e := <-d.queue.Reports():
		events = append(events, e)
	case <-wake.C:
	}
	events = d.gatherTick(ctx, wake, events)
	if d.isLate() {
		events = d.gatherBacklog(ctx, wake, events)
	}
	facts := d.toFacts(d.queue.FilterCurrent(events))
	return d.trackRecovery(append(facts, d.dueTimers()...))
}

// gatherTick adds the events that come within a tick, up to the length of the queue; urgent ones first.
func (d *Daemon) gatherTick(ctx context.Context, wake *time.Timer, events []eventqueue.Input) []eventqueue.Input {
	wake.Reset(max(d.conf.Settings.Tick, time.Millisecond))
	for range d.conf.Bounds.QueueLength {
		select {
		case e := <-d.queue.Urgent():
			events = append(events, e)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return events
		case e := <-d.queue.Urgent():
			events = append(events, e)
		case e := <-d.queue.Reports():
			events = append(events, e)
		case <-wake.C:
			return events
		}
	}
	return events
}

// gatherBacklog adds events until none comes within a tick, or the bound is reached.
func (d *Daemon) gatherBacklog(ctx context.Context, wake *time.Timer, events []eventqueue.Input) []eventqueue.Input {
	for before := -1; before < len(events) && len(events) < maxLateBatches*d.conf.Bounds.QueueLength; {
		before = len(events)
		events = d.gatherTick(ctx, wake, events)
	}
	return events
}

// untilNextTimer returns the time to the next timer, which may be negative.
func (d *Daemon) untilNextTimer() time.Duration {
	if len(d.timers) == 0 {
		return math.MaxInt64
	}
	return time.Duration(d.timers[0].at - d.now())
}

// isLate reports whether the next timer is overdue for so long that the process must have been suspended.
func (d *Daemon) isLate() bool { return -d.untilNextTimer() > d.conf.Bounds.LateTimerThreshold }

// dueTimers removes the timers that are due and returns them as facts.
func (d *Daemon) dueTimers() (facts []rules.Event) {
	for now := d.now(); len(d.timers) > 0 && d.timers[0].at <= now; d.timers = d.timers[1:] {
		facts = append(facts, rules.Wake{TimerID: d.timers[0].id})
	}
	return facts
}
