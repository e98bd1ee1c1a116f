package reconciler

import (
	"maps"
	"slices"

	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// checkStartsExecuted compares the commands for a worker with those in the previous response: a start that is in both
// was not carried out. The machine is marked unreachable after several such responses in a row.
func (r *Reconciler) checkStartsExecuted(m *zone.Machine, commands []wire.Command) {
	if m.ReplySequence == 0 {
		return
	}
	missed := slices.ContainsFunc(commands, func(c wire.Command) bool {
		return c.Verb == wire.CommandStart && m.StartsInReply[c.Task] == c.Attempt
	})
	if m.Reachability.NoteStartsExecuted(r.outbox.Now(), !missed) {
		r.markUnreachable(m, "start commands not carried out")
	}
}

// markUnreachable marks a machine as unreachable: no more work is placed on it, and it is probed.
func (r *Reconciler) markUnreachable(m *zone.Machine, reason string) {
	r.outbox.Log("machine unreachable", "machine", m.Name, "reason", reason, "episodes", m.Reachability.Episodes)
	r.unreachable[m] = true
	r.listener.MachineChanged(m)
}

// markReachable records that a worker has received a message, and ends its unreachable state if it has one.
func (r *Reconciler) markReachable(m *zone.Machine) {
	if !m.Reachability.NoteReceived(r.outbox.Now()) {
		return
	}
	r.outbox.Log("machine reachable again", "machine", m.Name)
	delete(r.unreachable, m)
	r.listener.MachineChanged(m)
}

// ProbeUnreachable makes a call without commands to each machine that seems unreachable and whose probe is due.
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
