package invariant

// Name identifies an invariant. Its String is the name in metrics and logs.
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

// Statement says what an invariant states, and what users see when it does not hold.
type Statement struct {
	Name   string
	Holds  string
	Breaks string
}

// Statements describes the invariants, by Name.
var Statements = [...]Statement{
	ViewNumberMonotonic: {"view_number_monotonic",
		"the view that a control-plane member has installed never gets a lower number",
		"a former head commits again: acknowledged configurations are lost"},
	CommittedSequenceMonotonic: {"committed_sequence_monotonic",
		"the register that a member holds to be committed never gets a lower sequence within an incarnation",
		"acknowledged commands are undone"},
	CommittedVersionMonotonic: {"committed_version_monotonic",
		"a register of a higher sequence never holds a lower configuration version",
		"an older configuration replaces a newer one everywhere"},
	AcknowledgedIsCommitted: {"acknowledged_is_committed",
		"a configuration is acknowledged only by a member whose committed register holds its version or a higher one",
		"an operator is told that a configuration holds which nobody has"},
	ReadCoversAcknowledged: {"read_covers_acknowledged",
		"a member answers a read with no version below one that it has acknowledged",
		"operators read an older configuration than the one they were told holds"},
	DeregistrationFinal: {"deregistration_final",
		"what is published of an instance never takes back that it drains or was deregistered",
		"requests go to a replica that was promised none"},
	WarmupGrantsWithinBudget: {"warmup_grants_within_budget",
		"the rates that a member grants its gateways for a replica that is warming up sum to no more than the member's share",
		"replicas that have just started are overloaded and fall over"},
	ConfigVersionMonotonic: {"config_version_monotonic",
		"the configuration version in force at a gateway never gets lower within an incarnation",
		"requests are routed as only an older configuration allows"},
	UnsafeRequestExecutedOnce: {"unsafe_request_executed_once",
		"a request that is not idempotent is sent again only after every earlier attempt was proven not executed",
		"an order is executed twice"},
	RejectionNotExecuted: {"rejection_not_executed",
		"408, 421, 429 and 503 are answered only where no attempt may have executed the request",
		"a client repeats an order that was executed"},
	EndpointAcceptsRequests: {"endpoint_accepts_requests",
		"no endpoint is picked that drains or whose zone is evacuated",
		"requests go to replicas that are about to end, or to a zone that is being emptied"},
	AttemptsWithinLimit: {"attempts_within_limit",
		"no request is sent to more replicas than its route allows",
		"retries multiply the load of a service that is in trouble"},
	ResponseMatchesRequest: {"response_matches_request",
		"a response that is passed on names the request that it answers, or came on a connection of its own",
		"a client gets another client's answer"},
}

func (n Name) String() string { return Statements[n].Name }
