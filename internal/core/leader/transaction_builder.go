package leader

import (
	"coralhub/internal/core/job"
	"coralhub/wire"
)

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
// nil: the transaction can't hold another shard.
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
	b.logCompletions(b.job, inPages)
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
