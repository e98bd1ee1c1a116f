// Package invariants checks the history of events observed by users, workers and the cloud against the
// rules of the protocol. It does not depend on the implementation of the service: every violation follows
// from the history alone.
package invariants

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
)

// placement is an attempt to run a task on a machine.
type placement struct {
	task    int
	attempt uint64
	machine string
}

// job is the state of a job according to the events so far.
type job struct {
	spec            *Spec // nil if the job was not submitted
	cancelRequested bool
	accepted        bool
	finalState      string // the final state in an answer to a user; empty if there was none
	cancelledAt     Micros // time of the first answer that the job is cancelled; 0 if there was none
	done            map[int]bool
	placements      []placement
	failingSince    Micros // time since which all polls have failed; 0 if the last one was answered
	orphanReported  bool
}

// checker processes the events of a history in order and collects the violations.
type checker struct {
	rules            Rules
	jobs             map[string]*job
	machines         map[string]*Host                // rented machines, by name
	used             map[string]Limit                // resource usage by team
	started          bool                            // whether any task has started
	lastAnsweredPoll Micros                          // time of the last answered poll for any job
	byMachine        map[string]map[placement]string // job IDs by placement, by machine
	cancelPending    map[string]*job                 // cancelled jobs with tasks on machines, by job ID
	violations       []Violation
}

// Check returns the violations of the rules in a history, in order of time. Time limits are checked up to
// the last event.
func Check(rules Rules, events []Event) []Violation {
	c := &checker{
		rules:         rules,
		jobs:          map[string]*job{},
		machines:      map[string]*Host{},
		used:          map[string]Limit{},
		byMachine:     map[string]map[placement]string{},
		cancelPending: map[string]*job{},
	}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for i := range sorted {
		c.checkCancelDeadlines(sorted[i].At)
		c.apply(&sorted[i])
	}
	if !c.started && len(sorted) > 0 {
		c.report(ruleNoTaskStarted, sorted[len(sorted)-1].At, "no task started")
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Detail, b.Detail))
	})
	return c.violations
}

func (c *checker) report(rule string, at Micros, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// job returns the state of a job. It adds an empty one for a new ID.
func (c *checker) job(id string) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{done: map[int]bool{}}
		c.jobs[id] = j
	}
	return j
}

// apply checks an event against the preceding events and updates the state.
func (c *checker) apply(e *Event) {
	switch e.Kind {
	case JobSubmitted:
		if j := c.job(e.Job); j.spec == nil {
			j.spec = e.Spec
		}
	case CancelRequested:
		c.job(e.Job).cancelRequested = true
	case MachineAdded:
		c.machines[e.Machine] = e.Host
	case Answered:
		c.checkAnswer(e)
	case TaskStarted:
		c.taskStarted(e)
	case TaskStopped:
		c.taskStopped(e.Job, placement{e.Task, e.Attempt, e.Machine})
	case TaskDone:
		c.job(e.Job).done[e.Task] = true
	case MachineRemoved:
		for p, id := range c.byMachine[e.Machine] {
			c.taskStopped(id, p)
		}
		delete(c.machines, e.Machine)
	}
}

// checkAnswer checks an answer to a user against the preceding answers and task events.
func (c *checker) checkAnswer(e *Event) {
	j := c.jobs[e.Job]
	if j == nil || j.spec == nil {
		if e.Status == http.StatusOK && e.Via != BySubmit {
			c.report(ruleNeverSubmitted, e.At, "job %s: reported as %s but never submitted", e.Job, e.JobStatus)
		}
		return
	}
	success := e.Status == http.StatusOK || e.Status == http.StatusCreated
	if e.Via == ByPoll {
		c.checkPoll(e, j, success)
	}
	if j.accepted {
		c.checkStillKnown(e)
	}
	if !success {
		return
	}
	j.accepted = true
	if j.finalState != "" && e.JobStatus != j.finalState {
		c.report(ruleInvalidFinalState, e.At, "job %s: final state changed from %s to %s", e.Job, j.finalState, e.JobStatus)
	}
	switch e.JobStatus {
	case statusDone:
		c.checkReportedDone(e, j)
	case statusCancelled:
		c.checkReportedCancelled(e, j)
	case statusQueued, statusRunning:
		c.checkDependencies(e, j)
	}
}

