package intake

import "strings"

// Cause is the reason why a record was kept or discarded.
type Cause int

// The causes under which records are counted.
const (
	Kept           Cause = iota
	SampledOut           // over the budget; represented by sampled records
	Repeated             // duplicate
	TooLate              // so far behind later batches that duplicates cannot be detected
	TooOld               // older than Settings.MaxAge
	OverQuota            // over the sender's quota
	NotJoined            // the record is from a proxy that has not joined
	Superseded           // statistics of collectors, if statistics are derived from records
	PairsEvicted         // pairs evicted, or not added, for lack of space
	PairsOmitted         // pairs omitted from a period's evidence by its limit
	InFuture             // timestamp in the future
	Impossible           // value out of range
	UnknownReplica       // for an unknown replica
	LostBatches          // missing batches, by sequence number
	causeCount
)

var causeNames = [causeCount]string{"kept", "sampled out", "repeated", "too late", "too old", "flooded", "not joined",
	"superseded", "pairs full", "evidence full", "of the future", "impossible", "unknown replica", "lost batches"}

func (c Cause) String() string { return causeNames[c] }

// PathName returns the cause's name for a metric path, without spaces.
func (c Cause) PathName() string { return strings.ReplaceAll(causeNames[c], " ", "_") }

// Counts are numbers of records by Cause.
type Counts [causeCount]int
