package discoveryclient

import (
	"sync"

	"zincloft.example/zincloft/rules"
)

// nameTable assigns a number to each listed replica. A replica that has left the list keeps its name until Forget, as its
// removals must still be written by name. Numbers are never reused, so that late reports can't be taken for another
// replica's.
type nameTable struct {
	namesMu sync.RWMutex
	ids     map[string]rules.ReplicaID
	named   map[rules.ReplicaID]namedReplica
	next    rules.ReplicaID
}

type namedReplica struct {
	name   string
	listed bool // in the list as last posted
}

func newNameTable() nameTable {
	return nameTable{ids: map[string]rules.ReplicaID{}, named: map[rules.ReplicaID]namedReplica{}}
}

// ID returns the number of the replica with this name.
func (t *nameTable) ID(name []byte) (rules.ReplicaID, bool) {
	t.namesMu.RLock()
	defer t.namesMu.RUnlock()
	id, ok := t.ids[string(name)]
	return id, ok
}

// Name returns the name of a replica.
func (t *nameTable) Name(id rules.ReplicaID) (string, bool) {
	t.namesMu.RLock()
	defer t.namesMu.RUnlock()
	replica, ok := t.named[id]
	return replica.name, ok
}

// Forget releases the name of a replica that is gone. A replica that has been listed again meanwhile keeps it: the order
// to forget was given before that was known.
func (t *nameTable) Forget(id rules.ReplicaID) {
	t.namesMu.Lock()
	defer t.namesMu.Unlock()
	if replica := t.named[id]; !replica.listed {
		delete(t.ids, replica.name)
		delete(t.named, id)
	}
}

// NextReplicaID returns the number that the next new replica gets.
func (t *nameTable) NextReplicaID() rules.ReplicaID {
	t.namesMu.RLock()
	defer t.namesMu.RUnlock()
	return t.next
}

// restore gives a replica the number that it had in the previous process.
func (t *nameTable) restore(name string, id rules.ReplicaID) {
	t.namesMu.Lock()
	defer t.namesMu.Unlock()
	t.ids[name], t.named[id], t.next = id, namedReplica{name, true}, max(t.next, id+1)
}

// reserve keeps new replicas from getting a number below next.
func (t *nameTable) reserve(next rules.ReplicaID) {
	t.namesMu.Lock()
	defer t.namesMu.Unlock()
	t.next = max(t.next, next)
}

// add returns the number of a replica that an answer names, a new one if it has none.
func (t *nameTable) add(name string, listed bool) rules.ReplicaID {
	t.namesMu.Lock()
	defer t.namesMu.Unlock()
	id, ok := t.ids[name]
	if !ok {
		id = t.next
		t.next++
		t.ids[name] = id
	}
	t.named[id] = namedReplica{name, listed}
	return id
}

// unlistAll precedes a full list: what that does not name is gone.
func (t *nameTable) unlistAll() {
	t.namesMu.Lock()
	defer t.namesMu.Unlock()
	for id, replica := range t.named {
		replica.listed = false
		t.named[id] = replica
	}
}
