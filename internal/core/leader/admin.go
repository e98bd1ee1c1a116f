package leader

import (
	"math"
	"net/http"

	"coralhub/internal/core/frontend"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/slo"
	"coralhub/internal/estimate"
	"coralhub/internal/history"
	"coralhub/wire"
)

// operatorQueries TODO
type operatorQueries struct {
	*environment
	commits       *jobCommitter
	diagnostics   *diagnostics
	estimates     *runTimeEstimates
	preemptions   *preemptionDecisions
	scheduler     *scheduler
	slo           *sloTracker
	snapshot      *clusterSnapshot
	startOrder    *startOrder
	usageAccounts *usageAccounts
}

const (
	maxListed  = 500 // rows of an answer
	maxClasses = 100 // counted apart
)

// AdminError answers a question that can't be answered, and names the leader if that is
// another node.
type AdminError struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"`
}

// Estimates lists what is known of run times.
type Estimates struct {
	Runs     uint64        `json:"runs"` // learnt from since this leader began
	Changes  int           `json:"sudden_changes"`
	Kinds    []EstimateRow `json:"kinds"`
	More     bool          `json:"more"`
	Machines []SlowMachine `json:"slow_machines"`
}

// EstimateRow is an estimate as an operator reads it: seconds, and null for what can't
// be said.
type EstimateRow struct {
	Class     string      `json:"class,omitempty"`
	Shape     string      `json:"shape,omitempty"`
	Image     string      `json:"image,omitempty"`
	Level     string      `json:"from"`
	Samples   float64     `json:"samples"`
	MedianS   float64     `json:"median_s"`
	Intervals [][]float64 `json:"intervals_s"` // 0.5, 0.8, 0.95
	Trust     []*float64  `json:"trust"`       // of each interval: the part of recent outcomes inside
}

// SlowMachine is a machine whose runs take longer than elsewhere.
type SlowMachine struct {
	Machine string  `json:"machine"`
	Times   float64 `json:"times"`
}

// JobOutlook is what can be said of a job's end.
type JobOutlook struct {
	Job            JobState     `json:"job"`
	Class          string       `json:"class,omitempty"`
	Estimate       *EstimateRow `json:"estimate,omitempty"` // of one task, or of a gang
	LeftS          *float64     `json:"left_s,omitempty"`   // until the job is done, with what it needs
	DueInS         *float64     `json:"due_in_s,omitempty"`
	Verdict        string       `json:"deadline,omitempty"`
	DeadlineChance *float64     `json:"chance,omitempty"`
	Overdue        []string     `json:"overdue_tasks,omitempty"` // running for longer than the widest interval
}

// JobState is a job's state, as users are told it.
type JobState struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Runs is a page of runs that have ended.
type Runs struct {
	Next   uint64         `json:"next"`
	Missed uint64         `json:"missed"` // asked for and not kept any more
	Runs   []history.Line `json:"runs"`
}

// Gauges are what a node can count of itself at a moment, and since it began.
type Gauges struct {
	Leading         bool
	Records         int            // jobs known, finished ones too
	Unfinished      int            // jobs
	Waiting         map[string]int // jobs that want places, by class; of a leader
	Machines        map[string]int // by state; of a leader
	Placements      int            // open
	InFlightChanges int            // changes of jobs on their way
	Failovers       uint64
	Statistics      CycleStatistics
	EstimateRuns    uint64

	CompletedInTime, StartedInTime slo.Attainment // of a leader
	Usage                          []UsageRow
}

// gauges counts.
func (oq *operatorQueries) gauges() Gauges {
	g := Gauges{Leading: oq.ready, Records: len(oq.jobs), Unfinished: len(oq.unfinished), InFlightChanges: oq.commits.inFlightChanges, Failovers: oq.failovers, Statistics: oq.snapshot.statistics,
		Waiting: map[string]int{}, Machines: map[string]int{}}
	for _, j := range oq.unfinished {
		g.Placements += j.OpenTasks
	}
	if !oq.ready {
		return g
	}
	for j := range oq.snapshot.wanting {
		class := j.Record.Spec.Class
		if _, had := g.Waiting[class]; !had && len(g.Waiting) >= maxClasses {
			class = "" // users choose the names: whoever reads this must not drown in them
		}
		g.Waiting[class]++
	}
	g.Machines = oq.diagnostics.states()
	g.Usage = oq.listUsage(maxClasses)
	g.CompletedInTime, g.StartedInTime = oq.slo.tracker.CompletedInTime(oq.wallClock()), oq.slo.tracker.StartedInTime(oq.wallClock())
	if oq.estimates.model != nil {
		g.EstimateRuns = oq.estimates.model.Observed()
	}
	return g
}

