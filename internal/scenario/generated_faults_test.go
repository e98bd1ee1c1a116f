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

// weather has messages take their time: parts of them, by kind, are late or lost. What the
// runner does at once without it happens between half a second and well over a lease later.
type weather struct {
	rnd *rand.Rand

	lateWrites  float64 // transactions carried out 2 to 12 s later, without an answer
	lostWrites  float64 // carried out at once, without an answer
	slowWrites  float64 // carried out at once, answered up to 2 s later
	slowThere   float64 // carried out, and checked, up to 2 s later, and answered then
	slowWatch   float64 // answers of listings and watches that come up to 2 s later
	lateCopies  float64 // reports of which a copy arrives again, 2 s to three leases later, at whichever node
	slowReports float64 // reports and their answers that take up to 6 s, both ways together
	slowBeats   float64 // answers to beats
	heldCalls   float64 // direct commands carried out 1 to 9 s later, without an answer
	lostCalls   float64 // carried out at once, without one
}

// readWeather takes the parts that a script names.
func readWeather(t *testing.T, d *datadriven.TestData) *weather {
	t.Helper()
	seed := uint64(1)
	w := &weather{}
	d.MaybeScanArgs(t, "seed", &seed)
	w.rnd = rand.New(rand.NewPCG(seed, 4711))
	for name, to := range map[string]*float64{"late_writes": &w.lateWrites, "lost_writes": &w.lostWrites, "slow_writes": &w.slowWrites, "slow_there": &w.slowThere,
		"slow_watch": &w.slowWatch, "late_copies": &w.lateCopies, "slow_reports": &w.slowReports, "slow_beats": &w.slowBeats, "held_calls": &w.heldCalls, "lost_calls": &w.lostCalls} {
		*to = share(t, d, name)
	}
	return w
}

// share is a part from 0 to 1 that a script names; 0 if it doesn't.
func share(t *testing.T, d *datadriven.TestData, name string) float64 {
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
	patience       = 2 * emulator.Second // how long a node waits for the state service
	callPatience   = 3 * emulator.Second // and for a worker
	reportPatience = 4 * emulator.Second // how long a worker waits for a node
)

// fate is what becomes of a message.
type fate int

const (
	prompt fate = iota
	lateAct
	lostAnswer
	slowAnswer
	slowAct
)

// draw picks a fate by the shares of each, and how long it takes.
func (w *weather) draw(late, lost, slow float64, least, most emulator.Micros) (fate, emulator.Micros) {
	switch x := w.rnd.Float64(); {
	case x < late:
		return lateAct, w.between(least, most)
	case x < late+lost:
		return lostAnswer, 0
	case x < late+lost+slow:
		return slowAnswer, w.between(tick, patience-tick)
	}
	return prompt, 0
}

// between draws a time in whole ticks.
func (w *weather) between(least, most emulator.Micros) emulator.Micros {
	return least + w.rnd.Int64N((most-least)/tick+1)*tick
}

func (w *weather) commit(t *wire.Transaction) (fate, emulator.Micros) {
	if w == nil {
		return prompt, 0
	}
	if w.slowThere > 0 && w.rnd.Float64() < w.slowThere {
		return slowAct, w.between(tick, patience-tick)
	}
	if len(t.Changes) == 0 { // one without an answer tells nothing, whenever it takes effect
		return w.draw(0, w.lostWrites, w.slowWrites, 0, 0)
	}
	return w.draw(w.lateWrites, w.lostWrites, w.slowWrites, 2*emulator.Second, 12*emulator.Second)
}

func (w *weather) command() (fate, emulator.Micros) {
	if w == nil {
		return prompt, 0
	}
	return w.draw(w.heldCalls, w.lostCalls, w.heldCalls, emulator.Second, 9*emulator.Second)
}

// report draws how long a report and its answer take.
func (w *weather) report() (there, back emulator.Micros) {
	if w == nil || w.rnd.Float64() >= w.slowReports {
		return 0, 0
	}
	return w.between(0, 3*emulator.Second), w.between(tick, 3*emulator.Second)
}

