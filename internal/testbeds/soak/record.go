package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
)

const recordFile = "record.json"

// RequestKind classifies the requests of clients.
type RequestKind string

// Request kinds.
const (
	SafeRequest   RequestKind = "safe"
	UnsafeRequest RequestKind = "unsafe"
	ProbeRequest  RequestKind = "probe" // for a path that is routed from configuration Version on

	// Requests to the sharded service.
	ShardSafeRequest   RequestKind = "shard_safe"
	ShardUnsafeRequest RequestKind = "shard_unsafe"
)

func (k RequestKind) isUnsafe() bool  { return k == UnsafeRequest || k == ShardUnsafeRequest }
func (k RequestKind) isSharded() bool { return k == ShardSafeRequest || k == ShardUnsafeRequest }

// Request is one request of a client. All times of a record are relative to the start of the run.
type Request struct {
	ID       string        `json:"id"`
	Gateway  string        `json:"gateway"`
	Kind     RequestKind   `json:"kind"`
	Version  uint64        `json:"version,omitempty"`
	Key      uint16        `json:"key,omitempty"`    // of a sharded request
	Reused   bool          `json:"reused,omitempty"` // sent on a connection on which a request was answered before
	SentAt   time.Duration `json:"sent_at"`
	EndedAt  time.Duration `json:"ended_at"`
	Status   int           `json:"status"` // 0: no complete response
	Body     string        `json:"body,omitempty"`
	Problem  string        `json:"problem,omitempty"` // why there is no complete response
	TimedOut bool          `json:"timed_out,omitempty"`
}

// Execution is one execution of a request, recorded by a fake replica.
type Execution struct {
	RequestID string        `json:"request_id"`
	Instance  string        `json:"instance"`
	At        time.Duration `json:"at"`
}

// Instance is one replica process from start to end. A time of 0 means that the event did not occur.
type Instance struct {
	ID             string        `json:"id"`
	Service        string        `json:"service"`
	Zone           string        `json:"zone"`
	AcknowledgedAt time.Duration `json:"acknowledged_at"` // its drain or deregistration
	AcknowledgedBy string        `json:"acknowledged_by"`
	Departure      string        `json:"leaves_by"` // drain or deregistration
	EndedAt        time.Duration `json:"ended_at"`
}

// OperationKind classifies the calls of operators.
type OperationKind string

// Operation kinds.
const (
	PutOperation      OperationKind = "put"
	ReadOperation     OperationKind = "read"
	EvacuateOperation OperationKind = "evacuate"
	RestoreOperation  OperationKind = "restore"
)

// Operation is one call of an operator to one member.
type Operation struct {
	Operator int           `json:"operator"`
	Kind     OperationKind `json:"kind"`
	Member   string        `json:"member"`
	Version  uint64        `json:"version,omitempty"` // written or read
	Zone     string        `json:"zone,omitempty"`
	Call     time.Duration `json:"call"`
	Return   time.Duration `json:"return"`
	Status   int           `json:"status"`            // 0: outcome unknown
	Altered  bool          `json:"altered,omitempty"` // the read configuration differs from the one written
}

// Acknowledged reports whether the operation was answered with success.
func (o Operation) Acknowledged() bool { return o.Status == 200 }

// FaultEvent is a fault as it was injected.
type FaultEvent struct {
	Fault
	BeganAt time.Duration `json:"began_at"`
	EndedAt time.Duration `json:"ended_at"`
	Problem string        `json:"problem,omitempty"` // why it could not be injected
}

// ProcessEvent is a state change of a daemon's process.
type ProcessEvent struct {
	Process string           `json:"process"`
	Event   ProcessEventKind `json:"event"`
	At      time.Duration    `json:"at"`
	Detail  string           `json:"detail,omitempty"`
}

// ProcessEventKind classifies state changes of a process.
type ProcessEventKind string

// Process event kinds.
const (
	ProcessStarted ProcessEventKind = "started"
	ProcessKilled  ProcessEventKind = "killed" // by a fault
	ProcessStopped ProcessEventKind = "stopped"
	ProcessEnded   ProcessEventKind = "ended" // exited on its own
	ProcessReady   ProcessEventKind = "ready"
)

// Finding is an internal fault that a daemon reported or showed: a violated invariant, a panic, a data race.
type Finding struct {
	Process string `json:"process"`
	Text    string `json:"text"`
}

// Record is everything observed in one run.
type Record struct {
	mu sync.Mutex

	Schedule      Schedule       `json:"schedule"`
	Size          Size           `json:"size"`
	Requests      []Request      `json:"requests"`
	Executions    []Execution    `json:"executions"`
	Instances     []*Instance    `json:"instances"`
	Operations    []Operation    `json:"operations"`
	Faults        []FaultEvent   `json:"faults"`
	Processes     []ProcessEvent `json:"processes"`
	Findings      []Finding      `json:"findings"`
	FaultsEndedAt time.Duration  `json:"faults_over"` // when the last fault had ended
	RecoveredAt   time.Duration  `json:"recovered"`   // when all gateways served again; 0: they did not
	EndedAt       time.Duration  `json:"ended_at"`

	ShardCalls      []shardreplica.Call      `json:"shard_calls"` // grants and releases, in the order of their effect on each replica
	ShardExecutions []shardreplica.Execution `json:"shard_executions"`
	Resumptions     []Resumption             `json:"resumptions"`
	Stalls          []Stall                  `json:"stalls"` // of the machine
	Silences        []Silence                `json:"silences"`
	UnservedKeys    []uint16                 `json:"unserved_keys"`  // sampled keys that were not served in time after the last fault
	KeysServedAt    time.Duration            `json:"keys_served_at"` // when each sampled key was served after the last fault
	TrafficFrom     time.Duration            `json:"traffic_from"`   // when each sampled key was served for the first time
}

// Resumption is the end of a fault during which calls from a member to a replica may have been held back.
type Resumption struct {
	Member   string        `json:"member"`             // empty: any
	Instance string        `json:"instance,omitempty"` // empty: any
	At       time.Duration `json:"at"`
}

// update calls modify while holding the record's lock.
func (r *Record) update(modify func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	modify(r)
}

// Write writes the record as JSON to a file in dir.
func (r *Record) Write(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return merry.Prepend(err, "encoding the record")
	}
	return merry.Prepend(os.WriteFile(filepath.Join(dir, recordFile), encoded, 0o600), "writing the record")
}
