package intake

import (
	"sync"
	"time"

	"zincloft.example/zincloft/rules"
)

// Record sums up a proxy's attempts at a replica.
type Record struct {
	Replica     rules.ReplicaID
	Attempts    int
	Dropped     int              // attempts without a successful response
	MeanLatency time.Duration    // of the successful ones; 0: none
	Report      rules.LoadReport // the replica's last load report; Absent values where there is none
	ReportAge   time.Duration    // from the receipt of that report to the end of the window
}

// Batch is the content of one report message of a proxy.
type Batch struct {
	Proxy           rules.ProxyID
	Sequence        uint32        // rises by one from batch to batch of a stream; 0: not given
	SentAt          rules.Time    // by the sender's clock; 0: not given
	Age             time.Duration // from the end of its window until it was sent, by the sender
	Window          time.Duration // that its records cover
	ReceivedAt      rules.Time    // by the governor's clock
	Records         []Record
	UnknownReplicas int // records of unknown replicas, which are left out
}

var batches = sync.Pool{New: func() any { return new(Batch) }}

// NewBatch returns an empty Batch from a pool, to which Free returns it.
func NewBatch() *Batch { return batches.Get().(*Batch) }

// Free returns a Batch to the pool. It must not be used after that.
func (b *Batch) Free() {
	*b = Batch{Records: b.Records[:0]}
	batches.Put(b)
}
