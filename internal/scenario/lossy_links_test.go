package scenario

import (
	"math/rand/v2"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// heartbeatCopies are copies of the heartbeats that were sent. The network may deliver one again to any
// node, seconds or some leases later.
type heartbeatCopies struct {
	kept   []heartbeatCopy
	maxAge emulator.Micros // of a copy that can still arrive
}

// heartbeatCopy is a copy of a heartbeat and the time at which the heartbeat was sent.
type heartbeatCopy struct {
	sentAt    emulator.Micros
	heartbeat wire.Heartbeat
}

// maxCopies bounds the number of copies that are kept, for large fleets.
const maxCopies = 20_000

// add adds a copy, and drops copies that are older than maxAge and the oldest beyond maxCopies.
func (c *heartbeatCopies) add(now emulator.Micros, r *wire.Heartbeat) {
	if c == nil {
		return
	}
	drop := 0
	for drop < len(c.kept) && now-c.kept[drop].sentAt > c.maxAge {
		drop++
	}
	drop = max(drop, len(c.kept)-maxCopies)
	c.kept = append(slices.Delete(c.kept, 0, drop), heartbeatCopy{now, *r})
}

// deliverCopies delivers random copies to a node. The responses are discarded.
func (s *Sim) deliverCopies(n *node, rnd *rand.Rand, count int) {
	for range count {
		if len(s.heartbeatCopies.kept) == 0 || !n.alive {
			return
		}
		s.deliverCopy(n, &s.heartbeatCopies.kept[rnd.IntN(len(s.heartbeatCopies.kept))].heartbeat)
	}
}

// deliverCopiesToAll delivers random copies, each to every node that is alive.
func (s *Sim) deliverCopiesToAll(rnd *rand.Rand, count int) {
	for range count {
		if len(s.heartbeatCopies.kept) == 0 {
			return
		}
		r := s.heartbeatCopies.kept[rnd.IntN(len(s.heartbeatCopies.kept))].heartbeat
		for _, n := range s.nodes {
			if n.alive {
				s.deliverCopy(n, &r)
			}
		}
	}
}

// deliverCopy delivers a copy of a heartbeat to a node. The response is discarded.
func (s *Sim) deliverCopy(n *node, h *wire.Heartbeat) { _, _ = s.postHeartbeat(n, h) }

// postHeartbeat delivers a heartbeat to a node and returns the response; ok is false if there is none.
func (s *Sim) postHeartbeat(n *node, h *wire.Heartbeat) (response msg.Respond, ok bool) {
	s.lastRequestID++
	req := s.lastRequestID
	s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: *h})
	s.deliverAll()
	response, ok = n.responses[req]
	delete(n.responses, req)
	return response, ok
}

// injectLinkFault injects one of the faults that TestChaosOfLinks adds, at random.
func (s *Sim) injectLinkFault(n *node, rnd *rand.Rand) {
	names := s.env.MachineNames()
	machine := func() *emulator.Machine { return s.env.Machines[names[rnd.IntN(len(names))]] }
	switch rnd.IntN(6) {
	case 0: // a machine becomes unreachable, or reachable again
		if len(names) == 0 {
			return
		}
		if m := machine(); m.InboundLost == "" {
			m.InboundLost = []string{"drop", "hold"}[rnd.IntN(2)]
		} else {
			m.InboundLost = ""
		}
	case 1:
		s.deliverCopies(n, rnd, 1+rnd.IntN(30))
	case 2: // a node restarts within a second
		n.alive = false
		s.run(emulator.Micros(1+rnd.IntN(9)) * tick)
		s.start(n)
		if rnd.IntN(2) == 0 {
			s.deliverCopies(n, rnd, 1+rnd.IntN(30))
		}
	case 3: // all nodes restart within seconds
		for _, other := range s.nodes {
			other.alive = false
		}
		for _, i := range rnd.Perm(len(s.nodes)) {
			s.run(emulator.Micros(rnd.IntN(5)) * tick)
			s.start(s.nodes[i])
			s.deliverCopies(s.nodes[i], rnd, rnd.IntN(10))
		}
	case 4: // a node reaches neither the state service nor its peers
		mode := []string{"drop", "hold"}[rnd.IntN(2)]
		n.cutLinks["state"], n.cutLinks["peers"] = mode, mode
	case 5: // a machine restarts within a second
		if len(names) > 0 {
			s.env.Restart(s.now, emulator.Micros(1+rnd.IntN(9))*tick, machine(), false)
		}
	}
}
