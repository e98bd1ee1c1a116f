package scenario

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// messageFaults has messages take their time: parts of them, by kind, are late or lost. What the
// runner does at once without it happens between half a second and well over a lease later.
type messageFaults struct {
	rnd *rand.Rand

	lateWrites     float64 // transactions carried out 2 to 12 s later, without an answer
	lostWrites     float64 // carried out at once, without an answer
	slowWrites     float64 // carried out at once, answered up to 2 s later
	slowCommits    float64 // carried out, and checked, up to 2 s later, and answered then
	slowWatch      float64 // answers of listings and watches that come up to 2 s later
	lateCopies     float64 // reports of which a copy arrives again, 2 s to three leases later, at whichever node
	slowHeartbeats float64 // reports and their answers that take up to 6 s, both ways together
	slowBatches    float64 // answers to beats
	lateCommands   float64 // direct commands carried out 1 to 9 s later, without an answer
	lostCommands   float64 // carried out at once, without one
}

// messageFaultsArg takes the parts that a script names.
func messageFaultsArg(t *testing.T, d *datadriven.TestData) *messageFaults {
	t.Helper()
	seed := uint64(1)
	w := &messageFaults{}
	d.MaybeScanArgs(t, "seed", &seed)
	w.rnd = rand.New(rand.NewPCG(seed, 4711))
	for name, to := range map[string]*float64{"late_writes": &w.lateWrites, "lost_writes": &w.lostWrites, "slow_writes": &w.slowWrites, "slow_there": &w.slowCommits,
		"slow_watch": &w.slowWatch, "late_copies": &w.lateCopies, "slow_reports": &w.slowHeartbeats, "slow_beats": &w.slowBatches, "held_calls": &w.lateCommands, "lost_calls": &w.lostCommands} {
		*to = fractionArg(t, d, name)
	}
	return w
}

// fractionArg is a part from 0 to 1 that a script names; 0 if it doesn't.
func fractionArg(t *testing.T, d *datadriven.TestData, name string) float64 {
	t.Helper()
	text := "0"
	d.MaybeScanArgs(t, name, &text)
	part, err := strconv.ParseFloat(text, 64)
	if err != nil || part < 0 || part > 1 {
		t.Fatalf("%s: %s=%s is not a part from 0 to 1", d.Pos, name, text)
	}
	return part
}

const (
	stateTimeout     = 2 * emulator.Second // how long a node waits for the state service
	commandTimeout   = 3 * emulator.Second // and for a worker
	heartbeatTimeout = 4 * emulator.Second // how long a worker waits for a node
)

// messageFate is what becomes of a message.
type messageFate int

const (
	onTime messageFate = iota
	executedLate
	answerLost
	answerSlow
	executedSlowly
)

// drawFate picks a fate by the shares of each, and how long it takes.
func (w *messageFaults) drawFate(late, lost, slow float64, least, most emulator.Micros) (messageFate, emulator.Micros) {
	switch x := w.rnd.Float64(); {
	case x < late:
		return executedLate, w.duration(least, most)
	case x < late+lost:
		return answerLost, 0
	case x < late+lost+slow:
		return answerSlow, w.duration(tick, stateTimeout-tick)
	}
	return onTime, 0
}

// duration draws a time in whole ticks.
func (w *messageFaults) duration(least, most emulator.Micros) emulator.Micros {
	return least + w.rnd.Int64N((most-least)/tick+1)*tick
}

func (w *messageFaults) commit(t *wire.Transaction) (messageFate, emulator.Micros) {
	if w == nil {
		return onTime, 0
	}
	if w.slowCommits > 0 && w.rnd.Float64() < w.slowCommits {
		return executedSlowly, w.duration(tick, stateTimeout-tick)
	}
	if len(t.Changes) == 0 { // one without an answer tells nothing, whenever it takes effect
		return w.drawFate(0, w.lostWrites, w.slowWrites, 0, 0)
	}
	return w.drawFate(w.lateWrites, w.lostWrites, w.slowWrites, 2*emulator.Second, 12*emulator.Second)
}

