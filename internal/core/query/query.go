// Package query defines the answers to operators' queries: the JSON bodies of the admin interface, and the gauges for
// the metrics. Times are in seconds unless a field's comment says otherwise. Package leader produces the answers.
package query

import (
	"coralhub/internal/core/slo"
	"coralhub/internal/history"
)

// Error is the body of the answer to a query that this node can't answer. It names the leader if that
// is another node.
type Error struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"`
}

// Estimates lists the estimates of run times by kind of job, and the slow machines.
type Estimates struct {
	Runs          uint64        `json:"runs"`           // runs observed by this leader since it was elected
	SuddenChanges int           `json:"sudden_changes"` // sudden changes of run times that the model has detected
	Kinds         []EstimateRow `json:"kinds"`
	More          bool          `json:"more"` // set if there are more kinds than are listed
	Machines      []SlowMachine `json:"slow_machines"`
}

// EstimateRow is an estimate in the form shown to operators, with times in seconds.
type EstimateRow struct {
	Class     string      `json:"class,omitempty"`
	Shape     string      `json:"shape,omitempty"`
	Image     string      `json:"image,omitempty"`
	Level     string      `json:"from"` // hierarchy level of the jobs from which it is derived
	Samples   float64     `json:"samples"`
	MedianS   float64     `json:"median_s"`
	Intervals [][]float64 `json:"intervals_s"` // low and high bounds for probabilities of 0.5, 0.8 and 0.95
	Coverage  []*float64  `json:"trust"`       // share of recent outcomes within each interval; null if not known
}

// SlowMachine is a machine on which runs take longer than elsewhere.
type SlowMachine struct {
	Machine  string  `json:"machine"`
	Slowdown float64 `json:"times"` // factor by which runs take longer than elsewhere
}

// JobOutlook is a forecast of the end of a job.
type JobOutlook struct {
	Job                 JobState     `json:"job"`
	Class               string       `json:"class,omitempty"`
	Estimate            *EstimateRow `json:"estimate,omitempty"` // of one task, or of a gang
	RemainingS          *float64     `json:"left_s,omitempty"`   // seconds until the job is done, dependencies included
	DueInS              *float64     `json:"due_in_s,omitempty"` // seconds until its deadline
	Verdict             string       `json:"deadline,omitempty"`
	DeadlineProbability *float64     `json:"chance,omitempty"`        // probability that it meets its deadline
	Overdue             []string     `json:"overdue_tasks,omitempty"` // tasks running longer than the widest interval
}

// JobState is the state of a job in the form shown to users.
type JobState struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`    // number of tasks
	Running int    `json:"running"` // number of tasks
}

// Runs is a page of runs that have ended.
type Runs struct {
	Next   uint64        `json:"next"`   // number of the run to continue from
	Missed uint64        `json:"missed"` // number of requested runs that are no longer kept
	Runs   []history.Run `json:"runs"`
}

// WaitReason explains why a job waits and which jobs are placed before it.
type WaitReason struct {
	Job             JobState `json:"job"`
	Reason          string   `json:"why"`
	Priority        string   `json:"priority,omitempty"`
	WithinGuarantee bool     `json:"within_guarantee"`
	Late            bool     `json:"late"` // it can no longer start in time
	// ClassShortOfCapacity is set if the job's class is short of capacity; see the section "When there is too little" of
	// the operators' manual, docs/operations.md.
	ClassShortOfCapacity bool     `json:"class_is_short"`
	Rank                 int      `json:"rank,omitempty"` // position in the queue, starting at 1; 0 if not in the queue
	QueueLength          int      `json:"queue"`          // number of jobs in the queue
	Ahead                []string `json:"before"`         // the jobs ranked before it, the nearest first
	ReservedMachines     []string `json:"machines_kept"`  // machines reserved for it while its victims end
	PreemptedJobs        []string `json:"yield"`          // its victims according to the decisions in force
}

// UsageRow is a usage account in the form shown to operators. Each amount is in seconds of a resource, or of a task.
type UsageRow struct {
	Team                string  `json:"team"`
	Class               string  `json:"class"`
	Kind                string  `json:"kind"` // KindBatch or KindService
	GPUSeconds          float64 `json:"gpu_s"`
	CPUSeconds          float64 `json:"cpu_s"`
	MemoryGBSeconds     float64 `json:"gb_s"`
	TaskSeconds         float64 `json:"task_s"`
	SpotTaskSeconds     float64 `json:"cheap_task_s"`
	RepeatedTaskSeconds float64 `json:"repeated_task_s"` // part of the task seconds whose work was lost
}

// Kinds of usage accounts.
const (
	KindBatch   = "batch"
	KindService = "service"
)

// Preemptions lists which jobs are preempted for which others.
type Preemptions struct {
	Decisions []DecisionRow   `json:"decisions"` // in force
	Counts    []PreemptionRow `json:"yielded"`   // preempted tasks since the cluster was first started
}

// DecisionRow is a preemption decision in force.
type DecisionRow struct {
	Preemptor     string   `json:"winner"`
	Reason        string   `json:"by"`
	RemainingS    float64  `json:"for_s"`    // seconds until it expires
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

// Gauges are a node's current counts for the metrics, and some totals since its process started.
type Gauges struct {
	Leading         bool
	Records         int            // number of known jobs, including finished ones
	Unfinished      int            // number of jobs that are unfinished, or finished but not yet archived
	Waiting         map[string]int // jobs that lack placements, by class; set on the leader only
	Machines        map[string]int // by state; set on the leader only
	Placements      int            // number of open placements
	InFlightChanges int            // number of changes of jobs in flight
	Failovers       uint64         // number of times this node was elected
	Statistics      CycleStatistics
	EstimateRuns    uint64 // number of runs observed by the model of run times; set on the leader only
	ExitedAttempts  int    // number of exited attempts that workers still report; set on the leader only
	TokensRaised    int    // number of times that this process raised the fencing token of a single worker

	CompletedInTime, StartedInTime slo.Attainment // set on the leader only
	Usage                          []UsageRow     // set on the leader only
}

// CycleStatistics counts the scheduling cycles of this process and the machines and jobs that they have
// examined, for tests and the debug log.
type CycleStatistics struct{ Cycles, Machines, Jobs int }
