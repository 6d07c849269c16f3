package discoveryclient

import (
	"sync"

	"zincloft.example/zincloft/rules"
)

// nameTable gives each replica that is listed a number. A replica that has left the list keeps its name until Forget,
// as removals of it must still be nameable.
type nameTable struct {
	namesMu sync.RWMutex
	ids     map[string]rules.ReplicaID
	named   map[rules.ReplicaID]namedReplica
	next    rules.ReplicaID
}

type namedReplica struct {
	name   string
	listed bool // as the list was posted last
}

func newNameTable() nameTable {
	return nameTable{ids: map[string]rules.ReplicaID{}, named: map[rules.ReplicaID]namedReplica{}}
}

// ID finds a replica by its name.
func (n *nameTable) ID(name []byte) (rules.ReplicaID, bool) {
	n.namesMu.RLock()
	defer n.namesMu.RUnlock()
	id, ok := n.ids[string(name)]
	return id, ok
}

// Name is a replica's name.
func (n *nameTable) Name(id rules.ReplicaID) (string, bool) {
	n.namesMu.RLock()
	defer n.namesMu.RUnlock()
	h, ok := n.named[id]
	return h.name, ok
}

// Forget frees the name of a replica that is gone. One that has just been listed again keeps it: whoever orders
// Forget has not heard of that yet. A number is never given twice, so that late words are about nobody else.
func (n *nameTable) Forget(id rules.ReplicaID) {
	n.namesMu.Lock()
	defer n.namesMu.Unlock()
	if h := n.named[id]; !h.listed {
		delete(n.ids, h.name)
		delete(n.named, id)
	}
}

// restore gives a replica the number that it had in a former life.
func (n *nameTable) restore(name string, id rules.ReplicaID) {
	n.namesMu.Lock()
	defer n.namesMu.Unlock()
	n.ids[name], n.named[id], n.next = id, namedReplica{name, true}, max(n.next, id+1)
}

// Next is the number that the next new replica gets.
func (n *nameTable) Next() rules.ReplicaID {
	n.namesMu.RLock()
	defer n.namesMu.RUnlock()
	return n.next
}

func (n *nameTable) add(name string, listed bool) rules.ReplicaID {
	n.namesMu.Lock()
	defer n.namesMu.Unlock()
	id, ok := n.ids[name]
	if !ok {
		id = n.next
		n.next++
		n.ids[name] = id
	}
	n.named[id] = namedReplica{name, listed}
	return id
}

// unlistAll makes room for a whole list: what it does not name is gone.
func (n *nameTable) unlistAll() {
	n.namesMu.Lock()
	defer n.namesMu.Unlock()
	for id, h := range n.named {
		h.listed = false
		n.named[id] = h
	}
}
