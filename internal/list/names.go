package list

import (
	"sync"

	"zincloft.example/zincloft/rules"
)

// names gives each replica that is listed a number. A replica that has left the list keeps its name until Forget,
// as removals of it must still be nameable.
type names struct {
	mu    sync.RWMutex
	ids   map[string]rules.ReplicaID
	named map[rules.ReplicaID]holder
	next  rules.ReplicaID
}

type holder struct {
	name   string
	listed bool // as the list was posted last
}

func newNames() names {
	return names{ids: map[string]rules.ReplicaID{}, named: map[rules.ReplicaID]holder{}}
}

// ID finds a replica by its name.
func (n *names) ID(name []byte) (rules.ReplicaID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok := n.ids[string(name)]
	return id, ok
}

// Name is a replica's name.
func (n *names) Name(id rules.ReplicaID) (string, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	h, ok := n.named[id]
	return h.name, ok
}

// Forget frees the name of a replica that is gone. One that has just been listed again keeps it: whoever orders
// Forget has not heard of that yet. A number is never given twice, so that late words are about nobody else.
func (n *names) Forget(id rules.ReplicaID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.named[id]; !h.listed {
		delete(n.ids, h.name)
		delete(n.named, id)
	}
}

// restore gives a replica the number that it had in a former life.
func (n *names) restore(name string, id rules.ReplicaID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ids[name], n.named[id], n.next = id, holder{name, true}, max(n.next, id+1)
}

// Next is the number that the next new replica gets.
func (n *names) Next() rules.ReplicaID {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.next
}

func (n *names) add(name string, listed bool) rules.ReplicaID {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.ids[name]
	if !ok {
		id = n.next
		n.next++
		n.ids[name] = id
	}
	n.named[id] = holder{name, listed}
	return id
}

// unlist makes room for a whole list: what it does not name is gone.
func (n *names) unlist() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, h := range n.named {
		h.listed = false
		n.named[id] = h
	}
}
