package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	silence      = time.Second // after which a caller goes on to another member
	firstPause   = 100 * time.Millisecond
	callDeadline = 5 * time.Second // ack_deadline: for so long a call may be sent again
)

// errNotAcknowledged is returned for a call that no member has acknowledged in time.
var errNotAcknowledged = errors.New("not acknowledged")

// caller is a caller of the control interface, as the pages describe it: it goes on to another member after a failure, a 5xx or a
// second of silence, with a pause that grows.
type caller struct {
	record    *record           // nil to record nothing
	transport http.RoundTripper // keeps connections
}

func newCaller(record *record) caller {
	return caller{record: record, transport: &http.Transport{IdleConnTimeout: 20 * time.Second}}
}

// call sends a call to the addresses in turn until one acknowledges it. It returns the time of the acknowledgement.
func (c caller) call(name, target string, body []byte, addresses ...string) (acknowledged time.Duration, err error) {
	pause := firstPause
	end := time.Now().Add(callDeadline)
	for i := 0; time.Now().Before(end); i++ {
		address := addresses[i%len(addresses)]
		c.write("operator sends %s %s to %s", name, target, address)
		status, err := c.attempt(address, name, target, body)
		if err == nil && status/100 == 2 {
			c.write("operator gets %d for %s %s from %s", status, name, target, address)
			if c.record != nil {
				acknowledged = c.record.now()
			}
			return acknowledged, nil
		}
		c.write("operator gets %d (%v) for %s %s from %s", status, err, name, target, address)
		time.Sleep(pause)
		pause *= 2
	}
	return 0, fmt.Errorf("%s %s: %w", name, target, errNotAcknowledged)
}

func (c caller) write(format string, arguments ...any) {
	if c.record != nil {
		c.record.write(format, arguments...)
	}
}

// attempt sends a call to one member. It closes the connection after a second of silence.
func (c caller) attempt(address, name, target string, body []byte) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), silence)
	defer cancel()
	where := "http://" + address + "/api/rpc?" + url.Values{"call": {name}, "of": {target}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, where, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close() // it has been read
	return response.StatusCode, err
}
