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

// jobCommitter TODO
type jobCommitter struct {
	*environment
	completionLog *completionLog
	delegations   *delegations
	estimates     *runTimeEstimates
	placements    *placementCommits
	scheduler     *scheduler
	snapshot      *clusterSnapshot

	pendingCommits  map[string]bool
	deferredCommits map[string]bool
	inFlightChanges int
}

func (jc *jobCommitter) reset() {
	jc.pendingCommits, jc.deferredCommits, jc.inFlightChanges = map[string]bool{}, map[string]bool{}, 0
}

// commitState is what is known or decided about a job and is still to be committed. The committer owns
// it; other components add to it through the committer or the snapshot.
type commitState struct {
	completions    []completion    // ended attempts that its records still hold open
	plan           []job.Placement // planned placements that are not committed
	transaction    *jobTransaction // in flight; nil: none
	retryAt        Micros          // backoff: nothing is committed before
	mergeRequested bool            // its record is to be written so that a page of the completion log can be deleted
	cancelling     bool            // its cancellation may be confirmed to the user
	tooLarge       bool            // its record was found too large once; this is logged only the first time
	movingToShards bool            // its tasks are to be moved from its record into shards
	ownRecordOnly  bool            // placed by its own record: one transaction on placement pages can't hold its whole plan
}

// resetCommits drops what is valid for one term only.
func (s *commitState) resetCommits() {
	s.completions = nil
	s.plan = nil
	s.transaction = nil
	s.mergeRequested = false
	s.ownRecordOnly = false
}

// completion is an attempt that is proven to have ended on a machine.
type completion struct {
	key       job.AttemptKey
	machine   string
	done      bool // the task succeeded
	occupancy job.Occupancy
	logged    bool // handed to the completion log
}

// jobTransaction is a transaction on a job's record that has no answer yet.
type jobTransaction struct {
	transaction     wire.Transaction
	fencingToken    uint64
	completions     []completion
	record          *job.Record // nil: unchanged
	writesRecord    bool        // the record says something new
	shards          map[int]job.Shard
	placed          []job.Placement
	completionsOnly bool // it would do nothing but close placements of a job that goes on

	resendAt       Micros // 0: no answer is missing
	outcomeUnknown bool   // a sending of it had no answer
}

const (
	commitRetryInterval = 300 * 1000
	// shardDeletionInterval spreads the removal of a large job's parts, which is never
	// urgent but counts against the quota of changes.
	shardDeletionInterval = config.Second
)

// commitPendingJobs commits what has been learnt or decided about jobs.
func (jc *jobCommitter) commitPendingJobs() {
	if len(jc.pendingCommits) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(jc.pendingCommits))
	clear(jc.pendingCommits)
	for _, id := range ids {
		if !jc.commitJob(jc.jobs[id]) {
			jc.deferredCommits[id] = true
		}
	}
}

// retryDeferredCommits has another look at the jobs that could not be committed before.
func (jc *jobCommitter) retryDeferredCommits() {
	for id := range jc.deferredCommits {
		jc.pendingCommits[id] = true
	}
	clear(jc.deferredCommits)
}

// commitJob commits a job's next state; it returns false if there is more to do
// after the transaction in flight, or later.
func (jc *jobCommitter) commitJob(j *Job) bool {
	if t := j.transaction; t != nil && t.resendAt != 0 && jc.outbox.Now() >= t.resendAt {
		t.resendAt = 0
		jc.sendTransaction(j, t)
	}
	if j.Version == 0 {
		return true // its record has not come yet
	}
	if j.transaction != nil || jc.outbox.Now() < j.retryAt || jc.elector.TokenChangePending() {
		return false
	}
	jc.confirmCancellation(j)
	t, more := jc.fittingTransaction(j)
	if t == nil || t.completionsOnly {
		if len(j.plan) > 0 && jc.placedInPages(j) {
			jc.placements.queuePlacement(j)
		}
		if t == nil { // a cancellation waits for workers to be heard: look again
			return !j.Record.CancelRequested || j.Record.Final()
		}
		jc.completionLog.logCompletions(j, t.completions)
		return !more
	}
	if len(j.plan) == 0 && !j.Record.CancelRequested && !j.DependencyCancelled() && j.DependentCount() == 0 && jc.inFlightChanges >= jc.maxInFlightCompletions() {
		return false
	}
	if !jc.placedInPages(j) {
		t.placed = j.plan
	}
	j.transaction = t
	jc.sendTransaction(j, t)
	return !more
}

