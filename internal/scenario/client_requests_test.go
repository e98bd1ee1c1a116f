package scenario

import (
	"fmt"
	"strings"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// What users ask, and whether they hear anything that is older than what they heard before.

// request has a user make a request to a node and returns the answer, waiting for
// it as users do.
func (s *Sim) request(n *node, input func(req uint64) msg.Input) msg.Respond {
	if !n.alive {
		return msg.Respond{}
	}
	s.lastRequestID++
	req := s.lastRequestID
	s.post(n, input(req))
	s.deliverAll()
	for range 40 {
		if a, ok := n.answers[req]; ok {
			delete(n.answers, req)
			return a
		}
		s.run(tick)
	}
	return msg.Respond{}
}

// submit submits a job.
func (s *Sim) submit(n *node, j *emulator.SubmittedJob) msg.Respond {
	if s.env.Jobs[j.ID] == nil {
		s.env.Jobs[j.ID] = j
	}
	floor := s.lastStatus[j.ID]
	a := s.request(n, s.submission(j))
	s.checkAnswer(j.ID, floor, a)
	return a
}

// submission is the request that submits a job.
func (s *Sim) submission(j *emulator.SubmittedJob) func(req uint64) msg.Input {
	raw, err := wire.Marshal(&j.Job)
	if err != nil {
		panic(err) // a description that the runner has made
	}
	return func(req uint64) msg.Input { return msg.SubmitIn{RequestID: req, WallClock: s.now, Body: raw} }
}

// cancel has a user cancel a job.
func (s *Sim) cancel(n *node, id string) msg.Respond {
	if j := s.env.Jobs[id]; j != nil {
		j.Asked = true
	}
	floor := s.lastStatus[id]
	a := s.request(n, func(req uint64) msg.Input { return msg.CancelIn{RequestID: req, JobID: id} })
	s.checkAnswer(id, floor, a)
	return a
}

// poll has a user ask about a job.
func (s *Sim) poll(n *node, id string) msg.Respond {
	floor := s.lastStatus[id]
	a := s.request(n, func(req uint64) msg.Input { return msg.PollIn{RequestID: req, JobID: id} })
	s.checkAnswer(id, floor, a)
	return a
}

// isFinal tells whether a state is a last word.
func isFinal(status string) bool { return status == wire.Done || status == wire.Cancelled }

// checkAnswer watches what users are told. What anybody had heard of the job before this question was
// asked is its floor: no node may answer something older, whichever told it. An answer to a
// question from before that may.
func (s *Sim) checkAnswer(id, floor string, a msg.Respond) {
	broken := func(rule string) {
		s.env.Broken = append(s.env.Broken, fmt.Sprintf("%s %s: %s after %q", rule, id, strings.TrimSpace(formatResponse(a)), floor))
	}
	if floor != "" && (a.Status == 404 || a.Status == 400 || a.Status == 422) {
		broken("forgotten")
	}
	if floor != "" && a.Status == 201 {
		broken("went_back accepted twice")
	}
	st, ok := a.Body.(wire.JobStatus)
	if !ok {
		return
	}
	j := s.env.Jobs[id]
	if j == nil {
		broken("invented")
		return
	}
	if isFinal(floor) && st.Status != floor || isFinal(s.lastStatus[id]) && isFinal(st.Status) && st.Status != s.lastStatus[id] {
		broken("went_back")
	}
	if st.Status == wire.Cancelled && !s.env.MayBeCancelled(id) {
		broken("went_back (nobody has asked for it)")
	}
	if at := s.env.CancelledAt(id); at != 0 && s.now-at > s.env.CancelIn && !isFinal(st.Status) {
		broken("orphaned")
	}
	if st.Status == wire.Done && !s.env.Done(id) {
		broken("not_done")
	}
	if st.Status == wire.Cancelled && j.Cancelled == 0 {
		j.Cancelled = s.now
	}
	if isFinal(s.lastStatus[id]) {
		return
	}
	if s.lastStatus[id] == "" {
		s.acceptedAt[id] = s.now
	}
	news := s.lastStatus[id] == "" || isFinal(st.Status)
	s.lastStatus[id] = st.Status
	if news {
		s.pollClosely(id)
	}
}
