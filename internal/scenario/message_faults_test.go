package scenario

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// messageFaults delays and loses messages: fractions of them by kind. Without it the runner
// delivers everything at once; with it, up to well over a lease later.
type messageFaults struct {
	rnd *rand.Rand

	lateWrites     float64 // transactions carried out 2 to 12 s later, without an answer
	lostWrites     float64 // transactions carried out at once, without an answer
	slowWrites     float64 // transactions carried out at once, answered up to 2 s later
	slowCommits    float64 // transactions carried out and checked up to 2 s later, and answered then
	slowWatch      float64 // results of listings and watches that arrive up to 2 s later
	lateCopies     float64 // heartbeats of which a copy arrives 2 s to three leases later, at any node
	slowHeartbeats float64 // heartbeats that take up to 6 s, together with the answer
	slowBatches    float64 // answers to heartbeat batches that arrive up to 2 s later
	lateCommands   float64 // direct commands carried out 1 to 9 s later, without an answer
	lostCommands   float64 // direct commands carried out at once, without an answer
}

// messageFaultsArg returns the faults that a command names.
func messageFaultsArg(t *testing.T, d *datadriven.TestData) *messageFaults {
	t.Helper()
	seed := uint64(1)
	f := &messageFaults{}
	d.MaybeScanArgs(t, "seed", &seed)
	f.rnd = rand.New(rand.NewPCG(seed, 4711))
	for name, fraction := range map[string]*float64{
		"late_writes":  &f.lateWrites,
		"lost_writes":  &f.lostWrites,
		"slow_writes":  &f.slowWrites,
		"slow_there":   &f.slowCommits,
		"slow_watch":   &f.slowWatch,
		"late_copies":  &f.lateCopies,
		"slow_reports": &f.slowHeartbeats,
		"slow_beats":   &f.slowBatches,
		"held_calls":   &f.lateCommands,
		"lost_calls":   &f.lostCommands,
	} {
		*fraction = fractionArg(t, d, name)
	}
	return f
}

const (
	stateTimeout     = 2 * emulator.Second // of a node for the state service
	commandTimeout   = 3 * emulator.Second // of a node for a worker
	heartbeatTimeout = 4 * emulator.Second // of a worker for a node
)

// messageFate is what happens to a message.
type messageFate int

const (
	onTime         messageFate = iota
	executedLate               // after the sender gave up
	answerLost                 // executed at once
	answerSlow                 // executed at once
	executedSlowly             // and answered then
)

// drawFate draws a fate by the fraction of each, and its delay.
func (f *messageFaults) drawFate(late, lost, slow float64, least, most emulator.Micros) (messageFate, emulator.Micros) {
	switch x := f.rnd.Float64(); {
	case x < late:
		return executedLate, f.duration(least, most)
	case x < late+lost:
		return answerLost, 0
	case x < late+lost+slow:
		return answerSlow, f.duration(tick, stateTimeout-tick)
	}
	return onTime, 0
}

// duration draws a duration in whole ticks.
func (f *messageFaults) duration(least, most emulator.Micros) emulator.Micros {
	return least + f.rnd.Int64N((most-least)/tick+1)*tick
}

// commit draws the fate of a transaction.
func (f *messageFaults) commit(t *wire.Transaction) (messageFate, emulator.Micros) {
	if f == nil {
		return onTime, 0
	}
	if f.slowCommits > 0 && f.rnd.Float64() < f.slowCommits {
		return executedSlowly, f.duration(tick, stateTimeout-tick)
	}
	if len(t.Changes) == 0 { // a late one without an answer would have no effect
		return f.drawFate(0, f.lostWrites, f.slowWrites, 0, 0)
	}
	return f.drawFate(f.lateWrites, f.lostWrites, f.slowWrites, 2*emulator.Second, 12*emulator.Second)
}

// command draws the fate of a direct command.
func (f *messageFaults) command() (messageFate, emulator.Micros) {
	if f == nil {
		return onTime, 0
	}
	return f.drawFate(f.lateCommands, f.lostCommands, f.lateCommands, emulator.Second, 9*emulator.Second)
}

// heartbeat draws how long a heartbeat and its answer take.
func (f *messageFaults) heartbeat() (there, back emulator.Micros) {
	if f == nil || f.rnd.Float64() >= f.slowHeartbeats {
		return 0, 0
	}
	return f.duration(0, 3*emulator.Second), f.duration(tick, 3*emulator.Second)
}

// copyAgain draws whether a copy of a heartbeat arrives, and after which time.
func (f *messageFaults) copyAgain(lease emulator.Micros) (again bool, after emulator.Micros) {
	if f == nil || f.lateCopies == 0 || f.rnd.Float64() >= f.lateCopies {
		return false, 0
	}
	return true, f.duration(2*emulator.Second, 3*lease)
}

