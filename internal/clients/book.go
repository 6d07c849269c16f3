package clients

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/rules"
)

// book holds what the orders so far come to: what is in each table, and who is bound to which. Only the
// goroutine that decides uses it. During a Step it gathers changes; write then makes messages of them, each of
// which shows the state at the end of the Step.
type book struct {
	groups  int
	members map[rules.ProxyID]*member
	order   []rules.ProxyID // members, by number
	tables  map[rules.TableID]*table
	out     map[rules.ReplicaID]bool // withdrawn

	mark    *rules.Mark        // in this Step, like what follows
	outs    bool               // withdrawals have changed
	shown   map[showing][]part // what tell has made
	written map[string][]byte  // messages, by what they show
	shows   []showing          // scratch
	key     []byte
}

// showing is what a table shows of itself to some traffic groups: the same for all proxies that it concerns.
type showing struct {
	table rules.TableID
	set   rules.GroupSet
	full  bool
}

// table is what a table holds. The one numbered AllTables has levels only, which hold for all proxies.
type table struct {
	lines  map[rules.ReplicaID]float64
	levels map[rules.GroupID]rules.Admit

	cleared bool // in this Step, like what follows
	altered map[rules.ReplicaID]bool
	leveled rules.GroupSet
}

// member is a joined proxy.
type member struct {
	conn    *conn
	table   map[rules.GroupID]rules.TableID
	bound   rules.GroupSet           // in this Step
	shuns   map[rules.ReplicaID]bool // replicas that it is to shut out on its own account
	shunned bool                     // these have changed in this Step

	// A proxy keeps what it was told to shut out over a change of streams, by a former life of ours or another
	// governor too. So it is known only of a fresh one.
	shut map[rules.ReplicaID]bool // told on this stream
	told map[rules.ReplicaID]bool // replicas that it was given lines for; nil if all that it shuts out is known
}

func newBook(groups int) book {
	return book{groups: groups, members: map[rules.ProxyID]*member{}, tables: map[rules.TableID]*table{},
		out: map[rules.ReplicaID]bool{}, shown: map[showing][]part{}, written: map[string][]byte{}}
}

func (b *book) join(j rules.Joined, c *conn) {
	m := &member{conn: c, table: map[rules.GroupID]rules.TableID{}}
	if j.Unsure {
		m.told = map[rules.ReplicaID]bool{}
	}
	b.members[j.Proxy] = m
	if at, is := slices.BinarySearch(b.order, j.Proxy); !is {
		b.order = slices.Insert(b.order, at, j.Proxy)
	}
}

func (b *book) drop(id rules.ProxyID) {
	delete(b.members, id)
	if at, is := slices.BinarySearch(b.order, id); is {
		b.order = slices.Delete(b.order, at, at+1)
	}
}

func (b *book) table(id rules.TableID) *table {
	t := b.tables[id]
	if t == nil {
		t = &table{lines: map[rules.ReplicaID]float64{}, levels: map[rules.GroupID]rules.Admit{},
			altered: map[rules.ReplicaID]bool{}}
		b.tables[id] = t
	}
	return t
}

func (b *book) each(s rules.GroupSet) (ids []rules.GroupID) {
	for g := range b.groups {
		if s == 0 || s&(1<<g) != 0 {
			ids = append(ids, rules.GroupID(g))
		}
	}
	return ids
}

// take notes one order.
func (b *book) take(o rules.Order) {
	switch o := o.(type) {
	case rules.Line:
		t := b.table(o.Table)
		t.altered[o.Replica] = true
		if t.lines[o.Replica] = o.Weight; o.Weight == 0 {
			delete(t.lines, o.Replica)
		}
	case rules.ClearTable:
		t := b.table(o.Table)
		clear(t.lines)
		clear(t.levels)
		t.cleared = true
	case rules.Admit:
		t := b.table(o.Table)
		for _, g := range b.each(o.Groups) {
			t.levels[g] = o
			t.leveled |= 1 << g
		}
	case rules.Bind:
		if m := b.members[o.Proxy]; m != nil {
			for _, g := range b.each(o.Groups) {
				m.table[g] = o.Table
				m.bound |= 1 << g
			}
		}
	case rules.Withdraw:
		b.outs = true
		if b.out[o.Replica] = o.Out; !o.Out {
			delete(b.out, o.Replica)
		}
	case rules.Shun:
		if m := b.members[o.Proxy]; m != nil {
			if m.shuns == nil {
				m.shuns = map[rules.ReplicaID]bool{}
			}
			m.shunned = true
			if m.shuns[o.Replica] = o.Out; !o.Out {
				delete(m.shuns, o.Replica)
			}
		}
	case rules.Mark:
		b.mark = &o
	}
}

// Forget drops what is held of a replica that is gone.
func (b *book) Forget(r rules.ReplicaID) {
	delete(b.out, r)
	for _, m := range b.members {
		delete(m.shut, r)
		delete(m.told, r)
		delete(m.shuns, r)
	}
}

// write sends each proxy what this Step changed for it. Proxies that are told the same share the bytes.
func (b *book) write(c *codec) {
	toAll := b.mark != nil && b.mark.ToAll
	for _, id := range b.order {
		m := b.members[id]
		if !toAll && b.quiet(m) {
			continue
		}
		shows := b.shows[:0]
		shows = b.concerns(m, shows)
		b.shows = shows
		if message := b.message(c, m, shows); len(message) == 0 {
		} else if b.mark != nil {
			m.conn.ask(message, b.mark.Version)
		} else {
			m.conn.send(message)
		}
		m.bound, m.shunned = 0, false
	}
	for _, t := range b.tables {
		t.cleared, t.leveled = false, 0
		clear(t.altered)
	}
	clear(b.shown)
	clear(b.written)
	b.mark, b.outs = nil, false
}

