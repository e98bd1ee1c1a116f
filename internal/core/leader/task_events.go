package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// taskEvents TODO
type taskEvents struct {
	*environment
	commits   *jobCommitter
	scheduler *scheduler
	snapshot  *clusterSnapshot
}

// failureState is how a job's tasks have failed lately, and the backoff that follows.
type failureState struct {
	failures  int               // consecutive failures that are not blamed on a machine
	failedOn  map[string]Micros // by machine: the job avoids it until then
	holdUntil Micros            // backoff: nothing of the job is placed before
}

// gangState is what is known of a gang's attempts.
type gangState struct {
	leftMachines      map[string]uint64 // by machine: the attempt that left it last; it must not return there
	failedGangAttempt uint64            // attempts up to this one can't be completed
	ranGangAttempt    uint64            // highest attempt that ran
}

// noteLeft notes that an attempt of the gang has left a machine, to which it must not return.
func (s *gangState) noteLeft(machine string, attempt uint64) {
	if s.leftMachines == nil {
		s.leftMachines = map[string]uint64{}
	}
	s.leftMachines[machine] = attempt
}

func (te *taskEvents) onTaskRunning(j *Job, key job.AttemptKey) {
	if j.startedAt == nil {
		j.startedAt = map[int]Micros{}
	}
	if _, ok := j.startedAt[key.Task]; !ok {
		j.startedAt[key.Task] = te.outbox.Now()
		if spec := j.Record.Spec; spec != nil && len(j.startedAt) == spec.Tasks {
			te.outbox.Debug("all tasks running", "job", j.ID, "class", spec.Class, "age_ms", (te.outbox.Now()-j.arrivedAt)/1000)
		}
	}
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang {
		j.ranGangAttempt = max(j.ranGangAttempt, key.Attempt)
	}
}

// onTaskExited closes a placement whose task has ended, by the worker's word.
func (te *taskEvents) onTaskExited(m *zone.Machine, j *Job, key job.AttemptKey, t *zone.Task) {
	if j.isClosing(key, m.Name) {
		return
	}
	te.scheduler.cycleDue = true
	switch t.Cause {
	case wire.Done:
		if m.ClearedBySuccess(j.startedAt[key.Task]) {
			clear(m.FailedJobs)
			te.snapshot.checkAvailability(m)
		}
		j.failures = 0
	case wire.CauseError:
		te.onTaskFailed(m, j)
	case wire.CauseNoCapacity:
		m.FullUntil = te.outbox.Now() + config.Second
	case wire.CauseUnknown, wire.CauseBusy:
		j.holdUntil = te.outbox.Now() + 2*config.Second
	}
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang && t.Cause != wire.CauseNoCapacity && t.Cause != wire.CauseBusy {
		j.failedGangAttempt = max(j.failedGangAttempt, key.Attempt)
	}
	te.commits.closeWithProgress(key, m.Name, t.Cause == wire.Done, t.Saved)
}

// failureBackoff is how long a task that failed on a machine is tried elsewhere. The machine may be sound again and
// have the only room, and that may not lie idle for 90 s while the job waits.
const failureBackoff = 60 * config.Second

// onTaskFailed tells machines that fail everything from jobs that fail everywhere.
// The task is tried elsewhere first; a job that keeps failing waits longer and
// longer, and a machine on which different jobs fail gets no more work.
func (te *taskEvents) onTaskFailed(m *zone.Machine, j *Job) {
	wasSick := m.Quarantined()
	if j.failures < 3 { // a job that fails everywhere says nothing about machines
		m.FailedJobs[j.ID], m.OnProbation = te.outbox.Now(), false
		te.snapshot.checkAvailability(m)
	}
	if j.failedOn == nil {
		j.failedOn = map[string]Micros{}
	}
	j.failedOn[m.Name] = te.outbox.Now() + failureBackoff
	if m.Quarantined() {
		if !wasSick {
			te.outbox.Log("machine quarantined", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures > 2 {
		j.holdUntil = te.outbox.Now() + config.Second<<min(j.failures, 6)
		j.failedOn = nil
	}
}
