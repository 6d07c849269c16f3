package intake

import (
	"strings"
)

// Cause is why records were kept or not. Causes are a fixed set, which no peer can extend.
type Cause int

// The causes under which records are counted.
const (
	Kept           Cause = iota
	SampledOut           // over the budget; those kept stand for them
	Repeated             // received before
	TooLate              // so far behind later ones that it is unknown whether it was received before
	TooOld               // older than Settings.MaxAge
	OverQuota            // over the sender's quota
	NotJoined            // of a proxy that has left, or never joined
	Superseded           // statistics of collectors, where records make the statistics
	PairsEvicted         // pairs evicted for ones with more evidence
	PairsOmitted         // pairs omitted from a period's evidence for want of room
	InFuture             // of the future, by the sender's clock
	Impossible           // values that no load can have
	UnknownReplica       // of replicas that are not known
	LostBatches          // batches that never came, by the sequence numbers of those that did
	causeCount
)

var causeNames = [causeCount]string{"kept", "sampled out", "repeated", "too late", "too old", "flooded", "not joined",
	"superseded", "pairs full", "evidence full", "of the future", "impossible", "unknown replica", "lost batches"}

// String returns a cause's name.
func (c Cause) String() string { return causeNames[c] }

// PathName returns a cause's name as one word, for a metric's path.
func (c Cause) PathName() string { return strings.ReplaceAll(causeNames[c], " ", "_") }

// Counts are records by cause.
type Counts [causeCount]int
