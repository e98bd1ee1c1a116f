package scenario

import (
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// What nodes ask of the state service, the cloud, workers and peers, carried out or not.

func outcome(status int, text string) msg.Outcome {
	switch {
	case status == 200:
		return msg.OK
	case status == 404, text == wire.NoSuchLease:
		return msg.Gone
	case status == 400:
		return msg.Invalid
	case status == 409:
		return msg.Conflict
	}
	return msg.Refused
}

// carry carries out an effect.
func (s *Sim) carry(n *node, e msg.Effect) {
	switch x := e.(type) {
	case msg.Commit:
		s.commit(n, x)
	case msg.Read:
		d := msg.ReadDone{ID: x.ID, Key: x.Key, Outcome: msg.Refused}
		if !s.state.Down && n.cut["state"] == "" {
			d.Outcome, d.Item = msg.OK, s.state.Get(x.Key)
		}
		s.post(n, d)
	case msg.GrantLease:
		d := msg.LeaseDone{Outcome: msg.Refused}
		if n.cut["state"] == "" {
			status, id := s.state.Grant(s.now, x.TTL)
			d.Outcome, d.Lease = outcome(status, ""), id
			n.keeper.Adopt(id, time.Duration(x.TTL)*time.Microsecond, time.UnixMicro(s.now))
		}
		s.post(n, d)
	case msg.ReleaseLease:
		n.keeper.Release(x.Lease)
	case msg.RenewLease:
		n.keeper.Adopt(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.UnixMicro(s.now))
		s.renew(n, x.Lease)
	case msg.Relist:
		n.relist = true
	case msg.Respond:
		n.answers[x.RequestID] = x
	case msg.Command:
		s.command(n, x)
	case msg.Forward:
		d := msg.ForwardDone{RequestID: x.RequestID, Heartbeat: x.Heartbeat}
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.req++
			req := s.req
			for _, e := range s.step(to, msg.HeartbeatIn{RequestID: req, Heartbeat: x.Heartbeat, Forwarded: true}) {
				s.carry(to, e)
			}
			if a, ok := to.answers[req].Body.(wire.HeartbeatResponse); ok {
				d.Response = &a
			}
			d.Busy = s.now < to.busy
			delete(to.answers, req)
		}
		s.post(n, d)
	case msg.HeartbeatBatch:
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.req++
			for _, e := range s.step(to, msg.HeartbeatBatchIn{RequestID: s.req, Node: n.name, Revision: x.Revision, Acks: x.Acks}) {
				s.carry(to, e)
			}
			said, _ := to.answers[s.req].Body.(msg.HeartbeatBatchResponse)
			delete(to.answers, s.req)
			s.reply(n, s.weather.slowBeat(), msg.HeartbeatBatchDone{Batch: x, HeartbeatBatchResponse: said})
		} else if s.peers(n, to) == "hold" { // it comes late, and nobody hears the answer
			s.held = append(s.held, func() {
				if to.alive {
					s.req++
					s.post(to, msg.HeartbeatBatchIn{RequestID: s.req, Node: n.name, Revision: x.Revision, Acks: x.Acks})
				}
			})
		}
	case msg.SendPeerUpdate:
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.post(to, msg.PeerUpdate{Change: x.Change})
		}
	default:
		s.cloud(n, e)
	}
}

