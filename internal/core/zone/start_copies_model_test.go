package zone

import (
	"testing"

	"coralhub/wire"
)

// The model consists of a worker, a leader that starts one attempt of a task on it by direct calls, and a successor
// that knows of no calls. Each executed call may be delivered again, any number of times. The task may exit at any
// time. Once its end is committed the task runs elsewhere, and the worker may be told to forget the attempt. From then
// on the worker must not start it. Revisions of the state service serve as fencing tokens.
//
// The leaders' state of the worker is an actual Machine. Every state within the bounds is explored. Then each guard is
// removed in turn: without it, a violation must be found.

const (
	maxCopyReports  = 4
	maxCopyRevision = 4
)

// attemptState is what the worker knows of the attempt.
type attemptState uint8

const (
	attemptUnknown attemptState = iota
	attemptRunning
	attemptExited
)

// copyCall is the direct call of a leader.
type copyCall struct {
	used, executed bool
	token          uint8
}

// copyReport is a message of the worker. Its sequence is its index in copyState.reports.
type copyReport struct {
	state       attemptState
	token       uint8
	answersCall bool
}

// copyResponse is the response to a heartbeat.
type copyResponse struct {
	sent, start, forget bool
	sequence, token     uint8
}

// copyLeader is a leader and the state of its Machine.
type copyLeader struct {
	alive, knowsClosed                            bool  // knowsClosed: that the end of the attempt is committed
	termStart, revision                           uint8 // revision: up to which it knows that it leads
	sequence, seenToken                           uint8
	known                                         attemptState
	startsResolved, callInFlight                  bool
	uncertainStartToken, replySequence, callToken uint8
	startCallToken, raisedToken                   uint8
}

type copyState struct {
	revision         uint8 // of the state service
	attempt          attemptState
	token, sequence  uint8 // of the worker
	reports          [maxCopyReports + 1]copyReport
	calls            [2]copyCall // by leader
	response         copyResponse
	leaders          [2]copyLeader
	closed, violated bool
}

// copyGuard describes a guard that can be removed.
type copyGuard string

const (
	copyNoGuard     copyGuard = ""
	copyVoid        copyGuard = "an attempt is forgotten only under a token above those of its starts"
	copyHigherToken copyGuard = "a raised token is above those of the starts"
	copyOwnRevision copyGuard = "a token is a revision at which the leader is known to lead"
)

// machine returns a Machine with the stored state.
func (l *copyLeader) machine() *Machine {
	m := New("m", "a", "t", "z", false, 0)
	m.Sequence, m.FencingToken = uint64(l.sequence), uint64(l.seenToken)
	if l.sequence > 0 {
		m.Incarnation = 1
	}
	if state := wireState(l.known); state != "" {
		m.Tasks[modelKey] = Task{State: state}
	}
	m.CallInFlight, m.StartInFlight = l.callInFlight, l.callInFlight
	m.UncertainStartToken, m.ReplySequence = uint64(l.uncertainStartToken), uint64(l.replySequence)
	m.callToken, m.callID, m.startsResolved = uint64(l.callToken), 1, l.startsResolved
	m.RaisedToken = uint64(l.raisedToken)
	if l.startCallToken != 0 {
		m.startCalls = startCalls{modelKey: uint64(l.startCallToken)}
	}
	return m
}

// save stores the state of the leader's Machine.
func (l *copyLeader) save(m *Machine) {
	l.sequence, l.seenToken = uint8(m.Sequence), uint8(m.FencingToken)
	l.known = attemptUnknown
	switch m.Tasks[modelKey].State {
	case wire.Running:
		l.known = attemptRunning
	case wire.Exited:
		l.known = attemptExited
	}
	l.callInFlight = m.CallInFlight
	l.uncertainStartToken, l.replySequence = uint8(m.UncertainStartToken), uint8(m.ReplySequence)
	l.callToken, l.startsResolved = uint8(m.callToken), m.startsResolved
	l.startCallToken, l.raisedToken = uint8(m.startCalls[modelKey]), uint8(m.RaisedToken)
}

