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
func (l *Leader) gauges() Gauges {
	g := Gauges{Leading: l.ready, Records: len(l.jobs), Unfinished: len(l.unfinished), InFlightChanges: l.inFlightChanges, Failovers: l.failovers, Statistics: l.snapshot.statistics,
		Waiting: map[string]int{}, Machines: map[string]int{}}
	for _, j := range l.unfinished {
		g.Placements += j.OpenTasks
	}
	if !l.ready {
		return g
	}
	for j := range l.snapshot.wanting {
		class := j.Record.Spec.Class
		if _, had := g.Waiting[class]; !had && len(g.Waiting) >= maxClasses {
			class = "" // users choose the names: whoever reads this must not drown in them
		}
		g.Waiting[class]++
	}
	g.Machines = l.states()
	g.Usage = l.listUsage(maxClasses)
	g.CompletedInTime, g.StartedInTime = l.slo.tracker.CompletedInTime(l.wallClock()), l.slo.tracker.StartedInTime(l.wallClock())
	if l.estimates.model != nil {
		g.EstimateRuns = l.estimates.model.Observed()
	}
	return g
}

// answerQuery answers an operator.
func (l *Leader) answerQuery(x msg.AdminIn) {
	if x.Query == msg.QueryGauges {
		l.outbox.Respond(x.RequestID, http.StatusOK, l.gauges())
		return
	}
	most := maxListed
	if x.Limit > 0 {
		most = min(most, x.Limit)
	}
	if x.Query == msg.QueryAccounts {
		l.outbox.Respond(x.RequestID, http.StatusOK, l.listUsage(most))
		return
	}
	if !l.ready {
		l.outbox.RetryLaterWith(x.RequestID, AdminError{"not the leader", l.elector.Holder().Node})
		return
	}
	if l.answerWithoutEstimates(x, most) {
		return
	}
	if l.estimates.model == nil {
		l.outbox.Respond(x.RequestID, http.StatusNotFound, AdminError{Error: "run times are not learnt: see the setting estimates"})
		return
	}
	switch x.Query {
	case msg.QueryEstimates:
		l.outbox.Respond(x.RequestID, http.StatusOK, l.listEstimates(most))
	case msg.QueryRuns:
		l.outbox.Respond(x.RequestID, http.StatusOK, l.listRuns(x.From, most))
	case msg.QueryJob:
		j := l.jobs[x.JobID]
		if j == nil || j.Version == 0 {
			l.outbox.Respond(x.RequestID, http.StatusNotFound, AdminError{Error: "no such job"})
			return
		}
		l.outbox.Respond(x.RequestID, http.StatusOK, l.jobOutlook(j))
	}
}

func (l *Leader) listEstimates(most int) Estimates {
	m := l.estimates.model
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
	m.Slow(l.cfg.Settings.SlowFactor, func(machine string) {
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

func (l *Leader) listRuns(from uint64, most int) Runs {
	learnt := &l.estimates
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

func (l *Leader) stateOfJob(j *Job) JobState {
	st := frontend.Status(j.Job)
	return JobState{ID: st.ID, Status: st.Status, Done: *st.Done, Running: *st.Running}
}

func (l *Leader) jobOutlook(j *Job) JobOutlook {
	out := JobOutlook{Job: l.stateOfJob(j)}
	spec := j.Record.Spec
	if spec == nil {
		return out
	}
	out.Class = spec.Class
	if spec.Shape == wire.Service {
		return out
	}
	f := l.features(j, "")
	a := l.estimates.model.Estimate(&f)
	if a.Level != estimate.Unknown {
		row := rowOf(&a)
		out.Estimate = &row
	}
	if s, ok := l.completionEstimate(j, 0); ok && !j.Record.Final() {
		left := round(s.mean)
		out.LeftS = &left
	}
	if spec.DeadlineS != nil {
		due := round(float64(j.Record.CreatedAt-l.wallClockOffset-l.outbox.Now())/1e6 + *spec.DeadlineS)
		out.DueInS = &due
	}
	if v, chance := l.deadlineVerdict(j); v != "" {
		out.Verdict = v
		if chance >= 0 {
			chance = round(chance)
			out.DeadlineChance = &chance
		}
	}
	j.EachPlacement(func(p job.Placement) {
		if _, runs := j.startedAt[p.Task]; runs && len(out.Overdue) < maxListed && a.Overdue(l.workedTime(j, &p)) {
			out.Overdue = append(out.Overdue, wire.TaskName(j.ID, p.Task))
		}
	})
	return out
}
