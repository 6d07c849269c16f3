// Package discoveryclient is the client of service discovery. It requests the endpoint list, watches its changes, and maps
// replica names to the IDs that package rules uses.
package discoveryclient

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// serversPath is the resource of the endpoint list.
const serversPath = "/v1/servers"

// Client requests the endpoint list on demand and posts each answer as an event. Its methods may be called concurrently,
// except LoadCachedList and Restore, which must be called before all others.
type Client struct {
	nameTable
	zones, kinds []string
	bounds       config.Bounds
	log          zerolog.Logger
	post         func(rules.List)
	ctx          context.Context
	dial         dialFunc
	running      sync.WaitGroup // requests and watches

	postMu       sync.Mutex         // held while an answer is applied and posted, so that posts are in the order of versions
	mu           sync.Mutex         // guards the fields below; not held while posting, as post may wait for a caller of Watch
	endpoint     *endpoint          // for the current address
	version      Version            // of the list last posted
	hasVersion   bool               // changes since version can be requested
	lastAnswerAt time.Time          // time of the last valid answer; zero: none yet
	watching     bool               // a watch is wanted and has not failed
	stopWatch    context.CancelFunc // ends the current watch
}

// New returns a Client whose requests end with ctx. It makes none before Watch or Fetch. Answers and failures are passed to
// post, one at a time.
func New(ctx context.Context, c config.Config, log zerolog.Logger, post func(rules.List)) *Client {
	client := &Client{
		nameTable: newNameTable(),
		zones:     c.Settings.Zones,
		kinds:     c.Settings.Kinds,
		bounds:    c.Bounds,
		log:       log,
		post:      post,
		ctx:       ctx,
		dial:      (&net.Dialer{}).DialContext,
		stopWatch: func() {},
	}
	client.endpoint = newEndpoint(ctx, c.Discovery, c.Bounds.MaxDiscoveryBytes, client.dial)
	return client
}

// LoadCachedList makes the list from the configuration the current one and returns it. Without LoadCachedList or Restore, the
// first request is for the full list.
func (c *Client) LoadCachedList(text []byte) (rules.List, error) {
	cached, err := decodeAnswer(text)
	if err != nil {
		return rules.List{}, fmt.Errorf("known: %w", err)
	}
	c.version, c.hasVersion = *cached.Version, true
	list := c.toRules(cached)
	list.Scope = rules.Cached
	return list, nil
}

// Restore restores the IDs of replicas and the list version from the state of a previous process, so that only changes since
// that version are requested.
func (c *Client) Restore(state recovery.State) {
	for _, replica := range state.Replicas {
		c.restoreID(replica.Name, replica.Entry.Replica)
	}
	c.reserveBelow(state.NextReplicaID)
	c.version, c.hasVersion = Version(state.Version), true
}

// ListStatus returns the version of the list last posted and the time of the last valid answer, zero if there was none.
func (c *Client) ListStatus() (Version, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.lastAnswerAt
}

// Watch starts watching changes of the list, replacing any earlier watch, or stops watching.
func (c *Client) Watch(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setWatch(on)
}

// setWatch is Watch with mu held.
func (c *Client) setWatch(on bool) {
	c.stopWatch()
	ctx, cancel := context.WithCancel(c.endpoint.ctx)
	c.stopWatch, c.watching = cancel, on
	if on {
		c.running.Add(1)
		go c.watchLoop(ctx, c.endpoint)
	}
}

// SetAddress changes the address of discovery. Requests to the previous address are canceled. A watch continues at the new
// address from the current version, so that no changes are missed.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoint.close()
	c.endpoint = newEndpoint(c.ctx, address, c.bounds.MaxDiscoveryBytes, c.dial)
	if c.watching {
		c.setWatch(true)
	}
}

// Fetch requests the full list, and repeats the request if the address changes meanwhile. It does not wait for the answer.
func (c *Client) Fetch() {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		for c.ctx.Err() == nil {
			version, _, endpoint := c.current()
			body, err := endpoint.get(endpoint.ctx, serversPath, c.bounds.DiscoveryCallMargin)
			c.handleAnswer(endpoint.ctx, response{body: body, err: err, requestedAt: version})
			if endpoint.ctx.Err() == nil {
				return
			}
		}
	}()
}

// Wait waits until all requests have ended, which they do once the context passed to New is done.
func (c *Client) Wait() { c.running.Wait() }

// watchLoop requests the changes so far, then makes blocking requests until one fails or ctx is done. The first answer is
// posted even without changes, because it confirms the order to watch.
func (c *Client) watchLoop(ctx context.Context, endpoint *endpoint) {
	defer c.running.Done()
	for first := true; ; first = false {
		wait := c.bounds.DiscoveryWait
		if first {
			wait = 0
		}
		target := serversPath
		version, hasVersion, _ := c.current()
		if hasVersion {
			target = fmt.Sprintf("%s?index=%d&wait=%d", target, version, wait.Milliseconds())
		}
		body, err := endpoint.get(ctx, target, wait+c.bounds.DiscoveryCallMargin)
		if !c.handleAnswer(ctx, response{body: body, err: err, requestedAt: version, skipIfUnchanged: !first}) {
			return
		}
	}
}

// current returns the version last posted, whether there is one, and the endpoint for the current address.
func (c *Client) current() (Version, bool, *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.hasVersion, c.endpoint
}

// response is the outcome of one request.
type response struct {
	body            []byte
	err             error
	requestedAt     Version // version that was current when the request was made
	skipIfUnchanged bool    // do not post an answer without changes
}

// handleAnswer applies and posts the outcome of a request and reports whether it was a valid answer. The outcome of a request
// whose context is done is ignored. A replaced watch is canceled with mu held, so none of its answers can follow.
func (c *Client) handleAnswer(ctx context.Context, r response) bool {
	var decoded answer
	err := r.err
	if err == nil {
		decoded, err = decodeAnswer(r.body)
	}
	c.postMu.Lock()
	defer c.postMu.Unlock()
	ignored, err := c.advance(ctx, r, decoded, err)
	if ignored {
		return false
	}
	if err != nil {
		c.log.Warn().Err(err).Msg("list failure")
		c.post(rules.List{Scope: rules.Failed})
		return false
	}
	if !r.skipIfUnchanged || decoded.Full || len(decoded.Servers) > 0 {
		c.post(c.toRules(decoded))
	}
	return true
}

// advance sets the version to that of an answer. An answer older than the current version would undo newer changes, so it is
// a failure, after which the full list is requested. A full list may be older if no other answer came since the request.
func (c *Client) advance(ctx context.Context, r response, decoded answer, err error) (ignored bool, failure error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return true, nil
	}
	if err == nil && *decoded.Version < c.version && (!decoded.Full || c.version != r.requestedAt) {
		err = fmt.Errorf("the list went back from version %d to %d", c.version, *decoded.Version)
		c.hasVersion = false
	} else if err == nil {
		c.version, c.hasVersion, c.lastAnswerAt = *decoded.Version, true, time.Now()
	}
	c.watching = c.watching && err == nil
	return false, err
}
