package simulation

import "time"

// Durations of disk operations.
const (
	diskOperationTime  = 50 * time.Microsecond
	minSyncTime        = 500 * time.Microsecond
	meanExtraSyncTime  = time.Millisecond // in addition to minSyncTime
	diskStallPoll      = 5 * time.Millisecond
	unsyncedReportTime = 100 * time.Microsecond // with the planted bug AcknowledgeBeforeSync
)

// persist has a member's store write its state and applies the disk operations. Pending operations of an earlier write
// are dropped.
func (c *cluster) persist(m *member, raw []byte, done func(problem string)) {
	c.history.persist(c, m, raw)
	m.disk.pending = nil
	err := m.store.Put(map[string][]byte{stateKey: raw})
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if c.hasBug(AcknowledgeBeforeSync) {
		incarnation := m.incarnation
		c.after(unsyncedReportTime, func() { c.runOn(&m.process, incarnation, func() { done(problem) }) })
		c.runDiskOperations(m, nil)
		return
	}
	c.runDiskOperations(m, func() { done(problem) })
}

// runDiskOperations applies a member's pending disk operations one after the other, and then calls done unless it is
// nil.
func (c *cluster) runDiskOperations(m *member, done func()) {
	c.runNextDiskOperation(m, m.incarnation, done)
}

func (c *cluster) runNextDiskOperation(m *member, incarnation int, done func()) {
	next := func() { c.runNextDiskOperation(m, incarnation, done) }
	switch {
	case !m.up || m.incarnation != incarnation:
	case len(m.disk.pending) == 0:
		if done != nil {
			c.runOn(&m.process, incarnation, done)
		}
	case m.disk.stalled:
		c.after(diskStallPoll, next)
	default:
		operation := m.disk.pending[0]
		c.after(c.diskTime(operation), func() {
			if m.up && m.incarnation == incarnation && len(m.disk.pending) > 0 {
				m.disk.pending = m.disk.pending[1:]
				m.disk.apply(operation)
				c.history.operation(c, m, operation)
				next()
			}
		})
	}
}

func (c *cluster) diskTime(operation diskOperation) time.Duration {
	if !operation.isSync() {
		return diskOperationTime
	}
	return minSyncTime + time.Duration(c.random.ExpFloat64()*float64(meanExtraSyncTime))
}
