// Package weighting has the decision module of the governor in service (rules) steer the gateway: one governor a service,
// fed with the lives of replicas and with what foragers report, whose tables go to the foragers. It is free of I/O
// and decides nothing itself; it translates.
//
// Load is second-hand: a forager reports the newest word of each replica that answered it. A replica that no
// forager of this comb has met counts as busy as the fleet, and so does one that tells no load. Combs do not
// exchange tables or loads: each has the foragers of its zone, whose requests stay there while there is room, so its
// own foragers meet what matters to them; where they spill over, their reports tell of the others.
package weighting

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/rules"
)

const (
	// Period is the report period.
	Period = time.Second

	lineBytes   = 40      // of a line on the wire, with its part of the frame
	linkPart    = 0.1     // of a forager's link, for tables
	linesMost   = 20000.0 // lines a second that a channel is taken to drain at the most
	headLines   = 2       // lines that a message costs besides its own
	travelMost  = 300 * time.Millisecond
	warmMost    = 10 * time.Second // design: the ramp's length
	coldFrom    = 0.3              // share of its capacity with which a replica starts
	fallTimes   = 2.0              // it falls over under so many times its present capacity
	fallWithin  = time.Second
	bareMost    = 5 * time.Second
	listForever = time.Hour // the list is pushed, never asked for

	recordsMost = 4096 // of reports that are searched for failing pairs, a service and period
	pairsMost   = 512  // failing pairs that are remembered, a service
	recordHalf  = 2 * Period
	recordMost  = 10 * Period
)

// Site is what all fleets of a comb share.
type Site struct {
	Seed       uint64
	Zone       string
	Zones      []string // in order
	Combs      int
	LinkMbps   float64
	DrainGrace time.Duration
}

type fleet struct {
	g       rules.Governor
	ids     map[string]rules.ReplicaID
	names   map[rules.ReplicaID]string
	next    rules.ReplicaID
	tables  map[rules.TableID]map[rules.ReplicaID]float64
	bound   map[rules.ProxyID]rules.TableID
	wakeAt  time.Duration
	mark    uint64
	waits   bool
	version uint16
	pending []rules.Event
	intake  *intake.Intake // finds pairs of a forager and a replica that fail
}

// Steer is one comb's part. Its calls are not made side by side.
type Steer struct {
	site     Site
	fleets   map[string]*fleet
	proxies  map[string]rules.ProxyID
	foragers map[rules.ProxyID]string
	zoneOf   map[string]rules.ZoneID
	next     rules.ProxyID
	dirty    map[string]map[string]float64 // by forager and replica: weights to be told
	shuns    map[string]map[string]bool    // likewise: shut out at that forager alone, or let in again
	joined   map[string]rules.Joined
}

// New makes one without services.
func New(site Site) *Steer {
	s := &Steer{site: site, fleets: map[string]*fleet{}, proxies: map[string]rules.ProxyID{}, foragers: map[rules.ProxyID]string{},
		zoneOf: map[string]rules.ZoneID{}, dirty: map[string]map[string]float64{}, shuns: map[string]map[string]bool{}, joined: map[string]rules.Joined{}}
	for i, z := range site.Zones {
		s.zoneOf[z] = rules.ZoneID(i)
	}
	return s
}

func at(now time.Duration) rules.Time { return rules.Time(now + time.Hour) } // a governor's clock does not start at nothing

