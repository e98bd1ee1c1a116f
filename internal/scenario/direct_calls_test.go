package scenario

import (
	"net/http"

	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Direct calls of nodes to workers.

// sendCommands sends direct commands to a worker.
func (s *Sim) sendCommands(n *node, x msg.Command) {
	m := s.env.Machines[x.Addr]
	d := msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Refused}
	run := func() (int, wire.Heartbeat) {
		if m = s.env.Machines[x.Addr]; m == nil || s.now < m.StartsAt {
			return 0, wire.Heartbeat{}
		}
		status, heartbeat := s.env.Commands(s.now, m, x.Commands)
		if status == http.StatusOK {
			s.noteExecutedCall(executedCall{m.Name, x.Commands})
		} else {
			s.rejectedCalls++
		}
		return status, heartbeat
	}
	switch {
	case m != nil && !s.reaches(n, m):
	case n.cutLinks["workers"] == "hold" || m != nil && (m.Hanging || m.InboundLost == "hold"):
		d.Outcome = msg.Unknown
		s.heldMessages = append(s.heldMessages, func() { run() })
	case n.cutLinks["workers"] == "" && m != nil && s.now >= m.StartsAt && m.InboundLost == "":
		switch fate, after := s.messageFaults.commandFate(); fate {
		case executedLate:
			s.schedule(after, func() { s.commandLate(m.Name, run) })
			s.reply(n, commandTimeout, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case responseLost:
			run()
			s.reply(n, commandTimeout, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case responseSlow:
			status, r := run()
			d.Heartbeat = &r
			if status == 200 {
				d.Outcome = msg.OK
			}
			s.reply(n, after, d)
			return
		}
		status, r := run()
		d.Heartbeat = &r
		if status == 200 {
			d.Outcome = msg.OK
		}
	}
	s.post(n, d)
}
