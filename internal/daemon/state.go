package daemon

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/internal/discoveryclient"
	"zincloft.example/zincloft/internal/store"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// restoreState opens what a former life kept, where the operator file names a folder, and returns what the governor is to begin
// with. Whatever is wrong with the disk is told once, and the governor serves.
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
	set := recovery.Settings{HalfLife: o.HalfLife, MaxAge: o.MaxAge}
	now := d.now()
	plan := recovery.NewPlan(now, kept, d.conf.Name, d.conf.Discovery, set)
	d.log.Info().Str("verdict", string(plan.Assessment)).Dur("age", plan.Age).Float64("trust", plan.Trust).Int("replicas", len(kept.Replicas)).Msg("state")
	if len(plan.Events) > 0 {
		d.discovery.Restore(kept)
		d.recovery = recovery.Begin(now, kept, plan, set)
		for _, r := range kept.Replicas {
			d.entries[r.Entry.Replica] = r.Entry
		}
	}
	return plan.Events, store.NewWriter(s, d.log)
}

// trackRecovery passes facts through the recovery while there is one, and follows the list.
func (d *Daemon) trackRecovery(facts []rules.Event) []rules.Event {
	if d.entries == nil {
		return facts
	}
	var out []rules.Event
	for _, f := range facts {
		if l, is := f.(rules.List); is && l.Scope != rules.Failed {
			if l.Scope == rules.Full {
				clear(d.entries)
			}
			for _, e := range l.Entries {
				d.entries[e.Replica] = e
			}
		}
		if d.recovery == nil {
			out = append(out, f)
			continue
		}
		before, trust := d.recovery.Stage(), d.recovery.Trust(d.now())
		out = append(out, d.recovery.Handle(f)...)
		if step := d.recovery.Stage(); step != before {
			d.log.Info().Str("step", string(step)).Float64("trust", trust).Msg("recovery")
		}
		if d.recovery.Stage() == recovery.Confirmed {
			d.recovery = nil
		}
	}
	return out
}

// saveState hands what the next start can use to the writer, when that is due. Nothing is kept before discovery has spoken:
// what stands on disk is as good until then.
func (d *Daemon) saveState() {
	now := time.Now()
	if d.writer == nil || d.recovery != nil || now.Before(d.nextSaveAt) || !d.writer.Ready() {
		return
	}
	d.nextSaveAt = now.Add(d.conf.Operator.State.SyncInterval)
	version, heard := d.discovery.Position()
	if heard.IsZero() {
		return
	}
	d.writer.Offer(d.stateToSave(version, heard))
}

// stateToSave is what the next start can use.
func (d *Daemon) stateToSave(version discoveryclient.Version, heard time.Time) recovery.State {
	k := recovery.State{Governor: d.conf.Name, Discovery: d.conf.Discovery, Version: uint64(version), ConfirmedAt: d.rulesTime(heard), WrittenAt: d.now(), NextReplicaID: d.discovery.Next()}
	learnt := map[rules.ReplicaID]rules.Recalled{}
	for _, m := range d.governor.AppendRecalled(nil) {
		learnt[m.Replica] = m
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if name, known := d.discovery.Name(id); known {
			k.Replicas = append(k.Replicas, recovery.Replica{Name: name, Entry: d.entries[id], Learned: learnt[id]})
		}
	}
	return k
}
