package leader

import (
	"net/http"

	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/queue"
)

// maxAhead is how many of those that go before a job are named.
const maxAhead = 20

// WaitReason tells an operator why a job waits, and what goes before it.
type WaitReason struct {
	Job              JobState `json:"job"`
	Reason           string   `json:"why"`
	Priority         string   `json:"priority,omitempty"`
	WithinGuarantee  bool     `json:"within_guarantee"`
	Late             bool     `json:"late"`           // it can't begin in time any more
	ClassShort       bool     `json:"class_is_short"` // of places: see "When there is too little"
	Rank             int      `json:"rank,omitempty"` // 1: the first; 0: it is not in the queue
	QueueLength      int      `json:"queue"`          // jobs in the queue
	Ahead            []string `json:"before"`         // the next ones that go before it, the nearest first
	ReservedMachines []string `json:"machines_kept"`  // for it, while others leave them
	PreemptedJobs    []string `json:"yield"`          // jobs that were stopped for it, by decisions in force
}

// waitReasonText tells in a few words why a job has not all its places.
func (oq *operatorQueries) waitReasonText(j *Job) string {
	spec := j.Record.Spec
	now := oq.outbox.Now()
	switch {
	case j.Archived() || j.Record.Final():
		return "it is over"
	case j.Record.CancelRequested:
		return "it is being cancelled"
	case j.Blocked():
		return "jobs that it needs are not done"
	case j.DoneTasks+j.OpenTasks >= spec.Tasks:
		return "it has all its places"
	case j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0:
		return "a change of it is being committed"
	case now < max(j.holdUntil, j.retryAt):
		return "it is held back after failures"
	case now < j.preemptingUntil:
		return "others are leaving machines for it"
	}
	if team := oq.teams[spec.Team]; team != nil && !queue.UnderLimit(team, oq.snapshot.used[spec.Team].Plus(startAmount(spec), 1)) {
		return "its team's limit"
	}
	return "no machine has room, or others go before it"
}

// waitReason answers why a job waits.
func (oq *operatorQueries) waitReason(j *Job) WaitReason {
	out := WaitReason{Job: oq.stateOfJob(j), Reason: oq.waitReasonText(j), Ahead: []string{}, ReservedMachines: []string{}, PreemptedJobs: []string{}}
	if j.Record.Spec == nil {
		return out
	}
	out.Priority, out.WithinGuarantee, out.ClassShort = j.Priority(), oq.snapshot.withinGuarantee(j), oq.startOrder.shortClass(j) != nil
	out.Late = !j.hasStarted() && oq.outbox.Now()-j.arrivedAt >= oq.startOrder.startDeadline()
	entries := oq.scheduler.pendingJobs(&cycle{})
	queue.Rank(entries)
	out.QueueLength = len(entries)
	for i := range entries {
		if entries[i].ID != j.ID {
			continue
		}
		out.Rank = i + 1
		for k := i - 1; k >= 0 && len(out.Ahead) < maxAhead; k-- {
			out.Ahead = append(out.Ahead, entries[k].ID)
		}
	}
	for _, d := range oq.preemptions.decisions.InForce(oq.wallClock()) {
		if d.Preemptor != j.ID {
			continue
		}
		out.ReservedMachines = append(out.ReservedMachines, d.ReservedMachines...)
		for _, v := range d.Victims {
			out.PreemptedJobs = append(out.PreemptedJobs, v.Job)
		}
	}
	return out
}

// UsageRow is an account as an operator reads it, in seconds.
type UsageRow struct {
	Team                string  `json:"team"`
	Class               string  `json:"class"`
	Kind                string  `json:"kind"` // batch or service
	GPUSeconds          float64 `json:"gpu_s"`
	CPUSeconds          float64 `json:"cpu_s"`
	MemoryGBSeconds     float64 `json:"gb_s"`
	TaskSeconds         float64 `json:"task_s"`
	SpotTaskSeconds     float64 `json:"cheap_task_s"`
	RepeatedTaskSeconds float64 `json:"repeated_task_s"`
}

// listUsage lists what was used; any node can tell.
func (oq *operatorQueries) listUsage(most int) []UsageRow {
	out := []UsageRow{}
	oq.usageAccounts.ledger.Each(func(k accounting.Key, u job.ResourceUsage) {
		if len(out) == most {
			return
		}
		kind := "batch"
		if k.Service {
			kind = "service"
		}
		s := func(micros int64) float64 { return round(float64(micros) / 1e6) }
		out = append(out, UsageRow{k.Team, k.Class, kind, s(u.GPU), s(u.CPU), s(u.Memory), s(u.Time), s(u.Spot), s(u.Lost)})
	})
	return out
}

// Preemptions is who yields to whom.
type Preemptions struct {
	Decisions []DecisionRow   `json:"decisions"` // in force
	Counts    []PreemptionRow `json:"yielded"`   // tasks, since the cluster began
}

// DecisionRow is a decision in force.
type DecisionRow struct {
	Preemptor     string   `json:"winner"`
	Reason        string   `json:"by"`
	RemainingS    float64  `json:"for_s"`
	Machines      []string `json:"machines"`
	PreemptedJobs []string `json:"yield"`
}

// PreemptionRow counts whose work yielded to whose.
type PreemptionRow struct {
	VictimClass    string `json:"class"`
	PreemptorClass string `json:"to_class"`
	Reason         string `json:"by"`
	Tasks          uint64 `json:"tasks"`
}

func (oq *operatorQueries) listPreemptions(most int) Preemptions {
	out := Preemptions{Decisions: []DecisionRow{}, Counts: []PreemptionRow{}}
	wall := oq.wallClock()
	for _, d := range oq.preemptions.decisions.InForce(wall) {
		if len(out.Decisions) == most {
			break
		}
		row := DecisionRow{Preemptor: d.Preemptor, Reason: d.Reason.String(), RemainingS: round(float64(d.Until-wall) / 1e6), Machines: d.ReservedMachines, PreemptedJobs: []string{}}
		for _, v := range d.Victims {
			row.PreemptedJobs = append(row.PreemptedJobs, v.Job)
		}
		out.Decisions = append(out.Decisions, row)
	}
	oq.preemptions.counts.Each(func(y preemption.Pair, n uint64) {
		if len(out.Counts) < most {
			out.Counts = append(out.Counts, PreemptionRow{y.Victim, y.Preemptor, y.Reason.String(), n})
		}
	})
	return out
}

// answerWithoutEstimates answers the questions that need no run times; false: it isn't one.
func (oq *operatorQueries) answerWithoutEstimates(x msg.AdminIn, most int) bool {
	switch x.Query {
	case msg.QueryPreemptions:
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.listPreemptions(most))
	case msg.QueryWaitReason:
		j := oq.jobs[x.JobID]
		if j == nil || j.Version == 0 {
			oq.outbox.Respond(x.RequestID, http.StatusNotFound, AdminError{Error: "no such job"})
			return true
		}
		oq.outbox.Respond(x.RequestID, http.StatusOK, oq.waitReason(j))
	default:
		return false
	}
	return true
}
