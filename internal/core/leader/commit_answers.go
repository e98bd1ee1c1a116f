package leader

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/wire"
)

// resendIfDue resends a job's transaction that had no answer once its backoff is over.
func (jc *jobCommitter) resendIfDue(j *Job) {
	t := j.transaction
	if t == nil || t.resendAt == 0 || jc.outbox.Now() < t.resendAt {
		return
	}
	t.resendAt = 0
	jc.sendTransaction(j, t)
}

func (jc *jobCommitter) sendTransaction(j *Job, t *jobTransaction) {
	term := jc.term
	jc.inFlightChanges += len(t.transaction.Changes)
	jc.outbox.CommitWithPriority(t.transaction, t.priority(j), t.purpose(), func(d msg.CommitDone) {
		if term == jc.term {
			jc.inFlightChanges -= len(t.transaction.Changes)
		}
		if !jc.elector.IsLeader() || j.transaction != t {
			return
		}
		jc.requestCommit(j.ID)
		jc.onAnswer(j, t, &d)
	})
}

// onAnswer handles the answer to a job's transaction.
func (jc *jobCommitter) onAnswer(j *Job, t *jobTransaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		jc.settle(j)
		jc.applyCommitted(j, t, d.Revision)
	case msg.Unknown:
		// It may be applied later. The same transaction is sent again: either it
		// or the late one fails by its conditions, and until then what it
		// places is counted.
		t.outcomeUnknown = true
		t.resendAt = jc.outbox.Now() + outbox.CommitRetryInterval
	case msg.Conflict:
		if !jc.elector.DeposedBy(t.fencingToken, d.Failed) {
			jc.onRejected(j, t, d.Failed)
		}
	case msg.Invalid:
		jc.onRejected(j, t, t.jobKeys())
	default:
		if t.outcomeUnknown { // this sending was refused; an earlier one may still be applied
			t.resendAt = jc.outbox.Now() + outbox.CommitRetryInterval
			return
		}
		jc.settle(j)
		j.retryAt = jc.outbox.Now() + outbox.CommitRetryInterval
	}
}

// settle ends a job's transaction: no sending of it takes effect from now on.
func (jc *jobCommitter) settle(j *Job) {
	j.transaction = nil
	jc.snapshot.setPlan(j, nil)
	jc.scheduler.requestCycle()
}

// onRejected handles a transaction that can't be applied any more, by the keys to be read again. If an earlier
// sending had no answer, this one may have conflicted with it. Until the records have been
// read what it places stays counted, or the team's limit would be given away twice.
func (jc *jobCommitter) onRejected(j *Job, t *jobTransaction, failed []string) {
	if t.outcomeUnknown {
		jc.readAfterConflict(j, t, func() { jc.settle(j) })
		return
	}
	jc.settle(j)
	jc.onConflict(j, failed)
}

// applyCommitted applies what a transaction has written to this node's replica.
func (jc *jobCommitter) applyCommitted(j *Job, t *jobTransaction, revision uint64) {
	j.dropCompletions(t.completions)
	j.mergeRequested = false
	j.movingToShards = false
	if t.record != nil && j.Version < revision { // first: tasks may have moved out of it
		jc.replica.SetRecord(j.ID, *t.record, revision)
	}
	for _, n := range slices.Sorted(maps.Keys(t.shards)) {
		if _, version := j.Shard(n); version < revision {
			jc.replica.SetShard(j.Job, n, t.shards[n], revision)
		}
	}
	for _, change := range t.transaction.Changes {
		if _, n, ok := job.ParseKey(change.Delete); ok && n > 0 && n <= len(j.Shards) {
			jc.replica.SetShard(j.Job, n, job.Shard{}, 0)
		}
	}
	jc.estimates.noteOwnPlacements(j, t.placed)
}

// onConflict reads the keys of a job that have changed concurrently, and has it retried after that.
func (jc *jobCommitter) onConflict(j *Job, failed []string) {
	for _, key := range failed {
		if _, _, ok := job.ParseKey(key); !ok {
			continue // the leader key
		}
		j.retryAt = jc.outbox.Now() + config.Second // unless the answer arrives sooner
		jc.readKey(j, key, func(ok bool) {
			if ok {
				j.retryAt = jc.outbox.Now()
			}
		})
	}
}

// readAfterConflict reads all of the job's keys that a transaction depends on, and calls then once all of them have
// been read. If any can't be read, the transaction is resent.
func (jc *jobCommitter) readAfterConflict(j *Job, t *jobTransaction, then func()) {
	keys := t.jobKeys()
	unanswered := len(keys)
	failed := false
	for _, key := range keys {
		jc.readKey(j, key, func(ok bool) {
			unanswered--
			failed = failed || !ok
			switch {
			case unanswered > 0 || j.transaction != t:
			case failed:
				t.resendAt = jc.outbox.Now() + outbox.CommitRetryInterval
			default:
				then()
			}
		})
	}
}

// readKey updates the replica to what a key of a job holds now, and reports to then whether it could be read.
// The answer is ignored if this node doesn't lead any more.
func (jc *jobCommitter) readKey(j *Job, key string, then func(ok bool)) {
	jc.outbox.Read(key, func(d msg.ReadDone) {
		if !jc.elector.IsLeader() {
			return
		}
		if d.Outcome == msg.OK {
			if d.Item.Version != 0 {
				jc.applyRecord(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			} else if _, n, ok := job.ParseKey(key); ok && n > 0 {
				jc.replica.SetShard(j.Job, n, job.Shard{}, 0)
			}
		}
		jc.requestCommit(j.ID)
		then(d.Outcome == msg.OK)
	})
}
