package scenario

import (
	"time"

	"coralhub/internal/core/msg"
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
