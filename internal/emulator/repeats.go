package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"coralhub/wire"
)

// Repeats describes which executed messages are delivered again after their answer.
type Repeats struct {
	Share  float64 // fraction of the messages, between 0 and 1
	Copies int     // number of copies of each
}

// minCopyDelay and maxCopyDelay bound the delay of a copy of a message. Delays are distributed evenly on a logarithmic
// scale.
const (
	minCopyDelay = time.Millisecond
	maxCopyDelay = 2 * time.Minute
)

// delays draws the delays of the copies of a message.
func (r Repeats) delays() []time.Duration {
	if rand.Float64() >= r.Share {
		return nil
	}
	delays := make([]time.Duration, r.Copies)
	for i := range delays {
		span := math.Pow(float64(maxCopyDelay)/float64(minCopyDelay), rand.Float64())
		delays[i] = time.Duration(float64(minCopyDelay) * span)
	}
	return delays
}

// RepeatCalls makes copies of executed direct calls reach the workers again. The zero value ends that for later calls.
func (s *Servers) RepeatCalls(r Repeats) { s.WithLock(func() { s.callRepeats = r }) }

// RepeatWrites makes the state service execute copies of executed transactions again. The zero value ends that for
// later transactions.
func (s *Servers) RepeatWrites(r Repeats) { s.WithLock(func() { s.writeRepeats = r }) }

// scheduleCallCopies schedules the copies of a direct call that a worker has executed. s.mu must be held.
func (s *Servers) scheduleCallCopies(machine string, request wire.CommandRequest) {
	for _, delay := range s.callRepeats.delays() {
		time.AfterFunc(delay, func() { s.deliverCallCopy(machine, request) })
	}
}

// deliverCallCopy delivers a copy of a call once its machine does not hang. The copy is lost with the machine, or if
// messages to it are lost.
func (s *Servers) deliverCallCopy(machine string, request wire.CommandRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.Environment.Machines[machine]
	switch {
	case m == nil || m.InboundLost == inboundDrop:
	case !m.reachable(s.Now()):
		time.AfterFunc(unreachablePollInterval, func() { s.deliverCallCopy(machine, request) })
	default:
		s.Environment.Commands(s.Now(), m, request)
	}
}

// scheduleWriteCopies schedules the copies of a transaction that was executed. s.mu must be held.
func (s *Servers) scheduleWriteCopies(t wire.Transaction) {
	if len(t.Changes) == 0 {
		return
	}
	for _, delay := range s.writeRepeats.delays() {
		time.AfterFunc(delay, func() {
			s.WithLock(func() {
				if !s.State.Down {
					s.State.Commit(t)
					s.wakeWatches()
				}
			})
		})
	}
}
