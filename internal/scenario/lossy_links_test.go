package scenario

import (
	"math/rand/v2"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// copies are reports as they were sent. The network may deliver one again, seconds or some
// leases later, to whichever node.
type copies struct {
	kept []copied
	late emulator.Micros // the oldest that still comes
}

type copied struct {
	at     emulator.Micros
	report wire.Heartbeat
}

// mostCopies bounds what is kept of a large fleet.
const mostCopies = 20_000

func (c *copies) keep(now emulator.Micros, r *wire.Heartbeat) {
	if c == nil {
		return
	}
	old := 0
	for old < len(c.kept) && now-c.kept[old].at > c.late {
		old++
	}
	old = max(old, len(c.kept)-mostCopies)
	c.kept = append(slices.Delete(c.kept, 0, old), copied{now, *r})
}

// again delivers a few copies to a node. What it answers reaches nobody.
func (s *Sim) again(n *node, rnd *rand.Rand, count int) {
	for range count {
		if len(s.copies.kept) == 0 || !n.alive {
			return
		}
		s.repeat(n, &s.copies.kept[rnd.IntN(len(s.copies.kept))].report)
	}
}

// againEverywhere delivers a few copies to every node.
func (s *Sim) againEverywhere(rnd *rand.Rand, count int) {
	for range count {
		if len(s.copies.kept) == 0 {
			return
		}
		r := s.copies.kept[rnd.IntN(len(s.copies.kept))].report
		for _, n := range s.nodes {
			if n.alive {
				s.repeat(n, &r)
			}
		}
	}
}

// repeat delivers one report once more.
func (s *Sim) repeat(n *node, r *wire.Heartbeat) msg.Respond {
	s.req++
	req := s.req
	s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: *r})
	s.settle()
	a := n.answers[req]
	delete(n.answers, req)
	return a
}

// trouble is one of the later kinds of troubles.
func (s *Sim) trouble(n *node, rnd *rand.Rand) {
	names := s.world.Names()
	machine := func() *emulator.Machine { return s.world.Machines[names[rnd.IntN(len(names))]] }
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
		s.again(n, rnd, 1+rnd.IntN(30))
	case 2: // a node is back in a moment
		n.alive = false
		s.Run(emulator.Micros(1+rnd.IntN(9)) * tick)
		s.start(n)
		if rnd.IntN(2) == 0 {
			s.again(n, rnd, 1+rnd.IntN(30))
		}
	case 3: // all are, each in its own time
		for _, x := range s.nodes {
			x.alive = false
		}
		for _, i := range rnd.Perm(len(s.nodes)) {
			s.Run(emulator.Micros(rnd.IntN(5)) * tick)
			s.start(s.nodes[i])
			s.again(s.nodes[i], rnd, rnd.IntN(10))
		}
	case 4: // it has its workers, and nothing else
		mode := []string{"drop", "hold"}[rnd.IntN(2)]
		n.cut["state"], n.cut["peers"] = mode, mode
	case 5: // a machine is back in a moment
		if len(names) > 0 {
			s.world.Restart(s.now, emulator.Micros(1+rnd.IntN(9))*tick, machine(), false)
		}
	}
}
