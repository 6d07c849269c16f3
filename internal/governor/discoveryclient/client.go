// Package discoveryclient is the client of discovery: it requests the endpoint list, follows its changes, and keeps the
// numbers by which the rules know replicas.
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

// Client requests the endpoint list when it is told to and posts each answer as an event. Its methods may be called
// concurrently, but for LoadKnown and Restore, which come before all others.
type Client struct {
	nameTable
	zones, kinds []string
	bounds       config.Bounds
	log          zerolog.Logger
	post         func(rules.List)
	ctx          context.Context
	dial         dialFunc
	running      sync.WaitGroup // requests and watches

	postMu       sync.Mutex         // held while an answer is taken in and posted, so that posts keep the order of versions
	mu           sync.Mutex         // guards the following; never held while posting, as post may wait for a caller of Watch
	endpoint     *endpoint          // at the current address
	version      Version            // of the list as last posted
	hasVersion   bool               // changes since version can be requested
	lastAnswerAt time.Time          // of a valid answer; zero: none yet
	watching     bool               // a watch is wanted and has not failed
	stopWatch    context.CancelFunc // of the current watch
}

// New returns a Client whose calls end with ctx. It calls nobody before Watch or Fetch. Answers, and failures too, go to
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

// LoadCachedList takes the list that the configuration brings as the current one and returns it. Without it, or Restore, the
// first request is for the full list.
func (c *Client) LoadCachedList(text []byte) (rules.List, error) {
	known, err := decodeAnswer(text)
	if err != nil {
		return rules.List{}, fmt.Errorf("known: %w", err)
	}
	c.version, c.hasVersion = *known.Version, true
	list := c.toRules(known)
	list.Scope = rules.Cached
	return list, nil
}

// Restore takes over what the previous process has kept: the replicas' numbers, and the version whose changes are
// requested.
func (c *Client) Restore(state recovery.State) {
	for _, replica := range state.Replicas {
		c.restoreID(replica.Name, replica.Entry.Replica)
	}
	c.reserveBelow(state.NextReplicaID)
	c.version, c.hasVersion = Version(state.Version), true
}

// ListStatus returns the version of the list as last posted, and the time of the last valid answer, zero if there was none.
func (c *Client) ListStatus() (Version, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.lastAnswerAt
}

// Watch begins to follow changes of the list, in place of any earlier watch, or ends that.
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

// SetAddress changes the address of discovery at once. Requests to the previous address are abandoned; a watch goes on at
// the new one from the current version, so that no change in between is missed.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoint.close()
	c.endpoint = newEndpoint(c.ctx, address, c.bounds.MaxDiscoveryBytes, c.dial)
	if c.watching {
		c.setWatch(true)
	}
}

// Fetch requests the full list once, and again where the address changes meanwhile. It does not wait for the answer.
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

// Wait returns when all requests have ended, which they do after the context of New has.
func (c *Client) Wait() { c.running.Wait() }

// watchLoop requests what was missed, then makes one blocking request after the other until one fails or ctx ends. The
// first answer is posted even if it holds no change, as it answers the order to watch.
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

// current returns the version as last posted, whether there is one, and the endpoint at the current address.
func (c *Client) current() (Version, bool, *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.hasVersion, c.endpoint
}

// response is the outcome of one request.
type response struct {
	body            []byte
	err             error
	requestedAt     Version // the version that was current when the request was made
	skipIfUnchanged bool    // an answer without changes is not posted
}

// handleAnswer takes in the outcome of a request and posts it, and reports whether it was valid. The outcome of a request
// whose context has ended is ignored: an earlier watch is ended with mu held, so nothing of it can follow.
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

// advance moves the version to that of an answer. An answer that is older than what has come since would undo it, and so
// would changes on top of it: both are failures, after which the full list is requested.
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
