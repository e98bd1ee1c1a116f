package faulttest

import (
	"net/http"

	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// never is the time of what has not happened.
const never = -1

// jobOutcome is what became of a job, by the history. Times are in seconds since the run began, or
// never.
type jobOutcome struct {
	planned        *plannedJob
	submitted      float64
	accepted       float64
	started        float64 // when as many tasks as can run at a time had started
	done           float64
	startedTasks   map[int]bool
	doneTasks      map[int]bool
	replicaSeconds float64 // of all tasks together, on machines
	cancelled      bool
}

// outcomeRecorder follows the history of a run and keeps the outcome of each job.
type outcomeRecorder struct {
	scenario *Scenario
	from     emulator.Micros // when the run began
	outcomes map[string]*jobOutcome
	onSince  map[string]map[int]float64 // by job and task: the start of a task that is on a machine
}

// jobOutcomes reads the outcomes of all planned jobs from the history of a run, which began at from and
// ended so many seconds later.
func jobOutcomes(
	s *Scenario, jobs []plannedJob, events []invariants.Event, from emulator.Micros, end float64,
) map[string]*jobOutcome {
	rec := &outcomeRecorder{
		scenario: s,
		from:     from,
		outcomes: map[string]*jobOutcome{},
		onSince:  map[string]map[int]float64{},
	}
	for i := range jobs {
		rec.outcomes[jobs[i].job.ID] = &jobOutcome{
			planned:      &jobs[i],
			submitted:    never,
			accepted:     never,
			started:      never,
			done:         never,
			startedTasks: map[int]bool{},
			doneTasks:    map[int]bool{},
		}
	}
	for i := range events {
		rec.observe(&events[i])
	}
	rec.closeOpenTasks(end)
	return rec.outcomes
}

func (rec *outcomeRecorder) observe(e *invariants.Event) {
	o := rec.outcomes[e.Job]
	if o == nil {
		return
	}
	at := inSeconds(e.At - rec.from)
	switch e.Kind {
	case invariants.JobSubmitted:
		o.submitted = at
	case invariants.Answered:
		o.answered(e, at)
	case invariants.TaskStarted:
		rec.taskStarted(o, e, at)
	case invariants.TaskStopped:
		if since, ok := rec.onSince[e.Job][e.Task]; ok {
			o.replicaSeconds += at - since
			delete(rec.onSince[e.Job], e.Task)
		}
	case invariants.TaskDone:
		o.doneTasks[e.Task] = true
		if len(o.doneTasks) == o.planned.job.Tasks {
			o.done = at
		}
	}
}

func (o *jobOutcome) answered(e *invariants.Event, at float64) {
	if !isSuccess(e.Status) {
		return
	}
	if o.accepted < 0 {
		o.accepted = at
	}
	o.cancelled = o.cancelled || e.Said == wire.Cancelled
}

func (rec *outcomeRecorder) taskStarted(o *jobOutcome, e *invariants.Event, at float64) {
	o.startedTasks[e.Task] = true
	if o.started < 0 && len(o.startedTasks) >= rec.scenario.tasksToStart(o.planned) {
		o.started = at
	}
	if rec.onSince[e.Job] == nil {
		rec.onSince[e.Job] = map[int]float64{}
	}
	rec.onSince[e.Job][e.Task] = at
}

// closeOpenTasks counts the tasks that are still on machines up to the end of the run.
func (rec *outcomeRecorder) closeOpenTasks(end float64) {
	for id, tasks := range rec.onSince {
		for _, since := range tasks {
			rec.outcomes[id].replicaSeconds += end - since
		}
	}
}

// tasksToStart is how many tasks of a job must have started for it to count as started: all, or of
// an array or a service as many as the team's quota allows at a time.
func (s *Scenario) tasksToStart(p *plannedJob) int {
	n := p.job.Tasks
	if limit := s.Deploy.TeamGPUs; limit > 0 && p.job.GPUs > 0 && p.class.Shape != shapeGang {
		n = min(n, int(limit/p.job.GPUs))
	}
	return max(n, 1)
}

// isSuccess reports whether the status of an answer says that the request was accepted.
func isSuccess(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated
}
