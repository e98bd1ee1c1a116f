package scenario

import (
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// user makes requests about a job with retries: polls, cancellations or repeated submissions.
type user struct {
	id          string
	cancel      bool
	resubmit    bool
	remaining   int    // requests still to make; 0: until the answer is final
	knownStatus string // what anybody had been told when the request was made
	requestID   uint64 // of the open request; 0: none
	askedNode   *node
	askedCore   any
	askedAt     emulator.Micros
	nextAt      emulator.Micros
	attempts    int
	answeredAt  emulator.Micros // of the last informative answer
}

// Timeouts and intervals of users.
const (
	pollTimeout   = 2 * emulator.Second
	pollInterval  = 5 * emulator.Second
	cancelTimeout = 5 * emulator.Second
)

// timing returns the timeout of a request, and the time from its answer to the next request.
func (u *user) timing() (timeout, interval emulator.Micros) {
	switch {
	case u.remaining > 0:
		return pollTimeout, 0
	case u.cancel || u.resubmit:
		return cancelTimeout, emulator.Second
	}
	return pollTimeout, pollInterval
}

// cancelUntilFinal has a user cancel a job, with retries at other nodes until the answer is
// final.
func (s *Sim) cancelUntilFinal(id string) {
	if j := s.env.Jobs[id]; j != nil && !j.Asked {
		j.Asked = true
		s.users = append(s.users, &user{id: id, cancel: true, nextAt: s.now, answeredAt: s.now, attempts: len(s.users)})
	}
}

// pollUntilFinal has two users poll a job at different nodes until the answer is final. With
// close polling its submission is repeated until it is answered.
func (s *Sim) pollUntilFinal(id string) {
	for range 2 {
		s.users = append(s.users, &user{id: id, nextAt: s.now + tick, answeredAt: s.now, attempts: len(s.users)})
	}
	if s.closePolling != nil && s.lastStatus[id] == "" {
		s.users = append(s.users, &user{id: id, resubmit: true, nextAt: s.now + tick, answeredAt: s.now, attempts: len(s.users)})
	}
}

// askUsers delivers answers to the users and makes their next requests. All requests are in
// flight before any is answered.
func (s *Sim) askUsers() {
	users := s.users
	s.users = nil
	var remaining []*user
	for _, u := range users {
		if u.requestID != 0 && s.takeAnswer(u) {
			continue
		}
		remaining = append(remaining, u)
		if u.requestID == 0 && s.now >= u.nextAt {
			s.askUser(u)
		}
	}
	s.deliverAll()
	s.users = append(remaining, s.users...) // users that an answer has added come last
}

// askUser makes the next request of a user, at the next node.
func (s *Sim) askUser(u *user) {
	u.attempts++
	n := s.nodes[u.attempts%len(s.nodes)]
	if !n.alive {
		u.nextAt = s.now + tick // the load balancer picks another
		return
	}
	s.lastRequestID++
	u.requestID = s.lastRequestID
	u.askedNode = n
	u.askedCore = n.core
	u.askedAt = s.now
	u.knownStatus = s.lastStatus[u.id]
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

// takeAnswer checks the answer to a user's open request, or lets it time out. It reports
// whether the user has no more requests to make.
func (s *Sim) takeAnswer(u *user) (finished bool) {
	a, answered := u.askedNode.answers[u.requestID]
	timeout, interval := u.timing()
	lost := !u.askedNode.alive || any(u.askedNode.core) != u.askedCore
	switch {
	case answered:
		delete(u.askedNode.answers, u.requestID)
		s.checkAnswer(u.id, u.knownStatus, a)
		if a.Status == 200 {
			u.answeredAt = s.now
		}
		u.nextAt = s.now + interval
	case s.now-u.askedAt >= timeout || lost:
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
	if isFinal(st.Status) {
		return true
	}
	succeeded := answered && a.Status >= 200 && a.Status < 300
	return u.resubmit && (succeeded || s.lastStatus[u.id] != "")
}
