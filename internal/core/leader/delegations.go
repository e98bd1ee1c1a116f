package leader

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/relay"
	"coralhub/wire"
)

// delegations TODO
type delegations struct {
	*environment
	snapshot *clusterSnapshot

	delegates          map[string]delegate
	acknowledgedCancel uint64
}

func (dg *delegations) reset() { dg.delegates, dg.acknowledgedCancel = map[string]delegate{}, 0 }

// delegate is what another node may do for this leader.
type delegate struct {
	until    Micros // it may stand in, however old its copy of the records gets
	revision uint64 // up to which that copy is known to go
}

// grantDelegation has a node stand in for this one for a while from now on, and notes what it knows.
// It counts from when it sent the beat, which was earlier. One that doesn't know of every
// cancellation that was told gets no such word.
func (dg *delegations) grantDelegation(x msg.HeartbeatBatchIn) Micros {
	length := config.FromSeconds(dg.cfg.Settings.DelegationS)
	if length <= 0 || x.Node == "" || x.Revision < dg.acknowledgedCancel {
		return 0
	}
	s := dg.delegates[x.Node]
	dg.delegates[x.Node] = delegate{dg.outbox.Now() + length, max(s.revision, x.Revision)}
	return length
}

// cancelKnown tells whether every node that may stand in for this one knows of a change.
func (dg *delegations) cancelKnown(revision uint64) bool {
	for _, s := range dg.delegates {
		if dg.outbox.Now() < s.until && s.revision < revision {
			return false
		}
	}
	return true
}

// onHeartbeatBatch hears, as the leader, of workers that their homes have answered. It
// answers with those whose next report it wants to see.
func (dg *delegations) onHeartbeatBatch(x msg.HeartbeatBatchIn) {
	if !dg.ready {
		dg.outbox.RetryLater(x.RequestID, "not the leader")
		return
	}
	var wanted []string
	for _, h := range x.Acks {
		m := dg.reconciler.Registry().Get(h.Machine)
		if m == nil || m.Incarnation != h.Incarnation || m.FencingToken < dg.elector.TermStart() || m.WantsFullHeartbeat {
			wanted = append(wanted, h.Machine)
		}
		if m != nil && m.ApplyAck(dg.outbox.Now(), h.Incarnation, h.Sequence) {
			m.Reachability.NoteAnswered(dg.outbox.Now())
			dg.reconciler.Registry().NoteContact(m, dg.outbox.Now())
			dg.snapshot.checkAvailability(m)
		}
	}
	dg.outbox.Respond(x.RequestID, http.StatusOK, msg.HeartbeatBatchResponse{ResendMachines: wanted, Delegation: dg.grantDelegation(x)})
}

// applyRelayedHeartbeats takes a deputy's mail.
func (dg *delegations) applyRelayedHeartbeats(ev *wire.Change) {
	if !dg.ready || ev.Put == "" || ev.Version <= dg.elector.TermStart() {
		return
	}
	var lines []relay.RelayedHeartbeat
	if job.Decode(ev.Value, &lines) != nil {
		return
	}
	for i := range lines {
		line := &lines[i]
		m := dg.reconciler.Registry().Get(line.Machine)
		if m == nil || line.FencingToken > dg.elector.FencingToken() {
			continue
		}
		if !m.Relayed {
			dg.outbox.Debug("heartbeat relayed through the state service", "machine", m.Name)
		}
		r := wire.Heartbeat{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Incarnation: line.Incarnation, Sequence: line.Sequence, FencingToken: line.FencingToken, NoticeS: line.NoticeS}
		for _, t := range line.Tasks {
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
		}
		if dg.reconciler.Observe(m, &r, false) {
			m.Relayed, m.SilentSince = true, 0 // a home has heard its report
			dg.reconciler.Registry().Introduce(m)
			dg.snapshot.checkAvailability(m)
		}
	}
}
