package coordinator

import (
	"errors"
	"net/http"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/peermessages"
)

// Message is a message between members about views and the replicated register. Exactly one field is set, except that a
// heartbeat in View is accompanied by CommitStatus.
type Message struct {
	View                *membership.Message             `cbor:"1,keyasint,omitempty"`
	Chain               *chainreplication.Message       `cbor:"2,keyasint,omitempty"`
	ProposeRequest      *peermessages.ProposeRequest    `cbor:"3,keyasint,omitempty"`
	ProposeResponse     *peermessages.ProposeResponse   `cbor:"4,keyasint,omitempty"`
	ConfirmViewRequest  *peermessages.ViewConfirmation  `cbor:"5,keyasint,omitempty"`
	ConfirmViewResponse *peermessages.ViewConfirmation  `cbor:"6,keyasint,omitempty"`
	CommitStatus        *peermessages.CommitStatus      `cbor:"7,keyasint,omitempty"`
	HintsPersisted      *peermessages.HintsConfirmation `cbor:"8,keyasint,omitempty"`
}

// Actions describes the work that the caller has to do after a call.
type Actions struct {
	// Messages are to be sent, in this order. They may be lost.
	Messages []Outbound

	// Responses complete proposals, reads and replications of this member's callers.
	Responses []Response

	// StateToPersist, if not nil, must be written to stable storage, after which the caller calls StatePersisted. At most
	// one write is requested at a time.
	StateToPersist []byte

	// RegisterCommitted reports that a new register was committed.
	RegisterCommitted bool

	// ViewInstalled reports that a new view was installed.
	ViewInstalled bool

	// DiskHealth, if not empty, is the new health of the disk: DiskHealthy or a description of the problem.
	DiskHealth string

	// ClockStallDetected reports that this machine was suspended together with its clock.
	ClockStallDetected bool
}

// Outbound is a message to be sent to the member at an address.
type Outbound struct {
	To      string
	Message Message
}

// Errors of proposals, reads and replications.
var (
	// ErrNoQuorum means that this member is not in contact with a quorum of the voters.
	ErrNoQuorum = errors.New("no contact with a quorum of the control plane")

	// ErrTimeout means that the request was not answered in time. A proposal that fails with it may still be committed.
	ErrTimeout = errors.New("the control plane did not answer in time")

	// ErrViewChanged means that the view changed during a read.
	ErrViewChanged = errors.New("the control plane's view has changed")

	// ErrNotInChain means that this member is not in the chain and knows no member to redirect the read to.
	ErrNotInChain = errors.New("not a member of the replication chain")

	// ErrConflict means that another configuration was committed under the proposed version.
	ErrConflict = errors.New("another configuration holds this version")

	// ErrNoConfiguration means that no configuration has been committed yet.
	ErrNoConfiguration = errors.New("no configuration is committed")
)

// RedirectError rejects a read on a member outside the chain and names a member that can answer it.
type RedirectError struct {
	Address string // the API address of that member
}

func (e *RedirectError) Error() string { return ErrNotInChain.Error() + "; ask " + e.Address }

// Unwrap makes errors.Is find ErrNotInChain.
func (e *RedirectError) Unwrap() error { return ErrNotInChain }

// Response completes a proposal, a read or a replication of hints.
type Response struct {
	RequestID uint64
	Err       error  // nil: the proposal is committed, the hints are persisted by a quorum, or Body answers the read
	Body      []byte // the committed configuration
}

// Status returns the HTTP status with which the control API reports the response.
func (r Response) Status() int {
	var redirect *RedirectError
	switch {
	case r.Err == nil:
		return http.StatusOK
	case errors.As(r.Err, &redirect):
		return http.StatusTemporaryRedirect
	case errors.Is(r.Err, ErrConflict):
		return http.StatusConflict
	case errors.Is(r.Err, ErrNoConfiguration):
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// Reason returns the error text, or the empty string if there is no error.
func (r Response) Reason() string {
	if r.Err == nil {
		return ""
	}
	return r.Err.Error()
}

// RedirectTo returns the API address to redirect the caller to, or the empty string if the response is not a redirect.
func (r Response) RedirectTo() string {
	var redirect *RedirectError
	if errors.As(r.Err, &redirect) {
		return redirect.Address
	}
	return ""
}
