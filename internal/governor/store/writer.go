package store

import (
	"context"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/recovery"
)

// Writer writes states in a goroutine of its own, beside the one that decides. A state that is offered while another waits
// is dropped: the next one holds all of it.
type Writer struct {
	store   *Store
	log     zerolog.Logger
	pending chan recovery.State
	failing bool // the last write has failed, which has been logged
}

// NewWriter returns a Writer that writes nothing before Run.
func NewWriter(s *Store, log zerolog.Logger) *Writer {
	return &Writer{store: s, log: log, pending: make(chan recovery.State, 1)}
}

// Ready reports whether Offer would accept a state.
func (w *Writer) Ready() bool { return len(w.pending) == 0 }

// Offer hands over a state to be written. It never waits.
func (w *Writer) Offer(k recovery.State) {
	select {
	case w.pending <- k:
	default:
	}
}

// Run writes until ctx ends, then writes what still waits and closes the store. A failure is logged when it begins and when
// it ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case k := <-w.pending:
			w.write(k)
		case <-ctx.Done():
			w.finish()
			return
		}
	}
}

func (w *Writer) finish() {
	select {
	case k := <-w.pending:
		w.write(k)
	default:
	}
	if err := w.store.Close(); err != nil {
		w.log.Warn().Err(err).Msg("state")
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
