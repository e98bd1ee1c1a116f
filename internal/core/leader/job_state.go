package leader

import (
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/slo"
	"coralhub/wire"
)

// Job is a job as the scheduler of this node knows it: its records, and what the components of the
// leader keep about it. Each part is declared beside the component that owns it, or here if several
// components share it.
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

// unfinishedState is the place of a job in environment.unfinished.
type unfinishedState struct {
	unfinished bool   // the job is in the list
	orderedBy  Micros // creation time by which it was inserted
}

// schedulingState is what scheduling cycles and the start order keep about a job between cycles.
type schedulingState struct {
	types            machineTypes
	equivalenceClass int    // number of its equivalence class; 0: not determined yet
	classifiedAs     string // priority for which equivalenceClass was determined

	reservingSince Micros      // since when freed machines are reserved for it
	queuedBehind   bool        // queued for its team's guarantee, whatever its age
	startCounted   bool        // counted as started by the start order
	classStats     *classStats // statistics of its class; nil: not looked up yet

	movedAt map[int]Micros // by task: replicas that defragmentation moved lately
}

// runState is when a job arrived and when its tasks started, as this node saw it.
type runState struct {
	arrivedAt Micros         // when this node first saw the job, or when its dependencies were met
	startedAt map[int]Micros // by task: when its open attempt was first reported as running
}

// accountingState is what the usage accounts and the SLO recorder keep about a job.
type accountingState struct {
	account accounting.Key    // team and class to which its usage is charged
	charged job.ResourceUsage // usage charged to account so far

	tracked *slo.Job // what the SLO recorder knows of it; nil: not tracked, or not any more
}

// resetTerm drops what is valid for one term only.
func (j *Job) resetTerm() {
	j.resetCommits()
	j.resetScheduling()
	j.cachedJobState = cachedJobState{}
	j.runHistory = runHistory{}
	j.reservedMachines = nil
}

// resetScheduling drops what scheduling cycles keep for one term. The machine types that suit the job
// and whether its start was counted remain valid.
func (s *schedulingState) resetScheduling() {
	s.equivalenceClass = 0
	s.reservingSince = 0
	s.queuedBehind = false
	s.classStats = nil
	s.movedAt = nil
}

// meetsObjective reports whether a job is done or, for a service, has all its replicas placed.
func (j *Job) meetsObjective() bool {
	rec := &j.Record
	if rec.Phase == job.Done {
		return true
	}
	return rec.Spec != nil && rec.Spec.Shape == wire.Service && j.OpenTasks >= rec.Spec.Tasks
}
