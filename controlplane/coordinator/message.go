package coordinator

import (
	"errors"
	"net/http"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/peermessages"
)

// Message is what members send to one another about the replicated register. Exactly one field is set, except that a
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

// Actions are what the caller of the Coordinator has to do after a call.
type Actions struct {
	// Messages are to be sent, in this order. They may be lost.
	Messages []Outbound

	// Responses end proposals, reads and replications of this member's callers.
	Responses []Response

	// StateToPersist, if not nil, is to be brought to stable storage; then StatePersisted is to be called. No second write is
	// asked for before that.
	StateToPersist []byte

	// RegisterCommitted reports that another register is committed.
	RegisterCommitted bool

	// ViewInstalled reports that another view was installed.
	ViewInstalled bool

	// DiskHealth, if not empty, is what the disk's health has changed to: DiskHealthy, or what is wrong with it.
	DiskHealth string

	// ClockStallDetected reports that this machine was suspended together with its clock.
	ClockStallDetected bool
}

// Outbound is a message for the member at an address.
type Outbound struct {
	To      string
	Message Message
}

// The reasons for which a proposal or a read is refused.
var (
	// ErrNoQuorum means that this member is not in contact with a quorum of the voters.
	ErrNoQuorum = errors.New("no contact with a quorum of the control plane")

	// ErrTimeout means that no answer was found in time. A proposal that ends so may still have been committed.
	ErrTimeout = errors.New("the control plane did not answer in time")

	// ErrViewChanged means that the view changed while a read was under way.
	ErrViewChanged = errors.New("the control plane's view has changed")

	// ErrNotInChain means that this member holds no replica, and knows of no member to redirect to.
	ErrNotInChain = errors.New("not a member of the replication chain")

	// ErrConflict means that another configuration was confirmed under the proposed version.
	ErrConflict = errors.New("another configuration holds this version")

	// ErrNoConfiguration means that no configuration has been committed yet.
	ErrNoConfiguration = errors.New("no configuration is committed")
)

// RedirectError refuses a read on a member outside the chain and names one that can answer it.
type RedirectError struct {
	Address string // the API address of that member
}

func (e *RedirectError) Error() string { return ErrNotInChain.Error() + "; ask " + e.Address }

// Unwrap makes errors.Is find ErrNotInChain.
func (e *RedirectError) Unwrap() error { return ErrNotInChain }

// Response ends a proposal, a read or a replication of hints.
type Response struct {
	RequestID uint64
	Err       error  // nil: the proposal is committed, the hints are on a quorum's disks, or Body answers the read
	Body      []byte // the committed configuration
}

// Status is the HTTP status that tells a caller of the control API about the response.
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

// Reason is the text of the error, or empty.
func (r Response) Reason() string {
	if r.Err == nil {
		return ""
	}
	return r.Err.Error()
}

// RedirectTo is the API address to which the caller is redirected. It is empty if the response is no redirection.
func (r Response) RedirectTo() string {
	var redirect *RedirectError
	if errors.As(r.Err, &redirect) {
		return redirect.Address
	}
	return ""
}
