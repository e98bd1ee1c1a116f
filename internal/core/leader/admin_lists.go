package leader

import (
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
)

// UsageRow is an account as an operator reads it. Each amount is in seconds of a resource, or of a task.
type UsageRow struct {
	Team                string  `json:"team"`
	Class               string  `json:"class"`
	Kind                string  `json:"kind"` // kindBatch or kindService
	GPUSeconds          float64 `json:"gpu_s"`
	CPUSeconds          float64 `json:"cpu_s"`
	MemoryGBSeconds     float64 `json:"gb_s"`
	TaskSeconds         float64 `json:"task_s"`
	SpotTaskSeconds     float64 `json:"cheap_task_s"`
	RepeatedTaskSeconds float64 `json:"repeated_task_s"` // of which the work was lost
}

// Kinds of accounts.
const (
	kindBatch   = "batch"
	kindService = "service"
)

// listUsage lists at most limit accounts. Any node can.
func (oq *operatorQueries) listUsage(limit int) []UsageRow {
	out := []UsageRow{}
	oq.usageAccounts.ledger.Each(func(k accounting.Key, u job.ResourceUsage) {
		if len(out) == limit {
			return
		}
		kind := kindBatch
		if k.Service {
			kind = kindService
		}
		out = append(out, UsageRow{
			Team:                k.Team,
			Class:               k.Class,
			Kind:                kind,
			GPUSeconds:          roundedSeconds(u.GPU),
			CPUSeconds:          roundedSeconds(u.CPU),
			MemoryGBSeconds:     roundedSeconds(u.Memory),
			TaskSeconds:         roundedSeconds(u.Time),
			SpotTaskSeconds:     roundedSeconds(u.Spot),
			RepeatedTaskSeconds: roundedSeconds(u.Lost),
		})
	})
	return out
}

// Preemptions lists which jobs are preempted for which others.
type Preemptions struct {
	Decisions []DecisionRow   `json:"decisions"` // in force
	Counts    []PreemptionRow `json:"yielded"`   // preempted tasks since the cluster began
}

// DecisionRow is a decision in force.
type DecisionRow struct {
	Preemptor     string   `json:"winner"`
	Reason        string   `json:"by"`
	RemainingS    float64  `json:"for_s"`    // seconds for which it stays in force
	Machines      []string `json:"machines"` // reserved for the preemptor
	PreemptedJobs []string `json:"yield"`
}

// PreemptionRow counts the tasks of one class that were preempted for another one.
type PreemptionRow struct {
	VictimClass    string `json:"class"`
	PreemptorClass string `json:"to_class"`
	Reason         string `json:"by"`
	Tasks          uint64 `json:"tasks"`
}

// listPreemptions lists at most limit decisions in force and as many counts.
func (oq *operatorQueries) listPreemptions(limit int) Preemptions {
	out := Preemptions{Decisions: []DecisionRow{}, Counts: []PreemptionRow{}}
	wall := oq.wallClock()
	for _, decision := range oq.preemptions.committer.InForce(wall) {
		if len(out.Decisions) == limit {
			break
		}
		row := DecisionRow{Preemptor: decision.Preemptor, Reason: decision.Reason.String(), RemainingS: roundedSeconds(decision.Until - wall),
			Machines: decision.ReservedMachines, PreemptedJobs: []string{}}
		for _, victim := range decision.Victims {
			row.PreemptedJobs = append(row.PreemptedJobs, victim.Job)
		}
		out.Decisions = append(out.Decisions, row)
	}
	oq.preemptions.committer.Counts().Each(func(pair preemption.Pair, tasks uint64) {
		if len(out.Counts) < limit {
			out.Counts = append(out.Counts, PreemptionRow{pair.Victim, pair.Preemptor, pair.Reason.String(), tasks})
		}
	})
	return out
}
