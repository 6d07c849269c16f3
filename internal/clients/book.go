package clients

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/rules"
)

// routingState holds what the orders so far come to: what is in each table, and who is bound to which. Only the
// goroutine that decides uses it. During a Step it gathers changes; write then makes messages of them, each of
// which shows the state at the end of the Step.
type routingState struct {
	groups    int
	proxies   map[rules.ProxyID]*proxyState
	order     []rules.ProxyID // members, by number
	tables    map[rules.TableID]*table
	withdrawn map[rules.ReplicaID]bool // withdrawn

	mark               *rules.AckRequest          // in this Step, like what follows
	withdrawalsChanged bool                       // withdrawals have changed
	renderedViews      map[tableView][]assignment // what tell has made
	encodedMessages    map[string][]byte          // messages, by what they show
	viewsBuffer        []tableView                // scratch
	keyBuffer          []byte
}

// tableView is what a table shows of itself to some traffic groups: the same for all proxies that it concerns.
type tableView struct {
	table rules.TableID
	set   rules.GroupSet
	full  bool
}

// table is what a table holds. The one numbered AllTables has levels only, which hold for all proxies.
type table struct {
	weights map[rules.ReplicaID]float64
	levels  map[rules.GroupID]rules.Admit

	cleared        bool // in this Step, like what follows
	changedWeights map[rules.ReplicaID]bool
	changedLevels  rules.GroupSet
}

// proxyState is a joined proxy.
type proxyState struct {
	conn             *conn
	table            map[rules.GroupID]rules.TableID
	newlyBound       rules.GroupSet           // in this Step
	ejections        map[rules.ReplicaID]bool // replicas that it is to shut out on its own account
	ejectionsChanged bool                     // these have changed in this Step

	// A proxy keeps what it was told to shut out over a change of streams, by a former life of ours or another
	// governor too. So it is known only of a fresh one.
	ejected map[rules.ReplicaID]bool // told on this stream
	seen    map[rules.ReplicaID]bool // replicas that it was given lines for; nil if all that it shuts out is known
}

func newRoutingState(groups int) routingState {
	return routingState{groups: groups, proxies: map[rules.ProxyID]*proxyState{}, tables: map[rules.TableID]*table{},
		withdrawn: map[rules.ReplicaID]bool{}, renderedViews: map[tableView][]assignment{}, encodedMessages: map[string][]byte{}}
}

func (b *routingState) addProxy(j rules.Joined, c *conn) {
	m := &proxyState{conn: c, table: map[rules.GroupID]rules.TableID{}}
	if j.MayHoldEjections {
		m.seen = map[rules.ReplicaID]bool{}
	}
	b.proxies[j.Proxy] = m
	if at, is := slices.BinarySearch(b.order, j.Proxy); !is {
		b.order = slices.Insert(b.order, at, j.Proxy)
	}
}

func (b *routingState) dropProxy(id rules.ProxyID) {
	delete(b.proxies, id)
	if at, is := slices.BinarySearch(b.order, id); is {
		b.order = slices.Delete(b.order, at, at+1)
	}
}

func (b *routingState) table(id rules.TableID) *table {
	t := b.tables[id]
	if t == nil {
		t = &table{weights: map[rules.ReplicaID]float64{}, levels: map[rules.GroupID]rules.Admit{},
			changedWeights: map[rules.ReplicaID]bool{}}
		b.tables[id] = t
	}
	return t
}

func (b *routingState) groupIDs(s rules.GroupSet) (ids []rules.GroupID) {
	for g := range b.groups {
		if s == 0 || s&(1<<g) != 0 {
			ids = append(ids, rules.GroupID(g))
		}
	}
	return ids
}

// apply notes one order.
func (b *routingState) apply(o rules.Order) {
	switch o := o.(type) {
	case rules.EndpointWeight:
		t := b.table(o.Table)
		t.changedWeights[o.Replica] = true
		if t.weights[o.Replica] = o.Weight; o.Weight == 0 {
			delete(t.weights, o.Replica)
		}
	case rules.ClearTable:
		t := b.table(o.Table)
		clear(t.weights)
		clear(t.levels)
		t.cleared = true
	case rules.Admit:
		t := b.table(o.Table)
		for _, g := range b.groupIDs(o.Groups) {
			t.levels[g] = o
			t.changedLevels |= 1 << g
		}
	case rules.Bind:
		if m := b.proxies[o.Proxy]; m != nil {
			for _, g := range b.groupIDs(o.Groups) {
				m.table[g] = o.Table
				m.newlyBound |= 1 << g
			}
		}
	case rules.Withdraw:
		b.withdrawalsChanged = true
		if b.withdrawn[o.Replica] = o.Out; !o.Out {
			delete(b.withdrawn, o.Replica)
		}
	case rules.PairEjection:
		if m := b.proxies[o.Proxy]; m != nil {
			if m.ejections == nil {
				m.ejections = map[rules.ReplicaID]bool{}
			}
			m.ejectionsChanged = true
			if m.ejections[o.Replica] = o.Ejected; !o.Ejected {
				delete(m.ejections, o.Replica)
			}
		}
	case rules.AckRequest:
		b.mark = &o
	}
}

// Forget drops what is held of a replica that is gone.
func (b *routingState) Forget(r rules.ReplicaID) {
	delete(b.withdrawn, r)
	for _, m := range b.proxies {
		delete(m.ejected, r)
		delete(m.seen, r)
		delete(m.ejections, r)
	}
}

// sendChanges sends each proxy what this Step changed for it. Proxies that are told the same share the bytes.
func (b *routingState) sendChanges(c *codec) {
	toAll := b.mark != nil && b.mark.AllProxies
	for _, id := range b.order {
		m := b.proxies[id]
		if !toAll && b.isUnchanged(m) {
			continue
		}
		shows := b.viewsBuffer[:0]
		shows = b.viewsFor(m, shows)
		b.viewsBuffer = shows
		if message := b.message(c, m, shows); len(message) == 0 {
		} else if b.mark != nil {
			m.conn.sendMarked(message, b.mark.Version)
		} else {
			m.conn.send(message)
		}
		m.newlyBound, m.ejectionsChanged = 0, false
	}
	for _, t := range b.tables {
		t.cleared, t.changedLevels = false, 0
		clear(t.changedWeights)
	}
	clear(b.renderedViews)
	clear(b.encodedMessages)
	b.mark, b.withdrawalsChanged = nil, false
}

// message is what a proxy is to be told, empty if nothing.
func (b *routingState) message(c *codec, m *proxyState, shows []tableView) []byte {
	plain := len(b.withdrawn) == 0 && len(m.ejected) == 0 && len(m.ejections) == 0 && m.seen == nil
	if plain {
		b.keyBuffer = b.keyBuffer[:0]
		for _, s := range shows {
			full := byte(0)
			if s.full {
				full = 1
			}
			b.keyBuffer = append(b.keyBuffer, byte(s.table), byte(s.table>>8), byte(s.set), byte(s.set>>8), full)
		}
		if message, made := b.encodedMessages[string(b.keyBuffer)]; made {
			return message
		}
	}
	var parts []assignment
	for _, s := range shows {
		parts = append(parts, b.assignments(s)...)
	}
	if p := b.withdrawals(m, parts); p.lineCount() > 0 {
		parts = append(parts, p)
	}
	if b.mark != nil && (len(parts) > 0 || b.mark.AllProxies) {
		if len(parts) == 0 {
			parts = append(parts, assignment{})
		}
		parts[len(parts)-1].mark = b.mark
	}
	var message []byte
	for i := range parts {
		parts[i].continued = i < len(parts)-1
		message = c.encode(message, &parts[i])
	}
	if plain {
		b.encodedMessages[string(b.keyBuffer)] = message
	}
	return message
}

// isUnchanged tells that this Step has changed nothing for a proxy.
func (b *routingState) isUnchanged(m *proxyState) bool {
	if m.newlyBound != 0 || m.ejectionsChanged || b.withdrawalsChanged || b.tableChanged(rules.AllTables) {
		return false
	}
	for _, t := range m.table {
		if b.tableChanged(t) {
			return false
		}
	}
	return true
}

func (b *routingState) tableChanged(id rules.TableID) bool {
	t := b.tables[id]
	return t != nil && (t.cleared || t.changedLevels != 0 || len(t.changedWeights) > 0)
}

