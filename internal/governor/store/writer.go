package store

import (
	"context"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/recovery"
)

// Writer writes states in its own goroutine, so that disk access never blocks the event loop. A state that is offered while
// another is pending is dropped, as the next one supersedes it.
type Writer struct {
	store   *Store
	log     zerolog.Logger
	pending chan recovery.State
	failing bool // the last write failed, and the failure has been logged
}

// NewWriter returns a Writer that writes nothing before Run.
func NewWriter(s *Store, log zerolog.Logger) *Writer {
	return &Writer{store: s, log: log, pending: make(chan recovery.State, 1)}
}

// Ready reports whether Offer would accept a state now.
func (w *Writer) Ready() bool { return len(w.pending) == 0 }

// Offer queues a state to be written unless another is pending. It never blocks.
func (w *Writer) Offer(state recovery.State) {
	select {
	case w.pending <- state:
	default:
	}
}

// Run writes states until ctx is done, then writes the pending state and closes the store. It logs the first of consecutive
// failures and the first success after them.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case state := <-w.pending:
			w.write(state)
		case <-ctx.Done():
			w.finish()
			return
		}
	}
}

func (w *Writer) finish() {
	select {
	case state := <-w.pending:
		w.write(state)
	default:
	}
	if err := w.store.Close(); err != nil {
		w.log.Warn().Err(err).Msg("state")
	}
}

func (w *Writer) write(state recovery.State) {
	_, err := w.store.Write(state)
	if err != nil && !w.failing {
		w.log.Warn().Err(err).Msg("state can't be written")
	} else if err == nil && w.failing {
		w.log.Info().Msg("state is written again")
	}
	w.failing = err != nil
}
