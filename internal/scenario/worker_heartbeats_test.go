package scenario

import (
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Heartbeats of workers, and the responses to them.

// sendHeartbeats sends the heartbeats of workers that are due, as the protocol requires.
func (s *Sim) sendHeartbeats() {
	for _, name := range s.env.MachineNames() {
		m := s.env.Machines[name]
		if !m.Due(s.now) {
			continue
		}
		n := s.nodes[m.Node%len(s.nodes)]
		h := m.NextHeartbeat()
		m.HeartbeatSent(s.now, s.env.HeartbeatInterval)
		s.heartbeatCopies.add(s.now, &h)
		s.reportSizes.add(s.now, &h)
		s.scheduleCopy(&h)
		if requestDelay, responseDelay := s.messageFaults.heartbeatDelays(); requestDelay+responseDelay > 0 {
			s.sendSlowHeartbeat(n, m, h, requestDelay, responseDelay)
			continue
		}
		var a msg.Respond
		if n.alive && n.cutLinks["workers"] == "" && s.reaches(n, m) && !m.OutboundLost {
			a, _ = s.postHeartbeat(n, &h)
		}
		if s.env.Machines[name] == nil {
			continue
		}
		s.deliverHeartbeatResponse(n, m, &h, s.now, a)
	}
}

// scheduleCopy schedules the arrival of a copy of a heartbeat at a random node, if the message faults
// draw one.
func (s *Sim) scheduleCopy(h *wire.Heartbeat) {
	arrives, after := s.messageFaults.copyFate(s.env.Lease)
	if !arrives {
		return
	}
	to := s.nodes[s.messageFaults.rnd.IntN(len(s.nodes))]
	s.schedule(after, func() {
		if to.alive {
			s.deliverCopy(to, h)
		}
	})
}

// deliverHeartbeatResponse delivers the response to a heartbeat to the worker; the zero value means
// that the heartbeat timed out. The worker follows redirects and tries the next node after a failure.
func (s *Sim) deliverHeartbeatResponse(n *node, m *emulator.Machine, h *wire.Heartbeat, sent emulator.Micros,
	a msg.Respond) {
	if m.InboundLost != "" {
		a = msg.Respond{}
	}
	switch body := a.Body.(type) {
	case wire.HeartbeatResponse:
		s.env.HandleHeartbeatResponse(s.now, sent, h.Incarnation, m, body)
	case wire.Redirect:
		to := s.node(body.Node)
		for i := range s.nodes {
			if s.nodes[i] == to && to != n && body.Node != "" {
				m.Node, m.NextAt = i, s.now
			}
		}
		if s.nodes[m.Node%len(s.nodes)] == n {
			m.Node++
		}
	default:
		m.Node++
		m.NextAt = s.now + emulator.Second
	}
}
