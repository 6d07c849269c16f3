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

// restoreState opens the store, where the operator file names a folder, and returns the facts that the governor starts with
// and the writer of the store. Faults of the disk are logged, and the governor serves without a store.
func (d *Daemon) restoreState() ([]rules.Event, *store.Writer) {
	o := d.conf.Operator.State
	if o.Dir == "" {
		return nil, nil
	}
	s, kept, damaged, err := store.Open(o.Dir, time.Now())
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
	plan := recovery.NewPlan(now, kept, d.conf.Name, d.conf.Discovery, settings)
	d.log.Info().Str("verdict", string(plan.Assessment)).Dur("age", plan.Age).Float64("trust", plan.Trust).Int("replicas", len(kept.Replicas)).Msg("state")
	if len(plan.Events) > 0 {
		d.discovery.Restore(kept)
		d.recovery = recovery.Begin(now, kept, plan, settings)
		for _, r := range kept.Replicas {
			d.entries[r.Entry.Replica] = r.Entry
		}
	}
	return plan.Events, store.NewWriter(s, d.log)
}

// trackRecovery keeps the current endpoint list, and passes facts through the recovery while there is one.
func (d *Daemon) trackRecovery(facts []rules.Event) []rules.Event {
	if d.entries == nil {
		return facts
	}
	var passed []rules.Event
	for _, fact := range facts {
		if list, isList := fact.(rules.List); isList {
			d.updateEntries(list)
		}
		if d.recovery == nil {
			passed = append(passed, fact)
			continue
		}
		before, trust := d.recovery.Stage(), d.recovery.Trust(d.now())
		passed = append(passed, d.recovery.Handle(fact)...)
		if step := d.recovery.Stage(); step != before {
			d.log.Info().Str("step", string(step)).Float64("trust", trust).Msg("recovery")
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

// saveState hands the state to the writer when that is due. Nothing is written before discovery has answered: until then the
// state on disk is as good.
func (d *Daemon) saveState() {
	now := time.Now()
	if d.writer == nil || d.recovery != nil || now.Before(d.nextSaveAt) || !d.writer.Ready() {
		return
	}
	d.nextSaveAt = now.Add(d.conf.Operator.State.SyncInterval)
	version, heard := d.discovery.ListStatus()
	if heard.IsZero() {
		return
	}
	d.writer.Offer(d.stateToSave(version, heard))
}

// stateToSave returns what the next start can use.
func (d *Daemon) stateToSave(version discoveryclient.Version, heard time.Time) recovery.State {
	k := recovery.State{
		Governor:      d.conf.Name,
		Discovery:     d.conf.Discovery,
		Version:       uint64(version),
		ConfirmedAt:   d.rulesTime(heard),
		WrittenAt:     d.now(),
		NextReplicaID: d.discovery.NextReplicaID(),
	}
	learnt := map[rules.ReplicaID]rules.PriorMeasurement{}
	for _, m := range d.governor.AppendMeasurements(nil) {
		learnt[m.Replica] = m
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if name, known := d.discovery.Name(id); known {
			k.Replicas = append(k.Replicas, recovery.Replica{Name: name, Entry: d.entries[id], Learned: learnt[id]})
		}
	}
	return k
}
