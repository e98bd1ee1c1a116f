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

// Group commit of placements. Changes of the state service are scarce, and a job's record is
// one for each job that is placed. From job.SharedParts on, what a pass has planned goes into
// shared parts instead (package records): a transaction rewrites a page or a few, and with
// them places tasks of as many jobs as it may have guards for. Each job's record is guarded and not
// written: a cancellation that was committed before voids the whole, and the rest
// is sent again without that job. While a transaction is under way what is planned waits for
// its answer, so that an idle leader commits at once and a busy one many jobs at a time.

const (
	// maxPageFill is how full a page may be, by what it holds open, for more to be put into it.
	maxPageFill = 0.75
	// criticalJobs is how many jobs a transaction is to place for it not to give way to others.
	criticalJobs = 8
	// pagePlacementCost is what placing a job by pages counts of the changes that a pass may ask for.
	pagePlacementCost = 0.1
)

// placementCommits is what the leader does about shared parts.
type placementCommits struct {
	*environment
	commits   *jobCommitter
	estimates *runTimeEstimates
	scheduler *scheduler
	snapshot  *clusterSnapshot

	waiting        []*Job                           // with a plan that is to be committed, in the order of passes
	queued         map[*Job]bool                    // the same
	inFlight       []*placementTransaction          // that have not been settled
	busyPages      map[uint64]*placementTransaction // pages that are being written
	pagesToCompact map[uint64]bool                  // pages to be rewritten so that the log of ended attempts can be shortened
}

func (pc *placementCommits) reset() {
	pc.waiting, pc.inFlight = nil, nil
	pc.queued, pc.busyPages, pc.pagesToCompact = map[*Job]bool{}, map[uint64]*placementTransaction{}, map[uint64]bool{}
}

// placementTransaction is a transaction on pages.
type placementTransaction struct {
	transaction    wire.Transaction
	fencingToken   uint64
	jobs           []*Job
	pages          []uint64
	resendAt       Micros // 0: no answer is missing
	outcomeUnknown bool   // a sending of it had no answer
}

// usesPlacementPages tells whether placements go into shared parts.
func (e *environment) usesPlacementPages() bool {
	return e.cfg.Settings.PlacementPages && e.encoding.Format >= job.FormatPlacementPages
}

// queuePlacement has a job's plan committed with those of others.
func (pc *placementCommits) queuePlacement(j *Job) {
	if p := pc; !p.queued[j] {
		p.queued[j] = true
		p.waiting = append(p.waiting, j)
	}
}

// writePlacements commits what waits, as much as may be on its way.
func (pc *placementCommits) writePlacements() {
	p := pc
	for len(p.waiting) > 0 || len(p.pagesToCompact) > 0 {
		if pc.elector.TokenChangePending() || pc.commits.inFlightChanges >= pc.commits.maxInFlightChanges() || p.answersExpected() > 0 && len(p.waiting) < pc.maxJobsPerTransaction() {
			return
		}
		t := pc.nextPlacementTransaction()
		if t == nil {
			return
		}
		pc.sendPlacement(t)
	}
}

// answersExpected counts the transactions of which an answer is still to be expected soon.
func (p *placementCommits) answersExpected() int {
	n := 0
	for _, t := range p.inFlight {
		if !t.outcomeUnknown {
			n++
		}
	}
	return n
}

// maxJobsPerTransaction is how many jobs a transaction on one page may place: each has a guard, and so have the
// claim and the page.
func (pc *placementCommits) maxJobsPerTransaction() int {
	return wire.ConditionsPerChange*pc.encoding.MaxOps() - 2
}

// nextPlacementTransaction returns the next transaction; nil: there is nothing that could be written now.
func (pc *placementCommits) nextPlacementTransaction() *placementTransaction {
	p := pc
	t := &placementTransaction{fencingToken: pc.elector.FencingToken(), transaction: wire.Transaction{Conditions: []wire.Condition{pc.elector.Condition()}}}
	drafts := pc.compactOnePage()
	most := wire.ConditionsPerChange * pc.encoding.MaxOps()
	taken := 0
	for _, j := range p.waiting {
		if j.transaction != nil || len(j.plan) == 0 || j.Version == 0 || j.Record.Final() || j.Record.CancelRequested {
			taken++ // planned for what is not so any more
			delete(p.queued, j)
			continue
		}
		more, ok := pc.addToPages(j, drafts, most-len(t.transaction.Conditions)-1)
		if !ok && (len(t.jobs) > 0 || len(p.busyPages) > 0) {
			break // it goes with the next
		}
		taken++
		delete(p.queued, j)
		if !ok {
			pc.reducePlan(j)
			continue
		}
		drafts = more
		t.jobs = append(t.jobs, j)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: job.RecordKey(j.ID), Version: j.Version})
	}
	p.waiting = slices.Delete(p.waiting, 0, taken)
	if len(drafts) == 0 || !pc.encodePages(t, drafts) {
		return nil
	}
	return t
}

