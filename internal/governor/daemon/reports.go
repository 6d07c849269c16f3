package daemon

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// toFacts converts events into facts for the governor. Reports go through the intake where there is one.
func (d *Daemon) toFacts(events []eventqueue.Input) (facts []rules.Event) {
	if d.intake == nil {
		for _, e := range events {
			facts = append(facts, e.Event)
		}
		return facts
	}
	now := d.now()
	for _, e := range events {
		if fact := d.takeIn(now, e); fact != nil {
			facts = append(facts, fact)
		}
	}
	if d.intake.FlushDue(now) {
		facts = append(facts, d.intake.Flush(now)...)
		d.logIntakeCounts()
	}
	return facts
}

// takeIn passes an event through the intake. It returns the fact for the governor, nil where the intake keeps it.
func (d *Daemon) takeIn(now rules.Time, e eventqueue.Input) rules.Event {
	switch fact := e.Event.(type) {
	case nil:
		d.takeInReports(now, e)
		return nil
	case rules.EndpointStats:
		sums, counts := d.intake.AdjustStats(now, d.rulesTime(e.ReceivedAt), fact)
		if !counts {
			return nil
		}
		return sums
	case rules.Joined:
		d.intake.Join(fact.Proxy, fact.Zone)
	case rules.Left:
		d.intake.Leave(fact.Proxy)
	}
	return e.Event
}

// takeInReports passes load reports and a batch of a proxy to the intake.
func (d *Daemon) takeInReports(now rules.Time, e eventqueue.Input) {
	for _, load := range e.Loads {
		d.intake.AddLoad(now, load)
	}
	if e.Batch == nil {
		return
	}
	e.Batch.ReceivedAt = d.rulesTime(e.ReceivedAt)
	d.intake.AddBatch(now, e.Batch)
	e.Batch.Free()
}

// logIntakeCounts adds up the counts of the intake and logs them at intervals.
func (d *Daemon) logIntakeCounts() {
	for i, n := range d.intake.Counts() {
		d.countsSinceLog[i] += n
		d.countsSinceStart[i] += n
	}
	if time.Since(d.intakeLoggedAt) < d.conf.Bounds.CountLogInterval {
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
