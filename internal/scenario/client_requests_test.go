package scenario

import (
	"fmt"
	"strings"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// What users ask, and whether they hear anything that is older than what they heard before.

// Ask has a user make a request to a node and returns the answer, waiting for
// it as users do.
func (s *Sim) Ask(n *node, input func(req uint64) msg.Input) msg.Respond {
	if !n.alive {
		return msg.Respond{}
	}
	s.req++
	req := s.req
	s.post(n, input(req))
	s.settle()
	for range 40 {
		if a, ok := n.answers[req]; ok {
			delete(n.answers, req)
			return a
		}
		s.Run(tick)
	}
	return msg.Respond{}
}

// Submit submits a job.
func (s *Sim) Submit(n *node, j *emulator.SubmittedJob) msg.Respond {
	if s.world.Jobs[j.ID] == nil {
		s.world.Jobs[j.ID] = j
	}
	floor := s.told[j.ID]
	a := s.Ask(n, s.submission(j))
	s.judge(j.ID, floor, a)
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

// Cancel has a user cancel a job.
func (s *Sim) Cancel(n *node, id string) msg.Respond {
	if j := s.world.Jobs[id]; j != nil {
		j.Asked = true
	}
	floor := s.told[id]
	a := s.Ask(n, func(req uint64) msg.Input { return msg.CancelIn{RequestID: req, JobID: id} })
	s.judge(id, floor, a)
	return a
}

// Poll has a user ask about a job.
func (s *Sim) Poll(n *node, id string) msg.Respond {
	floor := s.told[id]
	a := s.Ask(n, func(req uint64) msg.Input { return msg.PollIn{RequestID: req, JobID: id} })
	s.judge(id, floor, a)
	return a
}

// final tells whether a state is a last word.
func final(status string) bool { return status == wire.Done || status == wire.Cancelled }

// judge watches what users are told. What anybody had heard of the job before this question was
// asked is its floor: no node may answer something older, whichever told it. An answer to a
// question from before that may.
func (s *Sim) judge(id, floor string, a msg.Respond) {
	broken := func(rule string) {
		s.world.Broken = append(s.world.Broken, fmt.Sprintf("%s %s: %s after %q", rule, id, strings.TrimSpace(describe(a)), floor))
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
	j := s.world.Jobs[id]
	if j == nil {
		broken("invented")
		return
	}
	if final(floor) && st.Status != floor || final(s.told[id]) && final(st.Status) && st.Status != s.told[id] {
		broken("went_back")
	}
	if st.Status == wire.Cancelled && !s.world.MayBeCancelled(id) {
		broken("went_back (nobody has asked for it)")
	}
	if at := s.world.CancelledAt(id); at != 0 && s.now-at > s.world.CancelIn && !final(st.Status) {
		broken("orphaned")
	}
	if st.Status == wire.Done && !s.world.Done(id) {
		broken("not_done")
	}
	if st.Status == wire.Cancelled && j.Cancelled == 0 {
		j.Cancelled = s.now
	}
	if final(s.told[id]) {
		return
	}
	if s.told[id] == "" {
		s.known[id] = s.now
	}
	news := s.told[id] == "" || final(st.Status)
	s.told[id] = st.Status
	if news {
		s.lookClosely(id)
	}
}
