package daemon

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/internal/governor/discoveryclient"
	"zincloft.example/zincloft/internal/governor/store"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// restoreState opens the store, if the operator file names a directory, and returns the initial events from it and its
// writer. Disk errors are logged and the governor runs without a store.
func (d *Daemon) restoreState() ([]rules.Event, *store.Writer) {
	o := d.config.Operator.State
	if o.Dir == "" {
		return nil, nil
	}
	s, saved, damaged, err := store.Open(o.Dir, time.Now())
	if damaged != nil {
		d.log.Warn().Err(damaged).Msg("state")
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("state is not kept")
		return nil, nil
	}
	d.entries = map[rules.ReplicaID]rules.Entry{}
	settings := recovery.Settings{HalfLife: o.HalfLife, MaxAge: o.MaxAge}
	now := d.now()
	plan := recovery.NewPlan(now, saved, d.config.Name, d.config.Discovery, settings)
	d.log.Info().Str("verdict", string(plan.Assessment)).Dur("age", plan.Age).Float64("trust", plan.Trust).Int("replicas", len(saved.Replicas)).Msg("state")
	if len(plan.Events) > 0 {
		d.discovery.Restore(saved)
		d.recovery = recovery.Begin(now, saved, plan, settings)
		for _, r := range saved.Replicas {
			d.entries[r.Entry.Replica] = r.Entry
		}
	}
	return plan.Events, store.NewWriter(s, d.log)
}

// trackRecovery updates the current endpoint list and, until discovery confirms the restored state, passes events through the
// recovery.
func (d *Daemon) trackRecovery(events []rules.Event) []rules.Event {
	if d.entries == nil {
		return events
	}
	var passed []rules.Event
	for _, event := range events {
		if list, ok := event.(rules.List); ok {
			d.updateEntries(list)
		}
		if d.recovery == nil {
			passed = append(passed, event)
			continue
		}
		before, trust := d.recovery.Stage(), d.recovery.Trust(d.now())
		passed = append(passed, d.recovery.Handle(event)...)
		if stage := d.recovery.Stage(); stage != before {
			d.log.Info().Str("step", string(stage)).Float64("trust", trust).Msg("recovery")
		}
		if d.recovery.Stage() == recovery.Confirmed {
			d.recovery = nil
		}
	}
	return passed
}

func (d *Daemon) updateEntries(list rules.List) {
	if list.Scope == rules.Failed {
		return
	}
	if list.Scope == rules.Full {
		clear(d.entries)
	}
	for _, entry := range list.Entries {
		d.entries[entry.Replica] = entry
	}
}

// saveState hands the state to the writer when a save is due. Nothing is written before discovery has answered, because until
// then the state on disk is equivalent.
func (d *Daemon) saveState() {
	now := time.Now()
	if d.writer == nil || d.recovery != nil || now.Before(d.nextSaveAt) || !d.writer.Ready() {
		return
	}
	d.nextSaveAt = now.Add(d.config.Operator.State.SyncInterval)
	version, confirmedAt := d.discovery.ListStatus()
	if confirmedAt.IsZero() {
		return
	}
	d.writer.Offer(d.collectState(version, confirmedAt))
}

// collectState returns the state to persist for the next start.
func (d *Daemon) collectState(version discoveryclient.Version, confirmedAt time.Time) recovery.State {
	state := recovery.State{
		Governor:      d.config.Name,
		Discovery:     d.config.Discovery,
		Version:       uint64(version),
		ConfirmedAt:   d.toRulesTime(confirmedAt),
		WrittenAt:     d.now(),
		NextReplicaID: d.discovery.NextReplicaID(),
	}
	learned := map[rules.ReplicaID]rules.PriorMeasurement{}
	for _, m := range d.governor.AppendMeasurements(nil) {
		learned[m.Replica] = m
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if name, known := d.discovery.Name(id); known {
			state.Replicas = append(state.Replicas, recovery.Replica{Name: name, Entry: d.entries[id], Learned: learned[id]})
		}
	}
	return state
}
