package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// recordFile is the file of a run's record, in its folder.
const recordFile = "record.json"

// RequestKind says what a client's request was for.
type RequestKind string

// The kinds of requests.
const (
	SafeRequest   RequestKind = "safe"
	UnsafeRequest RequestKind = "unsafe"
	ProbeRequest  RequestKind = "probe" // for a path that only configurations from Version on route
)

// Request is one request of a client. Times count from the run's begin.
type Request struct {
	ID       string        `json:"id"`
	Gateway  string        `json:"gateway"`
	Kind     RequestKind   `json:"kind"`
	Version  uint64        `json:"version,omitempty"`
	SentAt   time.Duration `json:"sent_at"`
	EndedAt  time.Duration `json:"ended_at"`
	Status   int           `json:"status"` // 0: no complete answer
	Body     string        `json:"body,omitempty"`
	Problem  string        `json:"problem,omitempty"` // why there is no complete answer
	TimedOut bool          `json:"timed_out,omitempty"`
}

// Execution is one execution of a request that a stand-in replica noted.
type Execution struct {
	RequestID string        `json:"request_id"`
	Instance  string        `json:"instance"`
	At        time.Duration `json:"at"`
}

// Instance is one life of a replica. A time of 0 means that it did not happen.
type Instance struct {
	ID             string        `json:"id"`
	Service        string        `json:"service"`
	Zone           string        `json:"zone"`
	AcknowledgedAt time.Duration `json:"acknowledged_at"` // of its drain or deregistration, whichever came first
	AcknowledgedBy string        `json:"acknowledged_by"`
	Departure      string        `json:"leaves_by"` // drain or deregistration
	EndedAt        time.Duration `json:"ended_at"`
}

// OperationKind says what an operator asked for.
type OperationKind string

// The kinds of operations.
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
	Version  uint64        `json:"version,omitempty"` // put, or read
	Zone     string        `json:"zone,omitempty"`
	Call     time.Duration `json:"call"`
	Return   time.Duration `json:"return"`
	Status   int           `json:"status"` // 0: no clear answer
	Altered  bool          `json:"altered,omitempty"`
}

// Acknowledged tells whether the operation was answered with success.
func (o Operation) Acknowledged() bool { return o.Status == 200 }

// FaultEvent is a fault as it was carried out.
type FaultEvent struct {
	Fault
	BeganAt time.Duration `json:"began_at"`
	EndedAt time.Duration `json:"ended_at"`
	Problem string        `json:"problem,omitempty"` // why it could not be carried out
}

// ProcessEvent is the start or the end of a daemon.
type ProcessEvent struct {
	Process string           `json:"process"`
	Event   ProcessEventKind `json:"event"`
	At      time.Duration    `json:"at"`
	Detail  string           `json:"detail,omitempty"`
}

// ProcessEventKind says what became of a process.
type ProcessEventKind string

// The changes of processes.
const (
	ProcessStarted ProcessEventKind = "started"
	ProcessKilled  ProcessEventKind = "killed" // by the run
	ProcessStopped ProcessEventKind = "stopped"
	ProcessEnded   ProcessEventKind = "ended" // by itself
	ProcessReady   ProcessEventKind = "ready"
)

// Finding is what a daemon itself tells that should not be: a violated invariant, a panic, a data race.
type Finding struct {
	Process string `json:"process"`
	Text    string `json:"text"`
}

// Record is all that was seen in one run.
type Record struct {
	mu sync.Mutex

	Schedule      Schedule       `json:"schedule"`
	Requests      []Request      `json:"requests"`
	Executions    []Execution    `json:"executions"`
	Instances     []*Instance    `json:"instances"`
	Operations    []Operation    `json:"operations"`
	Faults        []FaultEvent   `json:"faults"`
	Processes     []ProcessEvent `json:"processes"`
	Findings      []Finding      `json:"findings"`
	FaultsEndedAt time.Duration  `json:"faults_over"` // when the last fault had ended
	RecoveredAt   time.Duration  `json:"recovered"`   // when all gateways served again after it; 0: they did not
	EndedAt       time.Duration  `json:"ended_at"`
}

// change changes the record under its lock.
func (r *Record) change(do func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(r)
}

// Write writes the record to its file in a folder.
func (r *Record) Write(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return merry.Prepend(err, "encoding the record")
	}
	return merry.Prepend(os.WriteFile(filepath.Join(dir, recordFile), encoded, 0o600), "writing the record")
}
