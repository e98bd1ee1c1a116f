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

// Group commit of placements. Changes of the key-value store are scarce, and a job's record is
// one change for each job that is placed. From job.FormatPlacementPages on, what a scheduling cycle has planned goes
// into placement pages instead (package records): a transaction rewrites a page or a few, and with
// them places tasks of as many jobs as it may have conditions for. Each job's record is a condition and not
// written: a cancellation that was committed before makes the whole transaction fail, and the rest
// is sent again without that job. While a transaction is in flight, plans wait for
// its answer, so that an idle leader commits at once and a busy one many jobs at a time.

const (
	// maxPageFill is how full of open placements a page may be, as a part of a value's size, for more to be added.
	maxPageFill = 0.75
	// criticalJobs is how many jobs a transaction must place not to be deferred in favour of other writes.
	criticalJobs = 8
	// pagePlacementCost is what placing a job by pages takes from the change budget of a scheduling cycle.
	pagePlacementCost = 0.1
)

// placementCommits commits planned placements of many jobs by transactions on placement pages.
type placementCommits struct {
	*environment
	commits   *jobCommitter
	estimates *runTimeEstimates
	scheduler *scheduler
	snapshot  *clusterSnapshot

	waiting        []*Job                           // whose plans are to be committed, in the order of scheduling cycles
	queued         map[*Job]bool                    // the jobs in waiting
	inFlight       []*placementTransaction          // that have not been settled
	busyPages      map[uint64]*placementTransaction // pages that are being written
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
	resendAt       Micros // 0: no answer is missing
	outcomeUnknown bool   // an earlier sending of it had no answer
}

// priority is the write priority of the transaction. One that starts urgent work, or the work of many jobs, isn't
// deferred behind the ends of jobs, each of which is a change of its own.
func (t *placementTransaction) priority() msg.WritePriority {
	urgent := slices.ContainsFunc(t.jobs, func(j *Job) bool { return j.Record.Spec != nil && j.Priority() == wire.Production })
	if urgent || len(t.jobs) >= criticalJobs {
		return msg.Critical
	}
	return msg.Deferrable
}

// purpose is what the changes of the transaction are counted as.
func (t *placementTransaction) purpose() msg.Purpose {
	if len(t.jobs) == 0 {
		return msg.PurposeCleanup
	}
	return msg.PurposePlacement
}

// pagesAmong returns those of the transaction's pages whose keys are among the given ones.
func (t *placementTransaction) pagesAmong(keys []string) []uint64 {
	var pages []uint64
	for _, n := range t.pages {
		if slices.Contains(keys, records.PlacementPageKey(n)) {
			pages = append(pages, n)
		}
	}
	return pages
}

// usesPlacementPages reports whether placements go into placement pages.
func (e *environment) usesPlacementPages() bool {
	return e.cfg.Settings.PlacementPages && e.encoding.Format >= job.FormatPlacementPages
}

// queuePlacement has a job's plan committed with those of other jobs.
func (pc *placementCommits) queuePlacement(j *Job) {
	if !pc.queued[j] {
		pc.queued[j] = true
		pc.waiting = append(pc.waiting, j)
	}
}

// writePlacements commits waiting plans and compacts pages, as much as may be in flight.
func (pc *placementCommits) writePlacements() {
	for len(pc.waiting) > 0 || len(pc.pagesToCompact) > 0 {
		if pc.elector.TokenChangePending() || pc.commits.inFlightChanges >= pc.commits.maxInFlightChanges() {
			return
		}
		if pc.answersExpected() > 0 && len(pc.waiting) < pc.maxJobsPerTransaction() {
			return
		}
		t := pc.nextPlacementTransaction()
		if t == nil {
			return
		}
		pc.sendPlacement(t)
	}
}

// answersExpected counts the transactions whose answer is still expected soon.
func (pc *placementCommits) answersExpected() int {
	n := 0
	for _, t := range pc.inFlight {
		if !t.outcomeUnknown {
			n++
		}
	}
	return n
}

// maxJobsPerTransaction is how many jobs a transaction on one page may place: each takes a condition, and so do the
// leader key and the page.
func (pc *placementCommits) maxJobsPerTransaction() int {
	return wire.ConditionsPerChange*pc.encoding.MaxOps() - 2
}

// nextPlacementTransaction returns the next transaction; nil: there is nothing that could be written now.
func (pc *placementCommits) nextPlacementTransaction() *placementTransaction {
	t := &placementTransaction{
		fencingToken: pc.elector.FencingToken(),
		transaction:  wire.Transaction{Conditions: []wire.Condition{pc.elector.Condition()}},
	}
	pages := pc.compactOnePage()
	maxConditions := wire.ConditionsPerChange * pc.encoding.MaxOps()
	taken := 0
	for _, j := range pc.waiting {
		if !j.planCommittable() {
			taken++
			delete(pc.queued, j)
			continue
		}
		extended, ok := pc.addToPages(j, pages, maxConditions-len(t.transaction.Conditions)-1)
		if !ok && (len(t.jobs) > 0 || len(pc.busyPages) > 0) {
			break // it goes with the next transaction
		}
		taken++
		delete(pc.queued, j)
		if !ok {
			pc.reducePlan(j)
			continue
		}
		pages = extended
		t.jobs = append(t.jobs, j)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: job.RecordKey(j.ID), Version: j.Version})
	}
	pc.waiting = slices.Delete(pc.waiting, 0, taken)
	if len(pages) == 0 || !pc.encodePages(t, pages) {
		return nil
	}
	return t
}

// planCommittable reports whether the job's plan still applies to its record and nothing else of it is in flight.
func (j *Job) planCommittable() bool {
	if j.transaction != nil || len(j.plan) == 0 {
		return false
	}
	return j.Version != 0 && !j.Record.Final() && !j.Record.CancelRequested
}

// compactOnePage begins to rewrite one of the pages to be compacted, if any can be now.
func (pc *placementCommits) compactOnePage() []*pageBuilder {
	for _, n := range slices.Sorted(maps.Keys(pc.pagesToCompact)) {
		if pc.pageIdle(n) && pc.replica.PlacementPage(n) != nil {
			return []*pageBuilder{pc.newPageBuilder(n)}
		}
	}
	return nil
}

// pageIdle reports whether no transaction in flight writes a page.
func (pc *placementCommits) pageIdle(n uint64) bool {
	_, busy := pc.busyPages[n]
	return !busy
}

// requestCompaction has a page rewritten without what is over, with the next transaction.
func (pc *placementCommits) requestCompaction(n uint64) { pc.pagesToCompact[n] = true }

// reducePlan has less of a job planned because one transaction can't hold all of it. A gang needs
// all of its placements, and gets them by its own record, in several transactions.
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

// encodePages turns pages into conditions and changes. It returns false if a value has become too
// large after all: then the jobs are planned anew.
func (pc *placementCommits) encodePages(t *placementTransaction, pages []*pageBuilder) bool {
	for _, page := range pages {
		value, err := records.EncodePlacementPage(mergeEntries(page.entries))
		if err != nil || !pc.encoding.Fits(value) {
			pc.outbox.Log("placements not written", "page", page.number, "entries", len(page.entries), "limit", pc.encoding.MaxValueBytes())
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