// placedInPages tells whether a job's places go into pages with those of others.
func (jc *jobCommitter) placedInPages(j *Job) bool {
	return jc.usesPlacementPages() && !j.ownRecordOnly
}

// placementCost is what placing a job, or 32 more tasks of it, counts of a pass's changes.
func (jc *jobCommitter) placementCost(j *Job) float64 {
	if jc.placedInPages(j) {
		return pagePlacementCost
	}
	return 1
}

// fittingTransaction returns a job's next transaction, made so small that every value of it
// may be put: a plan is cut down, and ends go by the log.
func (jc *jobCommitter) fittingTransaction(j *Job) (*jobTransaction, bool) {
	for {
		t, more := jc.buildTransaction(j)
		if t == nil || t.completionsOnly || jc.valuesFit(&t.transaction) {
			return t, more
		}
		if !j.tooLarge {
			j.tooLarge = true
			jc.outbox.Log("record too large to be written whole", "job", j.ID, "limit", jc.encoding.MaxValueBytes())
		}
		switch {
		case j.Record.Spec != nil && jc.replica.ShortenSpec(j.Job, jc.catalog.Slim(j.Record.Spec)):
		case jc.canMoveToShards(j):
			j.movingToShards = true
		case len(j.plan) > 1 && j.Record.Spec.Shape != wire.Gang:
			jc.snapshot.setPlan(j, j.plan[:len(j.plan)/2])
		case len(j.plan) > 0:
			jc.snapshot.setPlan(j, nil)
			j.holdUntil = jc.outbox.Now() + 10*config.Second
		case len(t.completions) > 0 && !j.Record.Final():
			t.completionsOnly = true
			return t, more
		default:
			j.mergeRequested = false
			j.retryAt = jc.outbox.Now() + 10*config.Second
			return nil, false
		}
	}
}

// canMoveToShards tells whether the tasks can be moved out of a job's record in one
// transaction: if they are all in it.
func (jc *jobCommitter) canMoveToShards(j *Job) bool {
	if j.movingToShards || j.Record.ShardsOnly || jc.encoding.Format < job.FormatGrouped {
		return false
	}
	return !slices.ContainsFunc(j.Shards, func(p records.Shard) bool { return p.Version != 0 })
}

// valuesFit tells whether every value of a transaction may be put.
func (jc *jobCommitter) valuesFit(t *wire.Transaction) bool {
	for i := range t.Changes {
		if t.Changes[i].Put != "" && !jc.encoding.Fits(t.Changes[i].Value) {
			return false
		}
	}
	return true
}

