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

// resendIfDue resends a job's transaction that received no response, once its backoff has elapsed.
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
		jc.onCommitDone(j, t, &d)
	})
}

// onCommitDone handles the outcome of a job's transaction.
func (jc *jobCommitter) onCommitDone(j *Job, t *jobTransaction, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		jc.settle(j)
		jc.applyCommitted(j, t, d.Revision)
	case msg.Unknown:
		// The transaction may still be applied. The same transaction is sent again: the conditions make one of
		// the two copies fail. Until the outcome is known, its placements count as used capacity.
		t.outcomeUnknown = true
		t.resendAt = jc.outbox.Now() + outbox.CommitRetryInterval
	case msg.Conflict:
		if !jc.elector.ResignIfDeposed(t.fencingToken, d.Failed) {
			jc.onRejected(j, t, d.Failed)
		}
	case msg.Invalid:
		jc.onRejected(j, t, t.jobKeys())
	default:
		if t.outcomeUnknown { // this send was refused, but an earlier one may still be applied
			t.resendAt = jc.outbox.Now() + outbox.CommitRetryInterval
			return
		}
		jc.settle(j)
		j.retryAt = jc.outbox.Now() + outbox.CommitRetryInterval
	}
}

// settle discards a job's transaction and plan, once no copy of the transaction can take effect any more.
func (jc *jobCommitter) settle(j *Job) {
	j.transaction = nil
	jc.snapshot.setPlan(j, nil)
	jc.scheduler.requestCycle()
}

// onRejected handles a transaction that can't be applied any more; failed are the keys to read again. If an earlier
// send received no response, this one may have conflicted with it. In that case the placements stay counted until the
// records have been read; otherwise the team's limit could be used twice.
func (jc *jobCommitter) onRejected(j *Job, t *jobTransaction, failed []string) {
	if t.outcomeUnknown {
		jc.readAfterConflict(j, t, func() { jc.settle(j) })
		return
	}
	jc.settle(j)
	jc.onConflict(j, failed)
}

// applyCommitted applies the writes of a committed transaction to this node's replica.
func (jc *jobCommitter) applyCommitted(j *Job, t *jobTransaction, revision uint64) {
	j.dropCompletions(t.completions)
	j.mergeRequested = false
	j.movingToShards = false
	if t.record != nil && j.Version < revision { // before the shards: tasks may have moved from the record to a shard
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
	jc.estimates.recordOwnPlacements(j, t.placed)
}

// onConflict reads the keys of a job that have changed concurrently, and schedules a retry after they have been read.
func (jc *jobCommitter) onConflict(j *Job, failed []string) {
	for _, key := range failed {
		if _, _, ok := job.ParseKey(key); !ok {
			continue // the leader key, which is not a job's
		}
		j.retryAt = jc.outbox.Now() + config.Second // or as soon as the key has been read
		jc.readKey(j, key, func(ok bool) {
			if ok {
				j.retryAt = jc.outbox.Now()
			}
		})
	}
}

// readAfterConflict reads all of the job's keys that a transaction depends on, and calls onRead once all of them have
// been read. If any of them can't be read, the transaction is resent after a backoff.
func (jc *jobCommitter) readAfterConflict(j *Job, t *jobTransaction, onRead func()) {
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
				onRead()
			}
		})
	}
}

// readKey reads a key of a job from the state service, updates the replica and calls onRead, whose argument is false
// if the read failed. If this node is no longer the leader by then, the response is ignored and onRead is not called.
func (jc *jobCommitter) readKey(j *Job, key string, onRead func(ok bool)) {
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
		onRead(d.Outcome == msg.OK)
	})
}
