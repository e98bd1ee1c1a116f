package leader

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// Group commit of placements. The state service limits the rate of changes, and placing jobs by their records takes
// one change for each job. From job.FormatPlacementPages on, the plans of a scheduling cycle are written to placement
// pages instead (package records): a transaction rewrites one or a few pages, and thereby places tasks of as many jobs
// as its number of conditions allows. The record of each job is a condition and is not written. A cancellation that was
// committed earlier makes the whole transaction fail, and the transaction is sent again without that job. While a
// transaction is in flight, new plans are queued until its response arrives, so an idle leader commits at once and a
// busy leader commits many jobs at a time.

const (
	// maxPageFill is the fraction of the maximum value size up to which an existing page may be filled with open
	// placements for more to be added.
	maxPageFill = 0.75
	// minCriticalJobs is the number of jobs from which on a transaction is not deferred in favor of other writes.
	minCriticalJobs = 8
	// pagePlacementCost is what placing a job in pages consumes of the change budget of a scheduling cycle.
	pagePlacementCost = 0.1
)

// placementCommits commits planned placements of many jobs by transactions on placement pages.
type placementCommits struct {
	*environment
	commits   *jobCommitter
	estimates *runTimeEstimates
	scheduler *scheduler
	snapshot  *clusterSnapshot

	waiting        []*Job                           // jobs with plans to be committed, in planning order
	queued         map[*Job]bool                    // the set of jobs in waiting
	inFlight       []*placementTransaction          // transactions that have not been settled
	busyPages      map[uint64]*placementTransaction // by page number: the transaction in flight that writes the page
	pagesToCompact map[uint64]bool                  // pages to be rewritten so that the completion log can be shortened
}

func (pc *placementCommits) reset() {
	pc.waiting = nil
	pc.inFlight = nil
	pc.queued = map[*Job]bool{}
	pc.busyPages = map[uint64]*placementTransaction{}
	pc.pagesToCompact = map[uint64]bool{}
}

// placementTransaction is a transaction on placement pages.
type placementTransaction struct {
	transaction    wire.Transaction
	fencingToken   uint64
	jobs           []*Job
	pages          []uint64
	resendAt       Micros // when to send it again, 0 if no retry is scheduled
	outcomeUnknown bool   // an earlier send received no response
}

// priority is the write priority of the transaction. A transaction that places a production job or many jobs is not
// deferred behind the ends of jobs, each of which is a separate change.
func (t *placementTransaction) priority() msg.WritePriority {
	urgent := slices.ContainsFunc(t.jobs, func(j *Job) bool {
		return j.Record.Spec != nil && j.Priority() == wire.Production
	})
	if urgent || len(t.jobs) >= minCriticalJobs {
		return msg.Critical
	}
	return msg.Deferrable
}

// purpose is the purpose under which the transaction's changes are counted.
func (t *placementTransaction) purpose() msg.Purpose {
	if len(t.jobs) == 0 {
		return msg.PurposeCleanup
	}
	return msg.PurposePlacement
}

// pagesAmong returns the transaction's pages whose keys are among the given keys.
func (t *placementTransaction) pagesAmong(keys []string) []uint64 {
	var pages []uint64
	for _, n := range t.pages {
		if slices.Contains(keys, records.PlacementPageKey(n)) {
			pages = append(pages, n)
		}
	}
	return pages
}

// usesPlacementPages reports whether placement pages are enabled by the settings and the storage format.
func (e *environment) usesPlacementPages() bool {
	return e.cfg.Settings.PlacementPages && e.encoding.Format >= job.FormatPlacementPages
}

// queuePlacement queues a job's plan to be committed together with the plans of other jobs.
func (pc *placementCommits) queuePlacement(j *Job) {
	if !pc.queued[j] {
		pc.queued[j] = true
		pc.waiting = append(pc.waiting, j)
	}
}

// writePlacements commits waiting plans and compacts pages, up to the maximum number of changes in flight.
func (pc *placementCommits) writePlacements() {
	for len(pc.waiting) > 0 || len(pc.pagesToCompact) > 0 {
		if pc.elector.TokenChangePending() || pc.commits.inFlightChanges >= pc.commits.maxInFlightChanges() {
			return
		}
		if pc.countAwaitingResponse() > 0 && len(pc.waiting) < pc.maxJobsPerTransaction() {
			return
		}
		t := pc.nextPlacementTransaction()
		if t == nil {
			return
		}
		pc.sendPlacement(t)
	}
}

