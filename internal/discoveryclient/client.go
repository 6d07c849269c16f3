// Package discoveryclient speaks to discovery: it asks for the list of replicas and follows its changes, and it holds the
// replicas' names.
package discoveryclient

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

// Client asks when it is told to and posts each answer as an event.
type Client struct {
	nameTable
	zones, kinds []string
	bounds       config.Bounds
	log          zerolog.Logger
	post         func(rules.List)
	ctx          context.Context
	dial         dialFunc
	running      sync.WaitGroup

	posting      sync.Mutex
	mu           sync.Mutex         // never while posting, as the poster may have to wait for one who calls Observe
	endpoint     *endpoint          // to the address that counts
	version      Version            // of the list as posted last
	hasVersion   bool               // there is such a version, so changes from it can be asked for
	lastAnswerAt time.Time          // when an answer was good last
	watching     bool               // a watch is wanted and has not failed
	stopWatch    context.CancelFunc // of the watch that counts
}

// New returns a List that calls discovery until ctx ends. What it hears goes to post.
func New(ctx context.Context, c config.Config, log zerolog.Logger, post func(rules.List)) *Client {
	l := &Client{
		nameTable: newNameTable(), zones: c.Settings.Zones, kinds: c.Settings.Kinds,
		bounds: c.Bounds, log: log, post: post, ctx: ctx,
		dial: (&net.Dialer{}).DialContext, stopWatch: func() {},
	}
	l.endpoint = newEndpoint(ctx, c.Discovery, c.Bounds.MaxDiscoveryBytes, l.dial)
	return l
}

// LoadKnown reads the list as this governor last held it. Where there is none, the first call asks for the whole list.
func (l *Client) LoadKnown(text []byte) (rules.List, error) {
	held, err := decodeAnswer(text)
	if err != nil {
		return rules.List{}, fmt.Errorf("known: %w", err)
	}
	l.version, l.hasVersion = *held.Version, true
	out := l.toRules(held)
	out.Scope = rules.Cached
	return out, nil
}

// Restore takes on what a former life kept: names by number, and the version from which changes are asked for.
func (l *Client) Restore(state recovery.State) {
	for _, r := range state.Replicas {
		l.restore(r.Name, r.Entry.Replica)
	}
	l.namesMu.Lock()
	l.next = max(l.next, state.NextReplicaID)
	l.namesMu.Unlock()
	l.version, l.hasVersion = Version(state.Version), true
}

// Position is the version of the list as posted last, and when discovery was last heard; zero: never.
func (l *Client) Position() (Version, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.lastAnswerAt
}

// Watch begins a watch, which ends any earlier one, or ends it.
func (l *Client) Watch(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setWatch(on)
}

// setWatch is Observe with the lock held.
func (l *Client) setWatch(on bool) {
	l.stopWatch()
	ctx, cancel := context.WithCancel(l.endpoint.ctx)
	if l.stopWatch, l.watching = cancel, on; on {
		l.running.Add(1)
		go l.watchLoop(ctx, l.endpoint)
	}
}

// SetAddress goes over to another address of discovery at once. Calls to the old one are given up; the watch goes on at
// the new one from the version held, so that nothing is missed that changed in between.
func (l *Client) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint.close()
	l.endpoint = newEndpoint(l.ctx, address, l.bounds.MaxDiscoveryBytes, l.dial)
	if l.watching {
		l.setWatch(true)
	}
}

// Fetch asks for the whole list once, again where the address changes meanwhile.
func (l *Client) Fetch() {
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		for l.ctx.Err() == nil {
			asked, _, calls := l.current()
			body, err := calls.get(calls.ctx, "/v1/servers", l.bounds.DiscoveryCallMargin)
			if l.handleAnswer(calls.ctx, body, err, asked, false); calls.ctx.Err() == nil {
				return
			}
		}
	}()
}

// Wait returns when all calls have ended, which they do once the context has.
func (l *Client) Wait() { l.running.Wait() }

// watchLoop asks for what was missed, then call after call for what changes. The first answer is posted even if it
// tells nothing, as it answers the order; the next call begins at once, so that the watch is one.
func (l *Client) watchLoop(ctx context.Context, endpoint *endpoint) {
	defer l.running.Done()
	for first := true; ; first = false {
		wait := l.bounds.DiscoveryWait
		if first {
			wait = 0
		}
		target := "/v1/servers"
		version, hasVersion, _ := l.current()
		if hasVersion {
			target = fmt.Sprintf("%s?index=%d&wait=%d", target, version, wait.Milliseconds())
		}
		body, err := endpoint.get(ctx, target, wait+l.bounds.DiscoveryCallMargin)
		if !l.handleAnswer(ctx, body, err, version, !first) {
			return
		}
	}
}

// current is the version of the list as posted last, whether there is one, and who is asked for more.
func (l *Client) current() (Version, bool, *endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.hasVersion, l.endpoint
}

// handleAnswer takes in an answer to a call made when version asked was held, and tells whether it was good; that of a
// call whose context has ended is about nobody, as Observe ends an earlier watch while it holds the lock. What is
// older than what has come since would undo it, and so would changes from before it: both count as failures,
// after which the whole list is asked for.
func (l *Client) handleAnswer(ctx context.Context, body []byte, err error, askedVersion Version, mayBeEmpty bool) bool {
	var decoded answer
	if err == nil {
		decoded, err = decodeAnswer(body)
	}
	l.posting.Lock() // posts keep the order in which versions were taken in
	defer l.posting.Unlock()
	l.mu.Lock()
	if ctx.Err() != nil {
		l.mu.Unlock()
		return false
	}
	if err == nil && *decoded.Version < l.version && (!decoded.Full || l.version != askedVersion) {
		err = fmt.Errorf("the list went back from version %d to %d", l.version, *decoded.Version)
		l.hasVersion = false
	} else if err == nil {
		l.version, l.hasVersion, l.lastAnswerAt = *decoded.Version, true, time.Now()
	}
	l.watching = l.watching && err == nil
	l.mu.Unlock()
	if err != nil {
		l.log.Warn().Err(err).Msg("list failure")
		l.post(rules.List{Scope: rules.Failed})
	} else if !mayBeEmpty || decoded.Full || len(decoded.Servers) > 0 {
		l.post(l.toRules(decoded))
	}
	return err == nil
}
