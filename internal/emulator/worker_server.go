package emulator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

// statusVerb is the last part of the path of a request for a worker's status.
const statusVerb = "status"

// unreachablePoll is how often a request to a worker that can't be reached checks whether it can again.
const unreachablePoll = 100 * time.Millisecond

// Values of Machine.InboundLost.
const (
	inboundDrop = "drop"
	inboundHold = "hold"
)

// WorkerHandler serves all workers: the first part of the path is the machine. One that hangs or is not
// up yet doesn't answer.
func (s *Servers) WorkerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, verb, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		var request wire.CommandRequest
		valid := verb == statusVerb || readBody(r, &request)
		if !s.lockReachable(r, name) {
			return
		}
		defer s.mu.Unlock()
		m := s.Environment.Machines[name]
		switch {
		case m == nil || !valid:
			writeMalformed(w)
		case verb == statusVerb:
			writeBody(w, http.StatusOK, m.Status())
		default:
			status, heartbeat := s.Environment.Commands(s.Now(), m, request)
			writeBody(w, status, heartbeat)
		}
	})
}

// lockReachable waits until a machine can be reached or is gone, and returns with the lock held. It
// returns false, without the lock, if the request is lost; then its sender has given up. What was sent
// to a machine that hangs takes effect when it goes on, although the sender has given up.
func (s *Servers) lockReachable(r *http.Request, name string) bool {
	for {
		s.mu.Lock()
		m := s.Environment.Machines[name]
		if m == nil || m.reachable(s.Now()) {
			return true
		}
		lost := m.InboundLost == inboundDrop
		s.mu.Unlock()
		if lost {
			<-r.Context().Done()
			return false
		}
		wait.For(context.Background(), unreachablePoll)
	}
}

// reachable reports whether requests reach the worker.
func (m *Machine) reachable(now Micros) bool {
	return !m.Hang && m.InboundLost == "" && now >= m.Up
}
