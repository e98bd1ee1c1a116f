package leader

import (
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/slo"
	"coralhub/wire"
)

// Job is a job in the scheduler of this node: its records and the state that the leader's components keep for it. Each
// part of that state is declared beside the component that owns it, or here if several components share it.
type Job struct {
	*records.Job

	unfinishedState
	commitState
	schedulingState
	cachedJobState
	runHistory
	runState
	gangState
	failureState
	preemptionState
	accountingState
}

// unfinishedState is the position of a job in environment.unfinished.
type unfinishedState struct {
	unfinished bool   // the job is in the list
	sortTime   Micros // creation time at insertion, by which the list is sorted
}

// schedulingState is the state that scheduling cycles and the start order keep for a job between cycles.
type schedulingState struct {
	types            machineTypes
	equivalenceClass int    // number of its equivalence class, 0 if not determined yet
	classifiedAs     string // priority for which equivalenceClass was determined

	reservingSince Micros      // time since which freed machines are reserved for it
	queuedLast     bool        // queued behind started jobs for its team's guarantee, whatever its age
	startRecorded  bool        // recorded by the start order as started
	classStats     *classStats // statistics of its class, nil if not looked up yet

	movedAt map[int]Micros // by task: when defragmentation last moved the replica, if recently
}

// runState holds the arrival time of a job and the start times of its tasks, as observed by this node.
type runState struct {
	arrivedAt Micros         // submission time or, if not known, when this node received the job; see DependenciesMet
	startedAt map[int]Micros // by task: when its open attempt was first reported as running
}

// accountingState is the state that the usage accounts and the SLO recorder keep for a job.
type accountingState struct {
	account accounting.Key    // team and class to which its usage is charged
	charged job.ResourceUsage // usage charged to account so far

	tracked *slo.Job // state of the SLO recorder, nil if the job is not or no longer tracked
}

// resetTerm clears the state that is valid for one term only.
func (j *Job) resetTerm() {
	j.resetCommits()
	j.resetScheduling()
	j.cachedJobState = cachedJobState{}
	j.runHistory = runHistory{}
	j.reservedMachines = nil
}

// resetScheduling clears the scheduling state that is valid for one term only. The machine types that suit the job and
// whether its start was recorded remain valid.
func (s *schedulingState) resetScheduling() {
	s.equivalenceClass = 0
	s.reservingSince = 0
	s.queuedLast = false
	s.classStats = nil
	s.movedAt = nil
}

// meetsObjective reports whether a job is done or, if it is a service, has all of its replicas placed.
func (j *Job) meetsObjective() bool {
	rec := &j.Record
	if rec.Phase == job.Done {
		return true
	}
	return rec.Spec != nil && rec.Spec.Shape == wire.Service && j.OpenTasks >= rec.Spec.Tasks
}
