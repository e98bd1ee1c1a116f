package leader

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/relay"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// delegations lets other nodes answer workers for this leader for a limited time, and takes what workers report
// through those nodes.
type delegations struct {
	*environment
	availability availabilityChecker

	delegates          map[string]delegate // by node
	acknowledgedCancel uint64              // highest revision of a cancellation that was confirmed to a user
}

func (dg *delegations) reset() {
	dg.delegates = map[string]delegate{}
	dg.acknowledgedCancel = 0
}

// availabilityChecker updates whether a machine gets tasks.
type availabilityChecker interface {
	checkAvailability(m *zone.Machine)
}

// delegate is another node to which this leader has delegated.
type delegate struct {
	until    Micros // the delegation ends; until then it holds however old the node's replica gets
	revision uint64 // that the node's replica is known to have reached
}

// grantDelegation delegates to a node from now on, records the revision it has reached, and returns the duration of
// the delegation; 0: none. The node counts the duration from when it sent its heartbeat batch, which was earlier. A
// node that doesn't know of every cancellation that was confirmed gets no delegation.
func (dg *delegations) grantDelegation(x msg.HeartbeatBatchIn) Micros {
	duration := config.FromSeconds(dg.cfg.Settings.DelegationS)
	if duration <= 0 || x.Node == "" || x.Revision < dg.acknowledgedCancel {
		return 0
	}
	known := dg.delegates[x.Node].revision
	dg.delegates[x.Node] = delegate{until: dg.outbox.Now() + duration, revision: max(known, x.Revision)}
	return duration
}

// cancelKnown reports whether every node whose delegation has not ended has reached a revision.
func (dg *delegations) cancelKnown(revision uint64) bool {
	for _, d := range dg.delegates {
		if dg.outbox.Now() < d.until && d.revision < revision {
			return false
		}
	}
	return true
}

// acknowledgeCancel notes that a cancellation is confirmed that was committed at a revision.
func (dg *delegations) acknowledgeCancel(revision uint64) {
	dg.acknowledgedCancel = max(dg.acknowledgedCancel, revision)
}

// onHeartbeatBatch applies the heartbeats that a relay has acknowledged for the leader. The response names the
// machines whose next heartbeat the relay is to forward in full, and renews the relay's delegation.
func (dg *delegations) onHeartbeatBatch(x msg.HeartbeatBatchIn) {
	if !dg.ready {
		dg.outbox.RetryLater(x.RequestID, "not the leader")
		return
	}
	var resend []string
	for _, ack := range x.Acks {
		m := dg.reconciler.Registry().Get(ack.Machine)
		if m == nil || m.Incarnation != ack.Incarnation || m.FencingToken < dg.elector.TermStart() || m.WantsFullHeartbeat {
			resend = append(resend, ack.Machine)
		}
		if m != nil && m.ApplyAck(dg.outbox.Now(), ack.Incarnation, ack.Sequence) {
			m.Reachability.NoteAnswered(dg.outbox.Now())
			dg.reconciler.Registry().NoteContact(m, dg.outbox.Now())
			dg.availability.checkAvailability(m)
		}
	}
	dg.outbox.Respond(x.RequestID, http.StatusOK, msg.HeartbeatBatchResponse{ResendMachines: resend, Delegation: dg.grantDelegation(x)})
}

// applyRelayedHeartbeats applies heartbeats that a relay has stored for the leader, unless they were stored before
// its term.
func (dg *delegations) applyRelayedHeartbeats(change *wire.Change) {
	if !dg.ready || change.Put == "" || change.Version <= dg.elector.TermStart() {
		return
	}
	var heartbeats []relay.RelayedHeartbeat
	if job.Decode(change.Value, &heartbeats) != nil {
		return
	}
	for i := range heartbeats {
		relayed := &heartbeats[i]
		m := dg.reconciler.Registry().Get(relayed.Machine)
		if m == nil || relayed.FencingToken > dg.elector.FencingToken() {
			continue
		}
		if !m.Relayed {
			dg.outbox.Debug("heartbeat relayed through the state service", "machine", m.Name)
		}
		if dg.reconciler.Observe(m, heartbeatOf(m, relayed), false) {
			m.Relayed = true
			m.SilentSince = 0 // a relay has received its heartbeat
			dg.reconciler.Registry().TrackContact(m)
			dg.availability.checkAvailability(m)
		}
	}
}

// heartbeatOf returns the heartbeat that a relay has stored in short, with what is known of the machine.
func heartbeatOf(m *zone.Machine, relayed *relay.RelayedHeartbeat) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{
		Machine:      m.Name,
		Addr:         m.Addr,
		Type:         m.Type,
		Zone:         m.Zone,
		Spot:         m.Spot,
		Incarnation:  relayed.Incarnation,
		Sequence:     relayed.Sequence,
		FencingToken: relayed.FencingToken,
		NoticeS:      relayed.NoticeS,
	}
	for _, t := range relayed.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
	}
	return heartbeat
}
