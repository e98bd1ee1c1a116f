package leader

import (
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// buildTransaction returns the transaction that updates a job's record with its completions, its cancellation and its
// plan, or nil if there is nothing to write. It also reports whether more has to be committed afterwards.
func (jc *jobCommitter) buildTransaction(j *Job) (*jobTransaction, bool) {
	if j.Record.Spec == nil {
		return jc.deleteRemainingShards(j)
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
	maxShards   int         // number of shards that fit in the transaction besides the record
	changed     bool        // the next state differs from the stored one
	incomplete  bool        // not everything fits: another transaction has to follow
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

// shardOf returns the next state of the shard that contains a task, or nil if the transaction can't have another shard.
// A caller that modifies the shard has to pass it to putShard.
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

// putShard adds the next state of the shard that contains a task to the transaction.
func (b *transactionBuilder) putShard(task int, shard *job.Shard) {
	if n := b.record.ShardOf(task); n > 0 {
		b.transaction.shards[n] = *shard
	} else {
		b.transaction.writesRecord = true
	}
	b.changed = true
}

// moveToShards moves the first tasks from the record to a shard if movingToShards is set.
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

// addCompletions closes the placements that are proven to have ended. Placements in placement pages are closed by
// entries in the completion log instead, because they are not part of the record.
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
		b.putShard(c.key.Task, shard)
	}
	if c.done && !shard.IsDone(c.key.Task%job.TasksPerShard) {
		shard.SetDone(c.key.Task % job.TasksPerShard)
		b.putShard(c.key.Task, shard)
	}
}

// canUseCompletionLog reports whether completions of the job may be written to the completion log instead of its
// record. Those of a running service may not: its replicas have to be replaced at once, and the log is written with a
// delay.
func (b *transactionBuilder) canUseCompletionLog() bool {
	j := b.job
	if j.movingToShards || j.mergeRequested {
		return false
	}
	writesPlan := len(j.plan) > 0 && !b.placedInPages(j)
	runningService := b.record.Spec.Shape == wire.Service && !b.record.CancelRequested && !b.record.Final()
	return !writesPlan && !runningService
}

// mergePages adds to the transaction the record and shards that still have to be written for the job's completions in
// the completion log, if this was requested.
func (b *transactionBuilder) mergePages() {
	if !b.job.mergeRequested {
		return
	}
	b.changed = true
	b.job.EachUnmerged(func(task int) {
		if shard := b.shardOf(task); shard != nil {
			b.putShard(task, shard)
		}
	})
}

// addPlan adds as many of the planned placements as fit, unless they are stored in placement pages.
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
		b.putShard(placement.Task, shard)
	}
}

// updatePhase sets the final phase of a job if enough of its tasks are done or its cancellation may be confirmed.
func (b *transactionBuilder) updatePhase(done int) {
	spec := b.record.Spec
	switch {
	case b.record.Final():
	case spec.Shape == wire.Gang && done > 0:
		// The tasks of a gang complete together: if one is done, all are done.
		b.endJob(job.Done, spec.Tasks)
	case done >= spec.Tasks:
		b.endJob(job.Done, done)
	case b.job.cancelConfirmable:
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

// cleanUp deletes the shards of a finished job without open placements, and shrinks its record once no shards are left.
// This is needed only with the first format; with later formats finishJob shrinks the record.
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

// finish encodes the transaction and returns it, or nil if there is nothing to write. It also reports whether another
// transaction has to follow.
func (b *transactionBuilder) finish(done int) (*jobTransaction, bool) {
	if !b.changed {
		b.job.dropCompletions(b.transaction.completions) // these are stored already; those that didn't fit are kept
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
