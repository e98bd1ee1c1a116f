package leader

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/completionlog"
	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// jobCommitter writes completions, plans and cancellations to the records of jobs. It has at most one transaction in
// flight for each job, and resends it until its outcome is known.
type jobCommitter struct {
	*environment
	completionLog *completionlog.Log
	cancellations *cancellations
	estimates     *runTimeEstimates
	placements    *placementCommits
	scheduler     *scheduler
	snapshot      *clusterSnapshot

	pendingCommits  map[string]bool // by job ID: to be committed in this step
	deferredCommits map[string]bool // by job ID: could not be committed, to be retried at the next tick
	inFlightChanges int             // changes to jobs and placement pages that were sent and have no response yet
}

func (jc *jobCommitter) reset() {
	jc.pendingCommits = map[string]bool{}
	jc.deferredCommits = map[string]bool{}
	jc.inFlightChanges = 0
}

// commitState is the part of a job's state that is not committed yet. The jobCommitter owns it; other components change
// it through the jobCommitter or the clusterSnapshot.
type commitState struct {
	completions       []completion    // ended attempts that are still open in the records
	plan              []job.Placement // planned placements that are not committed yet
	transaction       *jobTransaction // the transaction in flight, or nil
	retryAt           Micros          // end of the backoff before which nothing is committed
	mergeRequested    bool            // the record has to be written so that a page of the completion log can be deleted
	cancelConfirmable bool            // the cancellation may be confirmed to the user
	tooLargeLogged    bool            // a value too large to be written was logged; later ones are not
	movingToShards    bool            // the tasks have to be moved from the record into shards
	ownRecordOnly     bool            // placements are written to its record: the plan exceeds a transaction on pages
}

// resetCommits clears the state that is valid for one term only.
func (s *commitState) resetCommits() {
	s.completions = nil
	s.plan = nil
	s.transaction = nil
	s.mergeRequested = false
	s.ownRecordOnly = false
}

const (
	// shardDeletionInterval is the time between two transactions that delete shards of a large job. Deletions are
	// never urgent but count against the quota of changes.
	shardDeletionInterval = config.Second
	// tooLargeBackoff is how long to wait before retrying a job whose next state exceeds the size limit of a value.
	tooLargeBackoff = 10 * config.Second
)

// requestCommit marks a job to be committed in this step or, if that is not possible, as soon as it is.
func (jc *jobCommitter) requestCommit(id string) { jc.pendingCommits[id] = true }

// commitPendingJobs commits the next states of the pending jobs, in the order of their IDs.
func (jc *jobCommitter) commitPendingJobs() {
	if len(jc.pendingCommits) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(jc.pendingCommits))
	clear(jc.pendingCommits)
	for _, id := range ids {
		if !jc.commitJob(jc.jobs[id]) {
			jc.deferredCommits[id] = true
		}
	}
}

// retryDeferredCommits marks the jobs that could not be committed before as pending again.
func (jc *jobCommitter) retryDeferredCommits() {
	for id := range jc.deferredCommits {
		jc.pendingCommits[id] = true
	}
	clear(jc.deferredCommits)
}

// commitJob commits a job's next state. It returns false if it has to be called again: after the transaction in flight,
// or later.
func (jc *jobCommitter) commitJob(j *Job) bool {
	jc.resendIfDue(j)
	if j.Version == 0 {
		return true // the record has not been received yet
	}
	if j.transaction != nil || jc.outbox.Now() < j.retryAt || jc.elector.TokenChangePending() {
		return false
	}
	jc.cancellations.evaluate(j)
	t, more := jc.fittingTransaction(j)
	if t == nil || t.completionsOnly {
		return jc.commitByPages(j, t, more)
	}
	if !j.commitIsUrgent() && jc.inFlightChanges >= jc.maxInFlightCompletions() {
		return false
	}
	if !jc.placedInPages(j) {
		t.placed = j.plan
	}
	j.transaction = t
	jc.sendTransaction(j, t)
	return !more
}

// commitByPages commits a job that needs no transaction on its own record: its plan goes into placement pages and its
// completions into the completion log. The result has the same meaning as that of commitJob.
func (jc *jobCommitter) commitByPages(j *Job, t *jobTransaction, more bool) bool {
	if len(j.plan) > 0 && jc.placedInPages(j) {
		jc.placements.queuePlacement(j)
	}
	if t == nil { // a cancellation depends on reports from workers: try again later
		return !j.Record.CancelRequested || j.Record.Final()
	}
	jc.logCompletions(j, t.completions)
	return !more
}

