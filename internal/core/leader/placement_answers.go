package leader

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// sendPlacement sends a transaction for the first time.
func (pc *placementCommits) sendPlacement(t *placementTransaction) {
	for _, n := range t.pages {
		pc.busyPages[n] = t
		delete(pc.pagesToCompact, n)
	}
	for _, j := range t.jobs {
		j.transaction = &jobTransaction{fencingToken: t.fencingToken, placed: j.plan}
	}
	pc.inFlight = append(pc.inFlight, t)
	pc.submitPlacement(t)
}

// submitPlacement sends a transaction, for the first time or again.
func (pc *placementCommits) submitPlacement(t *placementTransaction) {
	term := pc.term
	pc.commits.inFlightChanges += len(t.transaction.Changes)
	pc.outbox.CommitWithPriority(t.transaction, t.priority(), t.purpose(), func(d msg.CommitDone) {
		if term == pc.term {
			pc.commits.inFlightChanges -= len(t.transaction.Changes)
		}
		if pc.elector.IsLeader() && slices.Contains(pc.inFlight, t) {
			pc.onPlacementAnswer(t, &d)
		}
	})
}

// resendPlacements resends the transactions that had no answer and whose backoff is over.
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

// onPlacementAnswer handles the answer to a transaction.
func (pc *placementCommits) onPlacementAnswer(t *placementTransaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		pc.onPlacementCommitted(t, d.Revision)
	case msg.Unknown:
		// It may be applied later. The same is sent again: either it or the late one fails by its conditions,
		// and until then what it places is counted, and placed nowhere else.
		pc.resendPlacementLater(t)
	case msg.Conflict:
		if !pc.elector.DeposedBy(t.fencingToken, d.Failed) {
			pc.onPlacementConflict(t, d.Failed)
		}
	case msg.Invalid: // smaller values are planned
		pc.retryPlacementLater(t, config.Second)
	default:
		if t.outcomeUnknown { // this sending was refused; an earlier one may still be applied
			t.resendAt = pc.outbox.Now() + outbox.CommitRetryInterval
			return
		}
		pc.retryPlacementLater(t, outbox.CommitRetryInterval)
	}
}

func (pc *placementCommits) onPlacementCommitted(t *placementTransaction, revision uint64) {
	for _, j := range t.jobs {
		pc.estimates.noteOwnPlacements(j, j.plan)
	}
	pc.settlePlacement(t)
	for i := range t.transaction.Changes {
		change := &t.transaction.Changes[i]
		pc.applyRecord(&wire.Change{Put: change.Put, Value: change.Value, Version: revision})
	}
}

// resendPlacementLater has a transaction sent again whose outcome is unknown, after a backoff.
func (pc *placementCommits) resendPlacementLater(t *placementTransaction) {
	t.outcomeUnknown = true
	t.resendAt = pc.outbox.Now() + outbox.CommitRetryInterval
}

// retryPlacementLater has the jobs of a transaction that was not applied planned anew, after a backoff.
func (pc *placementCommits) retryPlacementLater(t *placementTransaction, backoff Micros) {
	pc.settlePlacement(t)
	for _, j := range t.jobs {
		j.retryAt = pc.outbox.Now() + backoff
	}
}

// settlePlacement ends a transaction: what it has placed is in the records, or will never be by it.
func (pc *placementCommits) settlePlacement(t *placementTransaction) {
	pc.inFlight = slices.DeleteFunc(pc.inFlight, func(o *placementTransaction) bool { return o == t })
	for _, n := range t.pages {
		delete(pc.busyPages, n)
	}
	for _, j := range t.jobs {
		pc.commits.settle(j)
		pc.commits.requestCommit(j.ID)
	}
	pc.scheduler.requestCycle()
}

// onPlacementConflict handles a conflict. If an earlier sending had no answer, this one may have conflicted
// with it: until the pages have been read what it places stays counted. Otherwise the jobs whose
// records have changed are read, and the others are queued again at once.
func (pc *placementCommits) onPlacementConflict(t *placementTransaction, failed []string) {
	pages := t.pagesAmong(failed)
	if t.outcomeUnknown {
		pages = t.pages
	}
	if len(pages) > 0 {
		pc.readPages(t, pages, func() { pc.settleConflict(t, failed) })
		return
	}
	plans := make([][]job.Placement, len(t.jobs))
	for i, j := range t.jobs {
		plans[i] = j.plan
	}
	pc.settleConflict(t, failed)
	for i, j := range t.jobs {
		if !slices.Contains(failed, job.RecordKey(j.ID)) {
			pc.snapshot.setPlan(j, plans[i])
			pc.queuePlacement(j)
		}
	}
}

// settleConflict ends a transaction that met a conflict and has the records read that have changed.
func (pc *placementCommits) settleConflict(t *placementTransaction, failed []string) {
	pc.settlePlacement(t)
	for _, j := range t.jobs {
		if key := job.RecordKey(j.ID); slices.Contains(failed, key) {
			pc.commits.onConflict(j, []string{key})
		}
	}
}

// readPages reads pages and calls then once all have been read. If any can't be read, the transaction is
// resent.
func (pc *placementCommits) readPages(t *placementTransaction, pages []uint64, then func()) {
	unanswered := len(pages)
	failed := false
	for _, n := range pages {
		key := records.PlacementPageKey(n)
		pc.outbox.Read(key, func(d msg.ReadDone) {
			if !pc.elector.IsLeader() || !slices.Contains(pc.inFlight, t) {
				return
			}
			if d.Outcome == msg.OK && d.Item.Version != 0 {
				pc.applyRecord(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			}
			unanswered--
			failed = failed || d.Outcome != msg.OK
			switch {
			case unanswered > 0:
			case failed:
				pc.resendPlacementLater(t)
			default:
				then()
			}
		})
	}
}
