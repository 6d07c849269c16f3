package controlclient

import (
	"fmt"
	"net/http"
)

// maxUnclearRejections is how often a call must receive a 4xx status that the protocol page does not name until it ends.
const maxUnclearRejections = 3

// outcome is what a response means for a call.
type outcome int

const (
	accepted outcome = iota
	rejected         // for good
	retry
)

// classify returns what a status means that a call has received for the n-th time, counted from 1.
func classify(status, n int) outcome {
	switch {
	case status >= 200 && status < 300:
		return accepted
	case status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status >= 500:
		return retry
	case endsCall(status):
		return rejected
	case status >= 400 && n >= maxUnclearRejections:
		return rejected
	}
	return retry
}

// endsCall reports whether the protocol page names a status as one after which a call isn't repeated.
func endsCall(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// StatusError is a response other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, http.StatusText(e.Status), e.Body)
}

// RejectedError means that a member has rejected a call for good; it was not executed.
type RejectedError struct {
	Call string
	Err  *StatusError
}

func (e *RejectedError) Error() string { return e.Call + ": " + e.Err.Error() }

// Unwrap returns the member's response.
func (e *RejectedError) Unwrap() error { return e.Err }

// UnconfirmedError means that a call ended without a clear answer: it may have been executed. Err is what the last attempt
// met.
type UnconfirmedError struct {
	Call     string
	Attempts int
	Err      error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s: no clear answer after %d attempts; the last: %v", e.Call, e.Attempts, e.Err)
}

// Unwrap returns what the last attempt met.
func (e *UnconfirmedError) Unwrap() error { return e.Err }
