package scalerun

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// callTimeout bounds an operator's call.
const callTimeout = 30 * time.Second

// send sends a request and returns the status and the body of the response.
func send(request *http.Request) (int, []byte, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // nothing is left to be read
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// call makes an operator's call.
func call(ctx context.Context, controlAddress, name string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controlAddress+"/api/rpc?call="+name, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	return send(request)
}

// coreStatus is what is looked at in the answer to core.describe.
type coreStatus struct {
	Self    string
	InTouch bool `json:"in_touch"`
	Members []struct {
		ID    string
		Place int
		Fresh bool
	}
}

// memberReady tells whether a member is in contact with a quorum and holds a complete state.
func memberReady(ctx context.Context, controlAddress string) bool {
	status, body, err := call(ctx, controlAddress, "core.describe", nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	var described coreStatus
	if json.Unmarshal(body, &described) != nil || !described.InTouch {
		return false
	}
	for _, member := range described.Members {
		if member.ID == described.Self {
			return member.Place >= 0 && !member.Fresh
		}
	}
	return false
}

// gatewayReady tells whether a real gateway accepts requests.
func gatewayReady(ctx context.Context, readinessAddress string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+readinessAddress+"/api/readiness", nil)
	if err != nil {
		return false
	}
	status, _, err := send(request)
	return err == nil && status == http.StatusOK
}
