package scenario

import (
	"fmt"
	"strings"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Requests of users, and checks of the responses.

// responseTicks is how many ticks a request without a timeout of its own waits for the response.
const responseTicks = 40

// request makes a request to a node and returns the response, or the zero value if there is none
// within four seconds.
func (s *Sim) request(n *node, input func(req uint64) msg.Input) msg.Respond {
	if !n.alive {
		return msg.Respond{}
	}
	s.lastRequestID++
	req := s.lastRequestID
	s.post(n, input(req))
	s.deliverAll()
	for range responseTicks {
		if a, ok := n.responses[req]; ok {
			delete(n.responses, req)
			return a
		}
		s.run(tick)
	}
	return msg.Respond{}
}

// submit submits a job as a user would and checks the response.
func (s *Sim) submit(n *node, j *emulator.SubmittedJob) msg.Respond {
	if s.env.Jobs[j.ID] == nil {
		s.env.Jobs[j.ID] = j
	}
	knownStatus := s.lastStatus[j.ID]
	a := s.request(n, s.submission(j))
	s.checkResponse(j.ID, knownStatus, a)
	return a
}

// submission returns a function that returns the input that submits a job with a request ID.
func (s *Sim) submission(j *emulator.SubmittedJob) func(req uint64) msg.Input {
	raw, err := wire.Marshal(&j.Job)
	if err != nil {
		panic(err) // impossible for a job that the simulation has created
	}
	return func(req uint64) msg.Input { return msg.SubmitIn{RequestID: req, WallClock: s.now, Body: raw} }
}

// cancel cancels a job as a user would and checks the response.
func (s *Sim) cancel(n *node, id string) msg.Respond {
	if j := s.env.Jobs[id]; j != nil {
		j.CancelRequested = true
	}
	knownStatus := s.lastStatus[id]
	a := s.request(n, func(req uint64) msg.Input { return msg.CancelIn{RequestID: req, JobID: id} })
	s.checkResponse(id, knownStatus, a)
	return a
}

// poll polls a job as a user would and checks the response.
func (s *Sim) poll(n *node, id string) msg.Respond {
	knownStatus := s.lastStatus[id]
	a := s.request(n, func(req uint64) msg.Input { return msg.PollIn{RequestID: req, JobID: id} })
	s.checkResponse(id, knownStatus, a)
	return a
}

func isFinal(status string) bool { return status == wire.Done || status == wire.Cancelled }

// cancelledSince returns when a user was told that a job, or one that it depends on, is cancelled, or the job's own
// acceptance if that was later; 0 if no user was told. The first answer to an accepted job is always "queued".
func (s *Sim) cancelledSince(id string) emulator.Micros {
	at := s.env.CancelledAt(id)
	if at == 0 {
		return 0
	}
	if acceptedAt := s.acceptedAt[id]; acceptedAt != 0 {
		return max(at, acceptedAt)
	}
	return max(at, s.now)
}

// checkResponse checks the response to a user's request about a job. knownStatus is the latest status
// that any user had been told before the request was made: no node may respond with an older one,
// whichever node had told it. The response to an earlier request may be older.
func (s *Sim) checkResponse(id, knownStatus string, a msg.Respond) {
	violated := func(rule string) {
		s.env.Violations = append(s.env.Violations, fmt.Sprintf("%s %s: %s after %q", rule, id,
			strings.TrimSpace(formatResponse(a)), knownStatus))
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
	finalStatusesDiffer := isFinal(s.lastStatus[id]) && isFinal(st.Status) && st.Status != s.lastStatus[id]
	if changedAfterEnd || finalStatusesDiffer {
		violated("went_back")
	}
	if st.Status == wire.Cancelled && !s.env.MayBeCancelled(id) {
		violated("went_back (cancellation not requested)")
	}
	if at := s.cancelledSince(id); at != 0 && s.now-at > s.env.CancelTimeout && !isFinal(st.Status) {
		violated("orphaned")
	}
	if st.Status == wire.Done && !s.env.Done(id) {
		violated("not_done")
	}
	if st.Status == wire.Cancelled && j.CancelledAt == 0 {
		j.CancelledAt = s.now
	}
	s.recordStatus(id, st.Status)
}

// recordStatus records the status that a user was told, unless a final status is known already. The
// first status and the final one trigger the requests of concurrentRequests.
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
		s.addConcurrentUsers(id)
	}
}