// commitIsUrgent reports whether a transaction on the job's record is sent however many changes are in flight.
func (j *Job) commitIsUrgent() bool {
	return len(j.plan) > 0 || j.Record.CancelRequested || j.DependencyCancelled() || j.DependentCount() > 0
}

// markForReview requests a scheduling cycle and, if this node leads and has read the records, a commit of a job.
func (jc *jobCommitter) markForReview(j *Job) {
	jc.scheduler.requestCycle()
	if jc.ready {
		jc.requestCommit(j.ID)
	}
}

// placedInPages reports whether a job's placements are stored in placement pages, together with those of other jobs.
func (jc *jobCommitter) placedInPages(j *Job) bool {
	return jc.usesPlacementPages() && !j.ownRecordOnly
}

// placementCost is what placing a job, or 32 more of its tasks, consumes of the change budget of a scheduling cycle.
func (jc *jobCommitter) placementCost(j *Job) float64 {
	if jc.placedInPages(j) {
		return pagePlacementCost
	}
	return 1
}

// maxInFlightChanges is the maximum number of changes to jobs in flight: as many as the state service accepts in
// about half a second. Further changes would wait in a queue without priorities.
func (jc *jobCommitter) maxInFlightChanges() int {
	return max(jc.encoding.MaxOps(), int(jc.cfg.Cluster.State.MinWriteRPS()/2))
}

// maxInFlightCompletions is the number of changes in flight at which no further change is sent that is not urgent, such
// as the end of a job. If placement pages are in use, half of maxInFlightChanges is reserved for them: a page is one
// change for many jobs, and queued completions would delay the starts of all other jobs.
func (jc *jobCommitter) maxInFlightCompletions() int {
	if jc.usesPlacementPages() {
		return max(1, jc.maxInFlightChanges()/2)
	}
	return jc.maxInFlightChanges()
}

// fittingTransaction returns a job's next transaction, reduced until every value in it fits the size limit: the plan is
// shortened, and completions go into the completion log. It also reports whether there is more to commit.
func (jc *jobCommitter) fittingTransaction(j *Job) (*jobTransaction, bool) {
	for {
		t, more := jc.buildTransaction(j)
		if t == nil || t.completionsOnly || jc.valuesFit(&t.transaction) {
			return t, more
		}
		if !j.tooLargeLogged {
			j.tooLargeLogged = true
			jc.outbox.Log("record too large to be written whole", "job", j.ID, "limit", jc.encoding.MaxValueBytes())
		}
		switch {
		case j.Record.Spec != nil && jc.replica.ShortenSpec(j.Job, jc.catalog.WithoutUnknownTypes(j.Record.Spec)):
		case jc.canMoveToShards(j):
			j.movingToShards = true
		case len(j.plan) > 1 && j.Record.Spec.Shape != wire.Gang:
			jc.snapshot.setPlan(j, j.plan[:len(j.plan)/2])
		case len(j.plan) > 0:
			jc.snapshot.setPlan(j, nil)
			j.holdUntil = jc.outbox.Now() + tooLargeBackoff
		case len(t.completions) > 0 && !j.Record.Final():
			t.completionsOnly = true
			return t, more
		default:
			j.mergeRequested = false
			j.retryAt = jc.outbox.Now() + tooLargeBackoff
			return nil, false
		}
	}
}

// canMoveToShards reports whether the tasks can be moved out of a job's record in one transaction, which requires that
// all of them are still in the record.
func (jc *jobCommitter) canMoveToShards(j *Job) bool {
	if j.movingToShards || j.Record.ShardsOnly || jc.encoding.Format < job.FormatGrouped {
		return false
	}
	return !slices.ContainsFunc(j.Shards, func(s records.Shard) bool { return s.Version != 0 })
}

// valuesFit reports whether every value that a transaction puts is within the size limit.
func (jc *jobCommitter) valuesFit(t *wire.Transaction) bool {
	for i := range t.Changes {
		if t.Changes[i].Put != "" && !jc.encoding.Fits(t.Changes[i].Value) {
			return false
		}
	}
	return true
}
