package scenario

import (
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Messages between nodes.

// forward delivers a forwarded heartbeat to another node, which handles it at once.
func (s *Sim) forward(n *node, f msg.Forward) {
	d := msg.ForwardDone{RequestID: f.RequestID, Heartbeat: f.Heartbeat}
	if to := s.node(f.Node); to.alive && s.peerCutMode(n, to) == "" {
		s.lastRequestID++
		req := s.lastRequestID
		for _, e := range s.step(to, msg.HeartbeatIn{RequestID: req, Heartbeat: f.Heartbeat, Forwarded: true}) {
			s.execute(to, e)
		}
		if response, ok := to.responses[req].Body.(wire.HeartbeatResponse); ok {
			d.Response = &response
		}
		d.Busy = s.now < to.busyUntil
		delete(to.responses, req)
	}
	s.post(n, d)
}

// sendBatch sends a batch of heartbeats to another node, which handles it at once. Over a link that
// holds messages back the batch arrives late, and the response is lost.
func (s *Sim) sendBatch(n *node, batch msg.HeartbeatBatch) {
	to := s.node(batch.Node)
	if to.alive && s.peerCutMode(n, to) == "" {
		s.lastRequestID++
		req := s.lastRequestID
		in := msg.HeartbeatBatchIn{RequestID: req, Node: n.name, Revision: batch.Revision, Acks: batch.Acks}
		for _, e := range s.step(to, in) {
			s.execute(to, e) // the effects may include further requests
		}
		response, _ := to.responses[req].Body.(msg.HeartbeatBatchResponse)
		delete(to.responses, req)
		s.reply(n, s.messageFaults.batchDelay(), msg.HeartbeatBatchDone{Batch: batch, HeartbeatBatchResponse: response})
		return
	}
	if s.peerCutMode(n, to) == "hold" {
		s.heldMessages = append(s.heldMessages, func() {
			if to.alive {
				s.lastRequestID++
				s.post(to, msg.HeartbeatBatchIn{RequestID: s.lastRequestID, Node: n.name, Revision: batch.Revision,
					Acks: batch.Acks})
			}
		})
	}
}
