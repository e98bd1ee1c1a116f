// Package invariants checks a history of what users, workers and the cloud saw against the rules of the
// protocol. It knows nothing of how the service works: every violation follows from the history alone.
package invariants

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
)

// placement is an attempt of a task on a machine.
type placement struct {
	task    int
	attempt uint64
	machine string
}

// job is what the history says of a job so far.
type job struct {
	spec            *Spec // nil if it was not submitted
	cancelRequested bool
	accepted        bool
	final           string // the final state that a user was answered; "": none
	cancelledAt     Micros // when a user was first answered that it is cancelled; 0: never
	done            map[int]bool
	placements      []placement
	failingSince    Micros // since when every poll fails; 0: the last one was answered
	orphanReported  bool
}

// checker goes through a history and collects the violations.
type checker struct {
	rules         Rules
	jobs          map[string]*job
	machines      map[string]*Host                // rented ones
	used          map[string]Limit                // by team
	started       bool                            // whether any task has
	lastPoll      Micros                          // the last poll that was answered
	byMachine     map[string]map[placement]string // the placements on a machine, and their jobs
	cancelPending map[string]*job                 // cancelled jobs with tasks on machines
	violations    []Violation
}

// Check returns the violations of the rules in a history, in the order of time. The end of the history
// is the last time that is checked.
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
		c.report(ruleNothingRan, sorted[len(sorted)-1].At, "no task was started")
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Detail, b.Detail))
	})
	return c.violations
}

func (c *checker) report(rule string, at Micros, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// job returns what is known of a job, which may be nothing yet.
func (c *checker) job(id string) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{done: map[int]bool{}}
		c.jobs[id] = j
	}
	return j
}

// apply checks an event against the history before it and adds it.
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
	case MachineGone:
		for p, id := range c.byMachine[e.Machine] {
			c.taskStopped(id, p)
		}
		delete(c.machines, e.Machine)
	}
}

// checkAnswer checks an answer against the answers before and the tasks so far.
func (c *checker) checkAnswer(e *Event) {
	j := c.jobs[e.Job]
	if j == nil || j.spec == nil {
		if e.Status == http.StatusOK && e.Via != BySubmit {
			c.report(ruleInvented, e.At, "%s is called %s and was never submitted", e.Job, e.Said)
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
	if j.final != "" && e.Said != j.final {
		c.report(ruleWentBack, e.At, "%s was called %s and is now %s", e.Job, j.final, e.Said)
	}
	switch e.Said {
	case saidDone:
		c.checkSaidDone(e, j)
	case saidCancelled:
		c.checkSaidCancelled(e, j)
	case saidQueued, saidRunning:
		c.checkOrphaned(e, j)
	}
}

// checkStillKnown checks that an accepted job is not refused or unknown later.
func (c *checker) checkStillKnown(e *Event) {
	switch e.Status {
	case http.StatusNotFound:
		if e.Via != BySubmit {
			c.report(ruleForgotten, e.At, "%s was accepted and gets 404", e.Job)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if e.Via == BySubmit {
			c.report(ruleForgotten, e.At, "%s was accepted and its repetition gets %d", e.Job, e.Status)
		}
	}
}

// checkSaidDone checks that all tasks of a job that is called done have completed.
func (c *checker) checkSaidDone(e *Event, j *job) {
	if len(j.done) < j.spec.Tasks {
		c.report(ruleNotDone, e.At, "%s is called done with %d of %d tasks", e.Job, len(j.done), j.spec.Tasks)
	}
	j.final = saidDone
}

// checkSaidCancelled checks that the cancellation was requested, and starts the time within which the
// job's tasks must be gone.
func (c *checker) checkSaidCancelled(e *Event, j *job) {
	if !c.mayBeCancelled(e.Job, map[string]bool{}) {
		c.report(ruleWentBack, e.At, "%s is called cancelled and nobody has asked for it", e.Job)
	}
	j.final = saidCancelled
	if j.cancelledAt != 0 {
		return
	}
	j.cancelledAt = e.At
	if len(j.placements) > 0 {
		c.cancelPending[e.Job] = j
	}
}

// checkOrphaned checks that a job which goes on depends on no job that was cancelled before.
func (c *checker) checkOrphaned(e *Event, j *job) {
	at := c.dependencyCancelledAt(e.Job, map[string]bool{})
	if at != 0 && e.At-at > c.rules.CancelIn && !j.orphanReported {
		j.orphanReported = true
		c.report(ruleOrphaned, e.At, "%s is called %s, and a job before it was cancelled at %.3f s", e.Job, e.Said, seconds(at))
	}
}

// checkPoll finds jobs of which every poll fails for too long: at all once the faults are over, or
// while polls for others are answered. A job is reported again after the same time.
func (c *checker) checkPoll(e *Event, j *job, success bool) {
	if success || e.Status == http.StatusNotFound {
		j.failingSince = 0
		c.lastPoll = e.At
		return
	}
	if j.failingSince == 0 {
		j.failingSince = e.At
	}
	if !j.accepted {
		return
	}
	settledSince := max(j.failingSince, c.rules.Settled)
	if c.rules.Unanswered != 0 && e.At-settledSince >= c.rules.Unanswered {
		c.report(ruleForgotten, e.At, "no question about %s has been answered since %.3f s, with all troubles over", e.Job, seconds(settledSince))
		j.failingSince = e.At
		return
	}
	othersAnswered := c.lastPoll >= j.failingSince
	if c.rules.Silence != 0 && e.At-j.failingSince >= c.rules.Silence && othersAnswered {
		c.report(ruleForgotten, e.At, "every poll for %s has failed since %.3f s while others were answered", e.Job, seconds(j.failingSince))
		j.failingSince = e.At
	}
}

// mayBeCancelled reports whether a user requested the cancellation of a job or of one that it depends
// on, directly or not. seen holds the jobs that were examined before.
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

// dependencyCancelledAt is when a user was first answered that a job which this one depends on,
// directly or not, is cancelled; 0: never. seen holds the jobs that were examined before.
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