// wireState returns the state of the attempt in a report, "" if the report lacks the attempt.
func wireState(a attemptState) string {
	return map[attemptState]string{attemptRunning: wire.Running, attemptExited: wire.Exited}[a]
}

func (l *copyLeader) ownToken() uint8 { return max(l.termStart, l.raisedToken) }

// execute makes the worker execute commands.
func (s *copyState) execute(start, forget bool) {
	if start && s.attempt == attemptUnknown {
		s.attempt = attemptRunning
		s.violated = s.violated || s.closed
	}
	if forget && s.attempt == attemptExited {
		s.attempt = attemptUnknown
	}
}

// executeCall makes the worker execute a call or a copy of it.
func (s *copyState) executeCall(call copyCall) {
	if call.token >= s.token {
		s.token = call.token
		s.execute(true, false)
	}
}

func (s *copyState) report(answersCall bool) {
	s.sequence++
	s.reports[s.sequence] = copyReport{state: s.attempt, token: s.token, answersCall: answersCall}
}

// next returns the states that can follow after one event.
func (s copyState) next(g copyGuard) []copyState {
	var out []copyState
	add := func(t copyState) { out = append(out, t) }
	s.taskExited(add)
	s.heartbeatSent(add)
	s.heartbeatReceived(g, add)
	s.responseReceived(add)
	s.callSent(add)
	s.callExecuted(g, add)
	s.revisionAdvanced(g, add)
	s.successorElected(add)
	return out
}

func (s copyState) taskExited(add func(copyState)) {
	if s.attempt == attemptRunning {
		s.attempt = attemptExited
		add(s)
	}
}

func (s copyState) heartbeatSent(add func(copyState)) {
	if s.sequence < maxCopyReports {
		s.report(false)
		s.response = copyResponse{}
		add(s)
	}
}

// heartbeatReceived adds the states after a leader receives the newest heartbeat; its response may be lost.
func (s copyState) heartbeatReceived(g copyGuard, add func(copyState)) {
	if s.sequence == 0 || s.reports[s.sequence].answersCall {
		return
	}
	for i := range s.leaders {
		t := s
		response, ok := t.receive(g, i, t.sequence, true)
		add(t)
		if ok {
			t.response = response
			add(t)
		}
	}
}

// receive makes a leader apply a report. If the task has exited, the leader commits that.
func (s *copyState) receive(g copyGuard, leader int, sequence uint8, isHeartbeat bool) (copyResponse, bool) {
	l, r := &s.leaders[leader], s.reports[sequence]
	if !l.alive {
		return copyResponse{}, false
	}
	if r.token > max(l.revision, l.termStart) {
		l.alive = false
		return copyResponse{}, false
	}
	m := l.machine()
	heartbeat := wire.Heartbeat{Incarnation: 1, Sequence: uint64(sequence), FencingToken: uint64(r.token)}
	if state := wireState(r.state); state != "" {
		heartbeat.Tasks = []wire.TaskStatus{{Task: wire.TaskName(modelKey.Job, modelKey.Task),
			Attempt: modelKey.Attempt, State: state}}
	}
	if !m.ApplyHeartbeat(0, &heartbeat, isHeartbeat) {
		return copyResponse{}, false
	}
	leads := leader == 1 || s.leaders[1].termStart == 0
	if leads && r.state == attemptExited && !s.closed && s.revision < maxCopyRevision {
		s.closed, l.knowsClosed = true, true
		s.revision++
	}
	response := l.respond(g, m, r.state)
	response.sequence = sequence
	if response.start {
		m.NoteReply(nil)
	}
	l.save(m)
	return response, isHeartbeat
}

// respond returns the response to a heartbeat as the reconciler does.
func (l *copyLeader) respond(g copyGuard, m *Machine, state attemptState) copyResponse {
	response := copyResponse{sent: true, start: !l.knowsClosed && state == attemptUnknown}
	void := !m.StartMayRepeat(modelKey) || g == copyVoid
	response.forget = l.knowsClosed && state == attemptExited && m.StartsResolved() && void
	highest := uint8(m.TokenOfExitedStarts())
	if highest != 0 && highest >= l.ownToken() && !m.CallInFlight && (l.revision > highest || g == copyHigherToken) {
		m.RaisedToken = max(uint64(l.revision), uint64(highest))
		if g == copyHigherToken {
			m.startCalls = nil
		}
	}
	response.token = max(l.termStart, uint8(m.RaisedToken))
	return response
}

