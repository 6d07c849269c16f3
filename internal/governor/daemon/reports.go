package daemon

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// toEvents converts inputs to governor events. Reports pass through the intake if it is enabled.
func (d *Daemon) toEvents(inputs []eventqueue.Input) (events []rules.Event) {
	if d.intake == nil {
		for _, e := range inputs {
			events = append(events, e.Event)
		}
		return events
	}
	now := d.now()
	for _, e := range inputs {
		if event := d.throughIntake(now, e); event != nil {
			events = append(events, event)
		}
	}
	if d.intake.FlushDue(now) {
		events = append(events, d.intake.Flush(now)...)
		d.logIntakeCounts()
	}
	return events
}

// throughIntake passes an input through the intake. It returns the event for the governor, or nil if the intake consumes it.
func (d *Daemon) throughIntake(now rules.Time, e eventqueue.Input) rules.Event {
	switch event := e.Event.(type) {
	case nil:
		d.addReports(now, e)
		return nil
	case rules.EndpointStats:
		stats, accepted := d.intake.AdjustStats(now, d.toRulesTime(e.ReceivedAt), event)
		if !accepted {
			return nil
		}
		return stats
	case rules.Joined:
		d.intake.Join(event.Proxy, event.Zone)
	case rules.Left:
		d.intake.Leave(event.Proxy)
	}
	return e.Event
}

// addReports adds load reports and a batch of a proxy to the intake.
func (d *Daemon) addReports(now rules.Time, e eventqueue.Input) {
	for _, load := range e.Loads {
		d.intake.AddLoad(now, load)
	}
	if e.Batch == nil {
		return
	}
	e.Batch.ReceivedAt = d.toRulesTime(e.ReceivedAt)
	d.intake.AddBatch(now, e.Batch)
	e.Batch.Free()
}

// logIntakeCounts accumulates the counts of the intake and logs them every CountLogInterval.
func (d *Daemon) logIntakeCounts() {
	for i, n := range d.intake.Counts() {
		d.countsSinceLog[i] += n
		d.countsSinceStart[i] += n
	}
	if time.Since(d.intakeLoggedAt) < d.config.Bounds.CountLogInterval {
		return
	}
	line := d.log.Info()
	for i, n := range d.countsSinceLog {
		if n != 0 {
			line = line.Int(intake.Cause(i).String(), n)
		}
	}
	records, senders, pairs := d.intake.Sizes()
	line.Int("records held", records).Int("senders", senders).Int("pairs", pairs).Msg("intake")
	d.intakeLoggedAt, d.countsSinceLog = time.Now(), intake.Counts{}
}
