package scenario

import (
	"math/rand/v2"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// heartbeatCopies are reports as they were sent. The network may deliver one again, seconds or some
// leases later, to whichever node.
type heartbeatCopies struct {
	kept   []heartbeatCopy
	maxAge emulator.Micros // the oldest that still comes
}

type heartbeatCopy struct {
	sentAt    emulator.Micros
	heartbeat wire.Heartbeat
}

// maxCopies bounds what is kept of a large fleet.
const maxCopies = 20_000

func (c *heartbeatCopies) add(now emulator.Micros, r *wire.Heartbeat) {
	if c == nil {
		return
	}
	old := 0
	for old < len(c.kept) && now-c.kept[old].sentAt > c.maxAge {
		old++
	}
	old = max(old, len(c.kept)-maxCopies)
	c.kept = append(slices.Delete(c.kept, 0, old), heartbeatCopy{now, *r})
}

// deliverCopies delivers a few copies to a node. What it answers reaches nobody.
func (s *Sim) deliverCopies(n *node, rnd *rand.Rand, count int) {
	for range count {
		if len(s.heartbeatCopies.kept) == 0 || !n.alive {
			return
		}
		s.deliverCopy(n, &s.heartbeatCopies.kept[rnd.IntN(len(s.heartbeatCopies.kept))].heartbeat)
	}
}

// deliverCopiesToAll delivers a few copies to every node.
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

// deliverCopy delivers one report once more.
func (s *Sim) deliverCopy(n *node, r *wire.Heartbeat) msg.Respond {
	s.lastRequestID++
	req := s.lastRequestID
	s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: *r})
	s.deliverAll()
	a := n.answers[req]
	delete(n.answers, req)
	return a
}

// injectLinkFault is one of the later kinds of troubles.
func (s *Sim) injectLinkFault(n *node, rnd *rand.Rand) {
	names := s.env.Names()
	machine := func() *emulator.Machine { return s.env.Machines[names[rnd.IntN(len(names))]] }
	switch rnd.IntN(6) {
	case 0: // a machine is not reached any more, or again
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
	case 2: // a node is back in a moment
		n.alive = false
		s.run(emulator.Micros(1+rnd.IntN(9)) * tick)
		s.start(n)
		if rnd.IntN(2) == 0 {
			s.deliverCopies(n, rnd, 1+rnd.IntN(30))
		}
	case 3: // all are, each in its own time
		for _, x := range s.nodes {
			x.alive = false
		}
		for _, i := range rnd.Perm(len(s.nodes)) {
			s.run(emulator.Micros(rnd.IntN(5)) * tick)
			s.start(s.nodes[i])
			s.deliverCopies(s.nodes[i], rnd, rnd.IntN(10))
		}
	case 4: // it has its workers, and nothing else
		mode := []string{"drop", "hold"}[rnd.IntN(2)]
		n.cutLinks["state"], n.cutLinks["peers"] = mode, mode
	case 5: // a machine is back in a moment
		if len(names) > 0 {
			s.env.Restart(s.now, emulator.Micros(1+rnd.IntN(9))*tick, machine(), false)
		}
	}
}
