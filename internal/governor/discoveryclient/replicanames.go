package discoveryclient

import (
	"sync"

	"zincloft.example/zincloft/rules"
)

// nameTable assigns a number to each listed replica. A replica that has left the list keeps its name until Forget, as its
// removals must still be written by name. Numbers are never reused, so that late reports can't be taken for another
// replica's.
type nameTable struct {
	tableMu  sync.RWMutex
	idByName map[string]rules.ReplicaID
	replicas map[rules.ReplicaID]namedReplica
	nextID   rules.ReplicaID
}

type namedReplica struct {
	name   string
	listed bool // in the list as last posted
}

func newNameTable() nameTable {
	return nameTable{idByName: map[string]rules.ReplicaID{}, replicas: map[rules.ReplicaID]namedReplica{}}
}

// ID returns the number of the replica with this name.
func (t *nameTable) ID(name []byte) (rules.ReplicaID, bool) {
	t.tableMu.RLock()
	defer t.tableMu.RUnlock()
	id, ok := t.idByName[string(name)]
	return id, ok
}

// Name returns the name of a replica.
func (t *nameTable) Name(id rules.ReplicaID) (string, bool) {
	t.tableMu.RLock()
	defer t.tableMu.RUnlock()
	replica, ok := t.replicas[id]
	return replica.name, ok
}

// Forget releases the name of a replica that is gone. A replica that has been listed again meanwhile keeps it: the order
// to forget was given before that was known.
func (t *nameTable) Forget(id rules.ReplicaID) {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	if replica := t.replicas[id]; !replica.listed {
		delete(t.idByName, replica.name)
		delete(t.replicas, id)
	}
}

// NextReplicaID returns the number that the next new replica gets.
func (t *nameTable) NextReplicaID() rules.ReplicaID {
	t.tableMu.RLock()
	defer t.tableMu.RUnlock()
	return t.nextID
}

// restoreID gives a replica the number that it had in the previous process.
func (t *nameTable) restoreID(name string, id rules.ReplicaID) {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	t.idByName[name], t.replicas[id], t.nextID = id, namedReplica{name, true}, max(t.nextID, id+1)
}

// reserveBelow keeps new replicas from getting a number below next.
func (t *nameTable) reserveBelow(next rules.ReplicaID) {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	t.nextID = max(t.nextID, next)
}

// idFor returns the number of a replica that an answer names, a new one if it has none.
func (t *nameTable) idFor(name string, listed bool) rules.ReplicaID {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	id, ok := t.idByName[name]
	if !ok {
		id = t.nextID
		t.nextID++
		t.idByName[name] = id
	}
	t.replicas[id] = namedReplica{name, listed}
	return id
}

// markAllUnlisted precedes a full list: what that does not name is gone.
func (t *nameTable) markAllUnlisted() {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	for id, replica := range t.replicas {
		replica.listed = false
		t.replicas[id] = replica
	}
}
