package clients

import (
	"sync"

	"github.com/rs/zerolog"
)

// counts gathers what is too frequent for a line each. Causes are few: none holds a peer's words.
type counts struct {
	mu sync.Mutex
	of map[what]map[string]int
}

type what string

const (
	passedOver what = "passed over" // messages on connections that have joined
	strangers  what = "strangers"   // connections that ended without a joining
	held       what = "held back"   // messages of streams that were read later
	refused    what = "refused"     // connections that were not taken
)

func (n *counts) add(w what, cause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.of == nil {
		n.of = map[what]map[string]int{}
	}
	if n.of[w] == nil {
		n.of[w] = map[string]int{}
	}
	n.of[w][cause]++
}

// log writes what was counted since the last time, if anything was.
func (n *counts) log(log zerolog.Logger) {
	n.mu.Lock()
	of := n.of
	n.of = nil
	n.mu.Unlock()
	if len(of) == 0 {
		return
	}
	line := log.Info()
	for _, w := range []what{passedOver, held, strangers, refused} {
		if of[w] != nil {
			line.Interface(string(w), of[w])
		}
	}
	line.Msg("counts")
}
