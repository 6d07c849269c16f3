package graphite

// chunk is a sequence of formatted points.
type chunk struct {
	lines  []byte
	points int
}

// enqueue queues points. If there is no room, the oldest points are dropped.
func (s *Sender) enqueue(lines []byte, points int) {
	s.mu.Lock()
	s.queue = append(s.queue, chunk{lines, points})
	s.queuedPoints += points
	for s.queuedPoints > s.options.MaxQueuedPoints && len(s.queue) > 0 {
		s.countDropped(s.queue[0].points)
		s.queue[0] = chunk{}
		s.queue = s.queue[1:]
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns the oldest chunk.
func (s *Sender) dequeue() (oldest chunk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return chunk{}, false
	}
	oldest = s.queue[0]
	s.queue = s.queue[1:]
	s.queuedPoints -= oldest.points
	return oldest, true
}

// requeue puts a chunk that could not be sent back at the front of the queue, or drops it if newer points have taken its
// room.
func (s *Sender) requeue(c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedPoints += c.points; s.queuedPoints > s.options.MaxQueuedPoints {
		s.countDropped(c.points)
		return
	}
	s.queue = append([]chunk{c}, s.queue...)
}

// countDropped subtracts dropped points from the queue's count. The caller holds mu.
func (s *Sender) countDropped(points int) {
	s.queuedPoints -= points
	s.stats.Dropped += points
}

func (s *Sender) countSent(points int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Sent += points
}

func (s *Sender) countFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Failures++
}
