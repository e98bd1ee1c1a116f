package leader

import (
	"cmp"
	"slices"

	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/slo"
)

// Job is a job as this node knows it.
type Job struct {
	*records.Job

	// For the leader: what has been learnt or decided and is to be committed.
	unfinished bool
	orderedBy  Micros // as it stands in the order of active jobs
	cachedJobState
	runHistory
	types            machineTypes
	equivalenceClass int    // the number of its likeness; 0: not reckoned yet
	classifiedAs     string // for this priority
	completions      []completion
	mergeRequested   bool              // to be written so that a page of the log can go
	leftMachines     map[string]uint64 // machines that an attempt of a gang has left
	plan             []job.Placement
	transaction      *jobTransaction
	retryAt          Micros

	reservingSince Micros      // since when machines are kept for it as they become free
	queuedBehind   bool        // in the line for its team's guarantee, whatever its age
	startCounted   bool        // among those that have begun
	classStats     *classStats // of its class; nil: not looked up yet

	account accounting.Key    // whose use it is
	charged job.ResourceUsage // what it counts for there

	tracked *slo.Job // how it counts among what is served; nil: it doesn't, or not any more

	arrivedAt         Micros // when this node first saw the job
	startedAt         map[int]Micros
	failedGangAttempt uint64 // gang attempts up to this one can't be completed
	ranGangAttempt    uint64 // highest gang attempt that ran
	failures          int
	failedOn          map[string]Micros
	holdUntil         Micros
	movedAt           map[int]Micros  // replicas that were moved lately
	preemptingUntil   Micros          // victims are leaving until then
	reservedMachines  map[string]bool // machines that they leave
	cancelling        bool
	tooLarge          bool // its record was once found too large to be written
	movingToShards    bool // its tasks are to be moved out of its record
	ownRecordOnly     bool // its places go into its record: one transaction on pages has no room for all of it
}

// completion is a placement with proof that it is over.
type completion struct {
	key       job.AttemptKey
	machine   string
	done      bool
	occupancy job.Occupancy
	logged    bool // on its way into the log of ended attempts
}

// setUnfinished puts a job into the list of active ones or takes it out.
func (e *environment) setUnfinished(j *Job, active bool) {
	if active == j.unfinished {
		return
	}
	if active {
		j.orderedBy = j.Record.CreatedAt
	}
	i, _ := slices.BinarySearchFunc(e.unfinished, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.orderedBy, b.orderedBy), cmp.Compare(a.ID, b.ID))
	})
	if j.unfinished = active; active {
		e.unfinished = slices.Insert(e.unfinished, i, j)
	} else {
		e.unfinished = slices.Delete(e.unfinished, i, i+1)
	}
}

// resetTerm forgets what is only of use in one term.
func (j *Job) resetTerm() {
	j.completions, j.plan, j.transaction, j.reservedMachines, j.mergeRequested, j.movedAt, j.ownRecordOnly = nil, nil, nil, nil, false, nil, false
	j.cachedJobState, j.runHistory, j.equivalenceClass, j.reservingSince, j.queuedBehind, j.classStats = cachedJobState{}, runHistory{}, 0, 0, false, nil
}