func (w *messageFaults) command() (messageFate, emulator.Micros) {
	if w == nil {
		return onTime, 0
	}
	return w.drawFate(w.lateCommands, w.lostCommands, w.lateCommands, emulator.Second, 9*emulator.Second)
}

// heartbeat draws how long a report and its answer take.
func (w *messageFaults) heartbeat() (there, back emulator.Micros) {
	if w == nil || w.rnd.Float64() >= w.slowHeartbeats {
		return 0, 0
	}
	return w.duration(0, 3*emulator.Second), w.duration(tick, 3*emulator.Second)
}

// copyAgain draws whether a copy of a report comes again, and when.
func (w *messageFaults) copyAgain(lease emulator.Micros) (again bool, after emulator.Micros) {
	if w == nil || w.lateCopies == 0 || w.rnd.Float64() >= w.lateCopies {
		return false, 0
	}
	return true, w.duration(2*emulator.Second, 3*lease)
}

func (w *messageFaults) watchDelay() emulator.Micros {
	if w == nil || w.rnd.Float64() >= w.slowWatch {
		return 0
	}
	return w.duration(tick, stateTimeout)
}

func (w *messageFaults) batchDelay() emulator.Micros {
	if w == nil || w.rnd.Float64() >= w.slowBatches {
		return 0
	}
	return w.duration(tick, stateTimeout)
}

// scheduledEvent is something that happens later.
type scheduledEvent struct {
	at  emulator.Micros
	run func()
}

// watchResult is what a node's watch hears, on its way to it.
type watchResult struct {
	at    emulator.Micros
	input msg.Input
}

// schedule has something happen after a while.
func (s *Sim) schedule(after emulator.Micros, do func()) {
	at := s.now + after
	i, _ := slices.BinarySearchFunc(s.scheduled, at, func(d scheduledEvent, at emulator.Micros) int {
		if d.at <= at { // what was asked for earlier comes first
			return -1
		}
		return 1
	})
	s.scheduled = slices.Insert(s.scheduled, i, scheduledEvent{at, do})
}

// reply hands an answer to a node after a while, unless its process has ended by then.
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

// runScheduled does what is due.
func (s *Sim) runScheduled() {
	for len(s.scheduled) > 0 && s.scheduled[0].at <= s.now {
		d := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		d.run()
	}
}

// commitLate carries out a transaction whose sender has given up.
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

// commandLate carries out a direct command whose sender has given up, once its machine is awake
// and is reached.
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

// sendSlowHeartbeat has a report come after a while, and its answer after another. The worker gives
// up after its patience, and the report comes all the same.
func (s *Sim) sendSlowHeartbeat(n *node, m *emulator.Machine, r wire.Heartbeat, there, back emulator.Micros) {
	sent, core, open := s.now, n.core, true
	m.Wait(true)
	// over tells whether the worker still waits for the answer to this report.
	over := func() bool {
		if !open || s.env.Machines[m.Name] != m {
			return false
		}
		if m.Hang { // it looks when it is awake again
			return false
		}
		open = false
		m.Wait(false)
		return true
	}
	var giveUp func()
	giveUp = func() {
		if m.Hang && open {
			s.schedule(tick, giveUp)
			return
		}
		if over() {
			s.answerHeartbeat(n, m, &r, sent, msg.Respond{})
		}
	}
	s.schedule(heartbeatTimeout, giveUp)
	s.schedule(there, func() {
		if !n.alive || n.core != core || n.cutLinks["workers"] != "" || !s.reaches(n, m) || m.OutboundLost {
			return
		}
		s.lastRequestID++
		req := s.lastRequestID
		s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: r})
		s.deliverAll()
		a, ok := n.answers[req]
		delete(n.answers, req)
		if ok {
			s.schedule(back, func() {
				if s.now-sent < heartbeatTimeout && over() {
					s.answerHeartbeat(n, m, &r, sent, a)
				}
			})
		}
	})
}

