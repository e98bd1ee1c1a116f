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

func (l *Leader) onTaskRunning(j *Job, key job.AttemptKey) {
	if j.startedAt == nil {
		j.startedAt = map[int]Micros{}
	}
	if _, ok := j.startedAt[key.Task]; !ok {
		j.startedAt[key.Task] = l.outbox.Now()
		if spec := j.Record.Spec; spec != nil && len(j.startedAt) == spec.Tasks {
			l.outbox.Debug("all tasks run", "job", j.ID, "class", spec.Class, "age_ms", (l.outbox.Now()-j.arrivedAt)/1000)
		}
	}
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang {
		j.ranGangAttempt = max(j.ranGangAttempt, key.Attempt)
	}
}

// onTaskExited closes a placement whose task has ended, by the worker's word.
func (l *Leader) onTaskExited(m *zone.Machine, j *Job, key job.AttemptKey, t *zone.Task) {
	if j.isClosing(key, m.Name) {
		return
	}
	l.cycleDue = true
	switch t.Cause {
	case wire.Done:
		if m.ClearedBySuccess(j.startedAt[key.Task]) {
			clear(m.FailedJobs)
			l.checkAvailability(m)
		}
		j.failures = 0
	case wire.CauseError:
		l.onTaskFailed(m, j)
	case wire.CauseNoCapacity:
		m.FullUntil = l.outbox.Now() + config.Second
	case wire.CauseUnknown, wire.CauseBusy:
		j.holdUntil = l.outbox.Now() + 2*config.Second
	}
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang && t.Cause != wire.CauseNoCapacity && t.Cause != wire.CauseBusy {
		j.failedGangAttempt = max(j.failedGangAttempt, key.Attempt)
	}
	l.closeWithProgress(key, m.Name, t.Cause == wire.Done, t.Saved)
}

// failureBackoff is how long a task that failed on a machine is tried elsewhere. The machine may be sound again and
// have the only room, and that may not lie idle for 90 s while the job waits.
const failureBackoff = 60 * config.Second

// onTaskFailed tells machines that fail everything from jobs that fail everywhere.
// The task is tried elsewhere first; a job that keeps failing waits longer and
// longer, and a machine on which different jobs fail gets no more work.
func (l *Leader) onTaskFailed(m *zone.Machine, j *Job) {
	wasSick := m.Quarantined()
	if j.failures < 3 { // a job that fails everywhere says nothing about machines
		m.FailedJobs[j.ID], m.OnProbation = l.outbox.Now(), false
		l.checkAvailability(m)
	}
	if j.failedOn == nil {
		j.failedOn = map[string]Micros{}
	}
	j.failedOn[m.Name] = l.outbox.Now() + failureBackoff
	if m.Quarantined() {
		if !wasSick {
			l.outbox.Log("machine fails its tasks", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures > 2 {
		j.holdUntil = l.outbox.Now() + config.Second<<min(j.failures, 6)
		j.failedOn = nil
	}
}

// delegate is what another node may do for this leader.
type delegate struct {
	until    Micros // it may stand in, however old its copy of the records gets
	revision uint64 // up to which that copy is known to go
}

// grantDelegation has a node stand in for this one for a while from now on, and notes what it knows.
// It counts from when it sent the beat, which was earlier. One that doesn't know of every
// cancellation that was told gets no such word.
func (l *Leader) grantDelegation(x msg.HeartbeatBatchIn) Micros {
	length := config.FromSeconds(l.cfg.Settings.DelegationS)
	if length <= 0 || x.Node == "" || x.Revision < l.acknowledgedCancel {
		return 0
	}
	s := l.delegates[x.Node]
	l.delegates[x.Node] = delegate{l.outbox.Now() + length, max(s.revision, x.Revision)}
	return length
}

// cancelKnown tells whether every node that may stand in for this one knows of a change.
func (l *Leader) cancelKnown(revision uint64) bool {
	for _, s := range l.delegates {
		if l.outbox.Now() < s.until && s.revision < revision {
			return false
		}
	}
	return true
}

// onHeartbeatBatch hears, as the leader, of workers that their homes have answered. It
// answers with those whose next report it wants to see.
func (l *Leader) onHeartbeatBatch(x msg.HeartbeatBatchIn) {
	if !l.ready {
		l.outbox.RetryLater(x.RequestID, "not the leader")
		return
	}
	var wanted []string
	for _, h := range x.Acks {
		m := l.reconciler.Registry().Get(h.Machine)
		if m == nil || m.Incarnation != h.Incarnation || m.FencingToken < l.elector.TermStart() || m.WantsFullHeartbeat {
			wanted = append(wanted, h.Machine)
		}
		if m != nil && m.ApplyAck(l.outbox.Now(), h.Incarnation, h.Sequence) {
			m.Reachability.NoteAnswered(l.outbox.Now())
			l.reconciler.Registry().NoteContact(m, l.outbox.Now())
			l.checkAvailability(m)
		}
	}
	l.outbox.Respond(x.RequestID, http.StatusOK, msg.HeartbeatBatchResponse{ResendMachines: wanted, Delegation: l.grantDelegation(x)})
}

// applyRelayedHeartbeats takes a deputy's mail.
func (l *Leader) applyRelayedHeartbeats(ev *wire.Change) {
	if !l.ready || ev.Put == "" || ev.Version <= l.elector.TermStart() {
		return
	}
	var lines []relay.RelayedHeartbeat
	if job.Decode(ev.Value, &lines) != nil {
		return
	}
	for i := range lines {
		line := &lines[i]
		m := l.reconciler.Registry().Get(line.Machine)
		if m == nil || line.FencingToken > l.elector.FencingToken() {
			continue
		}
		if !m.Relayed {
			l.outbox.Debug("hearing of a worker by way of the state service", "machine", m.Name)
		}
		r := wire.Heartbeat{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Incarnation: line.Incarnation, Sequence: line.Sequence, FencingToken: line.FencingToken, NoticeS: line.NoticeS}
		for _, t := range line.Tasks {
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.Task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
		}
		if l.reconciler.Observe(m, &r, false) {
			m.Relayed, m.SilentSince = true, 0 // a home has heard its report
			l.reconciler.Registry().Introduce(m)
			l.checkAvailability(m)
		}
	}
}