// Configure starts a governor for each service that has none, and ends those of services that are gone.
func (s *Steer) Configure(now time.Duration, c *gatewayconfig.Config, foragers int) {
	for name := range s.fleets {
		if _, ok := c.Services[name]; !ok {
			delete(s.fleets, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if s.fleets[name] != nil {
			continue
		}
		f := &fleet{ids: map[string]rules.ReplicaID{}, names: map[rules.ReplicaID]string{}, next: 1,
			tables: map[rules.TableID]map[rules.ReplicaID]float64{}, bound: map[rules.ProxyID]rules.TableID{},
			intake: intake.New(intake.Settings{Seed: s.site.Seed, Period: Period, Budget: recordsMost, HalfLife: recordHalf, MostAge: recordMost, Pairs: pairsMost,
				Zones: max(len(s.site.Zones), 1)})}
		s.fleets[name] = f
		in := []rules.Event{rules.Start{Seed: s.site.Seed, Settings: s.settings(c, name, foragers)}, rules.List{Scope: rules.Whole}}
		for _, forager := range slices.Sorted(maps.Keys(s.joined)) {
			in = append(in, s.joined[forager])
			f.intake.Join(s.joined[forager].Proxy, s.joined[forager].Zone)
		}
		s.step(now, f, in)
	}
}

func (s *Steer) settings(c *gatewayconfig.Config, service string, foragers int) rules.Settings {
	svc := c.Services[service]
	budget, expiry := 2*time.Second, 10*time.Second
	for _, r := range c.RoutesTo(service) {
		if r.Target > 0 {
			budget = min(budget, r.Target)
		}
		if r.Timeout > 0 {
			expiry = min(expiry, r.Timeout)
		}
	}
	pace := min(s.site.LinkMbps*1e6/8*linkPart/lineBytes, linesMost)
	return rules.Settings{
		Groups:    []rules.TrafficGroup{{Name: service, LatencyBudget: budget, Expiry: expiry, Utility: 1, Effect: rules.Retriable}},
		Governors: s.site.Combs, Proxies: max(foragers, 1), Zone: s.zoneOf[s.site.Zone], Zones: max(len(s.site.Zones), 1),
		Levels: rules.LevelIgnored, Period: Period, LinePace: pace, LineCap: pace, HeadLines: headLines, TravelMost: travelMost,
		MessageSpan: 10 * time.Second, FirstWait: 1, LinksLeast: float64(svc.MaxConnections), LinkIdle: 10 * time.Second,
		BareMost: bareMost, DrainGrace: s.site.DrainGrace, AskWithin: listForever, WarmAfter: max(min(svc.ColdStart, warmMost), Period),
		ColdFrom: coldFrom, FallMultiple: fallTimes, FallAfter: fallWithin,
	}
}

// Lives takes in word of replicas.
func (s *Steer) Lives(now time.Duration, lives []registry.Life) {
	entries := map[string][]rules.Entry{}
	for _, l := range lives {
		f := s.fleets[l.Service]
		if f == nil {
			continue
		}
		id, known := f.ids[l.ID]
		if !known {
			if l.Gone {
				continue
			}
			id = f.next
			f.next++
			f.ids[l.ID], f.names[id] = id, l.ID
		}
		e := rules.Entry{Replica: id, Zone: s.zoneOf[l.Zone], State: rules.Ready, Listed: float64(max(l.Slots, 1))}
		switch {
		case l.Gone:
			e.State = rules.Gone
		case l.Draining || l.Silent:
			e.State = rules.Draining
		}
		if l.Cold > 0 || l.Doubt {
			e.StartedAt = at(now) // it is spared by its grant; here it only ramps
		}
		entries[l.Service] = append(entries[l.Service], e)
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		s.step(now, s.fleets[name], []rules.Event{rules.List{Scope: rules.Changes, Entries: entries[name]}})
	}
}

// Join takes in a forager, which holds nothing.
func (s *Steer) Join(now time.Duration, forager, zone string) {
	s.Leave(now, forager)
	s.next++
	id := s.next
	s.proxies[forager], s.foragers[id] = id, forager
	s.dirty[forager] = map[string]float64{}
	s.joined[forager] = rules.Joined{Proxy: id, Zone: s.zoneOf[zone], Rate: 1, Fresh: true}
	s.each(now, func(f *fleet) []rules.Event {
		f.intake.Join(id, s.joined[forager].Zone)
		return []rules.Event{s.joined[forager]}
	})
}

// Leave takes a forager out.
func (s *Steer) Leave(now time.Duration, forager string) {
	id, ok := s.proxies[forager]
	if !ok {
		return
	}
	delete(s.proxies, forager)
	delete(s.foragers, id)
	delete(s.dirty, forager)
	delete(s.shuns, forager)
	delete(s.joined, forager)
	s.each(now, func(f *fleet) []rules.Event {
		delete(f.bound, id)
		f.intake.Leave(id)
		return []rules.Event{rules.Left{Proxy: id}}
	})
}

func (s *Steer) each(now time.Duration, in func(*fleet) []rules.Event) {
	for _, name := range slices.Sorted(maps.Keys(s.fleets)) {
		f := s.fleets[name]
		if e := in(f); len(e) > 0 {
			s.step(now, f, e)
		}
	}
}

// Report takes what a forager met. It also tells that the forager has applied what it was told before.
func (s *Steer) Report(now time.Duration, forager string, r *messages.LoadReport) {
	id, ok := s.proxies[forager]
	if !ok || r.PeriodMillis <= 0 {
		return
	}
	over := time.Duration(r.PeriodMillis) * time.Millisecond
	for name, f := range s.fleets {
		f.pending = append(f.pending, rules.Applied{Proxy: id, Version: f.version})
		if n := r.Requests[name]; n > 0 {
			f.pending = append(f.pending, rules.Intake{Proxy: id, Flows: n, Over: over})
		}
	}
	batches := map[*fleet]*intake.Batch{}
	for _, x := range r.Endpoints {
		for _, f := range s.fleets {
			rid, ok := f.ids[x.Replica]
			if !ok || x.Attempts <= 0 {
				continue
			}
			rep := rules.Report{Util: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
			if x.Slots > 0 {
				rep.Util, rep.InFlight = min(float64(x.Running)/float64(x.Slots), 1), float64(x.Running+x.Waiting)
			}
			f.pending = append(f.pending, rules.Sums{Replica: rid, Zone: s.joined[forager].Zone, Tries: x.Attempts, Dropped: min(x.Dropped, x.Attempts),
				Took: time.Duration(x.MeanLatencyMicros) * time.Microsecond, Over: over, Report: rep})
			b := batches[f]
			if b == nil {
				b = &intake.Batch{Proxy: id, Over: over, Read: at(now)}
				batches[f] = b
			}
			b.Records = append(b.Records, intake.Record{Replica: rid, Tries: x.Attempts, Dropped: min(x.Dropped, x.Attempts), Took: time.Duration(x.MeanLatencyMicros) * time.Microsecond,
				Report: rep})
		}
	}
	for f, b := range batches {
		f.intake.Take(at(now), b)
	}
}

// Tick lets time pass.
func (s *Steer) Tick(now time.Duration) {
	s.each(now, func(f *fleet) []rules.Event {
		in := f.pending
		f.pending = nil
		if f.waits && now >= f.wakeAt {
			f.waits = false
			in = append(in, rules.Wake{Mark: f.mark})
		}
		if f.intake.Due(at(now)) {
			in = append(in, f.intake.Cut(at(now))...)
		}
		return in
	})
}

func (s *Steer) step(now time.Duration, f *fleet, in []rules.Event) {
	for _, o := range f.g.Step(at(now), in) {
		switch o := o.(type) {
		case rules.WakeAfter:
			f.waits, f.wakeAt, f.mark = true, now+o.After, o.Mark
		case rules.Mark:
			f.version = o.Version
		case rules.Line:
			t := f.tables[o.Table]
			if t == nil {
				t = map[rules.ReplicaID]float64{}
				f.tables[o.Table] = t
			}
			t[o.Replica] = o.Weight // also 0: a forager that comes later may hold another comb's weight
			s.spread(f, o.Table, o.Replica, o.Weight)
		case rules.ClearTable:
			for id := range f.tables[o.Table] {
				s.spread(f, o.Table, id, 0)
			}
			delete(f.tables, o.Table)
		case rules.Bind:
			f.bound[o.Proxy] = o.Table
			s.whole(f, o.Proxy)
		case rules.Shun:
			if name, d := f.names[o.Replica], s.shuns[s.foragers[o.Proxy]]; name != "" && s.foragers[o.Proxy] != "" {
				if d == nil {
					d = map[string]bool{}
					s.shuns[s.foragers[o.Proxy]] = d
				}
				d[name] = o.Out
			}
		case rules.Forget:
			f.intake.Forget(o.Replica)
			for _, t := range f.tables {
				delete(t, o.Replica)
			}
			delete(f.ids, f.names[o.Replica])
			delete(f.names, o.Replica)
		}
	}
}

// spread has a changed line told to the foragers on its table.
func (s *Steer) spread(f *fleet, t rules.TableID, id rules.ReplicaID, w float64) {
	name, ok := f.names[id]
	if !ok {
		return
	}
	for p, table := range f.bound {
		if d := s.dirty[s.foragers[p]]; table == t && d != nil {
			d[name] = w
		}
	}
}

// whole has a forager told a whole table.
func (s *Steer) whole(f *fleet, p rules.ProxyID) {
	d := s.dirty[s.foragers[p]]
	if d == nil {
		return
	}
	for id, name := range f.names {
		if w, ok := f.tables[f.bound[p]][id]; ok {
			d[name] = w
		}
	}
}

// Lines takes what a forager is to be told, in the order of the replicas' names.
func (s *Steer) Lines(forager string) []messages.EndpointWeight {
	d := s.dirty[forager]
	if len(d) == 0 {
		return nil
	}
	lines := make([]messages.EndpointWeight, 0, len(d))
	for name, w := range d {
		lines = append(lines, messages.EndpointWeight{Replica: name, Weight: float32(w)})
	}
	slices.SortFunc(lines, func(a, b messages.EndpointWeight) int { return cmp.Compare(a.Replica, b.Replica) })
	clear(d)
	return lines
}

// Shuns takes which replicas a forager is to shut out, or to let in again, for itself alone: in the order of their names.
func (s *Steer) Shuns(forager string) []messages.PairEjection {
	d := s.shuns[forager]
	if len(d) == 0 {
		return nil
	}
	out := make([]messages.PairEjection, 0, len(d))
	for _, name := range slices.Sorted(maps.Keys(d)) {
		out = append(out, messages.PairEjection{Replica: name, Ejected: d[name]})
	}
	clear(d)
	return out
}

// Weights is the table of a service that a forager is on, by the replicas' ids.
func (s *Steer) Weights(service, forager string) map[string]float64 {
	out := map[string]float64{}
	if f := s.fleets[service]; f != nil {
		for id, w := range f.tables[f.bound[s.proxies[forager]]] {
			if w > 0 {
				out[f.names[id]] = w
			}
		}
	}
	return out
}
