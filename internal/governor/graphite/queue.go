package graphite

// chunk is a number of points, formatted.
type chunk struct {
	lines  []byte
	points int
}

// enqueue queues points. Where there is no room the oldest are dropped: the newest are of most use.
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

// dequeue returns the oldest chunk.
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

// requeue puts a chunk that was not sent back to the front. It is dropped where newer points have taken its room.
func (s *Sender) requeue(c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedPoints += c.points; s.queuedPoints > s.options.MaxQueuedPoints {
		s.countDropped(c.points)
		return
	}
	s.queue = append([]chunk{c}, s.queue...)
}

// countDropped takes points off the queue's count. The caller holds mu.
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
