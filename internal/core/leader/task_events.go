package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// failureBackoff is how long a job avoids a machine on which one of its tasks failed. The machine may have recovered
	// and have the only free capacity, which must not be idle for 90 s while the job waits.
	failureBackoff = 60 * config.Second
	// noCapacityBackoff is how long no tasks are placed on a machine after it refused one for lack of capacity.
	noCapacityBackoff = config.Second
	// retryBackoff is how long no tasks of a job are placed after a worker was busy or reported an unknown result of a
	// start.
	retryBackoff = 2 * config.Second
	// maxMachineFailures is the number of consecutive failures of a job that are attributed to machines.
	maxMachineFailures = 3
	// maxHoldShift limits the exponential backoff of a job that fails repeatedly to 1 s << maxHoldShift.
	maxHoldShift = 6
)

// availabilityChecker updates whether tasks can be placed on a machine.
type availabilityChecker interface {
	checkAvailability(m *zone.Machine)
}

// taskEvents handles the task states that workers report.
type taskEvents struct {
	*environment
	completions  *completionCollector
	scheduler    *scheduler
	availability availabilityChecker
}

// failureState holds the recent failures of a job's tasks and the resulting backoff.
type failureState struct {
	failures   int               // consecutive failures that are not attributed to a quarantined machine
	avoidUntil map[string]Micros // by machine: time until which the job avoids it
	holdUntil  Micros            // end of the backoff before which no tasks of the job are placed
}

// gangState holds the state of a gang's attempts.
type gangState struct {
	leftMachines      map[string]uint64 // by machine: last attempt that ended there and must not be placed there again
	failedGangAttempt uint64            // this attempt and all earlier ones can't complete any more
	ranGangAttempt    uint64            // highest attempt with a running task reported
}

// recordDeparture records that an attempt of the gang has ended on a machine, on which it must not be placed again.
func (g *gangState) recordDeparture(machine string, attempt uint64) {
	if g.leftMachines == nil {
		g.leftMachines = map[string]uint64{}
	}
	g.leftMachines[machine] = attempt
}

// onTaskRunning records the time at which a task was first reported as running and, for a gang, the attempt.
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

// onTaskExited closes the placement of a task that its worker has reported as ended.
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

// onTaskFailed distinguishes machines on which every job fails from jobs that fail on every machine. The task is first
// retried on other machines. A job that fails repeatedly is delayed with exponential backoff, and a machine on which
// different jobs fail is quarantined.
func (te *taskEvents) onTaskFailed(m *zone.Machine, j *Job) {
	wasQuarantined := m.Quarantined()
	if j.failures < maxMachineFailures { // failures of a job that fails everywhere don't indicate a faulty machine
		m.FailedJobs[j.ID] = te.outbox.Now()
		m.OnProbation = false
		te.availability.checkAvailability(m)
	}
	if j.avoidUntil == nil {
		j.avoidUntil = map[string]Micros{}
	}
	j.avoidUntil[m.Name] = te.outbox.Now() + failureBackoff
	if m.Quarantined() {
		if !wasQuarantined {
			te.outbox.Log("machine quarantined", "machine", m.Name)
		}
		return
	}
	j.failures++
	if j.failures >= maxMachineFailures {
		j.holdUntil = te.outbox.Now() + config.Second<<min(j.failures, maxHoldShift)
		j.avoidUntil = nil
	}
}
