package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Messages that are delivered again after they were answered: the network may deliver a copy of a direct call or of a
// transaction once more, within milliseconds or minutes.

// messageRepeats determines which messages are delivered again. It has a random source of its own, so that the other
// message faults of a seed do not depend on it.
type messageRepeats struct {
	rnd    *rand.Rand
	calls  float64 // fraction of the executed direct calls of which copies arrive
	writes float64 // fraction of the executed transactions of which a copy arrives
}

// maxRepeats is the maximum number of copies of a message.
const maxRepeats = 3

// repeatDelays are the ranges from which the delay of a copy is drawn.
var repeatDelays = [][2]emulator.Micros{
	{tick, emulator.Second},
	{emulator.Second, 10 * emulator.Second},
	{10 * emulator.Second, 120 * emulator.Second},
}

// draw draws the delays of the copies of a message; there are none for most messages.
func (r *messageRepeats) draw(fraction float64) []emulator.Micros {
	if fraction == 0 || r.rnd.Float64() >= fraction {
		return nil
	}
	delays := make([]emulator.Micros, 1+r.rnd.IntN(maxRepeats))
	for i := range delays {
		between := repeatDelays[r.rnd.IntN(len(repeatDelays))]
		delays[i] = drawTicks(r.rnd, between[0], between[1])
	}
	return delays
}

// executedCall is a direct call that its worker has executed.
type executedCall struct {
	machine string
	request wire.CommandRequest
}

// noteExecutedCall keeps a call for repeatCalls, and schedules the copies of it that the message faults draw.
func (s *Sim) noteExecutedCall(call executedCall) {
	s.executedCalls = appendBounded(s.executedCalls, call, maxCopies)
	if s.messageFaults != nil {
		s.scheduleRepeats(s.messageFaults.repeats.calls, func() { s.repeatCall(call) })
	}
}

// appendBounded appends an element and drops the oldest beyond a maximum number.
func appendBounded[T any](kept []T, x T, most int) []T {
	kept = append(kept, x)
	return slices.Delete(kept, 0, max(0, len(kept)-most))
}

// scheduleRepeats schedules the copies of a message that the message faults draw, given the fraction of the messages of
// its kind that are repeated.
func (s *Sim) scheduleRepeats(fraction float64, deliver func()) {
	for _, after := range s.messageFaults.repeats.draw(fraction) {
		s.schedule(after, deliver)
	}
}

// repeatCall delivers a copy of a call, which must start no task. The worker's answer is discarded.
func (s *Sim) repeatCall(call executedCall) {
	s.commandLate(call.machine, func() (int, wire.Heartbeat) {
		before := s.starts()
		status, heartbeat := s.env.Commands(s.now, s.env.Machines[call.machine], call.request)
		if s.starts() > before {
			s.env.Violations = append(s.env.Violations,
				fmt.Sprintf("%.1fs copy_started %v on %s", float64(s.now)/1e6, call.request.Commands, call.machine))
		}
		return status, heartbeat
	})
}

// starts returns how often tasks have been started.
func (s *Sim) starts() int {
	n := 0
	for _, j := range s.env.Jobs {
		n += j.Starts
	}
	return n
}

// repeatCalls delivers a copy of every call that was executed so far.
func (s *Sim) repeatCalls() {
	for _, call := range s.executedCalls {
		s.repeatCall(call)
	}
}

// maxWriteCopies bounds the number of transactions that are kept.
const maxWriteCopies = 1000

// noteExecutedWrite keeps a transaction for repeatWrites, and schedules the copies of it that the message faults draw.
func (s *Sim) noteExecutedWrite(t wire.Transaction) {
	if len(t.Changes) == 0 {
		return
	}
	s.executedWrites = appendBounded(s.executedWrites, t, maxWriteCopies)
	if s.messageFaults != nil {
		s.scheduleRepeats(s.messageFaults.repeats.writes, func() { s.commitLate(t) })
	}
}

// repeatWrites executes a copy of every transaction that was executed so far, the oldest last.
func (s *Sim) repeatWrites() {
	for _, t := range slices.Backward(s.executedWrites) {
		s.commitLate(t)
	}
}
