package scenario

import (
	"net/http"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// Execution of the effects of nodes: requests to the state service, the cloud, workers and peers.

// outcome returns the outcome of a request to the state service or a worker from the status and the
// error text of the response.
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

// execute executes an effect of a node.
func (s *Sim) execute(n *node, effect msg.Effect) {
	switch e := effect.(type) {
	case msg.Commit:
		s.commit(n, e)
	case msg.Read:
		d := msg.ReadDone{ID: e.ID, Key: e.Key, Outcome: msg.Refused}
		if !s.state.Down && n.cutLinks["state"] == "" {
			d.Outcome, d.Item = msg.OK, s.state.Get(e.Key)
		}
		s.post(n, d)
	case msg.GrantLease:
		d := msg.LeaseDone{Outcome: msg.Refused}
		if n.cutLinks["state"] == "" {
			status, id := s.state.Grant(s.now, e.TTL)
			d.Outcome, d.Lease = outcome(status, ""), id
			n.leases.Start(id, time.Duration(e.TTL)*time.Microsecond, time.UnixMicro(s.now))
		}
		s.post(n, d)
	case msg.ReleaseLease:
		n.leases.Stop(e.Lease)
	case msg.RenewLease:
		n.leases.Start(e.Lease, time.Duration(e.TTL)*time.Microsecond, time.UnixMicro(s.now))
		s.renewLease(n, e.Lease)
	case msg.Relist:
		n.relist = true
	case msg.Log:
		s.logs = append(s.logs, e)
	case msg.Respond:
		n.responses[e.RequestID] = e
	case msg.Command:
		s.sendCommands(n, e)
	case msg.Forward:
		s.forward(n, e)
	case msg.HeartbeatBatch:
		s.sendBatch(n, e)
	case msg.SendPeerUpdate:
		if to := s.node(e.Node); to.alive && s.peerCutMode(n, to) == "" {
			s.post(to, msg.PeerUpdate{Change: e.Change})
		}
	default:
		s.requestCloud(n, e)
	}
}

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

// commit executes a transaction of a node. Over a link that holds messages back it is executed late.
func (s *Sim) commit(n *node, x msg.Commit) {
	d := msg.CommitDone{ID: x.ID, Outcome: msg.Refused}
	if s.crash.matches(&x.Transaction) {
		n.alive = false
		if !s.crash.afterCommit {
			s.crash = crashTrigger{}
			return
		}
		s.crash = crashTrigger{}
	}
	placesTasks := s.checkCommit(&x.Transaction)
	if changes := float64(len(x.Transaction.Changes)); s.writeQuota > 0 && changes > 0 {
		if s.writeTokens < changes {
			s.post(n, d)
			return
		}
		s.writeTokens -= changes
	}
	switch n.cutLinks["state"] {
	case "":
		fate, after := s.messageFaults.commitFate(&x.Transaction)
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
		d.Outcome, d.Revision, d.Failed = outcome(status, a.Error), a.Revision, a.FailedKeys
		if d.Outcome == msg.OK {
			s.noteExecutedWrite(x.Transaction)
		}
		if n.cutLinks["answer"] != "" && placesTasks { // only this response is lost
			d = msg.CommitDone{ID: x.ID, Outcome: msg.Unknown}
			delete(n.cutLinks, "answer")
		}
		if fate == responseLost {
			s.reply(n, stateTimeout, msg.CommitDone{ID: x.ID, Outcome: msg.Unknown})
			return
		}
		if fate == responseSlow {
			s.reply(n, after, d)
			return
		}
	case "hold", "stall":
		d.Outcome = msg.Unknown
		s.heldMessages = append(s.heldMessages, func() { s.state.Commit(x.Transaction) })
		if n.cutLinks["state"] == "stall" { // the node waits until its timeout, as on real links
			s.reply(n, stateTimeout, d)
			return
		}
	}
	s.post(n, d)
}

// cutZone partitions a zone: its nodes reach neither the state service nor the cloud, and its nodes
// and machines reach no nodes and machines in other zones.
func (s *Sim) cutZone(name, mode string) {
	s.isolatedZone = name
	for _, n := range s.nodes {
		if location(n.name) == name {
			n.cutLinks["state"], n.cutLinks["cloud"] = mode, mode
		}
	}
}

// healLinks heals all links of nodes, zones and machines.
func (s *Sim) healLinks() {
	for _, n := range s.nodes {
		n.cutLinks = map[string]string{}
	}
	clear(s.reachableOnlyBy)
	s.isolatedZone = ""
}

// peerCutMode returns the mode of the cut between two nodes, "" if their link works.
func (s *Sim) peerCutMode(n, to *node) (mode string) {
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

// reaches reports whether the link between a node and a machine works.
func (s *Sim) reaches(n *node, m *emulator.Machine) bool {
	if s.isolatedZone != "" && (location(n.name) == s.isolatedZone) != (m.Zone == s.isolatedZone) {
		return false
	}
	only := s.reachableOnlyBy[m.Name]
	return only == nil || only == n
}

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

// requestCloud executes a request of a node to the cloud.
func (s *Sim) requestCloud(n *node, e msg.Effect) {
	off := s.env.CloudDown || n.cutLinks["cloud"] != ""
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
