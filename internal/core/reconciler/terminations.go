package reconciler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// saveMarginS is added to the time that a task needs to save a checkpoint, in seconds.
	saveMarginS = 0.5
	// terminationMargin is how long after its grace period plus gang_peer_s a task may still exit before it is stopped
	// without grace.
	terminationMargin = 10 * config.Second
)

// termination is the pending stop of a task whose job continues.
type termination struct {
	requestedAt Micros
	graceS      float64
}

// IsTerminating reports whether an attempt is to be stopped.
func (r *Reconciler) IsTerminating(key job.AttemptKey) bool {
	_, ok := r.terminations[key.Job][key]
	return ok
}

// HasTerminations reports whether any attempt of a job is to be stopped.
func (r *Reconciler) HasTerminations(id string) bool { return len(r.terminations[id]) > 0 }

// TerminationDone discards the pending stop of an attempt that is over.
func (r *Reconciler) TerminationDone(key job.AttemptKey) {
	delete(r.terminations[key.Job], key)
	if len(r.terminations[key.Job]) == 0 {
		delete(r.terminations, key.Job)
	}
}

// JobTerminated discards the pending stops of a job whose attempts are all over.
func (r *Reconciler) JobTerminated(id string) { delete(r.terminations, id) }

// Terminate requests a stop of the tasks in only, or of all tasks of the job if only is nil. The tasks of a gang are
// always stopped together.
func (r *Reconciler) Terminate(j *records.Job, only map[job.AttemptKey]bool, reason string) {
	spec := j.Record.Spec
	if spec == nil {
		return
	}
	graceS := 0.0
	if spec.CheckpointS > 0 {
		graceS = spec.SaveS + saveMarginS
	}
	if r.terminations[j.ID] == nil {
		r.terminations[j.ID] = map[job.AttemptKey]termination{}
	}
	all := only == nil || spec.Shape == wire.Gang
	j.EachPlacement(func(p job.Placement) {
		key := p.AttemptKey(j.ID)
		if _, pending := r.terminations[j.ID][key]; pending || !all && !only[key] {
			return
		}
		r.terminations[j.ID][key] = termination{r.outbox.Now(), graceS}
		if m := r.registry.Get(p.Machine); m != nil {
			r.MarkUrgent(m)
		}
	})
	r.outbox.Debug("terminating tasks", "job", j.ID, "reason", reason)
}

// evictGracefully stops the tasks that can still save a checkpoint before the cloud reclaims the machine.
func (r *Reconciler) evictGracefully(m *zone.Machine) {
	for _, key := range job.SortedAttemptKeys(r.replica.PlacementsOn(m.Name)) {
		j := r.replica.Job(key.Job)
		if j == nil || j.Record.Spec == nil || j.Record.Spec.CheckpointS == 0 {
			continue
		}
		left := m.ReclaimedAt - r.outbox.Now()
		if left > config.FromSeconds(j.Record.Spec.SaveS) {
			r.Terminate(j, map[job.AttemptKey]bool{key: true}, "spot instance reclaimed")
		}
	}
}