// countAwaitingResponse counts the transactions in flight whose response is expected soon. Those for which an earlier
// send received no response are not counted.
func (pc *placementCommits) countAwaitingResponse() int {
	n := 0
	for _, t := range pc.inFlight {
		if !t.outcomeUnknown {
			n++
		}
	}
	return n
}

// maxJobsPerTransaction is the maximum number of jobs that a transaction on one page can place: each job needs one
// condition, and so do the leader key and the page.
func (pc *placementCommits) maxJobsPerTransaction() int {
	return wire.MaxConditionsPerChange*pc.encoding.MaxOps() - 2
}

// nextPlacementTransaction returns the next transaction, or nil if nothing can be written now.
func (pc *placementCommits) nextPlacementTransaction() *placementTransaction {
	t := &placementTransaction{
		fencingToken: pc.elector.FencingToken(),
		transaction:  wire.Transaction{Conditions: []wire.Condition{pc.elector.Condition()}},
	}
	pages := pc.compactOnePage()
	maxConditions := wire.MaxConditionsPerChange * pc.encoding.MaxOps()
	taken := 0
	for _, j := range pc.waiting {
		if !j.planCommittable() {
			taken++
			delete(pc.queued, j)
			continue
		}
		extended, ok := pc.addToPages(j, pages, maxConditions-len(t.transaction.Conditions)-1)
		if !ok && (len(t.jobs) > 0 || len(pc.busyPages) > 0) {
			break // the next transaction places it
		}
		taken++
		delete(pc.queued, j)
		if !ok {
			pc.reducePlan(j)
			continue
		}
		pages = extended
		t.jobs = append(t.jobs, j)
		t.transaction.Conditions = append(t.transaction.Conditions,
			wire.Condition{Key: job.RecordKey(j.ID), Version: j.Version})
	}
	pc.waiting = slices.Delete(pc.waiting, 0, taken)
	if len(pages) == 0 || !pc.encodePages(t, pages) {
		return nil
	}
	return t
}

// planCommittable reports whether the job has a plan that still applies to its record, and no transaction in flight.
func (j *Job) planCommittable() bool {
	if j.transaction != nil || len(j.plan) == 0 {
		return false
	}
	return j.Version != 0 && !j.Record.Final() && !j.Record.CancelRequested
}

// compactOnePage returns a builder for one of the pages to be compacted, or no builder if none of them can be written
// now.
func (pc *placementCommits) compactOnePage() []*pageBuilder {
	for _, n := range slices.Sorted(maps.Keys(pc.pagesToCompact)) {
		if pc.pageIdle(n) && pc.replica.PlacementPage(n) != nil {
			return []*pageBuilder{pc.newPageBuilder(n)}
		}
	}
	return nil
}

// pageIdle reports whether a page is not being written by a transaction in flight.
func (pc *placementCommits) pageIdle(n uint64) bool {
	_, busy := pc.busyPages[n]
	return !busy
}

// requestCompaction has the next possible transaction rewrite a page without closed placements and archived jobs.
func (pc *placementCommits) requestCompaction(n uint64) { pc.pagesToCompact[n] = true }

// reducePlan halves a job's plan because one transaction can't hold all of it. A gang needs all of its placements, so
// they are written to its own record instead, in several transactions.
func (pc *placementCommits) reducePlan(j *Job) {
	if j.Record.Spec.Shape == wire.Gang {
		j.ownRecordOnly = true
		pc.commits.requestCommit(j.ID)
		return
	}
	pc.snapshot.setPlan(j, j.plan[:len(j.plan)/2])
	if len(j.plan) > 0 {
		pc.queuePlacement(j)
	}
}

// encodePages encodes pages as conditions and changes of a transaction. If a value exceeds the size limit in spite of
// the estimates, it drops the plans of the transaction's jobs, so that they are planned again, and returns false.
func (pc *placementCommits) encodePages(t *placementTransaction, pages []*pageBuilder) bool {
	for _, page := range pages {
		value, err := records.EncodePlacementPage(mergeEntries(page.entries))
		if err != nil || !pc.encoding.Fits(value) {
			pc.outbox.Log("placements not written", "page", page.number, "entries", len(page.entries),
				"limit", pc.encoding.MaxValueBytes())
			for _, j := range t.jobs {
				pc.snapshot.setPlan(j, nil)
				j.retryAt = pc.outbox.Now() + config.Second
			}
			return false
		}
		key := records.PlacementPageKey(page.number)
		t.pages = append(t.pages, page.number)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: key, Version: page.version})
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Put: key, Value: value})
	}
	return true
}