// buildTransaction builds the transaction that brings a job's record up to what is known.
func (jc *jobCommitter) buildTransaction(j *Job) (*jobTransaction, bool) {
	if j.Record.Spec == nil {
		return jc.deleteLeftovers(j)
	}
	if t := jc.finishJob(j); t != nil {
		return t, true
	}
	rec := j.Record.Clone()
	t := &jobTransaction{fencingToken: jc.elector.FencingToken(), shards: map[int]job.Shard{}}
	room := jc.encoding.MaxOps() - 1
	more, changed := false, false
	if j.movingToShards && !rec.ShardsOnly {
		rec.ShardsOnly, t.writesRecord, changed = true, true, true
		t.shards[1], rec.Shard = rec.Shard, job.Shard{}
	}
	part := func(task int) *job.Shard {
		n := rec.ShardOf(task)
		if n == 0 {
			return &rec.Shard
		}
		p, ok := t.shards[n]
		if !ok {
			if len(t.shards) == room {
				more = true
				return nil
			}
			old, _ := j.Shard(n)
			p = old.Clone()
			t.shards[n] = p
		}
		return &p
	}
	keep := func(task int, p *job.Shard) {
		if n := rec.ShardOf(task); n > 0 {
			t.shards[n] = *p
		} else {
			t.writesRecord = true
		}
		changed = true
	}
	var inPages []completion
	for _, cl := range j.completions {
		if j.InPlacementPage(cl.key.Task, cl.key.Attempt, cl.machine) {
			inPages = append(inPages, cl) // the log closes it there: the record says nothing of it
			continue
		}
		p := part(cl.key.Task)
		if p == nil {
			continue
		}
		t.completions = append(t.completions, cl)
		if p.Close(cl.key.Task, cl.key.Attempt, cl.machine, cl.occupancy) {
			keep(cl.key.Task, p)
		}
		if cl.done && !p.IsDone(cl.key.Task%job.TasksPerShard) {
			p.SetDone(cl.key.Task % job.TasksPerShard)
			keep(cl.key.Task, p)
		}
	}
	jc.completionLog.logCompletions(j, inPages)
	// A service wants its replicas back at once; the log takes its time.
	t.completionsOnly = changed && !j.movingToShards && !j.mergeRequested && (len(j.plan) == 0 || jc.placedInPages(j)) && (rec.Spec.Shape != wire.Service || rec.CancelRequested || rec.Final())
	if j.mergeRequested {
		changed = true
		j.EachUnmerged(func(task int) {
			if p := part(task); p != nil {
				keep(task, p)
			}
		})
	}
	if !rec.CancelRequested && !rec.Final() && !jc.placedInPages(j) {
		for _, pl := range j.plan {
			p := part(pl.Task)
			if p == nil {
				continue
			}
			p.Open = append(p.Open, pl)
			t.writesRecord = t.writesRecord || pl.Attempt > rec.LastAttempt
			rec.LastAttempt = max(rec.LastAttempt, pl.Attempt)
			keep(pl.Task, p)
		}
	}
	done, open := t.countAfter(j, &rec)
	if rec.Spec.Shape == wire.Gang && done > 0 && !rec.Final() {
		// A gang completes together: if one task is done, so are all.
		rec.Phase, rec.DoneTasks, changed, t.completionsOnly, t.writesRecord = job.Done, rec.Spec.Tasks, true, false, true
	}
	if done >= rec.Spec.Tasks && !rec.Final() {
		rec.Phase, rec.DoneTasks, changed, t.completionsOnly, t.writesRecord = job.Done, done, true, false, true
	}
	if j.cancelling && !rec.Final() {
		rec.Phase, rec.DoneTasks, changed, t.completionsOnly, t.writesRecord = job.Cancelled, done, true, false, true
	}
	if rec.Final() && open == 0 { // with the first format alone: finish does it otherwise
		t.completionsOnly, t.writesRecord = false, true
		if n := jc.deleteShards(j, t, room); n > 0 {
			more, changed = true, true
			j.retryAt = jc.outbox.Now() + shardDeletionInterval
		} else {
			rec.Shrink()
			changed = true
		}
	}
	if !changed {
		j.dropCompletions(t.completions) // known already; those that found no room stay
		return nil, more
	}
	if t.completionsOnly {
		return t, more
	}
	rec.DoneTasks = max(rec.DoneTasks, done)
	if err := jc.encodeTransaction(j, t, &rec); err != nil {
		jc.outbox.Log("record not written", "job", j.ID, "error", err.Error())
		return nil, false
	}
	return t, more
}

// finishJob returns the transaction that ends a job, if what is known completes it
// and nothing of it stays open: its record shrinks at once, whichever tasks are
// in how many parts. The parts are void from then on and deleted at leisure. With
// the first format, whose readers take a part at its word, they go before.
func (jc *jobCommitter) finishJob(j *Job) *jobTransaction {
	if jc.encoding.Format < job.FormatGrouped {
		return nil
	}
	done, open := j.DoneTasks, j.OpenTasks
	for _, cl := range j.completions {
		if j.IsOpen(cl.key.Task, cl.key.Attempt, cl.machine) {
			open--
		}
		if cl.done && !j.IsDone(cl.key.Task) {
			done++
		}
	}
	spec := j.Record.Spec
	rec := &job.Record{Phase: j.Record.Phase, DoneTasks: max(j.Record.DoneTasks, done)}
	switch {
	case open > 0:
		return nil
	case rec.Final():
	case done >= spec.Tasks || spec.Shape == wire.Gang && done > 0:
		rec.Phase, rec.DoneTasks = job.Done, spec.Tasks
	case j.cancelling || j.DependencyCancelled():
		rec.Phase = job.Cancelled
	default:
		return nil
	}
	if jc.encoding.Format >= job.FormatPreemption {
		rec.Account = job.NewUsageAccount(spec, j.usage(true), jc.wallClock())
	}
	t := &jobTransaction{fencingToken: jc.elector.FencingToken(), completions: slices.Clone(j.completions), writesRecord: true}
	if err := jc.encodeTransaction(j, t, rec); err != nil {
		jc.outbox.Log("record not written", "job", j.ID, "error", err.Error())
		return nil
	}
	return t
}

