package scenario

import (
	"fmt"
	"strings"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Requests of users, and the checks of their answers.

// answerTicks is how many ticks a request without a timeout of its own waits for the answer.
const answerTicks = 40

// request makes a request to a node and returns the answer; the zero value if there is none
// within four seconds.
func (s *Sim) request(n *node, input func(req uint64) msg.Input) msg.Respond {
	if !n.alive {
		return msg.Respond{}
	}
	s.lastRequestID++
	req := s.lastRequestID
	s.post(n, input(req))
	s.deliverAll()
	for range answerTicks {
		if a, ok := n.answers[req]; ok {
			delete(n.answers, req)
			return a
		}
		s.run(tick)
	}
	return msg.Respond{}
}

// submit has a user submit a job.
func (s *Sim) submit(n *node, j *emulator.SubmittedJob) msg.Respond {
	if s.env.Jobs[j.ID] == nil {
		s.env.Jobs[j.ID] = j
	}
	knownStatus := s.lastStatus[j.ID]
	a := s.request(n, s.submission(j))
	s.checkAnswer(j.ID, knownStatus, a)
	return a
}

// submission returns the input that submits a job, for a request id.
func (s *Sim) submission(j *emulator.SubmittedJob) func(req uint64) msg.Input {
	raw, err := wire.Marshal(&j.Job)
	if err != nil {
		panic(err) // impossible: the runner made it
	}
	return func(req uint64) msg.Input { return msg.SubmitIn{RequestID: req, WallClock: s.now, Body: raw} }
}

// cancel has a user cancel a job.
func (s *Sim) cancel(n *node, id string) msg.Respond {
	if j := s.env.Jobs[id]; j != nil {
		j.Asked = true
	}
	knownStatus := s.lastStatus[id]
	a := s.request(n, func(req uint64) msg.Input { return msg.CancelIn{RequestID: req, JobID: id} })
	s.checkAnswer(id, knownStatus, a)
	return a
}

// poll has a user poll a job.
func (s *Sim) poll(n *node, id string) msg.Respond {
	knownStatus := s.lastStatus[id]
	a := s.request(n, func(req uint64) msg.Input { return msg.PollIn{RequestID: req, JobID: id} })
	s.checkAnswer(id, knownStatus, a)
	return a
}

// isFinal reports whether a status is final.
func isFinal(status string) bool { return status == wire.Done || status == wire.Cancelled }

// checkAnswer checks what a user is told. knownStatus is what any user had been told of the job
// before the request was made: no node may answer something older, whichever node told it.
// The answer to an earlier request may be older.
func (s *Sim) checkAnswer(id, knownStatus string, a msg.Respond) {
	violated := func(rule string) {
		s.env.Broken = append(s.env.Broken, fmt.Sprintf("%s %s: %s after %q", rule, id, strings.TrimSpace(formatResponse(a)), knownStatus))
	}
	if knownStatus != "" && (a.Status == 404 || a.Status == 400 || a.Status == 422) {
		violated("forgotten")
	}
	if knownStatus != "" && a.Status == 201 {
		violated("went_back accepted twice")
	}
	st, ok := a.Body.(wire.JobStatus)
	if !ok {
		return
	}
	j := s.env.Jobs[id]
	if j == nil {
		violated("invented")
		return
	}
	changedAfterEnd := isFinal(knownStatus) && st.Status != knownStatus
	endsDiffer := isFinal(s.lastStatus[id]) && isFinal(st.Status) && st.Status != s.lastStatus[id]
	if changedAfterEnd || endsDiffer {
		violated("went_back")
	}
	if st.Status == wire.Cancelled && !s.env.MayBeCancelled(id) {
		violated("went_back (nobody has asked for it)")
	}
	if at := s.env.CancelledAt(id); at != 0 && s.now-at > s.env.CancelIn && !isFinal(st.Status) {
		violated("orphaned")
	}
	if st.Status == wire.Done && !s.env.Done(id) {
		violated("not_done")
	}
	if st.Status == wire.Cancelled && j.Cancelled == 0 {
		j.Cancelled = s.now
	}
	s.recordStatus(id, st.Status)
}

// recordStatus records what a user was told, unless a final status is known already. Users poll
// closely after the first answer and after the final one.
func (s *Sim) recordStatus(id, status string) {
	if isFinal(s.lastStatus[id]) {
		return
	}
	if s.lastStatus[id] == "" {
		s.acceptedAt[id] = s.now
	}
	changed := s.lastStatus[id] == "" || isFinal(status)
	s.lastStatus[id] = status
	if changed {
		s.pollClosely(id)
	}
}
