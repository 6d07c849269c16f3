package clients

import (
	"slices"

	"zincloft.example/zincloft/rules"
)

// routingState is the result of all orders so far: the content of each routing table and the tables that each proxy is bound
// to. Only the event loop uses it. During a step it collects changes, which sendChanges then sends as they stand at the end
// of the step.
type routingState struct {
	groups         int
	proxies        map[rules.ProxyID]*proxyState
	proxyIDs       []rules.ProxyID // keys of proxies, ascending
	tables         map[rules.TableID]*table
	fleetEjections map[rules.ReplicaID]bool // replicas ejected for all proxies

	// Changes of the current step.
	ackRequest            *rules.AckRequest // nil: no acknowledgement is requested
	fleetEjectionsChanged bool

	// Caches and buffers of sendChanges.
	renderedViews   map[tableView][]assignment
	encodedMessages map[string][]byte // by the key of their views
	viewsBuffer     []tableView
	keyBuffer       []byte
}

// table is the content of a routing table. Table AllTables holds only admission levels, which apply to all proxies.
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
	conn                 *conn
	table                map[rules.GroupID]rules.TableID
	newlyBound           rules.GroupSet           // in the current step
	pairEjections        map[rules.ReplicaID]bool // replicas ejected for this proxy alone
	pairEjectionsChanged bool                     // in the current step

	// A proxy keeps its ejections when it reconnects, including those ordered by a previous process or another governor, so
	// only a fresh proxy's ejections are known.
	sentEjections map[rules.ReplicaID]bool // replicas ejected by messages on this stream
	weighted      map[rules.ReplicaID]bool // replicas that have had a weight on this stream; nil if all ejections of the proxy are known
}

func newRoutingState(groups int) routingState {
	return routingState{
		groups:          groups,
		proxies:         map[rules.ProxyID]*proxyState{},
		tables:          map[rules.TableID]*table{},
		fleetEjections:  map[rules.ReplicaID]bool{},
		renderedViews:   map[tableView][]assignment{},
		encodedMessages: map[string][]byte{},
	}
}

// addProxy adds a proxy that has joined on a connection, replacing any earlier state of it.
func (s *routingState) addProxy(j rules.Joined, c *conn) {
	proxy := &proxyState{conn: c, table: map[rules.GroupID]rules.TableID{}}
	if j.MayHoldEjections {
		proxy.weighted = map[rules.ReplicaID]bool{}
	}
	s.proxies[j.Proxy] = proxy
	if at, found := slices.BinarySearch(s.proxyIDs, j.Proxy); !found {
		s.proxyIDs = slices.Insert(s.proxyIDs, at, j.Proxy)
	}
}

func (s *routingState) deleteProxy(id rules.ProxyID) {
	delete(s.proxies, id)
	if at, found := slices.BinarySearch(s.proxyIDs, id); found {
		s.proxyIDs = slices.Delete(s.proxyIDs, at, at+1)
	}
}

// table returns a table, which it creates if necessary.
func (s *routingState) table(id rules.TableID) *table {
	t := s.tables[id]
	if t == nil {
		t = &table{weights: map[rules.ReplicaID]float64{}, levels: map[rules.GroupID]rules.Admit{},
			changedWeights: map[rules.ReplicaID]bool{}}
		s.tables[id] = t
	}
	return t
}

// groupIDs returns the groups in a set. The empty set stands for all groups.
func (s *routingState) groupIDs(set rules.GroupSet) (ids []rules.GroupID) {
	for group := range s.groups {
		if set == 0 || set&(1<<group) != 0 {
			ids = append(ids, rules.GroupID(group))
		}
	}
	return ids
}

// apply applies an order and records what it changes.
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
		s.fleetEjectionsChanged = true
		setMember(s.fleetEjections, order.Replica, order.Ejected)
	case rules.PairEjection:
		s.eject(order)
	case rules.AckRequest:
		s.ackRequest = &order
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

// eject ejects or restores a replica for one proxy.
func (s *routingState) eject(order rules.PairEjection) {
	proxy := s.proxies[order.Proxy]
	if proxy == nil {
		return
	}
	if proxy.pairEjections == nil {
		proxy.pairEjections = map[rules.ReplicaID]bool{}
	}
	proxy.pairEjectionsChanged = true
	setMember(proxy.pairEjections, order.Replica, order.Ejected)
}

// setMember adds a replica to a set or removes it.
func setMember(set map[rules.ReplicaID]bool, replica rules.ReplicaID, isMember bool) {
	if isMember {
		set[replica] = true
		return
	}
	delete(set, replica)
}

// Forget drops the state of a replica that has been removed.
func (s *routingState) Forget(r rules.ReplicaID) {
	delete(s.fleetEjections, r)
	for _, proxy := range s.proxies {
		delete(proxy.sentEjections, r)
		delete(proxy.weighted, r)
		delete(proxy.pairEjections, r)
	}
}

// isUnchanged reports whether the step has no changes for a proxy.
func (s *routingState) isUnchanged(proxy *proxyState) bool {
	if proxy.newlyBound != 0 || proxy.pairEjectionsChanged || s.fleetEjectionsChanged || s.tableChanged(rules.AllTables) {
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

// admission returns the admission level of a group, the lower of its table's level and that for all tables, with the retry
// policy of its table.
func (s *routingState) admission(t *table, g rules.GroupID) (rules.Admit, bool) {
	own, hasOwn := t.levels[g]
	all, hasAll := s.table(rules.AllTables).levels[g]
	if !hasOwn {
		return all, hasAll
	}
	if hasAll {
		own.Level = min(own.Level, all.Level)
	}
	return own, true
}