// compactOnePage begins to rewrite one of the pages that are to be, if any can be now.
func (pc *placementCommits) compactOnePage() []*pageBuilder {
	for _, n := range slices.Sorted(maps.Keys(pc.pagesToCompact)) {
		if pc.pageFree(n) && pc.replica.PlacementPage(n) != nil {
			return []*pageBuilder{pc.newPageBuilder(n)}
		}
	}
	return nil
}

// pageFree tells whether a page is in the copy and nothing is being done to it.
func (p *placementCommits) pageFree(n uint64) bool {
	_, busy := p.busyPages[n]
	return !busy
}

// reducePlan has less of a job planned: one transaction has no room for all of it. A gang needs
// all of its places, and gets them by its own record, in several transactions.
func (pc *placementCommits) reducePlan(j *Job) {
	if j.Record.Spec.Shape == wire.Gang {
		j.ownRecordOnly = true
		pc.commits.pendingCommits[j.ID] = true
		return
	}
	pc.snapshot.setPlan(j, j.plan[:len(j.plan)/2])
	if len(j.plan) > 0 {
		pc.queuePlacement(j)
	}
}

// encodePages turns drafts into guards and changes. It returns false if a value has become too
// large after all: then its jobs are planned anew.
func (pc *placementCommits) encodePages(t *placementTransaction, drafts []*pageBuilder) bool {
	for _, d := range drafts {
		value, err := records.EncodePlacementPage(mergeEntries(d.entries))
		if err != nil || !pc.encoding.Fits(value) {
			pc.outbox.Log("placements not written", "page", d.number, "entries", len(d.entries), "limit", pc.encoding.MaxValueBytes())
			for _, j := range t.jobs {
				pc.snapshot.setPlan(j, nil)
				j.retryAt = pc.outbox.Now() + config.Second
			}
			return false
		}
		key := records.PlacementPageKey(d.number)
		t.pages = append(t.pages, d.number)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: key, Version: d.version})
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Put: key, Value: value})
	}
	return true
}

// sendPlacement sends a transaction for the first time.
func (pc *placementCommits) sendPlacement(t *placementTransaction) {
	p := pc
	for _, n := range t.pages {
		p.busyPages[n] = t
		delete(p.pagesToCompact, n)
	}
	for _, j := range t.jobs {
		j.transaction = &jobTransaction{fencingToken: t.fencingToken, placed: j.plan}
	}
	p.inFlight = append(p.inFlight, t)
	pc.submitPlacement(t)
}

func (pc *placementCommits) submitPlacement(t *placementTransaction) {
	reign := pc.term
	pc.commits.inFlightChanges += len(t.transaction.Changes)
	purpose := msg.PurposePlacement
	if len(t.jobs) == 0 {
		purpose = msg.PurposeCleanup
	}
	pc.outbox.CommitWithPriority(t.transaction, t.priority(), purpose, func(d msg.CommitDone) {
		if reign == pc.term {
			pc.commits.inFlightChanges -= len(t.transaction.Changes)
		}
		if pc.elector.IsLeader() && slices.Contains(pc.inFlight, t) {
			pc.onPlacementAnswer(t, &d)
		}
	})
}

// priority is whose changes the transaction takes. One that starts urgent work, or the work of many, doesn't
// wait behind ends of jobs, each of which is a change of its own.
func (t *placementTransaction) priority() msg.WritePriority {
	urgent := slices.ContainsFunc(t.jobs, func(j *Job) bool { return j.Record.Spec != nil && j.Priority() == wire.Production })
	if urgent || len(t.jobs) >= criticalJobs {
		return msg.Critical
	}
	return msg.Deferrable
}