// copies draws whether a copy of a report comes again, and when.
func (w *weather) copies(lease emulator.Micros) (again bool, after emulator.Micros) {
	if w == nil || w.lateCopies == 0 || w.rnd.Float64() >= w.lateCopies {
		return false, 0
	}
	return true, w.between(2*emulator.Second, 3*lease)
}

func (w *weather) slowNews() emulator.Micros {
	if w == nil || w.rnd.Float64() >= w.slowWatch {
		return 0
	}
	return w.between(tick, patience)
}

func (w *weather) slowBeat() emulator.Micros {
	if w == nil || w.rnd.Float64() >= w.slowBeats {
		return 0
	}
	return w.between(tick, patience)
}

// due is something that happens later.
type due struct {
	at emulator.Micros
	do func()
}

// news is what a node's watch hears, on its way to it.
type news struct {
	at emulator.Micros
	in msg.Input
}

// in has something happen after a while.
func (s *Sim) in(after emulator.Micros, do func()) {
	at := s.now + after
	i, _ := slices.BinarySearchFunc(s.later, at, func(d due, at emulator.Micros) int {
		if d.at <= at { // what was asked for earlier comes first
			return -1
		}
		return 1
	})
	s.later = slices.Insert(s.later, i, due{at, do})
}

// reply hands an answer to a node after a while, unless its process has ended by then.
func (s *Sim) reply(n *node, after emulator.Micros, in msg.Input) {
	if after <= 0 {
		s.post(n, in)
		return
	}
	core := n.core
	s.in(after, func() {
		if n.alive && n.core == core {
			s.post(n, in)
			s.settle()
		}
	})
}

// comeLate does what is due.
func (s *Sim) comeLate() {
	for len(s.later) > 0 && s.later[0].at <= s.now {
		d := s.later[0]
		s.later = s.later[1:]
		d.do()
	}
}

// commitLate carries out a transaction whose sender has given up.
func (s *Sim) commitLate(t wire.Transaction) {
	if s.state.Down {
		s.in(emulator.Second, func() { s.commitLate(t) })
		return
	}
	s.guarded(&t)
	s.state.Commit(t)
}

// commitSlowly carries out a transaction after a while, and answers then.
func (s *Sim) commitSlowly(n *node, x msg.Commit, after emulator.Micros) {
	core := n.core
	s.in(after, func() {
		s.guarded(&x.Transaction)
		status, a := s.state.Commit(x.Transaction)
		if n.alive && n.core == core {
			s.post(n, msg.CommitDone{ID: x.ID, Outcome: outcome(status, a.Error), Revision: a.Revision, Failed: a.Failed})
			s.settle()
		}
	})
}

// runLate carries out a direct command whose sender has given up, once its machine is awake
// and is reached.
func (s *Sim) runLate(machine string, run func() (int, wire.Heartbeat)) {
	m := s.world.Machines[machine]
	if m == nil {
		return
	}
	if m.Hang || m.InboundLost == "hold" {
		s.in(tick, func() { s.runLate(machine, run) })
		return
	}
	if m.InboundLost == "" {
		run()
	}
}

// slowReport has a report come after a while, and its answer after another. The worker gives
// up after its patience, and the report comes all the same.
func (s *Sim) slowReport(n *node, m *emulator.Machine, r wire.Heartbeat, there, back emulator.Micros) {
	sent, core, open := s.now, n.core, true
	m.Wait(true)
	// over tells whether the worker still waits for the answer to this report.
	over := func() bool {
		if !open || s.world.Machines[m.Name] != m {
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
			s.in(tick, giveUp)
			return
		}
		if over() {
			s.answered(n, m, &r, sent, msg.Respond{})
		}
	}
	s.in(reportPatience, giveUp)
	s.in(there, func() {
		if !n.alive || n.core != core || n.cut["workers"] != "" || !s.reaches(n, m) || m.OutboundLost {
			return
		}
		s.req++
		req := s.req
		s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: r})
		s.settle()
		a, ok := n.answers[req]
		delete(n.answers, req)
		if ok {
			s.in(back, func() {
				if s.now-sent < reportPatience && over() {
					s.answered(n, m, &r, sent, a)
				}
			})
		}
	})
}

