package frontend

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// placementsQuietTime is how long the placement pages must be unchanged for conditions on all of them to be likely to
// hold: a transaction whose conditions fail costs as much of the quota as one that is applied.
const placementsQuietTime = config.Second

// Cancel handles POST /v1/jobs/{id}/withdraw. The request is committed first and stops all starting; the user hears
// "cancelled" once the leader has made sure that every worker concerned will stop its tasks.
func (f *Frontend) Cancel(x msg.CancelIn) {
	if !f.canAnswer(x.RequestID, x.JobID) {
		return
	}
	if j := f.replica.Job(x.JobID); j != nil && j.Version != 0 {
		switch {
		case j.Record.Final():
			f.respondCancelled(x.RequestID, j)
			return
		case !j.Record.CancelRequested:
			f.requestCancel(x.RequestID, j)
			return
		}
	}
	f.readCurrent(x.RequestID, x.JobID, func(j *records.Job) {
		switch {
		case j == nil:
			f.outbox.Respond(x.RequestID, http.StatusNotFound, wire.Error{Error: reasonNoSuchJob})
		case j.Record.Final():
			f.respondCancelled(x.RequestID, j)
		case j.Record.CancelRequested:
			f.waitForCancel(x.RequestID, j)
		default:
			f.requestCancel(x.RequestID, j)
		}
	})
}

// respondCancelled responds to a cancellation of a job whose phase is final.
func (f *Frontend) respondCancelled(requestID uint64, j *records.Job) {
	f.outbox.Respond(requestID, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
}

// requestCancel cancels a job: at once, if it is certain that no task of it is on any machine, or else by a request in
// its record that the leader acts upon.
func (f *Frontend) requestCancel(requestID uint64, j *records.Job) {
	if conditions, certain := f.neverPlacedConditions(j); certain {
		f.cancelWithoutLeader(requestID, j, conditions)
		return
	}
	f.cancelByLeader(requestID, j)
}

// cancelByLeader records that a job is to be cancelled.
func (f *Frontend) cancelByLeader(requestID uint64, j *records.Job) {
	rec := j.Record.Clone()
	rec.CancelRequested = true
	conditions := []wire.Condition{{Key: job.RecordKey(j.ID), Version: j.Version}}
	f.writeCancel(requestID, j, &rec, conditions, func() { f.outbox.RetryLater(requestID, reasonTryAgain) })
}

// cancelWithoutLeader cancels a job at once. If the conditions fail although nobody has cancelled it, a leader has been
// placing jobs meanwhile, and the leader has to cancel it.
func (f *Frontend) cancelWithoutLeader(requestID uint64, j *records.Job, conditions []wire.Condition) {
	// Placements that it had before are all over, by what the replica holds, and charged.
	rec := job.Record{Phase: job.Cancelled, DoneTasks: j.DoneTasks}
	if f.encoding.Format >= job.FormatPreemption {
		rec.Account = job.NewUsageAccount(j.Record.Spec, j.Record.Usage.Plus(j.PageUsage()), 0)
	}
	f.writeCancel(requestID, j, &rec, conditions, func() { f.cancelByLeader(requestID, j) })
}

// writeCancel commits a record that says that a job is cancelled, or is to be. If the conditions fail although it is
// not, onRefused is called once the replica has the job as it is now.
func (f *Frontend) writeCancel(
	requestID uint64, j *records.Job, rec *job.Record, conditions []wire.Condition, onRefused func(),
) {
	value, err := f.encodeCancelled(rec)
	if err != nil || !f.encoding.Fits(value) {
		f.outbox.Log("cancellation not recorded: record too large", "job", j.ID, "limit", f.encoding.MaxValueBytes())
		f.outbox.RetryLater(requestID, reasonTryAgain)
		return
	}
	key := job.RecordKey(j.ID)
	f.outbox.Commit(wire.Transaction{
		Conditions: conditions,
		Changes:    []wire.Change{{Put: key, Value: value}},
	}, msg.PurposeCancellation, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			f.node.ApplyWritten(wire.Change{Put: key, Value: value, Version: d.Revision})
			f.waitForCancel(requestID, j)
		case msg.Conflict:
			f.resolveCancelConflict(requestID, j.ID, onRefused)
		case msg.Invalid:
			f.outbox.RetryLater(requestID, reasonTryAgain)
		default:
			f.outbox.RetryLater(requestID, reasonStoreUnavailable)
		}
	})
}

// encodeCancelled encodes a record, without what only placing needs if it is too large otherwise: nothing of the job
// starts again.
func (f *Frontend) encodeCancelled(rec *job.Record) ([]byte, error) {
	value, err := job.EncodeRecord(rec, f.encoding.Format)
	if err != nil || f.encoding.Fits(value) || rec.Spec == nil {
		return value, err
	}
	spec := *rec.Spec
	spec.Types, spec.Class, spec.Image, spec.Needs = nil, "", "", nil
	rec.Spec = &spec
	return job.EncodeRecord(rec, f.encoding.Format)
}

func (f *Frontend) resolveCancelConflict(requestID uint64, id string, onRefused func()) {
	f.readCurrent(requestID, id, func(j *records.Job) {
		switch {
		case j != nil && (j.Record.CancelRequested || j.Record.Final()):
			f.waitForCancel(requestID, j)
		case j == nil || j.Record.Spec == nil:
			f.outbox.RetryLater(requestID, reasonTryAgain)
		default:
			onRefused()
		}
	})
}

// neverPlacedConditions returns conditions that hold only if no task of a job is on any machine: then no leader is
// needed to cancel it. From job.FormatPlacementPages on a placement may be in a page, which no condition on the record
// excludes. So either there are conditions on all pages, and on the next one, which is the only one that could be
// created; or the job waits for a dependency that is not done: the record of that one says so, and no task of this job
// starts before.
func (f *Frontend) neverPlacedConditions(j *records.Job) (conditions []wire.Condition, certain bool) {
	rec := &j.Record
	hasShards := rec.Spec.Tasks > job.TasksPerShard || rec.ShardsOnly
	if rec.LastAttempt > 0 && (j.OpenTasks > 0 || hasShards) {
		return nil, false
	}
	conditions = []wire.Condition{{Key: job.RecordKey(j.ID), Version: j.Version}, f.encoding.Condition()}
	if f.encoding.Format < job.FormatPlacementPages || j.DependencyCancelled() {
		return conditions, true
	}
	if unfinished := j.UnfinishedDependencies(); len(unfinished) > 0 {
		id := unfinished[0]
		return append(conditions, wire.Condition{Key: job.RecordKey(id), Version: f.replica.Job(id).Version}), true
	}
	pages := f.replica.PlacementPageConditions()
	tooMany := len(conditions)+len(pages) > wire.ConditionsPerChange*f.encoding.MaxOps()
	if tooMany || f.outbox.Now()-f.pageChanges.lastSeenAt < placementsQuietTime {
		return nil, false
	}
	return append(conditions, pages...), true
}

// waitForCancel responds to a cancellation once the job's phase is final, or with 503 when that takes too long.
func (f *Frontend) waitForCancel(requestID uint64, j *records.Job) {
	if j.Record.Final() {
		f.respondCancelled(requestID, j)
		return
	}
	f.waitingCancels.add(requestID, j.ID)
}

// JobFinished responds to the cancellations of a job whose phase is final now.
func (f *Frontend) JobFinished(j *records.Job) {
	for _, requestID := range f.waitingCancels.remove(j.ID) {
		f.respondCancelled(requestID, j)
	}
}
