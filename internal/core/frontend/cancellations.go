package frontend

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// pagesStableTime is how long the placement pages must have been unchanged for conditions on all of them to be
// likely to hold. A transaction whose conditions fail costs as much of the quota as one that is applied.
const pagesStableTime = config.Second

// Cancel handles POST /v1/jobs/{id}/withdraw. The request to cancel is committed first, and no task starts after that.
// The user receives the status "cancelled" once the leader has ensured that every worker concerned will stop its
// tasks.
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

// requestCancel cancels a job immediately if it is certain that no task of it is on any machine. Otherwise it records a
// request to cancel the job, which the leader carries out.
func (f *Frontend) requestCancel(requestID uint64, j *records.Job) {
	if conditions, certain := f.unplacedConditions(j); certain {
		f.cancelWithoutLeader(requestID, j, conditions)
		return
	}
	f.cancelByLeader(requestID, j)
}

// cancelByLeader records a request to cancel a job, which the leader carries out.
func (f *Frontend) cancelByLeader(requestID uint64, j *records.Job) {
	rec := j.Record.Clone()
	rec.CancelRequested = true
	conditions := []wire.Condition{{Key: job.RecordKey(j.ID), Version: j.Version}}
	f.writeCancel(requestID, j, &rec, conditions, func() { f.outbox.RetryLater(requestID, reasonTryAgain) })
}

// cancelWithoutLeader cancels a job immediately. If the conditions fail although the job has not been cancelled, a
// leader has placed jobs in the meantime, and has to cancel this one.
func (f *Frontend) cancelWithoutLeader(requestID uint64, j *records.Job, conditions []wire.Condition) {
	// According to the replica, all earlier placements of the job are over, and they have been charged.
	rec := job.Record{Phase: job.Cancelled, DoneTasks: j.DoneTasks}
	if f.encoding.Format >= job.FormatPreemption {
		rec.Account = job.NewUsageAccount(j.Record.Spec, j.Record.Usage.Plus(j.PageUsage()), 0)
	}
	f.writeCancel(requestID, j, &rec, conditions, func() { f.cancelByLeader(requestID, j) })
}

// writeCancel commits the record of a job that is cancelled or is to be cancelled. If the conditions fail although the
// job is neither, onConflict is called once the replica holds the current record.
func (f *Frontend) writeCancel(
	requestID uint64, j *records.Job, rec *job.Record, conditions []wire.Condition, onConflict func(),
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
			f.resolveCancelConflict(requestID, j.ID, onConflict)
		case msg.Invalid:
			f.outbox.RetryLater(requestID, reasonTryAgain)
		default:
			f.outbox.RetryLater(requestID, reasonStoreUnavailable)
		}
	})
}

// encodeCancelled encodes the record of a job of which no task starts again. If the record is too large, it is encoded
// without the fields of the description that are needed for placement only.
func (f *Frontend) encodeCancelled(rec *job.Record) ([]byte, error) {
	value, err := job.EncodeRecord(rec, f.encoding.Format)
	if err != nil || f.encoding.Fits(value) || rec.Spec == nil {
		return value, err
	}
	spec := *rec.Spec
	spec.Types, spec.Class, spec.Image, spec.Dependencies = nil, "", "", nil
	rec.Spec = &spec
	return job.EncodeRecord(rec, f.encoding.Format)
}

func (f *Frontend) resolveCancelConflict(requestID uint64, id string, onConflict func()) {
	f.readCurrent(requestID, id, func(j *records.Job) {
		switch {
		case j != nil && (j.Record.CancelRequested || j.Record.Final()):
			f.waitForCancel(requestID, j)
		case j == nil || j.Record.Spec == nil:
			f.outbox.RetryLater(requestID, reasonTryAgain)
		default:
			onConflict()
		}
	})
}

// unplacedConditions returns conditions that hold only if no task of a job is on any machine, so that no leader is
// needed to cancel it. It returns false if there are no such conditions. From job.FormatPlacementPages on, a placement
// may be in a page, which a condition on the job's record does not exclude. There are then two cases. If the job waits
// for a dependency, a condition on the dependency's record ensures that the dependency is not done, and no task of the
// job starts before. Otherwise, the conditions cover all pages and the next one, which is the only one that could be
// created.
func (f *Frontend) unplacedConditions(j *records.Job) (conditions []wire.Condition, certain bool) {
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
	tooMany := len(conditions)+len(pages) > wire.MaxConditionsPerChange*f.encoding.MaxOps()
	if tooMany || f.outbox.Now()-f.pageChanges.lastSeenAt < pagesStableTime {
		return nil, false
	}
	return append(conditions, pages...), true
}

// waitForCancel responds to a cancellation once the job's phase is final, or with 503 if that takes too long.
func (f *Frontend) waitForCancel(requestID uint64, j *records.Job) {
	if j.Record.Final() {
		f.respondCancelled(requestID, j)
		return
	}
	f.waitingCancels.add(requestID, j.ID)
}

// JobFinished responds to the waiting cancellations of a job whose phase has become final.
func (f *Frontend) JobFinished(j *records.Job) {
	for _, requestID := range f.waitingCancels.remove(j.ID) {
		f.respondCancelled(requestID, j)
	}
}
