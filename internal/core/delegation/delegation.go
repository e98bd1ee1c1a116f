// Package delegation is the leader's side of delegations: it permits other nodes to answer workers on the leader's
// behalf for a limited time, and applies what workers report through those nodes. The other side is package relay.
package delegation

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/reconciler"
	"coralhub/internal/core/relay"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Delegations manages the delegations of a leader that is ready. It is not safe for concurrent use.
type Delegations struct {
	cfg        *config.Config
	outbox     *outbox.Outbox
	elector    *election.Elector
	reconciler *reconciler.Reconciler
	onContact  func(*zone.Machine)

	delegates       map[string]delegate // by node
	confirmedCancel uint64              // highest revision of a cancellation confirmed to a user
}

// delegate is another node to which this leader has delegated.
type delegate struct {
	until    config.Micros // end of the delegation, which holds until then however old the node's replica gets
	revision uint64        // revision that the node's replica is known to have reached
}

// New returns Delegations without delegates. onContact is called for each machine that has reported through another
// node.
func New(
	cfg *config.Config,
	out *outbox.Outbox,
	elector *election.Elector,
	reconciler *reconciler.Reconciler,
	onContact func(*zone.Machine),
) *Delegations {
	d := &Delegations{cfg: cfg, outbox: out, elector: elector, reconciler: reconciler, onContact: onContact}
	d.Reset()
	return d
}

// Reset discards all delegations. It is called at the beginning and at the end of a term.
func (d *Delegations) Reset() {
	d.delegates = map[string]delegate{}
	d.confirmedCancel = 0
}

// grant gives a node a delegation from now on, records the revision that the node has reached, and returns the
// duration of the delegation, 0 if it gets none. The node counts the duration from the time at which it sent its
// heartbeat batch, which is earlier. A node that has not reached the revision of every confirmed cancellation gets no
// delegation.
func (d *Delegations) grant(x msg.HeartbeatBatchIn) config.Micros {
	duration := config.FromSeconds(d.cfg.Settings.DelegationS)
	if duration <= 0 || x.Node == "" || x.Revision < d.confirmedCancel {
		return 0
	}
	known := d.delegates[x.Node].revision
	d.delegates[x.Node] = delegate{until: d.outbox.Now() + duration, revision: max(known, x.Revision)}
	return duration
}

// DelegatesReached reports whether every node whose delegation has not ended has reached a revision.
func (d *Delegations) DelegatesReached(revision uint64) bool {
	for _, delegate := range d.delegates {
		if d.outbox.Now() < delegate.until && delegate.revision < revision {
			return false
		}
	}
	return true
}

// RecordConfirmedCancel records that a cancellation committed at the given revision is confirmed to the user.
func (d *Delegations) RecordConfirmedCancel(revision uint64) {
	d.confirmedCancel = max(d.confirmedCancel, revision)
}

// OnHeartbeatBatch applies the heartbeats that a relay has acknowledged for the leader. The response names the
// machines whose next heartbeat the relay is to forward in full, and renews the relay's delegation.
func (d *Delegations) OnHeartbeatBatch(x msg.HeartbeatBatchIn) {
	var resend []string
	for _, ack := range x.Acks {
		m := d.reconciler.Registry().Get(ack.Machine)
		if m == nil || m.Incarnation != ack.Incarnation || m.FencingToken < d.elector.TermStart() || m.NeedsFullHeartbeat {
			resend = append(resend, ack.Machine)
		}
		if m != nil && m.ApplyAck(d.outbox.Now(), ack.Incarnation, ack.Sequence) {
			m.Reachability.NoteAnswered(d.outbox.Now())
			d.reconciler.Registry().NoteContact(m, d.outbox.Now())
			d.onContact(m)
		}
	}
	d.outbox.Respond(x.RequestID, http.StatusOK, msg.HeartbeatBatchResponse{
		ResendMachines: resend,
		Delegation:     d.grant(x),
	})
}

// ApplyRelayedHeartbeats applies heartbeats that a relay has stored for the leader. It ignores heartbeats that were
// stored before the leader's term or are unreadable.
func (d *Delegations) ApplyRelayedHeartbeats(change *wire.Change) {
	if change.Put == "" || change.Version <= d.elector.TermStart() {
		return
	}
	var heartbeats []relay.RelayedHeartbeat
	if job.Decode(change.Value, &heartbeats) != nil {
		return
	}
	for i := range heartbeats {
		relayed := &heartbeats[i]
		m := d.reconciler.Registry().Get(relayed.Machine)
		if m == nil || relayed.FencingToken > d.reconciler.HighestToken() {
			continue
		}
		if !m.Relayed {
			d.outbox.Debug("heartbeat relayed through the state service", "machine", m.Name)
		}
		if d.reconciler.Observe(m, expandHeartbeat(m, relayed), false) {
			m.Relayed = true
			m.HeartbeatsLostSince = 0 // a relay has received its heartbeat
			d.reconciler.Registry().TrackContact(m)
			d.onContact(m)
		}
	}
}

// expandHeartbeat converts a relayed heartbeat to the full form, with what is known about the machine.
func expandHeartbeat(m *zone.Machine, relayed *relay.RelayedHeartbeat) *wire.Heartbeat {
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
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task:    t.Task,
			Attempt: t.Attempt,
			State:   t.State,
			Cause:   t.Cause,
			Saved:   t.Saved,
		})
	}
	return heartbeat
}