// countAfter counts the done tasks and the open placements that a job would have with a transaction
// applied: by its record and parts as they would be, and by pages.
func (t *jobTransaction) countAfter(j *Job, rec *job.Record) (done, open int) {
	last := max(len(j.Shards), j.LastPageShard(rec))
	for n := range t.shards {
		last = max(last, n)
	}
	for n := range last + 1 {
		p := &rec.Shard
		if q, written := t.shards[n]; written {
			p = &q
		} else if n > 0 {
			p, _ = j.Shard(n)
		}
		open += len(p.Open)
		done += job.CountDoneSet(job.UnionDoneSets(p.DoneSet, j.PageDoneSet(rec, n)))
	}
	return done, open + j.PageOpenTasks()
}

// deleteLeftovers returns the deletion of what parts are left of a job that is over.
func (jc *jobCommitter) deleteLeftovers(j *Job) (*jobTransaction, bool) {
	t := &jobTransaction{fencingToken: jc.elector.FencingToken()}
	if !j.Archived() || jc.deleteShards(j, t, jc.encoding.MaxOps()) == 0 {
		return nil, false
	}
	t.transaction.Conditions = append(t.transaction.Conditions, jc.elector.Condition())
	j.retryAt = jc.outbox.Now() + shardDeletionInterval
	return t, true
}

// deleteShards puts the deletion of parts into t, as many as there is room for.
// It returns how many are left or dropped; 0 means that none existed.
func (jc *jobCommitter) deleteShards(j *Job, t *jobTransaction, room int) int {
	n := 0
	t.shards = map[int]job.Shard{}
	for i := range j.Shards {
		if j.Shards[i].Version == 0 {
			continue
		}
		if n++; n > room {
			break
		}
		key := job.ShardKey(j.ID, i+1)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: key, Version: j.Shards[i].Version})
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Delete: key})
	}
	return n
}

// encodeTransaction turns the new values into guards and changes.
func (jc *jobCommitter) encodeTransaction(j *Job, t *jobTransaction, rec *job.Record) error {
	key := job.RecordKey(j.ID)
	t.transaction.Conditions = append(t.transaction.Conditions, jc.elector.Condition(), wire.Condition{Key: key, Version: j.Version})
	// A record that says nothing new is guarded and not written. In the first
	// format it always is.
	if t.writesRecord || jc.encoding.Format < job.FormatGrouped {
		value, err := job.EncodeRecord(rec, jc.encoding.Format)
		if err != nil {
			return err
		}
		t.record = rec
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Put: key, Value: value})
	}
	nums := slices.Sorted(maps.Keys(t.shards))
	for _, n := range nums {
		p := t.shards[n]
		value, err := job.EncodeShard(&p, jc.encoding.Format)
		if err != nil {
			return err
		}
		_, version := j.Shard(n)
		t.transaction.Conditions = append(t.transaction.Conditions, wire.Condition{Key: job.ShardKey(j.ID, n), Version: version})
		t.transaction.Changes = append(t.transaction.Changes, wire.Change{Put: job.ShardKey(j.ID, n), Value: value})
	}
	return nil
}

// maxInFlightChanges is how many changes to jobs may be on their way at a time: what
// the state service takes in about half a second. More would wait in a line that
// knows no ranks.
func (jc *jobCommitter) maxInFlightChanges() int {
	return max(jc.encoding.MaxOps(), int(jc.cfg.Cluster.State.LeastWriteRPS()/2))
}