// watchDelay draws the delay of the result of a listing or watch.
func (f *messageFaults) watchDelay() emulator.Micros {
	if f == nil || f.rnd.Float64() >= f.slowWatch {
		return 0
	}
	return f.duration(tick, stateTimeout)
}

// batchDelay draws the delay of the answer to a heartbeat batch.
func (f *messageFaults) batchDelay() emulator.Micros {
	if f == nil || f.rnd.Float64() >= f.slowBatches {
		return 0
	}
	return f.duration(tick, stateTimeout)
}

// scheduledEvent is an event at a later time.
type scheduledEvent struct {
	at  emulator.Micros
	run func()
}

// watchResult is a result of a listing or watch in flight.
type watchResult struct {
	at    emulator.Micros
	input msg.Input
}

// schedule schedules an event after a while. Events of the same time run in the order in which
// they were scheduled.
func (s *Sim) schedule(after emulator.Micros, do func()) {
	at := s.now + after
	i, _ := slices.BinarySearchFunc(s.scheduled, at, func(e scheduledEvent, at emulator.Micros) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	s.scheduled = slices.Insert(s.scheduled, i, scheduledEvent{at, do})
}

// reply posts an answer to a node after a while, unless its process has ended by then.
func (s *Sim) reply(n *node, after emulator.Micros, in msg.Input) {
	if after <= 0 {
		s.post(n, in)
		return
	}
	core := n.core
	s.schedule(after, func() {
		if n.alive && n.core == core {
			s.post(n, in)
			s.deliverAll()
		}
	})
}

// runScheduled runs the events that are due.
func (s *Sim) runScheduled() {
	for len(s.scheduled) > 0 && s.scheduled[0].at <= s.now {
		event := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		event.run()
	}
}

// commitLate carries out a transaction whose sender has timed out.
func (s *Sim) commitLate(t wire.Transaction) {
	if s.state.Down {
		s.schedule(emulator.Second, func() { s.commitLate(t) })
		return
	}
	s.checkCommit(&t)
	s.state.Commit(t)
}

// commitSlowly carries out a transaction after a while, and answers then.
func (s *Sim) commitSlowly(n *node, x msg.Commit, after emulator.Micros) {
	core := n.core
	s.schedule(after, func() {
		s.checkCommit(&x.Transaction)
		status, a := s.state.Commit(x.Transaction)
		if n.alive && n.core == core {
			s.post(n, msg.CommitDone{ID: x.ID, Outcome: outcome(status, a.Error), Revision: a.Revision, Failed: a.Failed})
			s.deliverAll()
		}
	})
}

// commandLate carries out a direct command whose sender has timed out, once its machine is
// awake and reachable.
func (s *Sim) commandLate(machine string, run func() (int, wire.Heartbeat)) {
	m := s.env.Machines[machine]
	if m == nil {
		return
	}
	if m.Hang || m.InboundLost == "hold" {
		s.schedule(tick, func() { s.commandLate(machine, run) })
		return
	}
	if m.InboundLost == "" {
		run()
	}
}

// sendSlowHeartbeat delivers a heartbeat after a while, and its answer after another. The worker
// times out, and the heartbeat arrives all the same.
func (s *Sim) sendSlowHeartbeat(n *node, m *emulator.Machine, heartbeat wire.Heartbeat, there, back emulator.Micros) {
	sent, core, open := s.now, n.core, true
	m.Wait(true)
	// stopWaiting ends the worker's wait for the answer. It returns false if the worker no longer
	// waits, or hangs: then it goes on when it is awake again.
	stopWaiting := func() bool {
		if !open || s.env.Machines[m.Name] != m || m.Hang {
			return false
		}
		open = false
		m.Wait(false)
		return true
	}
	var timeOut func()
	timeOut = func() {
		if m.Hang && open {
			s.schedule(tick, timeOut)
			return
		}
		if stopWaiting() {
			s.answerHeartbeat(n, m, &heartbeat, sent, msg.Respond{})
		}
	}
	s.schedule(heartbeatTimeout, timeOut)
	s.schedule(there, func() {
		if !n.alive || n.core != core || n.cutLinks["workers"] != "" || !s.reaches(n, m) || m.OutboundLost {
			return
		}
		answer, answered := s.postHeartbeat(n, &heartbeat)
		if !answered {
			return
		}
		s.schedule(back, func() {
			if s.now-sent < heartbeatTimeout && stopWaiting() {
				s.answerHeartbeat(n, m, &heartbeat, sent, answer)
			}
		})
	})
}
