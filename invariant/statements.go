package invariant

// Name identifies an invariant. Its String is used in metrics and logs.
type Name int

// The invariants, in the order of Statements.
const (
	ViewNumberMonotonic Name = iota
	CommittedSequenceMonotonic
	CommittedVersionMonotonic
	AcknowledgedIsCommitted
	ReadCoversAcknowledged
	DeregistrationFinal
	WarmupGrantsWithinBudget
	ConfigVersionMonotonic
	UnsafeRequestExecutedOnce
	RejectionNotExecuted
	EndpointAcceptsRequests
	AttemptsWithinLimit
	ResponseMatchesRequest
)

// Statement describes an invariant.
type Statement struct {
	Name   string
	Holds  string // the condition
	Breaks string // the effect of a violation on users
}

// Statements describes the invariants by Name.
var Statements = [...]Statement{
	ViewNumberMonotonic: {"view_number_monotonic",
		"the number of the view that a control-plane member has installed never decreases",
		"a former head commits again: acknowledged configurations are lost"},
	CommittedSequenceMonotonic: {"committed_sequence_monotonic",
		"the sequence of a member's committed register never decreases within an incarnation",
		"acknowledged commands are undone"},
	CommittedVersionMonotonic: {"committed_version_monotonic",
		"a register with a higher sequence never has a lower configuration version",
		"an older configuration replaces a newer one everywhere"},
	AcknowledgedIsCommitted: {"acknowledged_is_committed",
		"a member acknowledges a configuration only if its committed register has that version or a higher one",
		"a configuration is acknowledged to an operator although it is not in force"},
	ReadCoversAcknowledged: {"read_covers_acknowledged",
		"a member never answers a read with a version below one that it has acknowledged",
		"operators read an older configuration than the acknowledged one"},
	DeregistrationFinal: {"deregistration_final",
		"once an instance is published as draining or deregistered, this is never withdrawn",
		"requests are sent to a replica that is shutting down"},
	WarmupGrantsWithinBudget: {"warmup_grants_within_budget",
		"the rates that a member grants its gateways for a replica in warm-up add up to at most the member's share",
		"replicas in warm-up are overloaded and fail"},
	ConfigVersionMonotonic: {"config_version_monotonic",
		"the configuration version in force at a gateway never decreases within an incarnation",
		"requests are routed by an outdated configuration"},
	UnsafeRequestExecutedOnce: {"unsafe_request_executed_once",
		"a request that is not idempotent is sent again only after every earlier attempt was proven not executed",
		"an order is executed twice"},
	RejectionNotExecuted: {"rejection_not_executed",
		"a gateway responds with 408, 421, 429 or 503 only if no attempt can have executed the request",
		"a client repeats an order that was executed"},
	EndpointAcceptsRequests: {"endpoint_accepts_requests",
		"no endpoint is selected that is draining or whose zone is evacuated",
		"requests are sent to replicas that are shutting down, or to a zone that is being evacuated"},
	AttemptsWithinLimit: {"attempts_within_limit",
		"no request is sent to more replicas than its route allows",
		"retries multiply the load of a failing service"},
	ResponseMatchesRequest: {"response_matches_request",
		"a forwarded response identifies its request, or was received on a connection used for no other request",
		"a client receives another client's response"},
}

func (n Name) String() string { return Statements[n].Name }
