package controlclient

import (
	"fmt"
	"net/http"
)

// maxUnlistedRejections is the number of responses with the same 4xx status, of those for which the protocol does not define whether
// to retry, after which a call is considered rejected.
const maxUnlistedRejections = 3

// outcome is the effect of a response on a call.
type outcome int

const (
	accepted outcome = iota
	rejected         // not retried
	retry
)

// classify returns the outcome of a status that a call has received for the n-th time, counting from 1.
func classify(status, n int) outcome {
	switch {
	case status >= 200 && status < 300:
		return accepted
	case status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status >= 500:
		return retry
	case isRejection(status):
		return rejected
	case status >= 400 && n >= maxUnlistedRejections:
		return rejected
	}
	return retry
}

// isRejection reports whether the protocol defines a status as a final rejection.
func isRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, http.StatusText(e.Status), e.Body)
}

// RejectedError means that a member rejected a call without executing it, and that the call must not be retried.
type RejectedError struct {
	Call string
	Err  *StatusError
}

func (e *RejectedError) Error() string { return e.Call + ": " + e.Err.Error() }

// Unwrap returns the member's response.
func (e *RejectedError) Unwrap() error { return e.Err }

// UnconfirmedError means that the context was done before a member accepted or rejected the call. The call may have been executed.
// Err is the error of the last attempt.
type UnconfirmedError struct {
	Call     string
	Attempts int
	Err      error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s: unconfirmed after %d attempts; last error: %v", e.Call, e.Attempts, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UnconfirmedError) Unwrap() error { return e.Err }