// message is what a proxy is to be told, empty if nothing.
func (b *book) message(c *codec, m *member, shows []showing) []byte {
	plain := len(b.out) == 0 && len(m.shut) == 0 && len(m.shuns) == 0 && m.told == nil
	if plain {
		b.key = b.key[:0]
		for _, s := range shows {
			full := byte(0)
			if s.full {
				full = 1
			}
			b.key = append(b.key, byte(s.table), byte(s.table>>8), byte(s.set), byte(s.set>>8), full)
		}
		if message, made := b.written[string(b.key)]; made {
			return message
		}
	}
	var parts []part
	for _, s := range shows {
		parts = append(parts, b.tell(s)...)
	}
	if p := b.withdrawals(m, parts); p.count() > 0 {
		parts = append(parts, p)
	}
	if b.mark != nil && (len(parts) > 0 || b.mark.ToAll) {
		if len(parts) == 0 {
			parts = append(parts, part{})
		}
		parts[len(parts)-1].mark = b.mark
	}
	var message []byte
	for i := range parts {
		parts[i].followed = i < len(parts)-1
		message = c.encode(message, &parts[i])
	}
	if plain {
		b.written[string(b.key)] = message
	}
	return message
}

// quiet tells that this Step has changed nothing for a proxy.
func (b *book) quiet(m *member) bool {
	if m.bound != 0 || m.shunned || b.outs || b.changed(rules.AllTables) {
		return false
	}
	for _, t := range m.table {
		if b.changed(t) {
			return false
		}
	}
	return true
}

func (b *book) changed(id rules.TableID) bool {
	t := b.tables[id]
	return t != nil && (t.cleared || t.leveled != 0 || len(t.altered) > 0)
}

// concerns adds what of which table a proxy is to be told: the whole of it or its changes. Groups of one table go
// together, and one stays for withdrawals, so the parts are at most two for each group and one more.
func (b *book) concerns(m *member, shows []showing) []showing {
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
		whole := u.set & m.bound
		if b.table(u.table).cleared {
			whole = u.set
		}
		shows = append(shows, showing{u.table, whole, true}, showing{u.table, u.set &^ whole, false})
	}
	return shows
}

// withdrawals is what a bound proxy is to shut out or let back, beside these parts. A replica that it may shut
// out unknown to us is let back when it is first given a line there.
func (b *book) withdrawals(m *member, parts []part) (p part) {
	if len(m.table) == 0 {
		return p
	}
	back := map[rules.ReplicaID]bool{}
	for _, told := range parts {
		for _, l := range told.lines {
			if m.told != nil && l.weight > 0 && !m.told[l.replica] {
				m.told[l.replica], back[l.replica] = true, !b.out[l.replica] && !m.shuns[l.replica]
			}
		}
	}
	for r := range m.shut {
		back[r] = back[r] || !b.out[r] && !m.shuns[r]
	}
	for _, r := range slices.Sorted(maps.Keys(back)) {
		if back[r] {
			p.in = append(p.in, r)
		}
	}
	shut := maps.Clone(b.out)
	maps.Copy(shut, m.shuns)
	for _, r := range slices.Sorted(maps.Keys(shut)) {
		if !m.shut[r] {
			p.out = append(p.out, r)
		}
	}
	m.shut = shut
	return p
}

// tell makes parts of a table for some groups, once a Step.
func (b *book) tell(s showing) []part {
	if s.set == 0 {
		return nil
	}
	parts, made := b.shown[s]
	if !made {
		parts = b.show(s)
		b.shown[s] = parts
	}
	return parts
}

// show makes the parts. Groups under one level go into one part; where all do, it goes with the lines.
func (b *book) show(s showing) (parts []part) {
	t := b.table(s.table)
	p := part{groups: s.set, full: s.full && s.table != rules.AllTables}
	ids := maps.Keys(t.altered)
	if p.full {
		ids = maps.Keys(t.lines)
	}
	for _, r := range slices.Sorted(ids) {
		p.lines = append(p.lines, line{r, t.lines[r]})
	}
	if p.count() > 0 {
		parts = append(parts, p)
	}
	var levels []part
	for _, g := range b.each(s.set) {
		if !s.full && (t.leveled|b.table(rules.AllTables).leveled)&(1<<g) == 0 {
			continue
		}
		level, ok := b.level(t, g)
		if !ok {
			continue
		}
		at := slices.IndexFunc(levels, func(l part) bool {
			return l.level.Level == level.Level && l.level.Retry == level.Retry
		})
		if at < 0 {
			at, levels = len(levels), append(levels, part{level: &level})
		}
		levels[at].groups |= 1 << g
	}
	if len(parts) == 1 && len(levels) == 1 && levels[0].groups == s.set {
		parts[0].level = levels[0].level
		return parts
	}
	return append(parts, levels...)
}

// level is what holds for a group: the lower of its table's level and that for all tables, and the table's own
// way of trying again.
func (b *book) level(t *table, g rules.GroupID) (rules.Admit, bool) {
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
