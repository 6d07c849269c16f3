package shardreplica

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

// SendHeartbeats registers the replica at a control-plane member at regular intervals until ctx is done. A failed heartbeat is not
// retried; the next one takes its place.
func (r *Replica) SendHeartbeats(ctx context.Context, controlAddress string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		r.sendHeartbeat(ctx, controlAddress, sequence)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Replica) sendHeartbeat(ctx context.Context, controlAddress string, sequence uint64) {
	body, err := json.Marshal(upstream.NewHeartbeat(r.options.Service, r.Addr(), r.options.Zone, r.options.Slots, sequence))
	if err != nil {
		return
	}
	query := url.Values{"call": {"instances.heartbeat"}, "of": {r.ID}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controlAddress+"/api/rpc?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	_, _ = io.Copy(io.Discard, response.Body)    // drained, so that the connection can be reused
}
