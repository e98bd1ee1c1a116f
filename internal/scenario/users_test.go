package scenario

import (
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// user makes requests of one kind about a job, with retries: polls, cancellations or repeated
// submissions.
type user struct {
	id          string
	cancel      bool
	resubmit    bool
	remaining   int    // requests still to make; 0 if they are made until the status is final
	knownStatus string // latest status that any user had been told when the request was made
	requestID   uint64 // of the request in flight, 0 if there is none
	requestNode *node
	requestCore any
	requestedAt emulator.Micros
	nextAt      emulator.Micros
	attempts    int
	answeredAt  emulator.Micros // time of the last response with status 200
}

// Timeouts and intervals of users.
const (
	pollTimeout   = 2 * emulator.Second
	pollInterval  = 5 * emulator.Second
	cancelTimeout = 5 * emulator.Second
)

// timing returns the timeout of a request, and the time from its response to the next request.
func (u *user) timing() (timeout, interval emulator.Micros) {
	switch {
	case u.remaining > 0:
		return pollTimeout, 0
	case u.cancel || u.resubmit:
		return cancelTimeout, emulator.Second
	}
	return pollTimeout, pollInterval
}

// cancelUntilFinal adds a user that cancels a job, with retries at other nodes until the response has a
// final status. It has no effect if the job's cancellation has been requested already.
func (s *Sim) cancelUntilFinal(id string) {
	if j := s.env.Jobs[id]; j != nil && !j.CancelRequested {
		j.CancelRequested = true
		s.users = append(s.users, &user{id: id, cancel: true, nextAt: s.now, answeredAt: s.now, attempts: len(s.users)})
	}
}

// pollUntilFinal adds two users that poll a job at different nodes until the response has a final
// status. With concurrentRequests, and if no user has been told the job's status yet, it also adds a user
// that repeats the submission until it succeeds.
func (s *Sim) pollUntilFinal(id string) {
	for range 2 {
		s.users = append(s.users, &user{id: id, nextAt: s.now + tick, answeredAt: s.now, attempts: len(s.users)})
	}
	if s.concurrentRequests != nil && s.lastStatus[id] == "" {
		s.users = append(s.users, &user{id: id, resubmit: true, nextAt: s.now + tick, answeredAt: s.now,
			attempts: len(s.users)})
	}
}

// sendUserRequests delivers responses to the users and makes their next requests. With
// concurrentRequests all requests are in flight before any is handled.
func (s *Sim) sendUserRequests() {
	users := s.users
	s.users = nil
	var remaining []*user
	for _, u := range users {
		if u.requestID != 0 && s.handleUserResponse(u) {
			continue
		}
		remaining = append(remaining, u)
		if u.requestID == 0 && s.now >= u.nextAt {
			s.sendUserRequest(u)
		}
	}
	s.deliverAll()
	s.users = append(remaining, s.users...) // users that a response has added come last
}

// sendUserRequest makes the next request of a user, at the next node.
func (s *Sim) sendUserRequest(u *user) {
	u.attempts++
	n := s.nodes[u.attempts%len(s.nodes)]
	if !n.alive {
		u.nextAt = s.now + tick // a load balancer would select another node
		return
	}
	s.lastRequestID++
	u.requestID = s.lastRequestID
	u.requestNode = n
	u.requestCore = n.core
	u.requestedAt = s.now
	u.knownStatus = s.lastStatus[u.id]
	switch {
	case u.cancel:
		s.post(n, msg.CancelIn{RequestID: u.requestID, JobID: u.id})
	case u.resubmit:
		s.post(n, s.submission(s.env.Jobs[u.id])(u.requestID))
	default:
		s.post(n, msg.PollIn{RequestID: u.requestID, JobID: u.id})
	}
	if s.concurrentRequests == nil {
		s.deliverAll()
	}
}

// handleUserResponse checks the response to a user's request in flight, or has the request time out. It
// reports whether the user has no more requests to make.
func (s *Sim) handleUserResponse(u *user) (finished bool) {
	a, answered := u.requestNode.responses[u.requestID]
	timeout, interval := u.timing()
	lost := !u.requestNode.alive || any(u.requestNode.core) != u.requestCore
	switch {
	case answered:
		delete(u.requestNode.responses, u.requestID)
		s.checkResponse(u.id, u.knownStatus, a)
		if a.Status == 200 {
			u.answeredAt = s.now
		}
		u.nextAt = s.now + interval
	case s.now-u.requestedAt >= timeout || lost:
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
