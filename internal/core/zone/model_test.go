package zone

import (
	"testing"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// The model: one worker, the leader that has placed an attempt of a task on it, and an heir that
// knows nothing of what was said before its claim. Whatever is sent may be lost or come late; reports
// may come again, any number of times, at either node; answers and commands may not reach the
// worker for as long as it likes (a deaf machine). The task isn't wanted there any more at some moment,
// and once a node holds its placement to be over it starts elsewhere. Then the worker must not have
// it, nor ever get it again.
//
// What nodes remember of the worker is the real Machine. Every state within the bounds is visited, with
// each guard taken away in turn: without it, a broken rule has to be found.

const (
	mostReports = 3
	mostCalls   = 1
)

type mReport struct {
	there, shows   bool
	call           bool // it is the answer to a call, which comes to its sender alone
	session, token uint8
}

type mCall struct {
	state          uint8 // 0: none, 1: on its way, its sender waits, 2: on its way, given up, 3: answered
	node           uint8
	start          bool
	session, token uint8
	answer         uint8 // the report that came back
}

type mAnswer struct { // to a report of the worker
	there, start, stop bool
	seq, token         uint8
}

// mMemory is what a node has of a Machine.
type mMemory struct {
	alive, raised          bool
	base, token            uint8
	session, seq, seen     uint8
	has, settled           bool
	direct, directStart    bool
	ambiguous, reply, dTok uint8
	directID               uint8
}

type mState struct {
	session, seq, token uint8 // of the worker
	holds               bool
	waits               uint8 // for the answer to this report
	reports             [mostReports + 1]mReport
	calls               [mostCalls]mCall
	answer              mAnswer
	node                [2]mMemory // leader, heir
	unwanted, over      bool
}

// guard is one that can be taken away.
type guard string

const (
	noGuard        guard = ""
	byOrder        guard = "reports in the order of session and sequence"
	byToken        guard = "a start without an answer is void only under a higher token"
	byHeirsToken   guard = "an heir reckons with its predecessor's starts"
	byReply        guard = "a start in an answer is over with the next report alone"
	byCall         guard = "no proof while a call with a start is out"
	byReportAlone  guard = "an answer to a call proves no absence"
	byClaim        guard = "a deposed leader closes nothing"
	byLaterSession guard = "only a later session ends all of an earlier one"
)

var modelKey = job.AttemptKey{Job: "j-1", Task: 0, Attempt: 1}

func (n *mMemory) machine() *Machine {
	m := New("m", "a", "t", "z", false, 0)
	m.Incarnation, m.Sequence, m.FencingToken = uint64(n.session), uint64(n.seq), uint64(n.seen)
	if n.has {
		m.Tasks[modelKey] = Task{State: wire.Running}
	}
	m.CallInFlight, m.StartInFlight, m.AmbiguousToken, m.ReplySequence = n.direct, n.directStart, uint64(n.ambiguous), uint64(n.reply)
	m.callToken, m.callID, m.settled = uint64(n.dTok), uint64(n.directID), n.settled
	return m
}

func (n *mMemory) keep(m *Machine) {
	n.session, n.seq, n.seen = uint8(m.Incarnation), uint8(m.Sequence), uint8(m.FencingToken)
	_, n.has = m.Tasks[modelKey]
	n.direct, n.directStart, n.ambiguous, n.reply = m.CallInFlight, m.StartInFlight, uint8(m.AmbiguousToken), uint8(m.ReplySequence)
	n.dTok, n.directID, n.settled = uint8(m.callToken), uint8(m.callID), m.settled
}

// hear has a node take a report, as its owner does, and draw the conclusions. It returns what an
// answer would say; false: none.
func (s *mState) hear(g guard, at int, seq uint8, isReport bool) (mAnswer, bool) {
	n, r := &s.node[at], s.reports[seq]
	if !n.alive {
		return mAnswer{}, false
	}
	if r.token > n.token {
		n.alive = false // somebody else leads: it resigns
		return mAnswer{}, false
	}
	m := n.machine()
	if g == byOrder {
		m.Sequence, m.Incarnation = 0, 0
	}
	if g == byToken || g == byHeirsToken && at == 1 {
		m.AmbiguousToken = 0
	}
	if g == byCall {
		m.StartInFlight = false
	}
	report := wire.Heartbeat{Incarnation: uint64(r.session), Sequence: uint64(seq), FencingToken: uint64(r.token)}
	if r.shows {
		report.Tasks = []wire.TaskStatus{{Task: wire.TaskName(modelKey.Job, modelKey.Task), Attempt: modelKey.Attempt, State: wire.Running}}
	}
	if !m.ApplyHeartbeat(0, &report, isReport || g == byReportAlone) {
		return mAnswer{}, false
	}
	a := mAnswer{there: true, seq: seq, token: n.token}
	_, has := m.Tasks[modelKey]
	current := at == 1 || !s.node[1].alive && s.node[1].base == 0 || g == byClaim
	later := m.Incarnation > 1 || g == byLaterSession && m.Incarnation != 1
	switch {
	case s.over:
		a.stop = has
	case later || g == byLaterSession && !has && m.FencingToken >= uint64(n.base):
		s.over = s.over || current
	case has:
		a.stop = s.unwanted
	case s.unwanted:
		if m.Settled() && current {
			s.over = true
		}
	default:
		a.start = true
	}
	if a.start && isReport {
		settled := m.settled
		m.NoteReply(nil)
		m.settled = settled && g == byReply
	}
	n.keep(m)
	return a, isReport
}

// next lists the states that one event leads to.
func (s mState) next(g guard) []mState {
	var out []mState
	add := func(t mState) { out = append(out, t) }
	if s.seq < mostReports { // the worker reports, and waits for no earlier answer any more
		t := s
		t.report(&t.seq)
		t.waits, t.answer = t.seq, mAnswer{}
		add(t)
	}
	for seq := uint8(1); seq <= s.seq; seq++ { // a report comes, for the first time or again
		if s.reports[seq].call {
			continue
		}
		for at := range s.node {
			t := s
			a, ok := t.hear(g, at, seq, true)
			add(t) // as a copy, or its answer is lost
			if ok && seq == t.waits {
				t.answer = a
				add(t)
			}
		}
	}
	if s.answer.there && s.answer.seq == s.waits { // an answer reaches the worker
		t := s
		t.answer = mAnswer{}
		if s.answer.token >= t.token {
			t.token = s.answer.token
			t.do(s.answer.start, s.answer.stop)
		}
		add(t)
	}
	for at := range s.node { // a node looks again at what it has heard, when the task is wanted no more
		n := &s.node[at]
		if m := n.machine(); s.unwanted && n.alive && n.session == 1 && !n.has && m.Settled() && (at == 1 || s.node[1].base == 0) {
			t := s
			t.over = true
			add(t)
		}
	}
	for at := range s.node { // a node calls the worker
		n := s.node[at]
		if !n.alive || n.direct || n.session == 0 {
			continue
		}
		for i, c := range s.calls {
			if c.state != 0 {
				continue
			}
			start := !n.has && !s.unwanted && !s.over && n.session == 1
			for _, start := range []bool{start, false} { // or it only shows its token
				if !start && n.seen >= n.base && !s.unwanted {
					continue
				}
				t := s
				m := n.machine()
				m.NoteCall(0, uint64(i+1), uint64(n.token), start)
				t.node[at].keep(m)
				t.calls[i] = mCall{state: 1, node: uint8(at), start: start, session: n.session, token: n.token}
				add(t)
			}
			break
		}
	}
	for i, c := range s.calls {
		over := func(t *mState, unanswered bool) {
			n := &t.node[c.node]
			m := n.machine()
			m.NoteCallDone(uint64(i+1), unanswered)
			n.keep(m)
		}
		switch c.state {
		case 1:
			t := s // its sender gives up; it may come later
			over(&t, true)
			t.calls[i].state = 2
			add(t)
			t = s // it was never sent
			over(&t, false)
			t.calls[i] = mCall{}
			add(t)
			if s.seq < mostReports {
				t = s
				t.call(&t.calls[i])
				t.calls[i].state, t.calls[i].answer = 3, t.seq
				add(t)
			}
		case 2:
			t := s
			t.call(&t.calls[i])
			t.calls[i] = mCall{}
			add(t)
		case 3:
			t := s // its answer comes, or is lost
			over(&t, false)
			t.hear(g, int(c.node), c.answer, false)
			t.calls[i] = mCall{}
			add(t)
			t = s
			over(&t, true)
			t.calls[i] = mCall{}
			add(t)
		}
	}
	if s.session == 1 { // its lease ends
		t := s
		t.session, t.holds, t.waits, t.answer = 2, false, 0, mAnswer{}
		add(t)
	}
	if s.node[1].base == 0 { // an heir claims
		t := s
		token := max(t.node[0].token, 1) + 1
		t.node[1] = mMemory{alive: true, base: token, token: token, ambiguous: token - 1}
		add(t)
	}
	for at := range s.node { // the token is raised, by its holder
		if n := s.node[at]; n.alive && !s.node[0].raised && !n.raised && (at == 1 || s.node[1].base == 0) {
			t := s
			t.node[at].token++
			t.node[at].raised = true
			add(t)
		}
	}
	if !s.unwanted {
		t := s
		t.unwanted = true
		add(t)
	}
	return out
}

// report has the worker say what it has.
func (s *mState) report(seq *uint8) {
	*seq++
	s.reports[*seq] = mReport{there: true, shows: s.holds, session: s.session, token: s.token}
}

// call has a command arrive at the worker, which answers it with a report.
func (s *mState) call(c *mCall) {
	s.token = max(s.token, c.token)
	if c.token == s.token && c.session == s.session {
		s.do(c.start, false)
	}
	if s.seq < mostReports {
		s.report(&s.seq)
		s.reports[s.seq].call = true
	}
}

func (s *mState) do(start, stop bool) {
	switch {
	case stop:
		s.holds = false
	case start:
		s.holds = true
	}
}

// explore visits every state and returns how many there are, and the first that breaks the rule.
func explore(g guard) (int, *mState) {
	first := mState{session: 1}
	first.node[0] = mMemory{alive: true, base: 1, token: 1}
	seen := map[mState]bool{first: true}
	for todo := []mState{first}; len(todo) > 0; {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if s.over && s.holds {
			return len(seen), &s
		}
		for _, t := range s.next(g) {
			if !seen[t] {
				seen[t] = true
				todo = append(todo, t)
			}
		}
	}
	return len(seen), nil
}

func TestModel(t *testing.T) {
	t.Parallel()
	n, bad := explore(noGuard)
	if bad != nil {
		t.Fatalf("the task runs twice: %+v", *bad)
	}
	t.Logf("%d states", n)
	for _, g := range []guard{byOrder, byToken, byHeirsToken, byReply, byCall, byReportAlone, byClaim, byLaterSession} {
		if n, bad := explore(g); bad == nil {
			t.Errorf("without %q nothing is found in %d states", g, n)
		}
	}
}