func (s copyState) responseReceived(add func(copyState)) {
	response := s.response
	if !response.sent || response.sequence != s.sequence {
		return
	}
	s.response = copyResponse{}
	if response.token >= s.token {
		s.token = response.token
		s.execute(response.start, response.forget)
	}
	add(s)
}

// callSent adds the states after a leader sends a call with a start.
func (s copyState) callSent(add func(copyState)) {
	for i := range s.leaders {
		l := s.leaders[i]
		if !l.alive || l.sequence == 0 || l.known != attemptUnknown || l.knowsClosed || s.calls[i].used {
			continue
		}
		t := s
		m := l.machine()
		m.NoteCall(0, 1, uint64(l.ownToken()), modelCommands(true))
		t.leaders[i].save(m)
		t.calls[i] = copyCall{used: true, token: l.ownToken()}
		add(t)
	}
}

// callExecuted adds the states after a call is executed, for the first time or as a copy. The answer to the first
// execution arrives or is lost.
func (s copyState) callExecuted(g copyGuard, add func(copyState)) {
	for i, call := range s.calls {
		if !call.used {
			continue
		}
		if call.executed {
			t := s
			t.executeCall(call)
			add(t)
			continue
		}
		t := s
		t.executeCall(call)
		t.calls[i].executed = true
		m := t.leaders[i].machine()
		m.NoteCallDone(1, true)
		lost := t
		lost.leaders[i].save(m)
		add(lost)
		if s.sequence == maxCopyReports {
			continue
		}
		t.report(true)
		m = t.leaders[i].machine()
		m.NoteCallDone(1, false)
		t.leaders[i].save(m)
		t.receive(g, i, t.sequence, false)
		add(t)
	}
}

// revisionAdvanced adds the states after another change is committed, and after a leader learns of the newest one. A
// leader that learns of a successor's election resigns.
func (s copyState) revisionAdvanced(g copyGuard, add func(copyState)) {
	if s.revision < maxCopyRevision {
		t := s
		t.revision++
		add(t)
	}
	for i := range s.leaders {
		l := s.leaders[i]
		if !l.alive || l.revision == s.revision {
			continue
		}
		t := s
		t.leaders[i].revision = s.revision
		t.leaders[i].knowsClosed = l.knowsClosed || s.closed
		deposed := i == 0 && s.leaders[1].termStart != 0
		t.leaders[i].alive = !deposed || g == copyOwnRevision
		add(t)
	}
}

func (s copyState) successorElected(add func(copyState)) {
	if s.leaders[1].termStart != 0 || s.revision == maxCopyRevision {
		return
	}
	s.revision++
	s.leaders[1] = copyLeader{alive: true, termStart: s.revision, revision: s.revision, knowsClosed: s.closed,
		uncertainStartToken: s.revision - 1}
	add(s)
}

// exploreCopies visits every state without the given guard. It returns the number of visited states, and the first
// state found in which the attempt was started after the task had its place elsewhere, or nil if there is none.
func exploreCopies(without copyGuard) (int, *copyState) {
	first := copyState{revision: 1}
	first.leaders[0] = copyLeader{alive: true, termStart: 1, revision: 1}
	return exploreStates(first,
		func(s copyState) []copyState { return s.next(without) },
		func(s *copyState) bool { return s.violated })
}

func TestCopyOfAnsweredCallStartsNoForgottenAttempt(t *testing.T) {
	t.Parallel()
	n, violation := exploreCopies(copyNoGuard)
	if violation != nil {
		t.Fatalf("a copy starts the attempt in state %+v", *violation)
	}
	t.Logf("explored %d states", n)
	for _, g := range []copyGuard{copyVoid, copyHigherToken, copyOwnRevision} {
		if n, violation := exploreCopies(g); violation == nil {
			t.Errorf("no violation found without guard %q in %d states", g, n)
		}
	}
}
