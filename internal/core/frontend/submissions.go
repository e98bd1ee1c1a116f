package frontend

import (
	"net/http"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// refusal is the HTTP status and the text with which a submission is refused. The zero value is no refusal.
type refusal struct {
	status int
	reason string
}

// Submit handles POST /v1/jobs. A job is accepted once the creation of its record has been confirmed, on the condition
// that there was none. The submission of a job that exists already is answered with 200, whatever its body contains.
func (f *Frontend) Submit(x msg.SubmitIn) {
	spec, err := wire.ParseJob(x.Body)
	if spec.ID == "" {
		f.outbox.Respond(x.RequestID, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	if reason := f.node.NotServingReason(); reason != "" {
		f.outbox.RetryLater(x.RequestID, reason)
		return
	}
	known := f.replica.Job(spec.ID)
	if known != nil && known.Record.Final() {
		f.outbox.Respond(x.RequestID, http.StatusOK, Status(known))
		return
	}
	refused := f.refusalOf(&spec, err)
	if refused.status != 0 || known != nil && known.Version != 0 {
		f.respondKnownOrRefuse(x, spec.ID, refused)
		return
	}
	if len(spec.Dependencies) == 0 {
		f.createRecord(x, &spec)
		return
	}
	f.checkDependencies(spec.Dependencies, func(missing string, outcome msg.Outcome) {
		switch {
		case outcome != msg.OK:
			f.outbox.RetryLater(x.RequestID, reasonStoreUnavailable)
		case missing != "":
			f.respondKnownOrRefuse(x, spec.ID, refusal{
				http.StatusUnprocessableEntity, "needs " + missing + ", which was never accepted",
			})
		default:
			f.createRecord(x, &spec)
		}
	})
}

// refusalOf returns why a submission cannot be accepted according to this node's state, or the zero value if it can.
// invalid is the error from parsing the submission, if there was one.
func (f *Frontend) refusalOf(spec *wire.Job, invalid error) refusal {
	switch {
	case invalid != nil:
		return refusal{http.StatusBadRequest, invalid.Error()}
	case !f.catalog.Known():
		return refusal{http.StatusServiceUnavailable, "machine types not known yet"}
	case f.dependsOnService(spec):
		return refusal{http.StatusUnprocessableEntity, "needs a service, which is never done"}
	case len(spec.Dependencies) > 0 && f.encoding.UpgradePending():
		// A node of an older version would drop the dependencies.
		return refusal{http.StatusServiceUnavailable, "needed jobs are not taken before every node has been upgraded"}
	}
	if reason := f.infeasibleReason(spec); reason != "" {
		return refusal{http.StatusUnprocessableEntity, reason}
	}
	return refusal{}
}

// infeasibleReason returns why a job can never run, or an empty string if it can.
func (f *Frontend) infeasibleReason(spec *wire.Job) string {
	team := f.teams[spec.Team]
	if team == nil {
		return "unknown team"
	}
	tasksAtOnce := 1
	if spec.Shape != wire.Array {
		tasksAtOnce = spec.Tasks
	}
	amount := queue.Amount{}.Plus(queue.NewAmount(spec.CPUs, spec.GPUs), tasksAtOnce)
	if !queue.WithinLimit(team, amount) {
		return "needs more than the team's limit"
	}
	if spec.Zone != "" && !slices.Contains(f.cfg.Cluster.Zones, spec.Zone) {
		return "unknown zone"
	}
	if !f.catalog.CanRun(spec) {
		return "a task fits no allowed machine type"
	}
	// All tasks of a gang run at the same time. Of a service or an array, some tasks can run, and the others once
	// there is a zone for them.
	spreadGang := spec.Shape == wire.Gang && spec.Spread && spec.Tasks > 1
	if spreadGang && (spec.OneZone || f.catalog.ZoneCount(spec) < 2) {
		return "a gang can't be spread over one zone"
	}
	return ""
}

// dependsOnService reports whether a submission depends on a service, according to this node's replica. If the replica
// lacks the service's record, the job may be accepted: it then waits until the service is cancelled, and is cancelled
// with it.
func (f *Frontend) dependsOnService(spec *wire.Job) bool {
	return slices.ContainsFunc(spec.Dependencies, func(id string) bool {
		n := f.replica.Job(id)
		return n != nil && n.Record.Spec != nil && n.Record.Spec.Shape == wire.Service
	})
}

// respondKnownOrRefuse responds to a submission of a job that exists already or cannot be accepted. Existence takes
// precedence: the submission of a job that exists is answered with 200 even if it is invalid.
func (f *Frontend) respondKnownOrRefuse(x msg.SubmitIn, id string, refused refusal) {
	f.readCurrent(x.RequestID, id, func(j *records.Job) {
		switch {
		case j != nil:
			f.respondWithStatus(x.RequestID, j)
		case refused.status == 0 || refused.status == http.StatusServiceUnavailable:
			f.outbox.RetryLater(x.RequestID, refused.reason)
		default:
			f.outbox.Respond(x.RequestID, refused.status, wire.Error{Error: refused.reason})
		}
	})
}

// createRecord accepts a job by creating its record.
func (f *Frontend) createRecord(x msg.SubmitIn, spec *wire.Job) {
	rec, value, err := f.initialRecord(x, spec)
	if err != nil {
		f.outbox.Respond(x.RequestID, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status := wire.Queued
	if rec.Final() {
		status = wire.Cancelled
	}
	key := job.RecordKey(spec.ID)
	f.outbox.CommitWithPriority(wire.Transaction{
		Conditions: []wire.Condition{{Key: key, Version: 0}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}, msg.Admission, msg.PurposeAdmission, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			f.node.ApplyWritten(wire.Change{Put: key, Value: value, Version: d.Revision})
			f.outbox.Debug("accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks,
				"shape", spec.Shape, "gpus", spec.GPUs, "estimate_s", spec.EstimateS)
			f.outbox.Respond(x.RequestID, http.StatusCreated, wire.JobStatus{ID: spec.ID, Status: status})
		case msg.Conflict:
			f.respondKnownOrRefuse(x, spec.ID, refusal{0, reasonTryAgain})
		case msg.Invalid:
			f.outbox.RetryLater(x.RequestID, reasonTryAgain)
		default:
			f.outbox.RetryLater(x.RequestID, reasonStoreUnavailable)
		}
	})
}

// checkDependencies calls then with the first of the jobs that was never accepted, or with an empty string if all were.
// It checks jobs that are not in this node's replica with the state service: the replica may lag, and users submit a
// job as soon as its dependencies have been accepted, possibly by another node.
func (f *Frontend) checkDependencies(ids []string, then func(missing string, outcome msg.Outcome)) {
	batch := f.replica.UnknownJobs(ids)
	if len(batch) == 0 {
		then("", msg.OK)
		return
	}
	batch = batch[:min(len(batch), wire.MaxConditionsPerChange*f.encoding.MaxOps())]
	absent := wire.Transaction{} // its conditions hold for jobs that do not exist
	for _, id := range batch {
		absent.Conditions = append(absent.Conditions, wire.Condition{Key: job.RecordKey(id)})
	}
	f.outbox.Commit(absent, msg.PurposeReadCheck, func(d msg.CommitDone) {
		answered := d.Outcome == msg.OK || d.Outcome == msg.Conflict && len(d.Failed) > 0
		if !answered {
			then("", msg.Unknown)
			return
		}
		remaining := slices.Clone(ids)
		for _, id := range batch {
			exists := d.Outcome != msg.OK && slices.Contains(d.Failed, job.RecordKey(id))
			if !exists {
				then(id, msg.OK)
				return
			}
			remaining = slices.DeleteFunc(remaining, func(other string) bool { return other == id })
		}
		f.checkDependencies(remaining, then)
	})
}