// user asks about a job, or asks to cancel it, or submits it once more, until there is nothing more to ask.
type user struct {
	id          string
	cancel      bool
	resubmit    bool   // it repeats the submission
	remaining   int    // how often it still asks; 0: until it has had the last word
	knownStatus string // what anybody had been told when it asked
	requestID   uint64
	askedNode   *node // whom it has asked
	askedCore   any
	askedAt     emulator.Micros
	nextAt      emulator.Micros
	attempts    int
	answeredAt  emulator.Micros // when it last had an answer that tells something
}

const (
	pollTimeout   = 2 * emulator.Second
	pollInterval  = 5 * emulator.Second
	cancelTimeout = 5 * emulator.Second
)

// timing is how long a user waits for an answer, and then before it asks again.
func (u *user) timing() (wait, every emulator.Micros) {
	switch {
	case u.remaining > 0:
		return pollTimeout, 0
	case u.cancel || u.resubmit:
		return cancelTimeout, emulator.Second
	}
	return pollTimeout, pollInterval
}

// cancelUntilFinal has a job's user cancel it, at whichever node, again and again until it is told.
func (s *Sim) cancelUntilFinal(id string) {
	if j := s.env.Jobs[id]; j != nil && !j.Asked {
		j.Asked = true
		s.users = append(s.users, &user{id: id, cancel: true, nextAt: s.now, answeredAt: s.now, attempts: len(s.users)})
	}
}

// pollUntilFinal has a job's user poll it until it is over, and somebody else too: at once, at other nodes.
func (s *Sim) pollUntilFinal(id string) {
	for range 2 {
		s.users = append(s.users, &user{id: id, nextAt: s.now + tick, answeredAt: s.now, attempts: len(s.users)})
	}
	if s.closePolling != nil && s.lastStatus[id] == "" { // and its submission is repeated until it has an answer
		s.users = append(s.users, &user{id: id, resubmit: true, nextAt: s.now + tick, answeredAt: s.now, attempts: len(s.users)})
	}
}

// askUsers lets the users hear answers and ask again. All of them ask before any is answered.
func (s *Sim) askUsers() {
	users := s.users
	s.users = nil
	var left []*user
	for _, u := range users {
		if u.requestID != 0 && s.takeAnswer(u) {
			continue
		}
		left = append(left, u)
		if u.requestID != 0 || s.now < u.nextAt {
			continue
		}
		u.attempts++
		n := s.nodes[u.attempts%len(s.nodes)]
		if !n.alive {
			u.nextAt = s.now + tick // the balancer picks another
			continue
		}
		s.lastRequestID++
		u.requestID, u.askedNode, u.askedCore, u.askedAt, u.knownStatus = s.lastRequestID, n, n.core, s.now, s.lastStatus[u.id]
		switch {
		case u.cancel:
			s.post(n, msg.CancelIn{RequestID: u.requestID, JobID: u.id})
		case u.resubmit:
			s.post(n, s.submission(s.env.Jobs[u.id])(u.requestID))
		default:
			s.post(n, msg.PollIn{RequestID: u.requestID, JobID: u.id})
		}
		if s.closePolling == nil {
			s.deliverAll()
		}
	}
	s.deliverAll()
	s.users = append(left, s.users...) // those that what was heard has brought come last
}

// takeAnswer takes what a user is told; it returns whether it asks no more.
func (s *Sim) takeAnswer(u *user) bool {
	a, ok := u.askedNode.answers[u.requestID]
	wait, every := u.timing()
	switch {
	case ok:
		delete(u.askedNode.answers, u.requestID)
		s.checkAnswer(u.id, u.knownStatus, a)
		if a.Status == 200 {
			u.answeredAt = s.now
		}
		u.nextAt = s.now + every
	case s.now-u.askedAt >= wait || !u.askedNode.alive || any(u.askedNode.core) != u.askedCore:
		u.nextAt = s.now + emulator.Second
	default:
		return false
	}
	u.requestID = 0
	if u.remaining > 0 {
		u.remaining--
		return u.remaining == 0
	}
	st, _ := a.Body.(wire.JobStatus)
	return isFinal(st.Status) || u.resubmit && (ok && a.Status >= 200 && a.Status < 300 || s.lastStatus[u.id] != "")
}
