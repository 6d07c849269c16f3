package daemon

import (
	"context"
	"math"
	"time"

	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// maxBacklogFactor bounds the inputs read before a late timer, in queue lengths, so that continuous senders cannot delay it
// forever.
const maxBacklogFactor = 4

// timer is a pending rules.WakeAfter order.
type timer struct {
	at rules.Time
	id uint64
}

// now returns the wall-clock time of the start plus the monotonic time since, so that adjustments of the wall clock do not
// affect decisions.
func (d *Daemon) now() rules.Time {
	return rules.Time(d.startedAt.UnixNano()) + rules.Time(time.Since(d.startedAt))
}

// toRulesTime converts t to the clock that now uses.
func (d *Daemon) toRulesTime(t time.Time) rules.Time {
	return rules.Time(d.startedAt.UnixNano()) + rules.Time(t.Sub(d.startedAt))
}

// loop runs one governor step per batch of events until ctx is done.
func (d *Daemon) loop(ctx context.Context) error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for ctx.Err() == nil {
		events := d.nextEvents(ctx, wake)
		if len(events) == 0 {
			continue
		}
		if err := d.step(events); err != nil {
			return err
		}
		d.sendSnapshot()
		d.saveState()
	}
	return nil
}

// nextEvents waits for an input or a due timer and batches the inputs that arrive within a tick, because the number of
// messages to proxies is limited. After the process was suspended, it reads all pending inputs before it fires timers:
// otherwise replicas and proxies would time out while their reports are still queued.
func (d *Daemon) nextEvents(ctx context.Context, wake *time.Timer) []rules.Event {
	wake.Reset(d.untilNextTimer())
	var inputs []eventqueue.Input
	select {
	case <-ctx.Done():
		return nil
	case <-d.reloadSignals:
		d.reload()
		return nil
	case e := <-d.queue.Urgent():
		inputs = append(inputs, e)
	case e := <-d.queue.Reports():
		inputs = append(inputs, e)
	case <-wake.C:
	}
	inputs = d.gatherTick(ctx, wake, inputs)
	if d.isLate() {
		inputs = d.gatherBacklog(ctx, wake, inputs)
	}
	events := d.toEvents(d.queue.FilterCurrent(inputs))
	return d.trackRecovery(append(events, d.dueTimers()...))
}

// gatherTick appends the inputs that arrive within a tick, urgent ones first, up to the queue length.
func (d *Daemon) gatherTick(ctx context.Context, wake *time.Timer, inputs []eventqueue.Input) []eventqueue.Input {
	wake.Reset(max(d.config.Settings.Tick, time.Millisecond))
	for range d.config.Bounds.QueueLength {
		select {
		case e := <-d.queue.Urgent():
			inputs = append(inputs, e)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return inputs
		case e := <-d.queue.Urgent():
			inputs = append(inputs, e)
		case e := <-d.queue.Reports():
			inputs = append(inputs, e)
		case <-wake.C:
			return inputs
		}
	}
	return inputs
}

// gatherBacklog appends inputs until none arrives within a tick or the limit is reached.
func (d *Daemon) gatherBacklog(ctx context.Context, wake *time.Timer, inputs []eventqueue.Input) []eventqueue.Input {
	for before := -1; before < len(inputs) && len(inputs) < maxBacklogFactor*d.config.Bounds.QueueLength; {
		before = len(inputs)
		inputs = d.gatherTick(ctx, wake, inputs)
	}
	return inputs
}

// untilNextTimer returns the time until the next timer, negative if it is overdue.
func (d *Daemon) untilNextTimer() time.Duration {
	if len(d.timers) == 0 {
		return math.MaxInt64
	}
	return time.Duration(d.timers[0].at - d.now())
}

// isLate reports whether the next timer is so overdue that the process must have been suspended.
func (d *Daemon) isLate() bool { return -d.untilNextTimer() > d.config.Bounds.LateTimerThreshold }

// dueTimers removes the timers that are due and returns their events.
func (d *Daemon) dueTimers() (events []rules.Event) {
	for now := d.now(); len(d.timers) > 0 && d.timers[0].at <= now; d.timers = d.timers[1:] {
		events = append(events, rules.Wake{TimerID: d.timers[0].id})
	}
	return events
}
