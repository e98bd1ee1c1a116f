package leader

import (
	"maps"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// jobTransaction is a transaction on a job's record whose outcome is not known yet.
type jobTransaction struct {
	transaction     wire.Transaction
	fencingToken    uint64
	completions     []completion      // committed by it
	record          *job.Record       // put by it, nil if the record is not written
	writesRecord    bool              // the next record differs from the stored one
	shards          map[int]job.Shard // put by it, by number
	placed          []job.Placement   // committed by it
	completionsOnly bool              // it contains only completions of a job that does not end

	resendAt       Micros // when to send it again, 0 if no retry is scheduled
	outcomeUnknown bool   // an earlier send received no response
}

// purpose is the purpose under which the transaction's changes are counted.
func (t *jobTransaction) purpose() msg.Purpose {
	switch {
	case t.record != nil && t.record.Final():
		return msg.PurposeJobEnd
	case len(t.placed) > 0:
		return msg.PurposePlacement
	case len(t.completions) > 0:
		return msg.PurposeCompletion
	}
	return msg.PurposeCleanup
}

// priority is the write priority of a transaction on a job. The end of a job is not deferred if other jobs depend on it
// or if one of its dependencies was cancelled.
func (t *jobTransaction) priority(j *Job) msg.WritePriority {
	if t.record != nil && t.record.Final() && (j.DependentCount() > 0 || j.DependencyCancelled()) {
		return msg.Critical
	}
	return msg.Deferrable
}

// jobKeys returns the keys of records and shards among the transaction's conditions.
func (t *jobTransaction) jobKeys() []string {
	var keys []string
	for _, condition := range t.transaction.Conditions {
		if _, _, ok := job.ParseKey(condition.Key); ok {
			keys = append(keys, condition.Key)
		}
	}
	return keys
}

// countAfter counts the done tasks and the open placements that a job would have after the transaction, in its record,
// its shards and the placement pages.
func (t *jobTransaction) countAfter(j *Job, record *job.Record) (done, open int) {
	last := max(len(j.Shards), j.LastPageShard(record))
	for n := range t.shards {
		last = max(last, n)
	}
	for n := range last + 1 {
		shard := &record.Shard
		if written, ok := t.shards[n]; ok {
			shard = &written
		} else if n > 0 {
			shard, _ = j.Shard(n)
		}
		open += len(shard.Open)
		done += job.CountDoneSet(job.UnionDoneSets(shard.DoneSet, j.PageDoneSet(record, n)))
	}
	return done, open + j.PageOpenTasks()
}

// finishJob returns the transaction that ends a job, if its phase, its completions or a cancellation end it and no
// placement stays open. Otherwise it returns nil. The record shrinks at once, however many shards the job has; the
// shards are void from then on and are deleted later. With the first format it always returns nil: readers of that
// format accept a shard regardless of its record, so the shards are deleted first (see transactionBuilder.cleanUp).
func (jc *jobCommitter) finishJob(j *Job) *jobTransaction {
	if jc.encoding.Format < job.FormatGrouped {
		return nil
	}
	done, open := j.countWithCompletions()
	spec := j.Record.Spec
	record := &job.Record{Phase: j.Record.Phase, DoneTasks: max(j.Record.DoneTasks, done)}
	switch {
	case open > 0:
		return nil
	case record.Final():
	case done >= spec.Tasks || spec.Shape == wire.Gang && done > 0:
		record.Phase = job.Done
		record.DoneTasks = spec.Tasks
	case j.cancelConfirmable || j.DependencyCancelled():
		record.Phase = job.Cancelled
	default:
		return nil
	}
	if jc.encoding.Format >= job.FormatPreemption {
		record.Account = job.NewUsageAccount(spec, j.usage(true), jc.wallClock())
	}
	t := &jobTransaction{
		fencingToken: jc.elector.FencingToken(),
		completions:  slices.Clone(j.completions),
		writesRecord: true,
	}
	if err := jc.encodeTransaction(j, t, record); err != nil {
		jc.outbox.Log("record not written", "job", j.ID, "error", err.Error())
		return nil
	}
	return t
}

// deleteRemainingShards returns a transaction that deletes the remaining shards of an archived job, or nil if there are
// none. It also reports whether there may be more to delete.
func (jc *jobCommitter) deleteRemainingShards(j *Job) (*jobTransaction, bool) {
	t := &jobTransaction{fencingToken: jc.elector.FencingToken()}
	if !j.Archived() || jc.deleteShards(j, t, jc.encoding.MaxOps()) == 0 {
		return nil, false
	}
	t.transaction.Conditions = append(t.transaction.Conditions, jc.elector.Condition())
	j.retryAt = jc.outbox.Now() + shardDeletionInterval
	return t, true
}

// deleteShards adds the deletion of at most limit shards to t, replacing the shards that t would put. It returns 0 if
// the job has no stored shards.
func (jc *jobCommitter) deleteShards(j *Job, t *jobTransaction, limit int) int {
	found := 0
	t.shards = map[int]job.Shard{}
	for i := range j.Shards {
		if j.Shards[i].Version == 0 {
			continue
		}
		found++
		if found > limit {
			break
		}
		key := job.ShardKey(j.ID, i+1)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: key, Version: j.Shards[i].Version})
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Delete: key})
	}
	return found
}

// encodeTransaction encodes the next record and shards as conditions and changes. An unchanged record is only a
// condition, except in the first format, in which it is always written.
func (jc *jobCommitter) encodeTransaction(j *Job, t *jobTransaction, record *job.Record) error {
	key := job.RecordKey(j.ID)
	t.transaction.Conditions = append(t.transaction.Conditions,
		jc.elector.Condition(), wire.Condition{Key: key, Version: j.Version})
	if t.writesRecord || jc.encoding.Format < job.FormatGrouped {
		value, err := job.EncodeRecord(record, jc.encoding.Format)
		if err != nil {
			return err
		}
		t.record = record
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Put: key, Value: value})
	}
	for _, n := range slices.Sorted(maps.Keys(t.shards)) {
		shard := t.shards[n]
		value, err := job.EncodeShard(&shard, jc.encoding.Format)
		if err != nil {
			return err
		}
		_, version := j.Shard(n)
		shardKey := job.ShardKey(j.ID, n)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: shardKey, Version: version})
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Put: shardKey, Value: value})
	}
	return nil
}