// checkStillKnown checks that an accepted job is not reported as unknown, and that a repeated submission is
// not refused.
func (c *checker) checkStillKnown(e *Event) {
	switch e.Status {
	case http.StatusNotFound:
		if e.Via != BySubmit {
			c.report(ruleJobLost, e.At, "job %s: accepted, but a later request is answered with 404", e.Job)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if e.Via == BySubmit {
			c.report(ruleJobLost, e.At, "job %s: accepted, but a repeated submission is answered with %d", e.Job, e.Status)
		}
	}
}

// checkReportedDone checks that all tasks of a job that is reported as done have completed.
func (c *checker) checkReportedDone(e *Event, j *job) {
	if len(j.done) < j.spec.Tasks {
		c.report(ruleNotDone, e.At, "job %s: reported as done with %d of %d tasks completed",
			e.Job, len(j.done), j.spec.Tasks)
	}
	j.finalState = statusDone
}

// checkReportedCancelled checks that the cancellation was requested, and starts the time limit for stopping
// the tasks of the job.
func (c *checker) checkReportedCancelled(e *Event, j *job) {
	if !c.mayBeCancelled(e.Job, map[string]bool{}) {
		c.report(ruleInvalidFinalState, e.At, "job %s: reported as cancelled without a request to cancel", e.Job)
	}
	j.finalState = statusCancelled
	if j.cancelledAt != 0 {
		return
	}
	j.cancelledAt = e.At
	if len(j.placements) > 0 {
		c.cancelPending[e.Job] = j
	}
}

// checkDependencies checks that a job that is reported as queued or running depends on no job that was
// cancelled more than Rules.CancelTimeout before. Each job is reported once.
func (c *checker) checkDependencies(e *Event, j *job) {
	at := c.dependencyCancelledAt(e.Job, map[string]bool{})
	if at != 0 && e.At-at > c.rules.CancelTimeout && !j.orphanReported {
		j.orphanReported = true
		c.report(ruleOrphaned, e.At, "job %s: reported as %s, but a dependency was cancelled at %.3f s",
			e.Job, e.JobStatus, seconds(at))
	}
}

// checkPoll finds accepted jobs for which all polls have failed for too long: for
// Rules.MaxPollFailureAfterFaults after the end of the faults, or for Rules.MaxPollFailure while polls for
// other jobs were answered. If the polls keep failing, the job is reported again after the same time.
func (c *checker) checkPoll(e *Event, j *job, success bool) {
	if success || e.Status == http.StatusNotFound {
		j.failingSince = 0
		c.lastAnsweredPoll = e.At
		return
	}
	if j.failingSince == 0 {
		j.failingSince = e.At
	}
	if !j.accepted {
		return
	}
	failingAfterFaultsSince := max(j.failingSince, c.rules.FaultsEndedAt)
	if c.rules.MaxPollFailureAfterFaults != 0 && e.At-failingAfterFaultsSince >= c.rules.MaxPollFailureAfterFaults {
		c.report(ruleJobLost, e.At, "job %s: no poll answered since %.3f s, after the end of all faults",
			e.Job, seconds(failingAfterFaultsSince))
		j.failingSince = e.At
		return
	}
	othersAnswered := c.lastAnsweredPoll >= j.failingSince
	if c.rules.MaxPollFailure != 0 && e.At-j.failingSince >= c.rules.MaxPollFailure && othersAnswered {
		c.report(ruleJobLost, e.At, "job %s: all polls failed since %.3f s while others were answered",
			e.Job, seconds(j.failingSince))
		j.failingSince = e.At
	}
}

// mayBeCancelled reports whether a user requested the cancellation of a job or of one of its direct or
// transitive dependencies. seen holds the jobs already visited.
func (c *checker) mayBeCancelled(id string, seen map[string]bool) bool {
	j := c.jobs[id]
	if j == nil || seen[id] {
		return false
	}
	seen[id] = true
	if j.cancelRequested {
		return true
	}
	return j.spec != nil && slices.ContainsFunc(j.spec.Needs, func(n string) bool { return c.mayBeCancelled(n, seen) })
}

// dependencyCancelledAt returns the time of the first answer that a direct or transitive dependency of a
// job is cancelled, or 0 if there was none. seen holds the jobs already visited.
func (c *checker) dependencyCancelledAt(id string, seen map[string]bool) Micros {
	j := c.jobs[id]
	if j == nil || j.spec == nil || seen[id] {
		return 0
	}
	seen[id] = true
	first := Micros(0)
	for _, n := range j.spec.Needs {
		for _, at := range []Micros{c.dependencyCancelledAt(n, seen), c.job(n).cancelledAt} {
			if at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}
