package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// failureBackoff is how long a job avoids a machine on which a task of it failed. The machine may be sound again
	// and have the only free capacity, which must not be idle for 90 s while the job waits.
	failureBackoff = 60 * config.Second
	// noCapacityBackoff is how long a machine gets no more tasks after it refused one for lack of capacity.
	noCapacityBackoff = config.Second
	// retryBackoff is how long a job is held after a worker could not say what became of a start, or was busy.
	retryBackoff = 2 * config.Second
	// maxMachineFailures is how many consecutive failures of a job count against machines.
	maxMachineFailures = 3
	// maxHoldShift bounds the exponential backoff of a job that keeps failing: 1 s shifted left by it.
	maxHoldShift = 6
)

// availabilityChecker updates whether a machine gets tasks.
type availabilityChecker interface {
	checkAvailability(m *zone.Machine)
}

// taskEvents draws the conclusions from the states of tasks that workers report.
type taskEvents struct {
	*environment
	completions  *completionCollector
	scheduler    *scheduler
	availability availabilityChecker
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
func (g *gangState) noteLeft(machine string, attempt uint64) {
	if g.leftMachines == nil {
		g.leftMachines = map[string]uint64{}
	}
	g.leftMachines[machine] = attempt
}

// onTaskRunning notes when a task was first reported as running, and the attempt of a gang.
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

// onTaskExited closes a placement whose task has ended according to the worker.
func (te *taskEvents) onTaskExited(m *zone.Machine, j *Job, key job.AttemptKey, t *zone.Task) {
	if j.isClosing(key, m.Name) {
		return
	}
	te.scheduler.requestCycle()
	switch t.Cause {
	case wire.Done:
		if m.ClearedBySuccess(j.startedAt[key.Task]) {
			clear(m.FailedJobs)
			te.availability.checkAvailability(m)
		}
		j.failures = 0
	case wire.CauseError:
		te.onTaskFailed(m, j)
	case wire.CauseNoCapacity:
		m.FullUntil = te.outbox.Now() + noCapacityBackoff
	case wire.CauseUnknown, wire.CauseBusy:
		j.holdUntil = te.outbox.Now() + retryBackoff
	}
	refused := t.Cause == wire.CauseNoCapacity || t.Cause == wire.CauseBusy
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang && !refused {
		j.failedGangAttempt = max(j.failedGangAttempt, key.Attempt)
	}
	te.completions.closeWithProgress(key, m.Name, t.Cause == wire.Done, t.Saved)
}

// onTaskFailed distinguishes machines that fail every job from jobs that fail on every machine.
// The task is tried on other machines first; a job that keeps failing is held with exponential
// backoff, and a machine on which different jobs fail is quarantined.
func (te *taskEvents) onTaskFailed(m *zone.Machine, j *Job) {
	wasQuarantined := m.Quarantined()
	if j.failures < maxMachineFailures { // a job that fails everywhere says nothing about machines
		m.FailedJobs[j.ID] = te.outbox.Now()
		m.OnProbation = false
		te.availability.checkAvailability(m)
	}
	if j.failedOn == nil {
		j.failedOn = map[string]Micros{}
	}
	j.failedOn[m.Name] = te.outbox.Now() + failureBackoff
	if m.Quarantined() {
		if !wasQuarantined {
			te.outbox.Log("machine quarantined", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures >= maxMachineFailures {
		j.holdUntil = te.outbox.Now() + config.Second<<min(j.failures, maxHoldShift)
		j.failedOn = nil
	}
}
