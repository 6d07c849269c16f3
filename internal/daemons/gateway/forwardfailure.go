package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"zincloft.example/zincloft/internal/daemons/replica"
)

const (
	reasonNoEndpoint = "no_endpoint" // a retry was allowed but no endpoint was available
	reasonNotOwner   = "not_owner"   // the last attempt the route allows met a replica that did not hold the shard key

	unnamedInstance = "unnamed" // in place of the ID of an instance that does not state it
)

// reject answers a request that no replica has executed and records the failure.
func (f *forwarding) reject(w http.ResponseWriter, r *http.Request, rejected rejection) {
	f.checkRejection(rejected.status)
	if reason := rejected.reason(); reason != "" {
		f.reason = reason
	}
	if rejected.aborts {
		f.recordFailure(rejected.status, endedByClient)
	} else {
		f.recordFailure(rejected.status, endedByGateway)
	}
	f.outcomes.rejected.Inc()
	f.gateway.writeRejection(w, r, rejected)
}

// endedBy returns the party that ended a request without a replica's response.
func (f *forwarding) endedBy(r *http.Request) endedBy {
	switch {
	case r.Context().Err() != nil:
		return endedByClient
	case f.strongest.DeadlineExceeded:
		return endedByDeadline
	}
	return endedByGateway
}

// recordFailure records that the request failed with a status, or 0 if its connection is closed.
func (f *forwarding) recordFailure(status int, by endedBy) {
	f.recordNumber = f.gateway.recordFailure(f.record(status, by))
	f.recordedIn = &f.gateway.failures
}

// record describes the request for a failure record.
func (f *forwarding) record(status int, by endedBy) FailedRequest {
	record := FailedRequest{
		At:            time.Now(),
		AttemptID:     loggedID(f.request.AttemptID),
		Route:         f.route.Name,
		Service:       f.service,
		Idempotent:    f.route.Idempotent,
		Status:        status,
		EndedBy:       by,
		Reason:        f.reason,
		Timeout:       f.request.Deadline.Sub(f.arrivedAt),
		Duration:      time.Since(f.arrivedAt),
		ConfigVersion: f.configVersion,
		Attempts:      f.attemptRecords(),
	}
	if f.sharded {
		key := f.key
		record.ShardKey, record.OwnerToken = &key, f.ownerToken
	}
	return record
}

// attemptRecords returns the failed attempts, followed by the pending ones.
func (f *forwarding) attemptRecords() []AttemptRecord {
	records := make([]AttemptRecord, 0, len(f.attempted))
	endedEndpoints := make([]string, 0, len(f.failedAttempts))
	for _, result := range f.failedAttempts {
		endedEndpoints = append(endedEndpoints, result.picked.EndpointID)
		records = append(records, newAttemptRecord(result, f.arrivedAt, f.request.Deadline))
	}
	for _, endpoint := range f.attempted {
		if !slices.Contains(endedEndpoints, endpoint) {
			records = append(records, AttemptRecord{Endpoint: endpoint, Execution: executionPending})
		}
	}
	return records
}

// newAttemptRecord describes an attempt relative to the request's arrival and deadline.
func newAttemptRecord(result attemptResult, arrivedAt, deadline time.Time) AttemptRecord {
	record := AttemptRecord{
		Endpoint:         result.picked.EndpointID,
		Address:          result.picked.Addr,
		TableUpdate:      result.picked.tableUpdate,
		SentAfter:        result.sentAt.Sub(arrivedAt),
		Duration:         result.latency,
		Deadline:         deadline.Sub(result.sentAt),
		Execution:        result.Execution.String(),
		Cause:            result.Cause,
		OwnerToken:       result.picked.Token,
		KeyNotHeld:       result.NotOwner,
		ConnID:           result.ConnID,
		ConnRequestCount: result.ConnRequestCount,
	}
	if result.Response != nil {
		record.Status = result.Response.Status
		record.OtherInstance = otherInstance(result.Outcome)
	}
	return record
}

// otherInstance returns the ID of the instance that answered in place of the one that was meant, "unnamed" if the answer does not name
// it, and an empty ID if the answer is no such rejection.
func otherInstance(outcome replica.Outcome) string {
	if !isMisdirected(outcome) {
		return ""
	}
	if id := outcome.Response.Header.Get("X-Instance-Id"); id != "" {
		return loggedText(id, maxLoggedIDBytes)
	}
	return unnamedInstance
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }
