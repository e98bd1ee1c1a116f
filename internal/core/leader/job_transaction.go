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
	completions     []completion      // that it commits
	record          *job.Record       // that it puts; nil: unchanged
	writesRecord    bool              // the record says something new
	shards          map[int]job.Shard // that it puts, by number
	placed          []job.Placement   // that it commits
	completionsOnly bool              // it would only commit completions of a job that goes on

	resendAt       Micros // 0: no answer is missing
	outcomeUnknown bool   // an earlier sending of it had no answer
}

// purpose is what the changes of the transaction are counted as.
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

// priority is the write priority of a transaction on a job. The end of a job that others depend on is
// not deferred, nor is a cancellation that came by a dependency.
func (t *jobTransaction) priority(j *Job) msg.WritePriority {
	if t.record != nil && t.record.Final() && (j.DependentCount() > 0 || j.DependencyCancelled()) {
		return msg.Critical
	}
	return msg.Deferrable
}

// jobKeys are the keys of jobs among the transaction's conditions.
func (t *jobTransaction) jobKeys() []string {
	var keys []string
	for _, condition := range t.transaction.Conditions {
		if _, _, ok := job.ParseKey(condition.Key); ok {
			keys = append(keys, condition.Key)
		}
	}
	return keys
}

// countAfter counts the done tasks and the open placements that a job would have with a transaction
// applied: by its record and shards as they would be, and by placement pages.
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

// buildTransaction builds the transaction that brings a job's record up to what is known and planned; nil:
// there is nothing to write. It also reports whether there will be more to commit after it.
func (jc *jobCommitter) buildTransaction(j *Job) (*jobTransaction, bool) {
	if j.Record.Spec == nil {
		return jc.deleteLeftovers(j)
	}
	if t := jc.finishJob(j); t != nil {
		return t, true
	}
	b := jc.newTransactionBuilder(j)
	b.moveToShards()
	b.addCompletions()
	b.mergePages()
	b.addPlan()
	done, open := b.transaction.countAfter(j, b.record)
	b.updatePhase(done)
	b.cleanUp(open)
	return b.finish(done)
}

// transactionBuilder builds the next transaction on a job's record and shards, step by step.
type transactionBuilder struct {
	*jobCommitter
	job         *Job
	transaction *jobTransaction
	record      *job.Record // the next record
	maxShards   int         // that fit the transaction besides the record
	changed     bool        // something differs from what is stored
	incomplete  bool        // not everything fitted: another transaction is to follow
}

func (jc *jobCommitter) newTransactionBuilder(j *Job) transactionBuilder {
	record := j.Record.Clone()
	return transactionBuilder{
		jobCommitter: jc,
		job:          j,
		transaction:  &jobTransaction{fencingToken: jc.elector.FencingToken(), shards: map[int]job.Shard{}},
		record:       &record,
		maxShards:    jc.encoding.MaxOps() - 1,
	}
}

// shardOf returns the next state of the shard that holds a task, to be changed and passed to keepShard;
// nil: the transaction has no room for it.
func (b *transactionBuilder) shardOf(task int) *job.Shard {
	n := b.record.ShardOf(task)
	if n == 0 {
		return &b.record.Shard
	}
	shard, ok := b.transaction.shards[n]
	if !ok {
		if len(b.transaction.shards) == b.maxShards {
			b.incomplete = true
			return nil
		}
		stored, _ := b.job.Shard(n)
		shard = stored.Clone()
		b.transaction.shards[n] = shard
	}
	return &shard
}

// keepShard has the transaction write the shard that holds a task.
func (b *transactionBuilder) keepShard(task int, shard *job.Shard) {
	if n := b.record.ShardOf(task); n > 0 {
		b.transaction.shards[n] = *shard
	} else {
		b.transaction.writesRecord = true
	}
	b.changed = true
}

// moveToShards moves the first tasks out of the record into a shard if that was decided.
func (b *transactionBuilder) moveToShards() {
	if !b.job.movingToShards || b.record.ShardsOnly {
		return
	}
	b.record.ShardsOnly = true
	b.transaction.writesRecord = true
	b.changed = true
	b.transaction.shards[1] = b.record.Shard
	b.record.Shard = job.Shard{}
}

// addCompletions closes the placements that are proven to be over. Those that a placement page holds
// go into the completion log, which closes them there: the record doesn't hold them.
func (b *transactionBuilder) addCompletions() {
	var inPages []completion
	for _, c := range b.job.completions {
		if b.job.InPlacementPage(c.key.Task, c.key.Attempt, c.machine) {
			inPages = append(inPages, c)
			continue
		}
		b.addCompletion(c)
	}
	b.completionLog.logCompletions(b.job, inPages)
	b.transaction.completionsOnly = b.changed && b.canUseCompletionLog()
}

func (b *transactionBuilder) addCompletion(c completion) {
	shard := b.shardOf(c.key.Task)
	if shard == nil {
		return
	}
	b.transaction.completions = append(b.transaction.completions, c)
	if shard.Close(c.key.Task, c.key.Attempt, c.machine, c.occupancy) {
		b.keepShard(c.key.Task, shard)
	}
	if c.done && !shard.IsDone(c.key.Task%job.TasksPerShard) {
		shard.SetDone(c.key.Task % job.TasksPerShard)
		b.keepShard(c.key.Task, shard)
	}
}

// canUseCompletionLog reports whether completions of the job may go into the completion log instead of its
// record. A service needs its replicas replaced at once, and the log is written with a delay.
func (b *transactionBuilder) canUseCompletionLog() bool {
	j := b.job
	if j.movingToShards || j.mergeRequested {
		return false
	}
	writesPlan := len(j.plan) > 0 && !b.placedInPages(j)
	runningService := b.record.Spec.Shape == wire.Service && !b.record.CancelRequested && !b.record.Final()
	return !writesPlan && !runningService
}

// mergePages has the record and shards written that a page of the completion log still waits for.
func (b *transactionBuilder) mergePages() {
	if !b.job.mergeRequested {
		return
	}
	b.changed = true
	b.job.EachUnmerged(func(task int) {
		if shard := b.shardOf(task); shard != nil {
			b.keepShard(task, shard)
		}
	})
}

// addPlan adds the planned placements, as many as fit, unless they go into placement pages.
func (b *transactionBuilder) addPlan() {
	if b.record.CancelRequested || b.record.Final() || b.placedInPages(b.job) {
		return
	}
	for _, placement := range b.job.plan {
		shard := b.shardOf(placement.Task)
		if shard == nil {
			continue
		}
		shard.Open = append(shard.Open, placement)
		b.transaction.writesRecord = b.transaction.writesRecord || placement.Attempt > b.record.LastAttempt
		b.record.LastAttempt = max(b.record.LastAttempt, placement.Attempt)
		b.keepShard(placement.Task, shard)
	}
}

// updatePhase ends the job if its done tasks or a cancellation end it.
func (b *transactionBuilder) updatePhase(done int) {
	spec := b.record.Spec
	switch {
	case b.record.Final():
	case spec.Shape == wire.Gang && done > 0:
		// A gang completes together: if one task is done, so are all.
		b.endJob(job.Done, spec.Tasks)
	case done >= spec.Tasks:
		b.endJob(job.Done, done)
	case b.job.cancelling:
		b.endJob(job.Cancelled, done)
	}
}

func (b *transactionBuilder) endJob(phase string, doneTasks int) {
	b.record.Phase = phase
	b.record.DoneTasks = doneTasks
	b.changed = true
	b.transaction.completionsOnly = false
	b.transaction.writesRecord = true
}

// cleanUp deletes the shards of a job that is over and shrinks its record once none is left. It comes
// to that with the first format only: finishJob does it otherwise.
func (b *transactionBuilder) cleanUp(open int) {
	if !b.record.Final() || open > 0 {
		return
	}
	b.changed = true
	b.transaction.completionsOnly = false
	b.transaction.writesRecord = true
	if b.deleteShards(b.job, b.transaction, b.maxShards) == 0 {
		b.record.Shrink()
		return
	}
	b.incomplete = true
	b.job.retryAt = b.outbox.Now() + shardDeletionInterval
}

// finish encodes the transaction; nil: there is nothing to write. It also reports whether another is to follow.
func (b *transactionBuilder) finish(done int) (*jobTransaction, bool) {
	if !b.changed {
		b.job.dropCompletions(b.transaction.completions) // stored already; those that didn't fit are kept
		return nil, b.incomplete
	}
	if b.transaction.completionsOnly {
		return b.transaction, b.incomplete
	}
	b.record.DoneTasks = max(b.record.DoneTasks, done)
	if err := b.encodeTransaction(b.job, b.transaction, b.record); err != nil {
		b.outbox.Log("record not written", "job", b.job.ID, "error", err.Error())
		return nil, false
	}
	return b.transaction, b.incomplete
}

// finishJob returns the transaction that ends a job, if what is known completes it
// and nothing of it stays open; nil: it goes on. The record shrinks at once, however many shards
// its tasks are in. The shards are void from then on and deleted later. With
// the first format, whose readers trust a shard without its record, they are deleted before.
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
	case j.cancelling || j.DependencyCancelled():
		record.Phase = job.Cancelled
	default:
		return nil
	}
	if jc.encoding.Format >= job.FormatPreemption {
		record.Account = job.NewUsageAccount(spec, j.usage(true), jc.wallClock())
	}
	t := &jobTransaction{fencingToken: jc.elector.FencingToken(), completions: slices.Clone(j.completions), writesRecord: true}
	if err := jc.encodeTransaction(j, t, record); err != nil {
		jc.outbox.Log("record not written", "job", j.ID, "error", err.Error())
		return nil
	}
	return t
}

// deleteLeftovers returns the deletion of the shards that are left of a job that is over; nil: none are. It also
// reports whether there may be more to delete.
func (jc *jobCommitter) deleteLeftovers(j *Job) (*jobTransaction, bool) {
	t := &jobTransaction{fencingToken: jc.elector.FencingToken()}
	if !j.Archived() || jc.deleteShards(j, t, jc.encoding.MaxOps()) == 0 {
		return nil, false
	}
	t.transaction.Conditions = append(t.transaction.Conditions, jc.elector.Condition())
	j.retryAt = jc.outbox.Now() + shardDeletionInterval
	return t, true
}

// deleteShards makes t delete shards, at most limit, in place of any that it would put.
// It returns 0 if the job has none stored.
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

// encodeTransaction turns the next record and shards into conditions and changes. A record that says
// nothing new is only a condition, but in the first format it is always written.
func (jc *jobCommitter) encodeTransaction(j *Job, t *jobTransaction, record *job.Record) error {
	key := job.RecordKey(j.ID)
	t.transaction.Conditions = append(t.transaction.Conditions, jc.elector.Condition(), wire.Condition{Key: key, Version: j.Version})
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
