package grantclient

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"zincloft.example/zincloft/controlplane/ownership"
)

const (
	logRate  = 5 // log lines per second for calls that were not accepted
	logBurst = 50

	maxLoggedBytes = 256 // of a replica's ID and of an error text

	kindCount    = int(ownership.CallRelease) + 1
	outcomeCount = int(ownership.CallNotTried) + 1
)

// kindNames and outcomeNames are the terms of metrics and logs. Index 0 is not used.
var (
	kindNames    = [kindCount]string{ownership.CallGrant: "grant", ownership.CallRelease: "release"}
	outcomeNames = [outcomeCount]string{
		ownership.CallNotSent:     "not_sent",
		ownership.CallUnanswered:  "unanswered",
		ownership.CallAccepted:    "accepted",
		ownership.CallFenced:      "fenced",
		ownership.CallMisdirected: "misdirected",
		ownership.CallRejected:    "rejected",
		ownership.CallNotTried:    "not_tried",
	}
)

func (c *Client) count(kind ownership.CallKind, outcome ownership.CallOutcome) {
	c.counts[kind][outcome].Add(1)
}

// WriteMetrics writes the client's metrics in the Prometheus text exposition format.
func (c *Client) WriteMetrics(w io.Writer) {
	for kind := 1; kind < kindCount; kind++ {
		for outcome := 1; outcome < outcomeCount; outcome++ {
			name := fmt.Sprintf("zincloft_controlplane_replica_calls_total{kind=%q,outcome=%q}", kindNames[kind], outcomeNames[outcome])
			metrics.WriteCounterUint64(w, name, c.counts[kind][outcome].Load())
		}
	}
	metrics.WriteGaugeUint64(w, "zincloft_controlplane_replica_connections", uint64(max(c.connections.Load(), 0)))
	metrics.WriteCounterUint64(w, "zincloft_controlplane_replica_connections_opened_total", c.opened.Load())
}

// failure is a call that was not accepted.
type failure struct {
	call   ownership.Call
	result ownership.CallResult
}

func (c *Client) logFailure(f *failure) {
	c.config.Logger.Info().Str("event", "replica_call_failed").Str("kind", kindNames[f.call.Kind]).Str("service", f.call.Service).
		Str("replica", shorten(f.call.Replica)).Int("from_key", int(f.call.From)).Int("to_key", int(f.call.To)).Uint64("token", f.call.Token).
		Str("outcome", outcomeNames[f.result.Outcome]).Str("error", shorten(f.result.Error)).Msg("call to a replica was not accepted")
}

// shorten limits a text that other processes control.
func shorten(text string) string { return text[:min(len(text), maxLoggedBytes)] }
