package store

import (
	"context"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/recovery"
)

// Writer writes beside the deciding goroutine. What is offered while it still writes is passed over: the next one holds all
// of it.
type Writer struct {
	store   *Store
	log     zerolog.Logger
	pending chan recovery.State
	failing bool // and told
}

// NewWriter returns a Writer that writes nothing before Run.
func NewWriter(s *Store, log zerolog.Logger) *Writer {
	return &Writer{store: s, log: log, pending: make(chan recovery.State, 1)}
}

// Ready tells whether there is room for an offer.
func (w *Writer) Ready() bool { return len(w.pending) == 0 }

// Offer hands over what is to be kept. It never waits.
func (w *Writer) Offer(k recovery.State) {
	select {
	case w.pending <- k:
	default:
	}
}

// Run writes until ctx ends, then what still waits, and closes the store. Trouble is told when it begins and when it ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case k := <-w.pending:
			w.write(k)
		case <-ctx.Done():
			select {
			case k := <-w.pending:
				w.write(k)
			default:
			}
			if err := w.store.Close(); err != nil {
				w.log.Warn().Err(err).Msg("state")
			}
			return
		}
	}
}

func (w *Writer) write(k recovery.State) {
	_, err := w.store.Write(k)
	if err != nil && !w.failing {
		w.log.Warn().Err(err).Msg("state can't be written")
	} else if err == nil && w.failing {
		w.log.Info().Msg("state is written again")
	}
	w.failing = err != nil
}
