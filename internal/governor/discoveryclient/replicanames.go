package discoveryclient

import (
	"sync"

	"zincloft.example/zincloft/rules"
)

// nameTable assigns an ID to each listed replica. A replica that has left the list keeps its name until Forget, because its
// removal is still sent by name. IDs are never reused, so that a late report is not attributed to another replica.
type nameTable struct {
	tableMu  sync.RWMutex
	idByName map[string]rules.ReplicaID
	replicas map[rules.ReplicaID]namedReplica
	nextID   rules.ReplicaID
}

type namedReplica struct {
	name   string
	listed bool // in the list last posted
}

func newNameTable() nameTable {
	return nameTable{idByName: map[string]rules.ReplicaID{}, replicas: map[rules.ReplicaID]namedReplica{}}
}

// ID returns the ID of the replica with this name.
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

// Forget releases the name of a removed replica, unless the replica has been listed again since the order was given.
func (t *nameTable) Forget(id rules.ReplicaID) {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	if replica := t.replicas[id]; !replica.listed {
		delete(t.idByName, replica.name)
		delete(t.replicas, id)
	}
}

// NextReplicaID returns the ID that the next new replica gets.
func (t *nameTable) NextReplicaID() rules.ReplicaID {
	t.tableMu.RLock()
	defer t.tableMu.RUnlock()
	return t.nextID
}

// restoreID assigns a replica the ID that it had in the previous process.
func (t *nameTable) restoreID(name string, id rules.ReplicaID) {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	t.idByName[name], t.replicas[id], t.nextID = id, namedReplica{name, true}, max(t.nextID, id+1)
}

// reserveBelow prevents new replicas from getting an ID below next.
func (t *nameTable) reserveBelow(next rules.ReplicaID) {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	t.nextID = max(t.nextID, next)
}

// idFor returns the ID of a replica in an answer, and assigns one if it has none.
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

// markAllUnlisted marks all replicas as not listed. It is called before a full list is applied.
func (t *nameTable) markAllUnlisted() {
	t.tableMu.Lock()
	defer t.tableMu.Unlock()
	for id, replica := range t.replicas {
		replica.listed = false
		t.replicas[id] = replica
	}
}
