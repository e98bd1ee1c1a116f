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

// execute carries out an effect.
func (s *Sim) execute(n *node, e msg.Effect) {
	switch x := e.(type) {
	case msg.Commit:
		s.commit(n, x)
	case msg.Read:
		d := msg.ReadDone{ID: x.ID, Key: x.Key, Outcome: msg.Refused}
		if !s.state.Down && n.cutLinks["state"] == "" {
			d.Outcome, d.Item = msg.OK, s.state.Get(x.Key)
		}
		s.post(n, d)
	case msg.GrantLease:
		d := msg.LeaseDone{Outcome: msg.Refused}
		if n.cutLinks["state"] == "" {
			status, id := s.state.Grant(s.now, x.TTL)
			d.Outcome, d.Lease = outcome(status, ""), id
			n.leases.Adopt(id, time.Duration(x.TTL)*time.Microsecond, time.UnixMicro(s.now))
		}
		s.post(n, d)
	case msg.ReleaseLease:
		n.leases.Release(x.Lease)
	case msg.RenewLease:
		n.leases.Adopt(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.UnixMicro(s.now))
		s.renewLease(n, x.Lease)
	case msg.Relist:
		n.relist = true
	case msg.Respond:
		n.answers[x.RequestID] = x
	case msg.Command:
		s.command(n, x)
	case msg.Forward:
		d := msg.ForwardDone{RequestID: x.RequestID, Heartbeat: x.Heartbeat}
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.lastRequestID++
			req := s.lastRequestID
			for _, e := range s.step(to, msg.HeartbeatIn{RequestID: req, Heartbeat: x.Heartbeat, Forwarded: true}) {
				s.execute(to, e)
			}
			if a, ok := to.answers[req].Body.(wire.HeartbeatResponse); ok {
				d.Response = &a
			}
			d.Busy = s.now < to.busyUntil
			delete(to.answers, req)
		}
		s.post(n, d)
	case msg.HeartbeatBatch:
		if to := s.node(x.Node); to.alive && s.peers(n, to) == "" {
			s.lastRequestID++
			for _, e := range s.step(to, msg.HeartbeatBatchIn{RequestID: s.lastRequestID, Node: n.name, Revision: x.Revision, Acks: x.Acks}) {
				s.execute(to, e)
			}
			said, _ := to.answers[s.lastRequestID].Body.(msg.HeartbeatBatchResponse)
			delete(to.answers, s.lastRequestID)
			s.reply(n, s.messageFaults.batchDelay(), msg.HeartbeatBatchDone{Batch: x, HeartbeatBatchResponse: said})
		} else if s.peers(n, to) == "hold" { // it comes late, and nobody hears the answer
			s.heldMessages = append(s.heldMessages, func() {
				if to.alive {
					s.lastRequestID++
					s.post(to, msg.HeartbeatBatchIn{RequestID: s.lastRequestID, Node: n.name, Revision: x.Revision, Acks: x.Acks})
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
	hit := s.crash.matches(&x.Transaction)
	if hit {
		n.alive = false
		if !s.crash.afterCommit {
			s.crash = crashTrigger{}
			return
		}
		s.crash = crashTrigger{}
	}
	places := s.checkCommit(&x.Transaction)
	if changes := float64(len(x.Transaction.Changes)); s.writeQuota > 0 && changes > 0 {
		if s.writeTokens < changes {
			s.post(n, d)
			return
		}
		s.writeTokens -= changes
	}
	switch n.cutLinks["state"] {
	case "":
		fate, after := s.messageFaults.commit(&x.Transaction)
		if fate == executedLate && !s.state.Down {
			s.schedule(after, func() { s.commitLate(x.Transaction) })
			s.reply(n, stateTimeout, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == executedSlowly {
			s.commitSlowly(n, x, after)
			return
		}
		status, a := s.state.Commit(x.Transaction)
		d.Outcome, d.Revision, d.Failed = outcome(status, a.Error), a.Revision, a.Failed
		if n.cutLinks["answer"] != "" && places { // one answer is lost
			d = msg.CommitDone{ID: x.ID, Outcome: msg.Unknown}
			delete(n.cutLinks, "answer")
		}
		if fate == answerLost {
			s.reply(n, stateTimeout, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == answerSlow {
			s.reply(n, after, d)
			return
		}
	case "hold", "stall":
		d.Outcome = msg.Unknown
		s.heldMessages = append(s.heldMessages, func() { s.state.Commit(x.Transaction) })
		if n.cutLinks["state"] == "stall" { // and the node waits as long as it does on real links
			s.reply(n, stateTimeout, d)
			return
		}
	}
	s.post(n, d)
}

// cutZone parts a zone's nodes from the state service, the cloud and nodes elsewhere, and its
// machines from those.
func (s *Sim) cutZone(name, mode string) {
	s.isolatedZone = name
	for _, n := range s.nodes {
		if location(n.name) == name {
			n.cutLinks["state"], n.cutLinks["cloud"] = mode, mode
		}
	}
}

// peers tells whether two nodes have a link, and what becomes of what is sent over it if not.
func (s *Sim) peers(n, to *node) (mode string) {
	switch {
	case n.cutLinks["peers"] != "":
		return n.cutLinks["peers"]
	case to.cutLinks["peers"] != "":
		return to.cutLinks["peers"]
	case s.isolatedZone != "" && (location(n.name) == s.isolatedZone) != (location(to.name) == s.isolatedZone):
		return "drop"
	}
	return ""
}

// reaches tells whether a node and a machine have a link at all.
func (s *Sim) reaches(n *node, m *emulator.Machine) bool {
	if s.isolatedZone != "" && (location(n.name) == s.isolatedZone) != (m.Zone == s.isolatedZone) {
		return false
	}
	only := s.reachableOnlyBy[m.Name]
	return only == nil || only == n
}

func (s *Sim) command(n *node, x msg.Command) {
	m := s.env.Machines[x.Addr]
	d := msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Refused}
	run := func() (int, wire.Heartbeat) {
		if m = s.env.Machines[x.Addr]; m == nil || s.now < m.Up {
			return 0, wire.Heartbeat{}
		}
		return s.env.Commands(s.now, m, x.Commands)
	}
	switch {
	case m != nil && !s.reaches(n, m):
	case n.cutLinks["workers"] == "hold" || m != nil && (m.Hang || m.InboundLost == "hold"):
		d.Outcome = msg.Unknown
		s.heldMessages = append(s.heldMessages, func() { run() })
	case n.cutLinks["workers"] == "" && m != nil && s.now >= m.Up && m.InboundLost == "":
		switch fate, after := s.messageFaults.command(); fate {
		case executedLate:
			s.schedule(after, func() { s.commandLate(m.Name, run) })
			s.reply(n, commandTimeout, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case answerLost:
			run()
			s.reply(n, commandTimeout, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.Unknown})
			return
		case answerSlow:
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
	off := s.env.CloudOff || n.cutLinks["cloud"] != ""
	if r, ok := e.(msg.ScaleIn); ok && n.cutLinks["cloud"] == "hold" {
		s.heldMessages = append(s.heldMessages, func() { s.env.Release(s.now, r.Machines) })
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
			d.Catalog.Types = append([]wire.MachineType(nil), s.env.Types...)
		}
		s.post(n, d)
	case msg.ListMachines:
		d := msg.ListDone{Outcome: result}
		if !off {
			d.Machines = s.env.List(s.now)
		}
		s.post(n, d)
	case msg.ScaleOut:
		d := msg.ScaleOutDone{Name: x.Request.Name, Outcome: result}
		if !off {
			if d.Machines = s.env.Rent(s.now, x.Request); len(d.Machines) == 0 {
				d.Outcome = msg.Conflict
			}
		}
		s.post(n, d)
	case msg.ScaleIn:
		if !off {
			s.env.Release(s.now, x.Machines)
		}
		s.post(n, msg.ScaleInDone{Machines: x.Machines, Outcome: result})
	}
}

// sendHeartbeats lets the workers report, as the protocol has it.
func (s *Sim) sendHeartbeats() {
	for _, name := range s.env.Names() {
		m := s.env.Machines[name]
		if !m.Due(s.now) {
			continue
		}
		n := s.nodes[m.Node%len(s.nodes)]
		r := m.Status()
		m.Reported(s.now, s.env.ReportEvery)
		s.heartbeatCopies.add(s.now, &r)
		if again, after := s.messageFaults.copyAgain(s.env.Lease); again {
			to := s.nodes[s.messageFaults.rnd.IntN(len(s.nodes))]
			s.schedule(after, func() {
				if to.alive {
					s.deliverCopy(to, &r)
				}
			})
		}
		if there, back := s.messageFaults.heartbeat(); there+back > 0 {
			s.sendSlowHeartbeat(n, m, r, there, back)
			continue
		}
		var a msg.Respond
		if n.alive && n.cutLinks["workers"] == "" && s.reaches(n, m) && !m.OutboundLost {
			s.lastRequestID++
			req := s.lastRequestID
			s.post(n, msg.HeartbeatIn{RequestID: req, Heartbeat: r})
			s.deliverAll()
			a = n.answers[req]
			delete(n.answers, req)
		}
		if s.env.Machines[name] == nil {
			continue
		}
		s.answerHeartbeat(n, m, &r, s.now, a)
	}
}

// answerHeartbeat has a worker take the answer to a report, or none.
func (s *Sim) answerHeartbeat(n *node, m *emulator.Machine, r *wire.Heartbeat, sent emulator.Micros, a msg.Respond) {
	if m.InboundLost != "" {
		a = msg.Respond{}
	}
	switch body := a.Body.(type) {
	case wire.HeartbeatResponse:
		s.env.Answered(s.now, sent, r.Incarnation, m, body)
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