// maxInFlightCompletions is how many changes may be on their way for another one to be made for the end of a
// job. Where a page of placements is one change for many jobs, half is left to pages: ends that wait for their
// turn would hold up the starts of everybody else.
func (jc *jobCommitter) maxInFlightCompletions() int {
	if jc.usesPlacementPages() {
		return max(1, jc.maxInFlightChanges()/2)
	}
	return jc.maxInFlightChanges()
}

func (jc *jobCommitter) sendTransaction(j *Job, t *jobTransaction) {
	reign := jc.term
	jc.inFlightChanges += len(t.transaction.Changes)
	// An end that others wait for doesn't give way, nor does a cancellation that
	// a job before this one has brought.
	turn := msg.Deferrable
	if t.record != nil && t.record.Final() && (j.DependentCount() > 0 || j.DependencyCancelled()) {
		turn = msg.Critical
	}
	jc.outbox.CommitWithPriority(t.transaction, turn, t.purpose(), func(d msg.CommitDone) {
		if reign == jc.term {
			jc.inFlightChanges -= len(t.transaction.Changes)
		}
		if !jc.elector.IsLeader() || j.transaction != t {
			return
		}
		jc.pendingCommits[j.ID] = true
		settled := func() {
			j.transaction = nil
			jc.snapshot.setPlan(j, nil)
			jc.scheduler.cycleDue = true
		}
		switch d.Outcome {
		case msg.OK:
			settled()
			jc.applyCommitted(j, t, d.Revision)
		case msg.Unknown:
			// It may be applied later. The same transaction again: either it
			// or the late one fails by its guards, and until then what it
			// places is counted.
			t.outcomeUnknown, t.resendAt = true, jc.outbox.Now()+commitRetryInterval
		case msg.Conflict, msg.Invalid:
			if d.Outcome == msg.Conflict && jc.elector.DeposedBy(t.fencingToken, d.Failed) {
				return
			}
			if t.outcomeUnknown {
				// It is an earlier sending, perhaps, that this one has met. Until the records have been
				// read what it places stays counted, or the team's limit is given away twice. No
				// sending of it takes effect from now on.
				jc.readAfterConflict(j, t, settled)
				return
			}
			settled()
			failed := d.Failed
			if d.Outcome == msg.Invalid {
				failed = t.jobKeys()
			}
			jc.onConflict(j, failed)
		default:
			if t.outcomeUnknown { // this sending was refused; an earlier one may still be applied
				t.resendAt = jc.outbox.Now() + commitRetryInterval
				return
			}
			settled()
			j.retryAt = jc.outbox.Now() + commitRetryInterval
		}
	})
}

// purpose is what the transaction is counted as.
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

// dropCompletions drops closings that have been dealt with.
func (j *Job) dropCompletions(closes []completion) {
	j.completions = slices.DeleteFunc(j.completions, func(cl completion) bool {
		return slices.ContainsFunc(closes, func(o completion) bool { return o.key == cl.key && o.machine == cl.machine })
	})
}

// applyCommitted takes over what a transaction has written.
func (jc *jobCommitter) applyCommitted(j *Job, t *jobTransaction, revision uint64) {
	j.dropCompletions(t.completions)
	j.mergeRequested, j.movingToShards = false, false
	if t.record != nil && j.Version < revision { // first: tasks may have moved out of it
		jc.replica.SetRecord(j.ID, *t.record, revision)
	}
	nums := slices.Sorted(maps.Keys(t.shards))
	for _, n := range nums {
		if _, v := j.Shard(n); v < revision {
			jc.replica.SetShard(j.Job, n, t.shards[n], revision)
		}
	}
	for _, ch := range t.transaction.Changes {
		if _, n, ok := job.ParseKey(ch.Delete); ok && n > 0 && n <= len(j.Shards) {
			jc.replica.SetShard(j.Job, n, job.Shard{}, 0)
		}
	}
	jc.estimates.noteOwnPlacements(j, t.placed)
}