// onPlacementAnswer takes the answer to a transaction.
func (pc *placementCommits) onPlacementAnswer(t *placementTransaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		for _, j := range t.jobs {
			pc.estimates.noteOwnPlacements(j, j.plan)
		}
		pc.settlePlacement(t)
		for i := range t.transaction.Changes {
			c := &t.transaction.Changes[i]
			pc.applyRecord(&wire.Change{Put: c.Put, Value: c.Value, Version: d.Revision})
		}
	case msg.Unknown:
		// It may be applied later. The same again: either it or the late one fails by its guards,
		// and until then what it places is counted, and placed nowhere else.
		t.outcomeUnknown, t.resendAt = true, pc.outbox.Now()+commitRetryInterval
	case msg.Conflict:
		if !pc.elector.DeposedBy(t.fencingToken, d.Failed) {
			pc.onPlacementConflict(t, d.Failed)
		}
	case msg.Invalid: // values become smaller
		pc.retryPlacementLater(t, config.Second)
	default:
		if t.outcomeUnknown { // this sending was refused; an earlier one may still be applied
			t.resendAt = pc.outbox.Now() + commitRetryInterval
			return
		}
		pc.retryPlacementLater(t, commitRetryInterval)
	}
}

// settlePlacement ends a transaction: what it has placed is in the records, or will never be by it.
func (pc *placementCommits) settlePlacement(t *placementTransaction) {
	p := pc
	p.inFlight = slices.DeleteFunc(p.inFlight, func(o *placementTransaction) bool { return o == t })
	for _, n := range t.pages {
		delete(p.busyPages, n)
	}
	for _, j := range t.jobs {
		j.transaction = nil
		pc.snapshot.setPlan(j, nil)
		pc.commits.pendingCommits[j.ID] = true
	}
	pc.scheduler.cycleDue = true
}

// retryPlacementLater has the jobs of a transaction that was not carried out planned anew, after a while.
func (pc *placementCommits) retryPlacementLater(t *placementTransaction, after Micros) {
	pc.settlePlacement(t)
	for _, j := range t.jobs {
		j.retryAt = pc.outbox.Now() + after
	}
}

// onPlacementConflict takes a conflict. If an earlier sending had no answer, that may be what this one
// has met: until the pages have been read what it places stays counted. Otherwise the jobs whose
// records have changed are read, and the others go again at once.
func (pc *placementCommits) onPlacementConflict(t *placementTransaction, failed []string) {
	pages := t.failedPages(failed)
	if t.outcomeUnknown {
		pages = t.pages
	}
	again := func() {
		pc.settlePlacement(t)
		for _, j := range t.jobs {
			if slices.Contains(failed, job.RecordKey(j.ID)) {
				pc.commits.onConflict(j, []string{job.RecordKey(j.ID)})
			}
		}
	}
	if len(pages) > 0 {
		pc.readPages(t, pages, again)
		return
	}
	plans := make([][]job.Placement, len(t.jobs))
	for i, j := range t.jobs {
		plans[i] = j.plan
	}
	again()
	for i, j := range t.jobs {
		if !slices.Contains(failed, job.RecordKey(j.ID)) {
			pc.snapshot.setPlan(j, plans[i])
			pc.queuePlacement(j)
		}
	}
}

// failedPages are those of a transaction's pages that are among the keys.
func (t *placementTransaction) failedPages(failed []string) []uint64 {
	var out []uint64
	for _, n := range t.pages {
		if slices.Contains(failed, records.PlacementPageKey(n)) {
			out = append(out, n)
		}
	}
	return out
}

// readPages reads pages and calls then once all have been read. If any can't be, the transaction is
// sent again.
func (pc *placementCommits) readPages(t *placementTransaction, pages []uint64, then func()) {
	left, unread := len(pages), false
	for _, n := range pages {
		key := records.PlacementPageKey(n)
		pc.outbox.Read(key, func(d msg.ReadDone) {
			if !pc.elector.IsLeader() || !slices.Contains(pc.inFlight, t) {
				return
			}
			if d.Outcome == msg.OK && d.Item.Version != 0 {
				pc.applyRecord(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			}
			left--
			unread = unread || d.Outcome != msg.OK
			switch {
			case left > 0:
			case unread:
				t.outcomeUnknown, t.resendAt = true, pc.outbox.Now()+commitRetryInterval
			default:
				then()
			}
		})
	}
}

// resendPlacements sends transactions again that had no answer.
func (pc *placementCommits) resendPlacements() {
	if pc.elector.TokenChangePending() {
		return
	}
	for _, t := range slices.Clone(pc.inFlight) {
		if t.resendAt != 0 && pc.outbox.Now() >= t.resendAt {
			t.resendAt = 0
			pc.submitPlacement(t)
		}
	}
}
