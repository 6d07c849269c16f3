// Package list speaks to discovery: it asks for the list of replicas and follows its changes, and it holds the
// replicas' names.
package list

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// List asks when it is told to and posts each answer as an event.
type List struct {
	names
	zones, kinds []string
	bounds       config.Bounds
	log          zerolog.Logger
	post         func(rules.List)
	ctx          context.Context
	dial         dialer
	running      sync.WaitGroup

	posting sync.Mutex
	held    sync.Mutex         // never while posting, as the poster may have to wait for one who calls Observe
	calls   *caller            // to the address that counts
	version Version            // of the list as posted last
	based   bool               // there is such a version, so changes from it can be asked for
	heard   time.Time          // when an answer was good last
	watched bool               // a watch is wanted and has not failed
	end     context.CancelFunc // of the watch that counts
}

// New returns a List that calls discovery until ctx ends. What it hears goes to post.
func New(ctx context.Context, c config.Config, log zerolog.Logger, post func(rules.List)) *List {
	l := &List{
		names: newNames(), zones: c.Settings.Zones, kinds: c.Settings.Kinds,
		bounds: c.Bounds, log: log, post: post, ctx: ctx,
		dial: (&net.Dialer{}).DialContext, end: func() {},
	}
	l.calls = newCaller(ctx, c.Discovery, c.Bounds.ListBytes, l.dial)
	return l
}

// Known reads the list as this governor last held it. Where there is none, the first call asks for the whole list.
func (l *List) Known(text []byte) (rules.List, error) {
	known, err := read(text)
	if err != nil {
		return rules.List{}, fmt.Errorf("known: %w", err)
	}
	l.version, l.based = *known.Version, true
	out := l.number(known)
	out.Scope = rules.Cached
	return out, nil
}

// Restore takes on what a former life kept: names by number, and the version from which changes are asked for.
func (l *List) Restore(kept recovery.Kept) {
	for _, r := range kept.Replicas {
		l.restore(r.Name, r.Entry.Replica)
	}
	l.mu.Lock()
	l.next = max(l.next, kept.Next)
	l.mu.Unlock()
	l.version, l.based = Version(kept.Version), true
}

// Held is the version of the list as posted last, and when discovery was last heard; zero: never.
func (l *List) Held() (Version, time.Time) {
	l.held.Lock()
	defer l.held.Unlock()
	return l.version, l.heard
}

// Observe begins a watch, which ends any earlier one, or ends it.
func (l *List) Observe(on bool) {
	l.held.Lock()
	defer l.held.Unlock()
	l.watch(on)
}

// watch is Observe with the lock held.
func (l *List) watch(on bool) {
	l.end()
	ctx, cancel := context.WithCancel(l.calls.ctx)
	if l.end, l.watched = cancel, on; on {
		l.running.Add(1)
		go l.follow(ctx, l.calls)
	}
}

// Move goes over to another address of discovery at once. Calls to the old one are given up; the watch goes on at
// the new one from the version held, so that nothing is missed that changed in between.
func (l *List) Move(address string) {
	l.held.Lock()
	defer l.held.Unlock()
	l.calls.end()
	l.calls = newCaller(l.ctx, address, l.bounds.ListBytes, l.dial)
	if l.watched {
		l.watch(true)
	}
}

// Fetch asks for the whole list once, again where the address changes meanwhile.
func (l *List) Fetch() {
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		for l.ctx.Err() == nil {
			asked, _, calls := l.last()
			body, err := calls.get(calls.ctx, "/v1/servers", l.bounds.ListMore)
			if l.hear(calls.ctx, body, err, asked, false); calls.ctx.Err() == nil {
				return
			}
		}
	}()
}

// Wait returns when all calls have ended, which they do once the context has.
func (l *List) Wait() { l.running.Wait() }

// follow asks for what was missed, then call after call for what changes. The first answer is posted even if it
// tells nothing, as it answers the order; the next call begins at once, so that the watch is one.
func (l *List) follow(ctx context.Context, calls *caller) {
	defer l.running.Done()
	for first := true; ; first = false {
		wait := l.bounds.ListWait
		if first {
			wait = 0
		}
		target := "/v1/servers"
		asked, based, _ := l.last()
		if based {
			target = fmt.Sprintf("%s?index=%d&wait=%d", target, asked, wait.Milliseconds())
		}
		body, err := calls.get(ctx, target, wait+l.bounds.ListMore)
		if !l.hear(ctx, body, err, asked, !first) {
			return
		}
	}
}

// last is the version of the list as posted last, whether there is one, and who is asked for more.
func (l *List) last() (Version, bool, *caller) {
	l.held.Lock()
	defer l.held.Unlock()
	return l.version, l.based, l.calls
}

// hear takes in an answer to a call made when version asked was held, and tells whether it was good; that of a
// call whose context has ended is about nobody, as Observe ends an earlier watch while it holds the lock. What is
// older than what has come since would undo it, and so would changes from before it: both count as failures,
// after which the whole list is asked for.
func (l *List) hear(ctx context.Context, body []byte, err error, asked Version, mayBeEmpty bool) bool {
	var got answer
	if err == nil {
		got, err = read(body)
	}
	l.posting.Lock() // posts keep the order in which versions were taken in
	defer l.posting.Unlock()
	l.held.Lock()
	if ctx.Err() != nil {
		l.held.Unlock()
		return false
	}
	if err == nil && *got.Version < l.version && (!got.Full || l.version != asked) {
		err = fmt.Errorf("the list went back from version %d to %d", l.version, *got.Version)
		l.based = false
	} else if err == nil {
		l.version, l.based, l.heard = *got.Version, true, time.Now()
	}
	l.watched = l.watched && err == nil
	l.held.Unlock()
	if err != nil {
		l.log.Warn().Err(err).Msg("list failure")
		l.post(rules.List{Scope: rules.Failed})
	} else if !mayBeEmpty || got.Full || len(got.Servers) > 0 {
		l.post(l.number(got))
	}
	return err == nil
}