// answerQuery answers an operator.
func (oq *operatorQueries) answerQuery(x msg.AdminIn) {
	if x.Query == msg.QueryGauges {
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.gauges())
		return
	}
	most := maxListed
	if x.Limit > 0 {
		most = min(most, x.Limit)
	}
	if x.Query == msg.QueryAccounts {
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listUsage(most))
		return
	}
	if !oq.ready {
		oq.outbox.RetryLaterWith(x.RequestID, AdminError{"not the leader", oq.elector.Holder().Node})
		return
	}
	if oq.answerWithoutEstimates(x, most) {
		return
	}
	if oq.estimates.model == nil {
		oq.outbox.Respond(x.RequestID, http.StatusNotFound, AdminError{Error: "run times are not learnt: see the setting estimates"})
		return
	}
	switch x.Query {
	case msg.QueryEstimates:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listEstimates(most))
	case msg.QueryRuns:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listRuns(x.From, most))
	case msg.QueryJob:
		j := oq.jobs[x.JobID]
		if j == nil || j.Version == 0 {
			oq.outbox.Respond(x.RequestID, http.StatusNotFound, AdminError{Error: "no such job"})
			return
		}
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.jobOutlook(j))
	}
}

func (oq *operatorQueries) listEstimates(most int) Estimates {
	m := oq.estimates.model
	out := Estimates{Runs: m.Observed(), Changes: m.Changes(), Kinds: []EstimateRow{}, Machines: []SlowMachine{}}
	m.Kinds(func(f estimate.Features) bool {
		if out.More = len(out.Kinds) == most; out.More {
			return false
		}
		a := m.Estimate(&f)
		row := rowOf(&a)
		row.Class, row.Shape, row.Image = f.Class, f.Shape, f.Image
		out.Kinds = append(out.Kinds, row)
		return true
	})
	m.Slow(oq.cfg.Settings.SlowFactor, func(machine string) {
		if len(out.Machines) < most {
			out.Machines = append(out.Machines, SlowMachine{machine, round(m.Slowness(machine))})
		}
	})
	return out
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

func rowOf(a *estimate.Answer) EstimateRow {
	row := EstimateRow{Level: a.Level.String(), Samples: round(a.Samples), MedianS: round(float64(a.Median) / 1e6)}
	for i := range estimate.Intervals {
		row.Intervals = append(row.Intervals, []float64{round(float64(a.Low[i]) / 1e6), round(float64(a.High[i]) / 1e6)})
		var t *float64
		if a.Trust[i] >= 0 {
			v := round(a.Trust[i])
			t = &v
		}
		row.Trust = append(row.Trust, t)
	}
	return row
}

func (oq *operatorQueries) listRuns(from uint64, most int) Runs {
	learnt := oq.estimates
	first := learnt.runsEnd - uint64(len(learnt.recentRuns))
	out := Runs{Runs: []history.Line{}}
	if from > learnt.runsEnd { // another leader's count
		from = 0
	}
	if from < first {
		out.Missed, from = first-from, first
	}
	for ; from < learnt.runsEnd && len(out.Runs) < most; from++ {
		out.Runs = append(out.Runs, learnt.recentRuns[from%keptRuns])
	}
	out.Next = from
	return out
}

func (oq *operatorQueries) stateOfJob(j *Job) JobState {
	st := frontend.Status(j.Job)
	return JobState{ID: st.ID, Status: st.Status, Done: *st.Done, Running: *st.Running}
}

func (oq *operatorQueries) jobOutlook(j *Job) JobOutlook {
	out := JobOutlook{Job: oq.stateOfJob(j)}
	spec := j.Record.Spec
	if spec == nil {
		return out
	}
	out.Class = spec.Class
	if spec.Shape == wire.Service {
		return out
	}
	f := oq.estimates.features(j, "")
	a := oq.estimates.model.Estimate(&f)
	if a.Level != estimate.Unknown {
		row := rowOf(&a)
		out.Estimate = &row
	}
	if s, ok := oq.estimates.completionEstimate(j, 0); ok && !j.Record.Final() {
		left := round(s.mean)
		out.LeftS = &left
	}
	if spec.DeadlineS != nil {
		due := round(float64(j.Record.CreatedAt-oq.wallClockOffset-oq.outbox.Now())/1e6 + *spec.DeadlineS)
		out.DueInS = &due
	}
	if v, chance := oq.estimates.deadlineVerdict(j); v != "" {
		out.Verdict = v
		if chance >= 0 {
			chance = round(chance)
			out.DeadlineChance = &chance
		}
	}
	j.EachPlacement(func(p job.Placement) {
		if _, runs := j.startedAt[p.Task]; runs && len(out.Overdue) < maxListed && a.Overdue(oq.estimates.workedTime(j, &p)) {
			out.Overdue = append(out.Overdue, wire.TaskName(j.ID, p.Task))
		}
	})
	return out
}
