package reconciler

import (
	"maps"
	"slices"

	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// checkCarriedOut compares the commands for a worker with those in the response before: a start that is still to be
// made has not been carried out.
func (r *Reconciler) checkCarriedOut(m *zone.Machine, commands []wire.Command) {
	if m.ReplySequence == 0 {
		return
	}
	missed := slices.ContainsFunc(commands, func(c wire.Command) bool {
		return c.Verb == wire.CommandStart && m.StartsInReply[c.Task] == c.Attempt
	})
	if m.Reachability.NoteCarriedOut(r.outbox.Now(), !missed) {
		r.markUnreachable(m, "it does not carry out commands")
	}
}

// markUnreachable has a machine get no more work, and be probed.
func (r *Reconciler) markUnreachable(m *zone.Machine, reason string) {
	r.outbox.Log("machine unreachable", "machine", m.Name, "reason", reason, "episodes", m.Reachability.Episodes)
	r.unreachable[m] = true
	r.listener.MachineChanged(m)
}

// markReachable notes that something that was sent to a worker has reached it.
func (r *Reconciler) markReachable(m *zone.Machine) {
	if !m.Reachability.NoteReceived(r.outbox.Now()) {
		return
	}
	r.outbox.Log("machine reachable again", "machine", m.Name)
	delete(r.unreachable, m)
	r.listener.MachineChanged(m)
}

// ProbeUnreachable makes a call without commands to the machines that seem unreachable, now and then.
func (r *Reconciler) ProbeUnreachable() {
	for _, m := range slices.SortedFunc(maps.Keys(r.unreachable), zone.ByName) {
		if !m.Registered() {
			delete(r.unreachable, m)
			continue
		}
		if canCall(m) && m.Reachability.ProbeDue(r.outbox.Now()) {
			r.call(m, nil)
		}
	}
}
