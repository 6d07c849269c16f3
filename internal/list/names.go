package list

import (
	"sync"

	"zincloft.example/zincloft/rules"
)

// names gives each replica that was ever listed a number. Nothing is forgotten: removals of what has left the
// list must still be nameable.
type names struct {
	mu   sync.RWMutex
	ids  map[string]rules.ReplicaID
	text []string
}

// ID finds a replica by its name.
func (n *names) ID(name string) (rules.ReplicaID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok := n.ids[name]
	return id, ok
}

// Name is a replica's name.
func (n *names) Name(id rules.ReplicaID) (string, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if int(id) >= len(n.text) {
		return "", false
	}
	return n.text[id], true
}

func (n *names) add(name string) rules.ReplicaID {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.ids[name]
	if !ok {
		id = rules.ReplicaID(len(n.text))
		n.ids[name], n.text = id, append(n.text, name)
	}
	return id
}