// user asks about a job, or asks to cancel it, or submits it once more, until there is nothing more to ask.
type user struct {
	id       string
	cancel   bool
	again    bool   // it repeats the submission
	left     int    // how often it still asks; 0: until it has had the last word
	floor    string // what anybody had been told when it asked
	req      uint64
	at       *node // whom it has asked
	core     any
	sent     emulator.Micros
	next     emulator.Micros
	tries    int
	answered emulator.Micros // when it last had an answer that tells something
}

const (
	pollWait   = 2 * emulator.Second
	pollEvery  = 5 * emulator.Second
	cancelWait = 5 * emulator.Second
)

// patience is how long a user waits for an answer, and then before it asks again.
func (u *user) patience() (wait, every emulator.Micros) {
	switch {
	case u.left > 0:
		return pollWait, 0
	case u.cancel || u.again:
		return cancelWait, emulator.Second
	}
	return pollWait, pollEvery
}

// Withdraw has a job's user cancel it, at whichever node, again and again until it is told.
func (s *Sim) Withdraw(id string) {
	if j := s.world.Jobs[id]; j != nil && !j.Asked {
		j.Asked = true
		s.users = append(s.users, &user{id: id, cancel: true, next: s.now, answered: s.now, tries: len(s.users)})
	}
}

// Watch has a job's user poll it until it is over, and somebody else too: at once, at other nodes.
func (s *Sim) Watch(id string) {
	for range 2 {
		s.users = append(s.users, &user{id: id, next: s.now + tick, answered: s.now, tries: len(s.users)})
	}
	if s.looks != nil && s.told[id] == "" { // and its submission is repeated until it has an answer
		s.users = append(s.users, &user{id: id, again: true, next: s.now + tick, answered: s.now, tries: len(s.users)})
	}
}

// ask lets the users hear answers and ask again. All of them ask before any is answered.
func (s *Sim) ask() {
	users := s.users
	s.users = nil
	var left []*user
	for _, u := range users {
		if u.req != 0 && s.heard(u) {
			continue
		}
		left = append(left, u)
		if u.req != 0 || s.now < u.next {
			continue
		}
		u.tries++
		n := s.nodes[u.tries%len(s.nodes)]
		if !n.alive {
			u.next = s.now + tick // the balancer picks another
			continue
		}
		s.req++
		u.req, u.at, u.core, u.sent, u.floor = s.req, n, n.core, s.now, s.told[u.id]
		switch {
		case u.cancel:
			s.post(n, msg.CancelIn{RequestID: u.req, JobID: u.id})
		case u.again:
			s.post(n, s.submission(s.world.Jobs[u.id])(u.req))
		default:
			s.post(n, msg.PollIn{RequestID: u.req, JobID: u.id})
		}
		if s.looks == nil {
			s.settle()
		}
	}
	s.settle()
	s.users = append(left, s.users...) // those that what was heard has brought come last
}

// heard takes what a user is told; it returns whether it asks no more.
func (s *Sim) heard(u *user) bool {
	a, ok := u.at.answers[u.req]
	wait, every := u.patience()
	switch {
	case ok:
		delete(u.at.answers, u.req)
		s.judge(u.id, u.floor, a)
		if a.Status == 200 {
			u.answered = s.now
		}
		u.next = s.now + every
	case s.now-u.sent >= wait || !u.at.alive || any(u.at.core) != u.core:
		u.next = s.now + emulator.Second
	default:
		return false
	}
	u.req = 0
	if u.left > 0 {
		u.left--
		return u.left == 0
	}
	st, _ := a.Body.(wire.JobStatus)
	return final(st.Status) || u.again && (ok && a.Status >= 200 && a.Status < 300 || s.told[u.id] != "")
}