// viewsFor adds what of which table a proxy is to be told: the whole of it or its changes. Groups of one table go
// together, and one stays for withdrawals, so the parts are at most two for each group and one more.
func (b *routingState) viewsFor(m *proxyState, shows []tableView) []tableView {
	type use struct {
		table rules.TableID
		set   rules.GroupSet
	}
	var room [16]use
	uses := room[:0]
	for g := range b.groups {
		t, ok := m.table[rules.GroupID(g)]
		if !ok {
			t = rules.AllTables
		}
		at, is := slices.BinarySearchFunc(uses, t, func(u use, t rules.TableID) int { return cmp.Compare(u.table, t) })
		if !is {
			uses = slices.Insert(uses, at, use{table: t})
		}
		uses[at].set |= 1 << g
	}
	for _, u := range uses {
		whole := u.set & m.newlyBound
		if b.table(u.table).cleared {
			whole = u.set
		}
		shows = append(shows, tableView{u.table, whole, true}, tableView{u.table, u.set &^ whole, false})
	}
	return shows
}

// withdrawals is what a bound proxy is to shut out or let back, beside these parts. A replica that it may shut
// out unknown to us is let back when it is first given a line there.
func (b *routingState) withdrawals(m *proxyState, parts []assignment) (p assignment) {
	if len(m.table) == 0 {
		return p
	}
	back := map[rules.ReplicaID]bool{}
	for _, told := range parts {
		for _, l := range told.weights {
			if m.seen != nil && l.value > 0 && !m.seen[l.replica] {
				m.seen[l.replica], back[l.replica] = true, !b.withdrawn[l.replica] && !m.ejections[l.replica]
			}
		}
	}
	for r := range m.ejected {
		back[r] = back[r] || !b.withdrawn[r] && !m.ejections[r]
	}
	for _, r := range slices.Sorted(maps.Keys(back)) {
		if back[r] {
			p.restore = append(p.restore, r)
		}
	}
	shut := maps.Clone(b.withdrawn)
	maps.Copy(shut, m.ejections)
	for _, r := range slices.Sorted(maps.Keys(shut)) {
		if !m.ejected[r] {
			p.eject = append(p.eject, r)
		}
	}
	m.ejected = shut
	return p
}

// assignments makes parts of a table for some groups, once a Step.
func (b *routingState) assignments(s tableView) []assignment {
	if s.set == 0 {
		return nil
	}
	parts, made := b.renderedViews[s]
	if !made {
		parts = b.render(s)
		b.renderedViews[s] = parts
	}
	return parts
}

// render makes the parts. Groups under one level go into one part; where all do, it goes with the lines.
func (b *routingState) render(s tableView) (parts []assignment) {
	t := b.table(s.table)
	p := assignment{groups: s.set, full: s.full && s.table != rules.AllTables}
	ids := maps.Keys(t.changedWeights)
	if p.full {
		ids = maps.Keys(t.weights)
	}
	for _, r := range slices.Sorted(ids) {
		p.weights = append(p.weights, weight{r, t.weights[r]})
	}
	if p.lineCount() > 0 {
		parts = append(parts, p)
	}
	var levels []assignment
	for _, g := range b.groupIDs(s.set) {
		if !s.full && (t.changedLevels|b.table(rules.AllTables).changedLevels)&(1<<g) == 0 {
			continue
		}
		level, ok := b.admission(t, g)
		if !ok {
			continue
		}
		at := slices.IndexFunc(levels, func(l assignment) bool {
			return l.level.Level == level.Level && l.level.Retry == level.Retry
		})
		if at < 0 {
			at, levels = len(levels), append(levels, assignment{level: &level})
		}
		levels[at].groups |= 1 << g
	}
	if len(parts) == 1 && len(levels) == 1 && levels[0].groups == s.set {
		parts[0].level = levels[0].level
		return parts
	}
	return append(parts, levels...)
}

// admission is what holds for a group: the lower of its table's level and that for all tables, and the table's own
// way of trying again.
func (b *routingState) admission(t *table, g rules.GroupID) (rules.Admit, bool) {
	own, has := t.levels[g]
	all, both := b.table(rules.AllTables).levels[g]
	if !has {
		return all, both
	}
	if both {
		own.Level = min(own.Level, all.Level)
	}
	return own, true
}
