package zone

import (
	"testing"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// The model consists of one worker, the leader that has placed an attempt of a task on it, and a successor
// without information on what was sent before its election. Every message may be lost or delayed.
// Heartbeats may be duplicated, any number of times, at either node. Responses and commands may fail to
// reach the worker for any length of time (an unreachable machine). At some time the task is cancelled.
// Once a node closes the placement, the task starts on another machine. From then on the worker must not
// run it, nor receive a start of it.
//
// The nodes' state of the worker is an actual Machine. Every state within the bounds is explored. Then each
// guard is removed in turn: without it, a violation must be found.

const (
	maxReports = 3
	maxCalls   = 1
)

// Indexes of the two nodes in modelState.
const (
	firstLeader = 0
	successor   = 1
)

// modelReport is a message of the worker. Its sequence is its index in modelState.reports.
type modelReport struct {
	sent, runs         bool
	answersCall        bool // whether it is the answer to a call, which only the caller receives
	incarnation, token uint8
}

// callState is the state of a direct call.
type callState uint8

const (
	callUnused    callState = iota
	callInFlight            // its sender waits for the answer
	callAbandoned           // in flight, but its sender no longer waits
	callAnswered            // the answer is in flight
)

type modelCall struct {
	state              callState
	node               uint8
	start              bool
	incarnation, token uint8
	answer             uint8 // sequence of the report that is the answer
}

// modelResponse is the response to a heartbeat.
type modelResponse struct {
	sent, start, stop bool
	sequence, token   uint8
}

// modelNode is a node and the state of its Machine.
type modelNode struct {
	alive, raised                                 bool // raised: whether it has raised its fencing token
	termStart, token                              uint8
	incarnation, sequence, seenToken              uint8
	runs, startsResolved                          bool
	callInFlight, startInFlight                   bool
	uncertainStartToken, replySequence, callToken uint8
	callID                                        uint8
}

type modelState struct {
	incarnation, sequence, token uint8 // of the worker
	runs                         bool
	awaits                       uint8 // sequence of the heartbeat whose response the worker waits for
	reports                      [maxReports + 1]modelReport
	calls                        [maxCalls]modelCall
	response                     modelResponse
	nodes                        [2]modelNode
	cancelled, closed            bool // of the task and of its placement
}

// guard describes a guard of the protocol that can be removed.
type guard string

const (
	noGuard              guard = ""
	reportOrder          guard = "reports in the order of incarnation and sequence"
	ambiguousStart       guard = "a start without an answer is void only under a higher token"
	predecessorsStart    guard = "a successor expects its predecessor's starts"
	startInResponse      guard = "a start in a response is resolved by the next heartbeat alone"
	startInCall          guard = "no proof while a call with a start is in flight"
	proofByHeartbeat     guard = "the answer to a call proves no absence"
	deposedLeader        guard = "a deposed leader closes nothing"
	onlyLaterIncarnation guard = "only a later incarnation ends all of an earlier one"
)

var guards = []guard{reportOrder, ambiguousStart, predecessorsStart, startInResponse,
	startInCall, proofByHeartbeat, deposedLeader, onlyLaterIncarnation}

var modelKey = job.AttemptKey{Job: "j-1", Task: 0, Attempt: 1}

// machine returns a Machine with the stored state.
func (n *modelNode) machine() *Machine {
	m := New("m", "a", "t", "z", false, 0)
	m.Incarnation, m.Sequence, m.FencingToken = uint64(n.incarnation), uint64(n.sequence), uint64(n.seenToken)
	if n.runs {
		m.Tasks[modelKey] = Task{State: wire.Running}
	}
	m.CallInFlight, m.StartInFlight = n.callInFlight, n.startInFlight
	m.UncertainStartToken, m.ReplySequence = uint64(n.uncertainStartToken), uint64(n.replySequence)
	m.callToken, m.callID, m.startsResolved = uint64(n.callToken), uint64(n.callID), n.startsResolved
	return m
}

// save stores the state of the node's Machine.
func (n *modelNode) save(m *Machine) {
	n.incarnation, n.sequence, n.seenToken = uint8(m.Incarnation), uint8(m.Sequence), uint8(m.FencingToken)
	_, n.runs = m.Tasks[modelKey]
	n.callInFlight, n.startInFlight = m.CallInFlight, m.StartInFlight
	n.uncertainStartToken, n.replySequence = uint8(m.UncertainStartToken), uint8(m.ReplySequence)
	n.callToken, n.callID, n.startsResolved = uint8(m.callToken), uint8(m.callID), m.startsResolved
}

// elected reports whether the successor has been elected.
func (s *modelState) elected() bool { return s.nodes[successor].termStart != 0 }

// leads reports whether no successor of a node has been elected.
func (s *modelState) leads(node int) bool { return node == successor || !s.elected() }

// receive makes a node apply a report and reconcile the placement with it, as a leader does. It returns the
// response, and false if there is none.
func (s *modelState) receive(g guard, node int, sequence uint8, isHeartbeat bool) (modelResponse, bool) {
	n, r := &s.nodes[node], s.reports[sequence]
	if !n.alive {
		return modelResponse{}, false
	}
	if r.token > n.token {
		n.alive = false // another node has been elected, so it resigns
		return modelResponse{}, false
	}
	m := n.machine()
	if g == reportOrder {
		m.Sequence, m.Incarnation = 0, 0
	}
	if g == ambiguousStart || g == predecessorsStart && node == successor {
		m.UncertainStartToken = 0
	}
	if g == startInCall {
		m.StartInFlight = false
	}
	heartbeat := wire.Heartbeat{Incarnation: uint64(r.incarnation), Sequence: uint64(sequence),
		FencingToken: uint64(r.token)}
	if r.runs {
		heartbeat.Tasks = []wire.TaskStatus{{Task: wire.TaskName(modelKey.Job, modelKey.Task),
			Attempt: modelKey.Attempt, State: wire.Running}}
	}
	if !m.ApplyHeartbeat(0, &heartbeat, isHeartbeat || g == proofByHeartbeat) {
		return modelResponse{}, false
	}
	response := s.reconcile(g, node, m, sequence)
	if response.start && isHeartbeat {
		startsResolved := m.startsResolved
		m.NoteReply(nil)
		m.startsResolved = startsResolved && g == startInResponse
	}
	n.save(m)
	return response, isHeartbeat
}

// reconcile compares the report of a worker with the placement, and closes the placement if the report proves
// that it has ended.
func (s *modelState) reconcile(g guard, node int, m *Machine, sequence uint8) modelResponse {
	n := &s.nodes[node]
	response := modelResponse{sent: true, sequence: sequence, token: n.token}
	_, runs := m.Tasks[modelKey]
	mayClose := node == successor || !s.nodes[successor].alive && !s.elected() || g == deposedLeader
	later := m.Incarnation > 1 || g == onlyLaterIncarnation && m.Incarnation != 1
	switch {
	case s.closed:
		response.stop = runs
	case later || g == onlyLaterIncarnation && !runs && m.FencingToken >= uint64(n.termStart):
		s.closed = s.closed || mayClose
	case runs:
		response.stop = s.cancelled
	case s.cancelled:
		if m.StartsResolved() && mayClose {
			s.closed = true
		}
	default:
		response.start = true
	}
	return response
}

// next returns the states that can follow after one event.
func (s modelState) next(g guard) []modelState {
	var out []modelState
	add := func(t modelState) { out = append(out, t) }
	s.heartbeatSent(add)
	s.heartbeatReceived(g, add)
	s.responseReceived(add)
	s.placementReexamined(add)
	s.callSent(add)
	s.callAdvanced(g, add)
	s.leaseExpired(add)
	s.successorElected(add)
	s.tokenRaised(add)
	s.taskCancelled(add)
	return out
}

// heartbeatSent adds the state after the worker sends a heartbeat and stops waiting for an earlier response.
func (s modelState) heartbeatSent(add func(modelState)) {
	if s.sequence == maxReports {
		return
	}
	s.report()
	s.awaits = s.sequence
	s.response = modelResponse{}
	add(s)
}

// heartbeatReceived adds the states after a node receives a heartbeat, for the first time or as a duplicate.
func (s modelState) heartbeatReceived(g guard, add func(modelState)) {
	for sequence := uint8(1); sequence <= s.sequence; sequence++ {
		if s.reports[sequence].answersCall {
			continue
		}
		for node := range s.nodes {
			t := s
			response, ok := t.receive(g, node, sequence, true)
			add(t) // duplicate heartbeat, or lost response
			if ok && sequence == t.awaits {
				t.response = response
				add(t)
			}
		}
	}
}

// responseReceived adds the state after the worker receives the response to its newest heartbeat.
func (s modelState) responseReceived(add func(modelState)) {
	response := s.response
	if !response.sent || response.sequence != s.awaits {
		return
	}
	s.response = modelResponse{}
	if response.token >= s.token {
		s.token = response.token
		s.execute(response.start, response.stop)
	}
	add(s)
}

// placementReexamined adds the states after a node closes the placement of the cancelled task, based on an earlier
// report.
func (s modelState) placementReexamined(add func(modelState)) {
	for node := range s.nodes {
		n := &s.nodes[node]
		absent := n.alive && n.incarnation == 1 && !n.runs
		if s.cancelled && absent && n.machine().StartsResolved() && s.leads(node) {
			t := s
			t.closed = true
			add(t)
		}
	}
}

// callSent adds the states after a node sends a direct call, with a start or only to announce its fencing token.
func (s modelState) callSent(add func(modelState)) {
	for node := range s.nodes {
		n := s.nodes[node]
		if !n.alive || n.callInFlight || n.incarnation == 0 {
			continue
		}
		for i, call := range s.calls {
			if call.state != callUnused {
				continue
			}
			mayStart := !n.runs && !s.cancelled && !s.closed && n.incarnation == 1
			for _, start := range []bool{mayStart, false} {
				if !start && n.seenToken >= n.termStart && !s.cancelled {
					continue
				}
				t := s
				m := n.machine()
				m.NoteCall(0, uint64(i+1), uint64(n.token), modelCommands(start))
				t.nodes[node].save(m)
				t.calls[i] = modelCall{state: callInFlight, node: uint8(node), start: start,
					incarnation: n.incarnation, token: n.token}
				add(t)
			}
			break
		}
	}
}

// modelCommands returns the commands of a call with or without a start.
func modelCommands(start bool) []wire.Command {
	if !start {
		return nil
	}
	name := wire.TaskName(modelKey.Job, modelKey.Task)
	return []wire.Command{{Verb: wire.CommandStart, Task: name, Attempt: modelKey.Attempt}}
}

// callAdvanced adds the states after a call is abandoned, discarded or received, or after its answer is received or
// lost.
func (s modelState) callAdvanced(g guard, add func(modelState)) {
	for i, call := range s.calls {
		switch call.state {
		case callInFlight:
			t := s // its sender stops waiting, and it may arrive later
			t.callDone(i, true)
			t.calls[i].state = callAbandoned
			add(t)
			t = s // it was never sent
			t.callDone(i, false)
			t.calls[i] = modelCall{}
			add(t)
			if s.sequence < maxReports {
				t = s
				t.receiveCall(&t.calls[i])
				t.calls[i].state, t.calls[i].answer = callAnswered, t.sequence
				add(t)
			}
		case callAbandoned:
			t := s
			t.receiveCall(&t.calls[i])
			t.calls[i] = modelCall{}
			add(t)
		case callAnswered:
			t := s // its answer arrives
			t.callDone(i, false)
			t.receive(g, int(call.node), call.answer, false)
			t.calls[i] = modelCall{}
			add(t)
			t = s // its answer is lost
			t.callDone(i, true)
			t.calls[i] = modelCall{}
			add(t)
		}
	}
}

// callDone ends a call for its sender.
func (s *modelState) callDone(i int, unanswered bool) {
	n := &s.nodes[s.calls[i].node]
	m := n.machine()
	m.NoteCallDone(uint64(i+1), unanswered)
	n.save(m)
}

// leaseExpired adds the state after the worker's lease expires and it begins another incarnation.
func (s modelState) leaseExpired(add func(modelState)) {
	if s.incarnation != 1 {
		return
	}
	s.incarnation = 2
	s.runs = false
	s.awaits = 0
	s.response = modelResponse{}
	add(s)
}

// successorElected adds the state after the successor wins an election under a higher token.
func (s modelState) successorElected(add func(modelState)) {
	if s.elected() {
		return
	}
	token := max(s.nodes[firstLeader].token, 1) + 1
	s.nodes[successor] = modelNode{alive: true, termStart: token, token: token, uncertainStartToken: token - 1}
	add(s)
}

// tokenRaised adds the states after a leader raises its fencing token, which happens at most once in a run.
func (s modelState) tokenRaised(add func(modelState)) {
	for node := range s.nodes {
		n := s.nodes[node]
		if n.alive && !s.nodes[firstLeader].raised && !n.raised && s.leads(node) {
			t := s
			t.nodes[node].token++
			t.nodes[node].raised = true
			add(t)
		}
	}
}

// taskCancelled adds the state after the task is cancelled.
func (s modelState) taskCancelled(add func(modelState)) {
	if !s.cancelled {
		s.cancelled = true
		add(s)
	}
}

// report makes the worker send a report of its task.
func (s *modelState) report() {
	s.sequence++
	s.reports[s.sequence] = modelReport{sent: true, runs: s.runs, incarnation: s.incarnation, token: s.token}
}

// receiveCall makes the worker receive a call and answer it with a report.
func (s *modelState) receiveCall(call *modelCall) {
	s.token = max(s.token, call.token)
	if call.token == s.token && call.incarnation == s.incarnation {
		s.execute(call.start, false)
	}
	if s.sequence < maxReports {
		s.report()
		s.reports[s.sequence].answersCall = true
	}
}

// execute makes the worker execute commands.
func (s *modelState) execute(start, stop bool) {
	switch {
	case stop:
		s.runs = false
	case start:
		s.runs = true
	}
}

// explore visits every state of the protocol without the given guard. It returns the number of visited states, and
// the first state found in which the task may run twice, or nil if there is none.
func explore(without guard) (int, *modelState) {
	first := modelState{incarnation: 1}
	first.nodes[firstLeader] = modelNode{alive: true, termStart: 1, token: 1}
	return exploreStates(first,
		func(s modelState) []modelState { return s.next(without) },
		func(s *modelState) bool { return s.closed && s.runs })
}

// exploreStates visits every state that can follow the first one. It returns the number of visited states, and the
// first violation found, or nil if there is none.
func exploreStates[S comparable](first S, next func(S) []S, violates func(*S) bool) (int, *S) {
	seen := map[S]bool{first: true}
	for pending := []S{first}; len(pending) > 0; {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if violates(&s) {
			return len(seen), &s
		}
		for _, t := range next(s) {
			if !seen[t] {
				seen[t] = true
				pending = append(pending, t)
			}
		}
	}
	return len(seen), nil
}

func TestClosedPlacementNeverRuns(t *testing.T) {
	t.Parallel()
	n, violation := explore(noGuard)
	if violation != nil {
		t.Fatalf("task may run twice in state %+v", *violation)
	}
	t.Logf("explored %d states", n)
	for _, g := range guards {
		if n, violation := explore(g); violation == nil {
			t.Errorf("no violation found without guard %q in %d states", g, n)
		}
	}
}
