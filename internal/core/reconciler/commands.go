package reconciler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// commands returns the commands for a worker that follow from its newest message and the records. inResponse is set if
// they are sent in the response to a heartbeat. Only such responses contain forget commands, which are never urgent.
func (r *Reconciler) commands(m *zone.Machine, inResponse bool) []wire.Command {
	commands := []wire.Command{}
	expected := r.replica.PlacementsOn(m.Name)
	for _, key := range job.SortedAttemptKeys(m.Tasks) {
		t := m.Tasks[key]
		_, open := expected[key]
		if t.State == wire.Exited {
			// After a forget command, a repeated start of the attempt would take effect again. So the attempt is
			// forgotten only once its end is committed and no start, nor a copy of one, can take effect.
			if !open && inResponse && m.StartsResolved() && !m.StartMayRepeat(key) {
				reason := "end committed, no start can take effect"
				commands = append(commands, r.newCommand(m, wire.CommandForget, key, nil, reason))
			}
			continue
		}
		graceS, stop := r.shouldStop(key, &t)
		reason := "no longer wanted"
		if !open {
			// Its placement was closed by mistake or never existed: it must not run.
			graceS, stop, reason = 0, true, "not placed here"
		}
		if stop {
			commands = append(commands, r.newCommand(m, wire.CommandStop, key, &graceS, reason))
		}
	}
	for _, key := range job.SortedAttemptKeys(expected) {
		if _, reported := m.Tasks[key]; reported || expected[key].Incarnation != m.Incarnation {
			continue
		}
		if r.shouldStart(m, key, inResponse) {
			commands = append(commands, r.newCommand(m, wire.CommandStart, key, nil, "placed and not reported"))
		}
	}
	return commands
}

// newCommand returns a command to a worker, and logs it with the reason why it is allowed.
func (r *Reconciler) newCommand(
	m *zone.Machine, verb string, key job.AttemptKey, graceS *float64, reason string,
) wire.Command {
	c := wire.Command{Verb: verb, Task: wire.TaskName(key.Job, key.Task), Attempt: key.Attempt, GraceS: graceS}
	r.outbox.Debug("command", "verb", c.Verb, "task", c.Task, "attempt", c.Attempt, "machine", m.Name,
		"incarnation", m.Incarnation, "fencing_token", r.token(m), "reported_token", m.FencingToken, "reason", reason)
	return c
}

// shouldStart reports whether an attempt that is placed on a machine but not reported by its worker is to be started.
// If the attempt is to be stopped instead, its placement is closed once no start of it can be in flight.
func (r *Reconciler) shouldStart(m *zone.Machine, key job.AttemptKey, inResponse bool) bool {
	if j := r.replica.Job(key.Job); j != nil && r.listener.IsClosing(key, m.Name) {
		// Its end is proven but not committed yet: if started now, it would run concurrently with the next attempt.
		return false
	}
	if _, stop := r.shouldStop(key, nil); !stop {
		return true
	}
	if m.StartsResolved() {
		r.listener.ClosePlacement(key, m.Name, false) // it was never started, and no start of it can be in flight
	} else if inResponse && !m.StartInFlight && m.StartUncertain() {
		r.elector.RequestNewToken() // voids the start that may be in flight
	}
	return false
}

// shouldStop reports whether an attempt is to be stopped, and returns the grace period in seconds. t is nil if the
// worker does not report the attempt.
func (r *Reconciler) shouldStop(key job.AttemptKey, t *zone.Task) (graceS float64, stop bool) {
	j := r.replica.Job(key.Job)
	if j == nil || j.Record.CancelRequested || j.Record.Phase == job.Cancelled {
		return 0, true
	}
	if pending, ok := r.terminations[j.ID][key]; ok {
		allowed := config.FromSeconds(pending.graceS + r.cfg.Cluster.Workers.GangPeerS)
		if t != nil && r.outbox.Now() > pending.requestedAt+allowed+terminationMargin {
			return 0, true
		}
		return pending.graceS, true
	}
	gangDone := j.Record.Phase == job.Done && j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang
	return 0, t != nil && gangDone
}
