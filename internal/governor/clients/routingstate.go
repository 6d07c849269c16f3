package clients

import (
	"slices"

	"zincloft.example/zincloft/rules"
)

// routingState is the sum of the orders so far: the content of each routing table, and which proxy is bound to which. Only
// the deciding goroutine uses it. During a step it collects changes; sendChanges then sends messages that show the state at
// the end of the step.
type routingState struct {
	groups    int
	proxies   map[rules.ProxyID]*proxyState
	order     []rules.ProxyID // of the proxies, ascending
	tables    map[rules.TableID]*table
	withdrawn map[rules.ReplicaID]bool // from all proxies

	// Changes of the current step.
	mark               *rules.AckRequest // the version to acknowledge
	withdrawalsChanged bool

	// Caches and buffers of sendChanges.
	renderedViews   map[tableView][]assignment
	encodedMessages map[string][]byte // by the views that they show
	viewsBuffer     []tableView
	keyBuffer       []byte
}

// table is the content of a routing table. The one numbered AllTables has levels only, which hold for all proxies.
type table struct {
	weights map[rules.ReplicaID]float64
	levels  map[rules.GroupID]rules.Admit

	// Changes of the current step.
	cleared        bool
	changedWeights map[rules.ReplicaID]bool
	changedLevels  rules.GroupSet
}

// proxyState is the state of a joined proxy.
type proxyState struct {
	conn             *conn
	table            map[rules.GroupID]rules.TableID
	newlyBound       rules.GroupSet           // in the current step
	ejections        map[rules.ReplicaID]bool // replicas ejected for this proxy alone
	ejectionsChanged bool                     // in the current step

	// A proxy keeps its ejections over a change of streams, also those of a previous process or of another governor. So
	// they are known only of a fresh proxy.
	ejected map[rules.ReplicaID]bool // replicas that it was ordered to eject on this stream
	seen    map[rules.ReplicaID]bool // replicas that it was given weights for; nil if all its ejections are known
}

func newRoutingState(groups int) routingState {
	return routingState{
		groups:          groups,
		proxies:         map[rules.ProxyID]*proxyState{},
		tables:          map[rules.TableID]*table{},
		withdrawn:       map[rules.ReplicaID]bool{},
		renderedViews:   map[tableView][]assignment{},
		encodedMessages: map[string][]byte{},
	}
}

// addProxy adds a proxy that has joined by a connection, in place of any earlier state of it.
func (s *routingState) addProxy(j rules.Joined, c *conn) {
	proxy := &proxyState{conn: c, table: map[rules.GroupID]rules.TableID{}}
	if j.MayHoldEjections {
		proxy.seen = map[rules.ReplicaID]bool{}
	}
	s.proxies[j.Proxy] = proxy
	if at, found := slices.BinarySearch(s.order, j.Proxy); !found {
		s.order = slices.Insert(s.order, at, j.Proxy)
	}
}

// dropProxy drops the state of a proxy.
func (s *routingState) dropProxy(id rules.ProxyID) {
	delete(s.proxies, id)
	if at, found := slices.BinarySearch(s.order, id); found {
		s.order = slices.Delete(s.order, at, at+1)
	}
}

// table returns a table, a new one if there is none.
func (s *routingState) table(id rules.TableID) *table {
	t := s.tables[id]
	if t == nil {
		t = &table{weights: map[rules.ReplicaID]float64{}, levels: map[rules.GroupID]rules.Admit{},
			changedWeights: map[rules.ReplicaID]bool{}}
		s.tables[id] = t
	}
	return t
}

// groupIDs returns the groups of a set; all for the empty one.
func (s *routingState) groupIDs(set rules.GroupSet) (ids []rules.GroupID) {
	for group := range s.groups {
		if set == 0 || set&(1<<group) != 0 {
			ids = append(ids, rules.GroupID(group))
		}
	}
	return ids
}

// apply applies an order and notes what it changes.
func (s *routingState) apply(order rules.Order) {
	switch order := order.(type) {
	case rules.EndpointWeight:
		s.table(order.Table).setWeight(order.Replica, order.Weight)
	case rules.ClearTable:
		s.table(order.Table).clear()
	case rules.Admit:
		t := s.table(order.Table)
		for _, group := range s.groupIDs(order.Groups) {
			t.levels[group] = order
			t.changedLevels |= 1 << group
		}
	case rules.Bind:
		s.bind(order)
	case rules.ReplicaEjection:
		s.withdrawalsChanged = true
		setMember(s.withdrawn, order.Replica, order.Ejected)
	case rules.PairEjection:
		s.eject(order)
	case rules.AckRequest:
		s.mark = &order
	}
}

func (t *table) setWeight(replica rules.ReplicaID, weight float64) {
	t.changedWeights[replica] = true
	if weight == 0 {
		delete(t.weights, replica)
		return
	}
	t.weights[replica] = weight
}

func (t *table) clear() {
	clear(t.weights)
	clear(t.levels)
	t.cleared = true
}

func (s *routingState) bind(order rules.Bind) {
	proxy := s.proxies[order.Proxy]
	if proxy == nil {
		return
	}
	for _, group := range s.groupIDs(order.Groups) {
		proxy.table[group] = order.Table
		proxy.newlyBound |= 1 << group
	}
}

// eject changes the ejections of one proxy.
func (s *routingState) eject(order rules.PairEjection) {
	proxy := s.proxies[order.Proxy]
	if proxy == nil {
		return
	}
	if proxy.ejections == nil {
		proxy.ejections = map[rules.ReplicaID]bool{}
	}
	proxy.ejectionsChanged = true
	setMember(proxy.ejections, order.Replica, order.Ejected)
}

// setMember adds a replica to a set, or removes it.
func setMember(set map[rules.ReplicaID]bool, replica rules.ReplicaID, isMember bool) {
	if isMember {
		set[replica] = true
		return
	}
	delete(set, replica)
}

// Forget drops the state of a replica that is gone.
func (s *routingState) Forget(r rules.ReplicaID) {
	delete(s.withdrawn, r)
	for _, proxy := range s.proxies {
		delete(proxy.ejected, r)
		delete(proxy.seen, r)
		delete(proxy.ejections, r)
	}
}

// isUnchanged reports whether the step has changed nothing for a proxy.
func (s *routingState) isUnchanged(proxy *proxyState) bool {
	if proxy.newlyBound != 0 || proxy.ejectionsChanged || s.withdrawalsChanged || s.tableChanged(rules.AllTables) {
		return false
	}
	for _, table := range proxy.table {
		if s.tableChanged(table) {
			return false
		}
	}
	return true
}

func (s *routingState) tableChanged(id rules.TableID) bool {
	t := s.tables[id]
	return t != nil && (t.cleared || t.changedLevels != 0 || len(t.changedWeights) > 0)
}

// admission returns the admission of a group: the lower of its table's level and that for all tables, and the table's own
// way to retry.
func (s *routingState) admission(t *table, g rules.GroupID) (rules.Admit, bool) {
	own, has := t.levels[g]
	all, both := s.table(rules.AllTables).levels[g]
	if !has {
		return all, both
	}
	if both {
		own.Level = min(own.Level, all.Level)
	}
	return own, true
}
