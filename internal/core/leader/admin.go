package leader

import (
	"math"
	"net/http"

	"coralhub/internal/core/frontend"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/query"
	"coralhub/internal/core/slo"
	"coralhub/internal/estimate"
	"coralhub/internal/history"
	"coralhub/wire"
)

const (
	maxListed  = 500 // rows in one response
	maxClasses = 100 // classes or teams listed by name
)

// operatorQueries answers operators' queries. It is read-only, except that ranking the queue for a response may update
// queue positions and the time of the next cycle, as a scheduling cycle does.
type operatorQueries struct {
	*environment
	commits       *jobCommitter
	diagnostics   *diagnostics
	estimates     *runTimeEstimates
	preemptions   *preemptionDecisions
	scheduler     *scheduler
	slo           *slo.Recorder
	snapshot      *clusterSnapshot
	startOrder    *startOrder
	usageAccounts *usageAccounts
}

// answerQuery answers a query. Any node answers queries for gauges and accounts; only the leader answers the others.
func (oq *operatorQueries) answerQuery(x msg.AdminIn) {
	limit := maxListed
	if x.Limit > 0 {
		limit = min(limit, x.Limit)
	}
	switch x.Query {
	case msg.QueryGauges:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.gauges())
		return
	case msg.QueryAccounts:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listUsage(limit))
		return
	}
	if !oq.ready {
		oq.outbox.RetryLaterWith(x.RequestID, query.Error{Error: "not the leader", Leader: oq.elector.Holder().Node})
		return
	}
	switch x.Query {
	case msg.QueryPreemptions:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listPreemptions(limit))
	case msg.QueryWaitReason:
		if j := oq.findJob(x); j != nil {
			oq.outbox.Respond(x.RequestID, http.StatusOK, oq.waitReason(j))
		}
	default:
		oq.answerFromEstimates(x, limit)
	}
}

// answerFromEstimates answers the queries that need the run-time model.
func (oq *operatorQueries) answerFromEstimates(x msg.AdminIn, limit int) {
	if oq.estimates.model == nil {
		oq.outbox.Respond(x.RequestID, http.StatusNotFound,
			query.Error{Error: "run times are not learnt: see the setting estimates"})
		return
	}
	switch x.Query {
	case msg.QueryEstimates:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listEstimates(limit))
	case msg.QueryRuns:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listRuns(x.From, limit))
	case msg.QueryJob:
		if j := oq.findJob(x); j != nil {
			oq.outbox.Respond(x.RequestID, http.StatusOK, oq.jobOutlook(j))
		}
	}
}

// findJob returns the job that a query names. If there is no such job, it responds with "not found" and returns nil.
func (oq *operatorQueries) findJob(x msg.AdminIn) *Job {
	j := oq.jobs[x.JobID]
	if j == nil || j.Version == 0 {
		oq.outbox.Respond(x.RequestID, http.StatusNotFound, query.Error{Error: "no such job"})
		return nil
	}
	return j
}

// listEstimates lists the estimates of at most limit kinds of jobs, and at most limit slow machines.
func (oq *operatorQueries) listEstimates(limit int) query.Estimates {
	m := oq.estimates.model
	out := query.Estimates{
		Runs:          m.Observed(),
		SuddenChanges: m.DetectedChanges(),
		Kinds:         []query.EstimateRow{},
		Machines:      []query.SlowMachine{},
	}
	m.EachGroup(func(f estimate.Features) bool {
		if out.More = len(out.Kinds) == limit; out.More {
			return false
		}
		a := m.Estimate(&f)
		row := estimateRowOf(&a)
		row.Class = f.Class
		row.Shape = f.Shape
		row.Image = f.Image
		out.Kinds = append(out.Kinds, row)
		return true
	})
	m.EachSlowMachine(oq.cfg.Settings.SlowFactor, func(machine string) {
		if len(out.Machines) < limit {
			out.Machines = append(out.Machines, query.SlowMachine{Machine: machine, Slowdown: round(m.Slowness(machine))})
		}
	})
	return out
}

// round rounds v to three decimal places.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// roundedSeconds converts microseconds to seconds, rounded to three decimal places.
func roundedSeconds(micros Micros) float64 { return round(inSeconds(micros)) }

// estimateRowOf converts an estimate to the form in which operators read it.
func estimateRowOf(a *estimate.RunTimeEstimate) query.EstimateRow {
	row := query.EstimateRow{Level: a.Level.String(), Samples: round(a.Samples), MedianS: roundedSeconds(a.Median)}
	for i := range estimate.Intervals {
		row.Intervals = append(row.Intervals, []float64{roundedSeconds(a.Low[i]), roundedSeconds(a.High[i])})
		var coverage *float64
		if a.Coverage[i] >= 0 {
			v := round(a.Coverage[i])
			coverage = &v
		}
		row.Coverage = append(row.Coverage, coverage)
	}
	return row
}

// listRuns lists at most limit recent runs, starting with the run numbered from. If that run is no longer kept, it
// starts with the oldest one kept and sets Missed to the number of runs skipped.
func (oq *operatorQueries) listRuns(from uint64, limit int) query.Runs {
	es := oq.estimates
	oldest := es.runsRecorded - uint64(len(es.recentRuns))
	out := query.Runs{Runs: []history.Run{}}
	if from > es.runsRecorded { // the number was assigned by another leader
		from = 0
	}
	if from < oldest {
		out.Missed = oldest - from
		from = oldest
	}
	for ; from < es.runsRecorded && len(out.Runs) < limit; from++ {
		out.Runs = append(out.Runs, es.recentRuns[from%maxRecentRuns])
	}
	out.Next = from
	return out
}

// stateOfJob returns the state of a job as reported to users.
func (oq *operatorQueries) stateOfJob(j *Job) query.JobState {
	status := frontend.Status(j.Job)
	return query.JobState{ID: status.ID, Status: status.Status, Done: *status.Done, Running: *status.Running}
}

// jobOutlook returns what the estimates predict about the completion of a job.
func (oq *operatorQueries) jobOutlook(j *Job) query.JobOutlook {
	out := query.JobOutlook{Job: oq.stateOfJob(j)}
	spec := j.Record.Spec
	if spec == nil {
		return out
	}
	out.Class = spec.Class
	if spec.Shape == wire.Service {
		return out
	}
	f := oq.estimates.features(j, "")
	perTask := oq.estimates.model.Estimate(&f)
	if perTask.Level != estimate.Unknown {
		row := estimateRowOf(&perTask)
		out.Estimate = &row
	}
	if duration, ok := oq.estimates.completionEstimate(j, 0); ok && !j.Record.Final() {
		left := round(duration.Mean)
		out.RemainingS = &left
	}
	if spec.DeadlineS != nil {
		due := round(oq.estimates.dueInSeconds(j))
		out.DueInS = &due
	}
	if verdict, chance := oq.estimates.deadlineVerdict(j); verdict != "" {
		out.Verdict = verdict
		if chance >= 0 {
			chance = round(chance)
			out.DeadlineProbability = &chance
		}
	}
	j.EachPlacement(func(p job.Placement) {
		if _, runs := j.startedAt[p.Task]; runs && len(out.Overdue) < maxListed &&
			perTask.Overdue(oq.estimates.workedTime(j, &p)) {
			out.Overdue = append(out.Overdue, wire.TaskName(j.ID, p.Task))
		}
	})
	return out
}