// jobKeys are the keys of the job that a transaction goes by.
func (t *jobTransaction) jobKeys() []string {
	var out []string
	for _, g := range t.transaction.Conditions {
		if _, _, ok := job.ParseKey(g.Key); ok {
			out = append(out, g.Key)
		}
	}
	return out
}

// onConflict reads what has changed under us.
func (jc *jobCommitter) onConflict(j *Job, failed []string) {
	for _, key := range failed {
		if _, _, ok := job.ParseKey(key); !ok {
			continue // the claim
		}
		j.retryAt = jc.outbox.Now() + config.Second // unless the answer comes sooner
		jc.readKeys(j, key, func(ok bool) {
			if ok {
				j.retryAt = jc.outbox.Now()
			}
		})
	}
}

// readAfterConflict reads everything that a transaction goes by, and calls then once all of it has been
// read. If any of it can't be, the transaction is sent again.
func (jc *jobCommitter) readAfterConflict(j *Job, t *jobTransaction, then func()) {
	keys := t.jobKeys()
	left, failed := len(keys), false
	for _, key := range keys {
		jc.readKeys(j, key, func(ok bool) {
			left--
			failed = failed || !ok
			switch {
			case left > 0 || j.transaction != t:
			case failed:
				t.resendAt = jc.outbox.Now() + commitRetryInterval
			default:
				then()
			}
		})
	}
}

// readKeys brings a job up to what a key of it holds now, and tells whether it could be read.
func (jc *jobCommitter) readKeys(j *Job, key string, then func(ok bool)) {
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
		jc.pendingCommits[j.ID] = true
		then(d.Outcome == msg.OK)
	})
}

// confirmCancellation decides whether the user may be told that a job is cancelled: every
// open placement must be on a worker that follows us, so that we will stop the
// task or the worker's lease ends, and no start may still be on its way that
// could take effect after that. Where a lease may outlast a cancellation's time, only
// proof that all of it is over will do: a worker that hears nothing keeps its tasks until then.
func (jc *jobCommitter) confirmCancellation(j *Job) {
	if !j.Record.CancelRequested || j.Record.Final() {
		j.cancelling = false
		return
	}
	sure := j.OpenTasks == 0 || jc.cfg.Cluster.Workers.LeaseEndsInTime() && jc.delegations.cancelKnown(j.Version) // else one could keep a task of it alive
	j.EachPlacement(func(p job.Placement) {
		m := jc.reconciler.Registry().Get(p.Machine)
		if m == nil || m.FencingToken < jc.elector.TermStart() {
			sure = false
			return
		}
		if _, seen := m.Tasks[p.AttemptKey(j.ID)]; !seen && m.StartMayArrive(jc.outbox.Now()) {
			sure = false
			if !m.StartInFlight && m.StartUncertain() {
				jc.elector.RequestNewToken()
			}
		}
	})
	if sure {
		j.cancelling = true
		if j.OpenTasks > 0 {
			jc.delegations.acknowledgedCancel = max(jc.delegations.acknowledgedCancel, j.Version)
		}
	}
}

// isClosing tells whether a placement's end is known and not committed yet.
func (j *Job) isClosing(key job.AttemptKey, machine string) bool {
	return slices.ContainsFunc(j.completions, func(cl completion) bool { return cl.key == key && cl.machine == machine })
}

// closePlacement notes proof that a placement is over.
func (jc *jobCommitter) closePlacement(key job.AttemptKey, machine string, done bool) {
	jc.closeWithProgress(key, machine, done, false)
}

// closeWithProgress does so for a task whose progress may have been saved.
func (jc *jobCommitter) closeWithProgress(key job.AttemptKey, machine string, done, saved bool) {
	j := jc.jobs[key.Job]
	if j == nil {
		return
	}
	if j.isClosing(key, machine) {
		return
	}
	jc.estimates.observeRun(j, key, machine, done)
	j.completions = append(j.completions, completion{key: key, machine: machine, done: done, occupancy: jc.occupancyOf(j, key, machine, done || saved)})
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang {
		if j.leftMachines == nil {
			j.leftMachines = map[string]uint64{}
		}
		j.leftMachines[machine] = key.Attempt
	}
	jc.reconciler.TerminationDone(key)
	jc.pendingCommits[key.Job] = true
}
