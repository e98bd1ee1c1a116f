package emulator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

// statusVerb is the last segment of the path of a request for a worker's status.
const statusVerb = "status"

// unreachablePollInterval is how often a request to an unreachable worker checks whether the worker can be
// reached again.
const unreachablePollInterval = 100 * time.Millisecond

// Values of Machine.InboundLost.
const (
	inboundDrop = "drop"
	inboundHold = "hold"
)

// WorkerHandler returns the handler of the APIs of all workers: the first segment of the path is the name
// of the machine. A worker that hangs or has not started doesn't answer.
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
			writeBody(w, http.StatusOK, m.NextHeartbeat())
		default:
			status, heartbeat := s.Environment.Commands(s.Now(), m, request)
			if status == http.StatusOK {
				s.scheduleCallCopies(name, request)
			}
			writeBody(w, status, heartbeat)
		}
	})
}

// lockReachable waits until a machine can be reached or no longer exists, and returns true with s.mu held.
// If the request is lost, it waits until the client has cancelled it, and returns false without the lock.
// A request to a machine that hangs takes effect when the machine resumes, even if the client has
// cancelled it meanwhile.
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
		wait.For(context.Background(), unreachablePollInterval)
	}
}

// reachable reports whether requests reach the worker.
func (m *Machine) reachable(now Micros) bool {
	return !m.Hanging && m.InboundLost == "" && now >= m.StartsAt
}
