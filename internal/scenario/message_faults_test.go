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

// messageFaults delays and loses fractions of the messages, by kind. Without it messages are delivered
// at once; with it, some arrive more than a lease late.
type messageFaults struct {
	rnd *rand.Rand

	lateWrites     float64 // transactions executed 2 to 12 s late, without a response
	lostWrites     float64 // transactions executed at once, without a response
	slowWrites     float64 // transactions executed at once, with a response up to 2 s late
	slowCommits    float64 // transactions checked and executed up to 2 s late, with a response at that time
	slowWatch      float64 // results of listings and watches that arrive up to 2 s late
	lateCopies     float64 // heartbeats of which a copy arrives 2 s to three leases later, at a random node
	slowHeartbeats float64 // heartbeats that take up to 6 s including the response
	slowBatches    float64 // responses to heartbeat batches that arrive up to 2 s late
	// lateCommands is the fraction of direct commands that are executed 1 to 9 s late without a response. The
	// same fraction is executed at once with a response up to 2 s late.
	lateCommands float64
	lostCommands float64 // direct commands executed at once, without a response

	repeats messageRepeats
}

// repeatStream separates the random numbers of messageRepeats from those of the other message faults.
const repeatStream = 4712

// messageFaultsArg returns the message faults that a message_faults command sets.
func messageFaultsArg(t *testing.T, d *datadriven.TestData) *messageFaults {
	t.Helper()
	seed := uint64(1)
	f := &messageFaults{}
	d.MaybeScanArgs(t, "seed", &seed)
	f.rnd = rand.New(rand.NewPCG(seed, 4711))
	f.repeats.rnd = rand.New(rand.NewPCG(seed, repeatStream))
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

		"repeated_calls":  &f.repeats.calls,
		"repeated_writes": &f.repeats.writes,
	} {
		*fraction = fractionArg(t, d, name)
	}
	return f
}

const (
	stateTimeout     = 2 * emulator.Second // of a request of a node to the state service
	commandTimeout   = 3 * emulator.Second // of a call of a node to a worker
	heartbeatTimeout = 4 * emulator.Second // of a heartbeat of a worker to a node
)

// messageFate is how a request and its response are delivered.
type messageFate int

const (
	onTime         messageFate = iota
	executedLate               // executed late, without a response
	responseLost               // executed at once, without a response
	responseSlow               // executed at once, with a late response
	executedSlowly             // executed late but before the timeout, with a response at that time
)

// drawFate draws a fate by the given fractions, and its delay. A late execution is delayed by low to
// high, a slow response by less than stateTimeout.
func (f *messageFaults) drawFate(late, lost, slow float64, low, high emulator.Micros) (messageFate, emulator.Micros) {
	switch x := f.rnd.Float64(); {
	case x < late:
		return executedLate, f.drawDuration(low, high)
	case x < late+lost:
		return responseLost, 0
	case x < late+lost+slow:
		return responseSlow, f.drawDuration(tick, stateTimeout-tick)
	}
	return onTime, 0
}

// drawDuration draws a duration from low to high in whole ticks.
func (f *messageFaults) drawDuration(low, high emulator.Micros) emulator.Micros {
	return drawTicks(f.rnd, low, high)
}

// drawTicks draws a duration from low to high in whole ticks.
func drawTicks(rnd *rand.Rand, low, high emulator.Micros) emulator.Micros {
	return low + rnd.Int64N((high-low)/tick+1)*tick
}

// commitFate draws the fate of a transaction.
func (f *messageFaults) commitFate(t *wire.Transaction) (messageFate, emulator.Micros) {
	if f == nil {
		return onTime, 0
	}
	if f.slowCommits > 0 && f.rnd.Float64() < f.slowCommits {
		return executedSlowly, f.drawDuration(tick, stateTimeout-tick)
	}
	if len(t.Changes) == 0 { // a late execution without a response would have no effect
		return f.drawFate(0, f.lostWrites, f.slowWrites, 0, 0)
	}
	return f.drawFate(f.lateWrites, f.lostWrites, f.slowWrites, 2*emulator.Second, 12*emulator.Second)
}

// commandFate draws the fate of a direct command.
func (f *messageFaults) commandFate() (messageFate, emulator.Micros) {
	if f == nil {
		return onTime, 0
	}
	return f.drawFate(f.lateCommands, f.lostCommands, f.lateCommands, emulator.Second, 9*emulator.Second)
}

// heartbeatDelays draws the delays of a heartbeat and of the response to it; both are 0 if they aren't
// delayed.
func (f *messageFaults) heartbeatDelays() (requestDelay, responseDelay emulator.Micros) {
	if f == nil || f.rnd.Float64() >= f.slowHeartbeats {
		return 0, 0
	}
	return f.drawDuration(0, 3*emulator.Second), f.drawDuration(tick, 3*emulator.Second)
}

