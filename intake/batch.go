package intake

import (
	"sync"
	"time"

	"zincloft.example/zincloft/rules"
)

// Record aggregates a proxy's attempts at a replica.
type Record struct {
	Replica     rules.ReplicaID
	Attempts    int
	Dropped     int              // attempts without a successful response
	MeanLatency time.Duration    // of the successful attempts; 0: none
	Report      rules.LoadReport // the replica's last load report; Absent values if there is none
	ReportAge   time.Duration    // age of that report at the end of the window
}

// Batch is the content of a proxy's report message.
type Batch struct {
	Proxy           rules.ProxyID
	Sequence        uint32        // increases by one per batch of a stream; 0: not given
	SentAt          rules.Time    // by the sender's clock; 0: not given
	Age             time.Duration // time between the end of its window and sending, by the sender's clock
	Window          time.Duration // time span that its records cover
	ReceivedAt      rules.Time    // by the governor's clock
	Records         []Record
	UnknownReplicas int // number of omitted records of unknown replicas
}

var batches = sync.Pool{New: func() any { return new(Batch) }}

// NewBatch returns an empty Batch from a pool. Free returns it to the pool.
func NewBatch() *Batch { return batches.Get().(*Batch) }

// Free returns the Batch to the pool. It must not be used afterwards.
func (b *Batch) Free() {
	*b = Batch{Records: b.Records[:0]}
	batches.Put(b)
}
