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

// jobCommitter writes what is known or decided about jobs into their records. It has one transaction in
// flight for a job at a time, and resends it until its outcome is known.
type jobCommitter struct {
	*environment
	completionLog *completionlog.Log
	cancellations *cancellations
	estimates     *runTimeEstimates
	placements    *placementCommits
	scheduler     *scheduler
	snapshot      *clusterSnapshot

	pendingCommits  map[string]bool // by job: to be committed in this step
	deferredCommits map[string]bool // by job: could not be committed, to be retried by the next tick
	inFlightChanges int             // changes to jobs and placement pages without an answer
}

func (jc *jobCommitter) reset() {
	jc.pendingCommits = map[string]bool{}
	jc.deferredCommits = map[string]bool{}
	jc.inFlightChanges = 0
}

// commitState is what is known or decided about a job and is still to be committed. The committer owns
// it; other components add to it through the committer or the snapshot.
type commitState struct {
	completions    []completion    // ended attempts that its records still hold open
	plan           []job.Placement // planned placements that are not committed
	transaction    *jobTransaction // in flight; nil: none
	retryAt        Micros          // backoff: nothing is committed before
	mergeRequested bool            // its record is to be written so that a page of the completion log can be deleted
	cancelling     bool            // its cancellation may be confirmed to the user
	tooLarge       bool            // its record was found too large once; this is logged only the first time
	movingToShards bool            // its tasks are to be moved from its record into shards
	ownRecordOnly  bool            // placed by its own record: one transaction on placement pages can't hold its whole plan
}

// resetCommits drops what is valid for one term only.
func (s *commitState) resetCommits() {
	s.completions = nil
	s.plan = nil
	s.transaction = nil
	s.mergeRequested = false
	s.ownRecordOnly = false
}

const (
	// shardDeletionInterval spreads the deletion of a large job's shards, which is never
	// urgent but counts against the quota of changes.
	shardDeletionInterval = config.Second
	// tooLargeBackoff is how long a job is left alone whose next state doesn't fit a value.
	tooLargeBackoff = 10 * config.Second
)

// requestCommit has a job committed in this step, or as soon as it can be.
func (jc *jobCommitter) requestCommit(id string) { jc.pendingCommits[id] = true }

// commitPendingJobs commits what is known or decided about the pending jobs, in the order of their IDs.
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

// retryDeferredCommits makes the jobs pending that could not be committed before.
func (jc *jobCommitter) retryDeferredCommits() {
	for id := range jc.deferredCommits {
		jc.pendingCommits[id] = true
	}
	clear(jc.deferredCommits)
}

// commitJob commits a job's next state. It returns false if there is more to do
// after the transaction in flight, or later.
func (jc *jobCommitter) commitJob(j *Job) bool {
	jc.resendIfDue(j)
	if j.Version == 0 {
		return true // its record has not arrived yet
	}
	if j.transaction != nil || jc.outbox.Now() < j.retryAt || jc.elector.TokenChangePending() {
		return false
	}
	jc.cancellations.confirm(j)
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

// commitByPages commits a job's plan by placement pages and its completions by the completion log,
// where no transaction on its own record is needed. It returns as commitJob does.
func (jc *jobCommitter) commitByPages(j *Job, t *jobTransaction, more bool) bool {
	if len(j.plan) > 0 && jc.placedInPages(j) {
		jc.placements.queuePlacement(j)
	}
	if t == nil { // a cancellation waits for workers to report: try again
		return !j.Record.CancelRequested || j.Record.Final()
	}
	jc.logCompletions(j, t.completions)
	return !more
}

// commitIsUrgent reports whether a transaction on the job's record is not to wait until fewer changes are in flight.
func (j *Job) commitIsUrgent() bool {
	return len(j.plan) > 0 || j.Record.CancelRequested || j.DependencyCancelled() || j.DependentCount() > 0
}

// markForReview has the next scheduling cycle and, if this node leads, the next commit consider a job.
func (jc *jobCommitter) markForReview(j *Job) {
	jc.scheduler.requestCycle()
	if jc.ready {
		jc.requestCommit(j.ID)
	}
}

// placedInPages reports whether a job's placements go into pages with those of other jobs.
func (jc *jobCommitter) placedInPages(j *Job) bool {
	return jc.usesPlacementPages() && !j.ownRecordOnly
}

// placementCost is what placing a job, or 32 more tasks of it, takes from the change budget of a scheduling cycle.
func (jc *jobCommitter) placementCost(j *Job) float64 {
	if jc.placedInPages(j) {
		return pagePlacementCost
	}
	return 1
}

// maxInFlightChanges is how many changes to jobs may be in flight: what the key-value
// store takes in about half a second. More would wait in a queue that
// knows no priorities.
func (jc *jobCommitter) maxInFlightChanges() int {
	return max(jc.encoding.MaxOps(), int(jc.cfg.Cluster.State.LeastWriteRPS()/2))
}

// maxInFlightCompletions is how many changes may be in flight for another one to be sent for the end of a
// job. Where a placement page is one change for many jobs, half is left to pages: queued completions
// would delay the starts of all other jobs.
func (jc *jobCommitter) maxInFlightCompletions() int {
	if jc.usesPlacementPages() {
		return max(1, jc.maxInFlightChanges()/2)
	}
	return jc.maxInFlightChanges()
}

// fittingTransaction returns a job's next transaction, made so small that every value of it
// fits: a plan is cut down, and completions go by the log. It also reports whether there is more to commit.
func (jc *jobCommitter) fittingTransaction(j *Job) (*jobTransaction, bool) {
	for {
		t, more := jc.buildTransaction(j)
		if t == nil || t.completionsOnly || jc.valuesFit(&t.transaction) {
			return t, more
		}
		if !j.tooLarge {
			j.tooLarge = true
			jc.outbox.Log("record too large to be written whole", "job", j.ID, "limit", jc.encoding.MaxValueBytes())
		}
		switch {
		case j.Record.Spec != nil && jc.replica.ShortenSpec(j.Job, jc.catalog.Slim(j.Record.Spec)):
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

// canMoveToShards reports whether the tasks can be moved out of a job's record in one
// transaction: if they are all in it.
func (jc *jobCommitter) canMoveToShards(j *Job) bool {
	if j.movingToShards || j.Record.ShardsOnly || jc.encoding.Format < job.FormatGrouped {
		return false
	}
	return !slices.ContainsFunc(j.Shards, func(s records.Shard) bool { return s.Version != 0 })
}

// valuesFit reports whether every value of a transaction is small enough to be put.
func (jc *jobCommitter) valuesFit(t *wire.Transaction) bool {
	for i := range t.Changes {
		if t.Changes[i].Put != "" && !jc.encoding.Fits(t.Changes[i].Value) {
			return false
		}
	}
	return true
}