// commit carries out a transaction; over a held link it is carried out late.
func (s *Sim) commit(n *node, x msg.Commit) {
	d := msg.CommitDone{ID: x.ID, Outcome: msg.Refused}
	hit := s.strike.hits(&x.Transaction)
	if hit {
		n.alive = false
		if !s.strike.after {
			s.strike = strike{}
			return
		}
		s.strike = strike{}
	}
	places := s.guarded(&x.Transaction)
	if changes := float64(len(x.Transaction.Changes)); s.quota > 0 && changes > 0 {
		if s.tokens < changes {
			s.post(n, d)
			return
		}
		s.tokens -= changes
	}
	switch n.cut["state"] {
	case "":
		fate, after := s.weather.commit(&x.Transaction)
		if fate == lateAct && !s.state.Down {
			s.in(after, func() { s.commitLate(x.Transaction) })
			s.reply(n, patience, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == slowAct {
			s.commitSlowly(n, x, after)
			return
		}
		status, a := s.state.Commit(x.Transaction)
		d.Outcome, d.Revision, d.Failed = outcome(status, a.Error), a.Revision, a.Failed
		if n.cut["answer"] != "" && places { // one answer is lost
			d = msg.CommitDone{ID: x.ID, Outcome: msg.Unknown}
			delete(n.cut, "answer")
		}
		if fate == lostAnswer {
			s.reply(n, patience, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == slowAnswer {
			s.reply(n, after, d)
			return
		}
	case "hold", "stall":
		d.Outcome = msg.Unknown
		s.held = append(s.held, func() { s.state.Commit(x.Transaction) })
		if n.cut["state"] == "stall" { // and the node waits as long as it does on real links
			s.reply(n, patience, d)
			return
		}
	}
	s.post(n, d)
}

// cutZone parts a zone's nodes from the state service, the cloud and nodes elsewhere, and its
// machines from those.
func (s *Sim) cutZone(name, mode string) {
	s.apart = name
	for _, n := range s.nodes {
		if location(n.name) == name {
			n.cut["state"], n.cut["cloud"] = mode, mode
		}
	}
}

// peers tells whether two nodes have a link, and what becomes of what is sent over it if not.
func (s *Sim) peers(n, to *node) (mode string) {
	switch {
	case n.cut["peers"] != "":
		return n.cut["peers"]
	case to.cut["peers"] != "":
		return to.cut["peers"]
	case s.apart != "" && (location(n.name) == s.apart) != (location(to.name) == s.apart):
		return "drop"
	}
	return ""
}

// reaches tells whether a node and a machine have a link at all.
func (s *Sim) reaches(n *node, m *emulator.Machine) bool {
	if s.apart != "" && (location(n.name) == s.apart) != (m.Zone == s.apart) {
		return false
	}
	only := s.only[m.Name]
	return only == nil || only == n
}

func (s *Sim) command(n *node, x msg.Command) {
	m := s.world.Machines[x.Addr]
	d := msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Refused}
	run := func() (int, wire.Heartbeat) {
		if m = s.world.Machines[x.Addr]; m == nil || s.now < m.Up {
			return 0, wire.Heartbeat{}
		}
		return s.world.Commands(s.now, m, x.Commands)
	}
	switch {
	case m != nil && !s.reaches(n, m):
	case n.cut["workers"] == "hold" || m != nil && (m.Hang || m.InboundLost == "hold"):
		d.Outcome = msg.Unknown
		s.held = append(s.held, func() { run() })
	case n.cut["workers"] == "" && m != nil && s.now >= m.Up && m.InboundLost == "":
		switch fate, after := s.weather.command(); fate {
		case lateAct:
			s.in(after, func() { s.runLate(m.Name, run) })
			s.reply(n, callPatience, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case lostAnswer:
			run()
			s.reply(n, callPatience, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case slowAnswer:
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

func (s *Sim) cloud(n *node, e msg.Effect) {
	off := s.world.CloudOff || n.cut["cloud"] != ""
	if r, ok := e.(msg.ScaleIn); ok && n.cut["cloud"] == "hold" {
		s.held = append(s.held, func() { s.world.Release(s.now, r.Machines) })
		s.post(n, msg.ScaleInDone{Machines: r.Machines, Outcome: msg.Unknown})
		return
	}
	result := msg.OK
	if off {
		result = msg.Refused
	}
	switch x := e.(type) {
	case msg.FetchCatalog:
		d := msg.CatalogDone{Outcome: result}
		if !off {
			d.Catalog.Types = append([]wire.MachineType(nil), s.world.Types...)
		}
		s.post(n, d)
	case msg.ListMachines:
		d := msg.ListDone{Outcome: result}
		if !off {
			d.Machines = s.world.List(s.now)
		}
		s.post(n, d)
	case msg.ScaleOut:
		d := msg.ScaleOutDone{Name: x.Request.Name, Outcome: result}
		if !off {
			if d.Machines = s.world.Rent(s.now, x.Request); len(d.Machines) == 0 {
				d.Outcome = msg.Conflict
			}
		}
		s.post(n, d)
	case msg.ScaleIn:
		if !off {
			s.world.Release(s.now, x.Machines)
		}
		s.post(n, msg.ScaleInDone{Machines: x.Machines, Outcome: result})
	}
}

// reports lets the workers report, as the protocol has it.
func (s *Sim) reports() {
	for _, name := range s.world.Names() {
		m := s.world.Machines[name]
		if !m.Due(s.now) {
			continue
		}
		n := s.nodes[m.Node%len(s.nodes)]
		r := m.Status()
		m.Reported(s.now, s.world.ReportEvery)
		s.copies.keep(s.now, &r)
		if again, after := s.weather.copies(s.world.Lease); again {
			to := s.nodes[s.weather.rnd.IntN(len(s.nodes))]
			s.in(after, func() {
				if to.alive {
					s.repeat(to, &r)
				}
			})
		}
		if there, back := s.weather.report(); there+back > 0 {
			s.slowReport(n, m, r, there, back)
			continue
		}
		var a msg.Respond
		if n.alive && n.cut["workers"] == "" && s.reaches(n, m) && !m.OutboundLost {
			s.req++
			req := s.req
			s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: r})
			s.settle()
			a = n.answers[req]
			delete(n.answers, req)
		}
		if s.world.Machines[name] == nil {
			continue
		}
		s.answered(n, m, &r, s.now, a)
	}
}

// answered has a worker take the answer to a report, or none.
func (s *Sim) answered(n *node, m *emulator.Machine, r *wire.Heartbeat, sent emulator.Micros, a msg.Respond) {
	if m.InboundLost != "" {
		a = msg.Respond{}
	}
	switch body := a.Body.(type) {
	case wire.HeartbeatResponse:
		s.world.Answered(s.now, sent, r.Incarnation, m, body)
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