// copyFate draws whether a copy of a heartbeat arrives, and how long after the heartbeat.
func (f *messageFaults) copyFate(lease emulator.Micros) (arrives bool, after emulator.Micros) {
	if f == nil || f.lateCopies == 0 || f.rnd.Float64() >= f.lateCopies {
		return false, 0
	}
	return true, f.drawDuration(2*emulator.Second, 3*lease)
}

// watchDelay draws the delay of a result of a listing or watch, 0 if it isn't delayed.
func (f *messageFaults) watchDelay() emulator.Micros {
	if f == nil || f.rnd.Float64() >= f.slowWatch {
		return 0
	}
	return f.drawDuration(tick, stateTimeout)
}

// batchDelay draws the delay of the response to a heartbeat batch, 0 if it isn't delayed.
func (f *messageFaults) batchDelay() emulator.Micros {
	if f == nil || f.rnd.Float64() >= f.slowBatches {
		return 0
	}
	return f.drawDuration(tick, stateTimeout)
}

// scheduledEvent is an event that is to run at a later time.
type scheduledEvent struct {
	at  emulator.Micros
	run func()
}

// watchResult is a result of a listing or watch that is in flight until a given time.
type watchResult struct {
	at    emulator.Micros
	input msg.Input
}

// schedule schedules an event. Events of the same time run in the order in which they were scheduled.
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

// reply posts a response to a node after a delay, unless the process of the node has ended by then.
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

// commitLate executes a transaction whose sender has timed out, once the state service is up.
func (s *Sim) commitLate(t wire.Transaction) {
	if s.state.Down {
		s.schedule(emulator.Second, func() { s.commitLate(t) })
		return
	}
	s.checkCommit(&t)
	s.state.Commit(t)
}

// commitSlowly executes a transaction after a delay and responds at that time.
func (s *Sim) commitSlowly(n *node, x msg.Commit, after emulator.Micros) {
	core := n.core
	s.schedule(after, func() {
		s.checkCommit(&x.Transaction)
		status, a := s.state.Commit(x.Transaction)
		if n.alive && n.core == core {
			s.post(n, msg.CommitDone{ID: x.ID, Outcome: outcome(status, a.Error), Revision: a.Revision, Failed: a.FailedKeys})
			s.deliverAll()
		}
	})
}

// commandLate executes a direct command without a response, once its machine neither hangs nor has its
// messages held back. The command is lost if messages to the machine are dropped by then.
func (s *Sim) commandLate(machine string, run func() (int, wire.Heartbeat)) {
	m := s.env.Machines[machine]
	if m == nil {
		return
	}
	if m.Hanging || m.InboundLost == "hold" {
		s.schedule(tick, func() { s.commandLate(machine, run) })
		return
	}
	if m.InboundLost == "" {
		run()
	}
}

// sendSlowHeartbeat delivers a heartbeat after a delay, and the response to it after another delay. If
// the worker has timed out meanwhile, the heartbeat arrives all the same.
func (s *Sim) sendSlowHeartbeat(n *node, m *emulator.Machine, heartbeat wire.Heartbeat, requestDelay,
	responseDelay emulator.Micros) {
	sent, core, waiting := s.now, n.core, true
	m.SetHeartbeatInFlight(true)
	// stopWaiting ends the worker's wait for the response. It returns false if the worker no longer
	// waits, or if it hangs: then it still waits when it resumes.
	stopWaiting := func() bool {
		if !waiting || s.env.Machines[m.Name] != m || m.Hanging {
			return false
		}
		waiting = false
		m.SetHeartbeatInFlight(false)
		return true
	}
	var timeOut func()
	timeOut = func() {
		if m.Hanging && waiting {
			s.schedule(tick, timeOut)
			return
		}
		if stopWaiting() {
			s.deliverHeartbeatResponse(n, m, &heartbeat, sent, msg.Respond{})
		}
	}
	s.schedule(heartbeatTimeout, timeOut)
	s.schedule(requestDelay, func() {
		if !n.alive || n.core != core || n.cutLinks["workers"] != "" || !s.reaches(n, m) || m.OutboundLost {
			return
		}
		response, ok := s.postHeartbeat(n, &heartbeat)
		if !ok {
			return
		}
		s.schedule(responseDelay, func() {
			if s.now-sent < heartbeatTimeout && stopWaiting() {
				s.deliverHeartbeatResponse(n, m, &heartbeat, sent, response)
			}
		})
	})
}
