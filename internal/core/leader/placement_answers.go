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

// submitPlacement sends or resends a transaction.
func (pc *placementCommits) submitPlacement(t *placementTransaction) {
	term := pc.term
	pc.commits.inFlightChanges += len(t.transaction.Changes)
	pc.outbox.CommitWithPriority(t.transaction, t.priority(), t.purpose(), func(d msg.CommitDone) {
		if term == pc.term {
			pc.commits.inFlightChanges -= len(t.transaction.Changes)
		}
		if pc.elector.IsLeader() && slices.Contains(pc.inFlight, t) {
			pc.onPlacementCommitDone(t, &d)
		}
	})
}

// resendPlacements resends the transactions that received no response and whose backoff has elapsed.
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

// onPlacementCommitDone handles the outcome of a transaction.
func (pc *placementCommits) onPlacementCommitDone(t *placementTransaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		pc.onPlacementCommitted(t, d.Revision)
	case msg.Unknown:
		// The transaction may still be applied. The same transaction is sent again: the conditions make one of
		// the two copies fail. Until the outcome is known, its placements count as used capacity, and its tasks
		// are not placed elsewhere.
		pc.resendPlacementLater(t)
	case msg.Conflict:
		if !pc.elector.ResignIfDeposed(t.fencingToken, d.Failed) {
			pc.onPlacementConflict(t, d.Failed)
		}
	case msg.Invalid: // the jobs are planned again, with smaller values
		pc.retryPlacementLater(t, config.Second)
	default:
		if t.outcomeUnknown { // this send was refused, but an earlier one may still be applied
			t.resendAt = pc.outbox.Now() + outbox.CommitRetryInterval
			return
		}
		pc.retryPlacementLater(t, outbox.CommitRetryInterval)
	}
}

func (pc *placementCommits) onPlacementCommitted(t *placementTransaction, revision uint64) {
	for _, j := range t.jobs {
		pc.estimates.recordOwnPlacements(j, j.plan)
	}
	pc.settlePlacement(t)
	for i := range t.transaction.Changes {
		change := &t.transaction.Changes[i]
		pc.applyRecord(&wire.Change{Put: change.Put, Value: change.Value, Version: revision})
	}
}

// resendPlacementLater schedules a transaction whose outcome is unknown to be sent again after a backoff.
func (pc *placementCommits) resendPlacementLater(t *placementTransaction) {
	t.outcomeUnknown = true
	t.resendAt = pc.outbox.Now() + outbox.CommitRetryInterval
}

// retryPlacementLater discards a transaction that was not applied, and lets its jobs be planned again after a backoff.
func (pc *placementCommits) retryPlacementLater(t *placementTransaction, backoff Micros) {
	pc.settlePlacement(t)
	for _, j := range t.jobs {
		j.retryAt = pc.outbox.Now() + backoff
	}
}

// settlePlacement discards a transaction. Its placements are in the records by now, or no copy of it can put them there
// any more.
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

// onPlacementConflict handles a transaction that failed because of the given keys. If these include pages, the pages
// are read and the placements stay counted until then. The same holds for all of the transaction's pages if an earlier
// send received no response, because this one may have conflicted with it. Otherwise the records that have changed are
// read, and the other jobs are queued again at once.
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

// settleConflict discards a transaction that failed with a conflict, and reads the records that have changed.
func (pc *placementCommits) settleConflict(t *placementTransaction, failed []string) {
	pc.settlePlacement(t)
	for _, j := range t.jobs {
		if key := job.RecordKey(j.ID); slices.Contains(failed, key) {
			pc.commits.onConflict(j, []string{key})
		}
	}
}

// readPages reads pages and calls onRead once all of them have been read. If any of them can't be read, the transaction
// is resent after a backoff.
func (pc *placementCommits) readPages(t *placementTransaction, pages []uint64, onRead func()) {
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
				onRead()
			}
		})
	}
}
