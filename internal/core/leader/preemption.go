package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/wire"
)

// Preemption is decided and committed before any task is stopped for it (package preemption). If the leader
// dies in the middle, its successor reads which machines are reserved for whom: they stay reserved for
// the preemptor, and no second set of victims is stopped for it. Decisions of several scheduling cycles
// share a change, and none is needed to end one: it is over when its preemptor wants
// no more placements, or its time is over.

const (
	// decisionSlack is added to the time that machines are reserved, for the commit.
	decisionSlack = 2 * config.Second
	// resumedReservation is the least time for which a successor reserves the machines of a decision that it resumes.
	resumedReservation = 6 * config.Second
	// resumeGrace is how long after the end of a decision a successor still resumes it: while there was
	// no leader nobody could use what it reserved.
	resumeGrace = 15 * config.Second
)

// preemptionState is what is reserved for a job for which others are preempted.
type preemptionState struct {
	preemptingUntil  Micros          // the reservation lasts until then
	reservedMachines map[string]bool // machines that its victims leave
}

// preemptionDecisions makes preemption decisions, has them committed and carries them out.
type preemptionDecisions struct {
	*environment
	scheduler *scheduler
	committer *preemption.Committer

	preempted map[string]map[int]bool // by job and task: victims of decisions that are not committed yet
	resumed   bool                    // the decisions of predecessors are resumed
}

// reset drops what was decided in a term that is over. What is committed is kept.
func (pd *preemptionDecisions) reset() {
	pd.committer.Reset()
	pd.preempted = map[string]map[int]bool{}
	pd.resumed = false
}

// WallClock returns the time of day; 0: not known yet.
func (pd *preemptionDecisions) WallClock() Micros { return pd.wallClock() }

// IsNeeded reports whether the preemptor of a decision still wants placements.
func (pd *preemptionDecisions) IsNeeded(d *preemption.Decision) bool {
	j := pd.jobs[d.Preemptor]
	return j != nil && j.wantsPlacements()
}

// isPreempted reports whether a task is a victim of a decision that isn't committed yet.
func (pd *preemptionDecisions) isPreempted(id string, task int) bool {
	tasks := pd.preempted[id]
	return tasks[task] || tasks[preemption.WholeGang]
}

func (pd *preemptionDecisions) mark(v *preemption.Victim) {
	if pd.preempted[v.Job] == nil {
		pd.preempted[v.Job] = map[int]bool{}
	}
	pd.preempted[v.Job][v.Task] = true
}

func (pd *preemptionDecisions) unmark(decisions []preemption.Decision) {
	for i := range decisions {
		for _, v := range decisions[i].Victims {
			delete(pd.preempted[v.Job], v.Task)
			if len(pd.preempted[v.Job]) == 0 {
				delete(pd.preempted, v.Job)
			}
		}
	}
}

// addDecision reserves machines for a job, for the time wait, and has victims stopped there. They are stopped once the
// decision is committed; where decisions can't be stored, at once.
func (pd *preemptionDecisions) addDecision(j *Job, why preemption.Reason, level int, machines []string, victims []preemption.Victim, wait Micros) {
	j.reservedMachines = make(map[string]bool, len(machines))
	for _, name := range machines {
		j.reservedMachines[name] = true
	}
	j.preemptingUntil = pd.outbox.Now() + wait
	decision := preemption.Decision{Preemptor: j.ID, Reason: why, Level: level, ReservedMachines: machines, Victims: victims}
	if pd.encoding.Format < job.FormatPreemption || pd.wallClock() == 0 {
		pd.executeDecision(&decision)
		return
	}
	j.preemptingUntil += decisionSlack
	decision.Until = pd.wallClock() + wait + decisionSlack
	for i := range victims {
		pd.mark(&victims[i])
	}
	pd.committer.Add(decision)
}

// wantsPlacements reports whether a job still lacks placements.
func (j *Job) wantsPlacements() bool {
	if j.Record.Spec == nil || j.Record.Final() || j.Record.CancelRequested || j.DependencyCancelled() {
		return false
	}
	return j.DoneTasks+j.OpenTasks < j.Record.Spec.Tasks
}

// victimOf describes a task that a job is to lose, or all tasks of a gang.
func (pd *preemptionDecisions) victimOf(j *Job, task int) preemption.Victim {
	v := preemption.Victim{Job: j.ID, Task: task}
	j.EachPlacement(func(p job.Placement) {
		if p.Task == task || j.Record.Spec.Shape == wire.Gang {
			v.Attempt = max(v.Attempt, p.Attempt)
		}
	})
	if j.Record.Spec.Shape == wire.Gang {
		v.Task = preemption.WholeGang
	}
	return v
}

// DecisionsCommitted carries out decisions that are committed, unless their preemptors want no more placements.
func (pd *preemptionDecisions) DecisionsCommitted(decisions []preemption.Decision) {
	pd.unmark(decisions)
	for i := range decisions {
		if pd.IsNeeded(&decisions[i]) {
			pd.executeDecision(&decisions[i])
		}
	}
}

// DecisionsDropped gives up decisions that are not committed and never will be.
func (pd *preemptionDecisions) DecisionsDropped(decisions []preemption.Decision) {
	pd.unmark(decisions)
	for i := range decisions {
		if j := pd.jobs[decisions[i].Preemptor]; j != nil {
			j.preemptingUntil = 0
			j.reservedMachines = nil
		}
	}
	pd.scheduler.requestCycle()
}

// executeDecision stops the victims of a decision, as far as they are still where they were.
func (pd *preemptionDecisions) executeDecision(d *preemption.Decision) {
	preemptor := pd.jobs[d.Preemptor]
	for i := range d.Victims {
		victim := pd.jobs[d.Victims[i].Job]
		if victim == nil || victim.Record.Spec == nil {
			continue
		}
		attempts := pd.runningAttempts(victim, &d.Victims[i])
		if len(attempts) == 0 {
			continue
		}
		pd.reconciler.Terminate(victim.Job, attempts, d.Reason.String()+" of "+d.Preemptor)
		pair := preemption.Pair{Preemptor: preemptor.Record.Spec.Class, Victim: victim.Record.Spec.Class, Reason: d.Reason}
		pd.committer.Counts().Add(pair, len(attempts))
		pd.outbox.Debug("preempting", "job", victim.ID, "class", pair.Victim, "team", victim.Record.Spec.Team, "tasks", len(attempts),
			"to", d.Preemptor, "class_to", pair.Preemptor, "team_to", preemptor.Record.Spec.Team, "by", d.Reason.String(), "level", d.Level)
	}
}

// runningAttempts returns the attempts of a job that a victim describes and that are not being terminated.
func (pd *preemptionDecisions) runningAttempts(j *Job, v *preemption.Victim) map[job.AttemptKey]bool {
	attempts := map[job.AttemptKey]bool{}
	j.EachPlacement(func(p job.Placement) {
		if p.Attempt != v.Attempt || p.Task != v.Task && v.Task != preemption.WholeGang {
			return
		}
		if key := p.AttemptKey(j.ID); !pd.reconciler.IsTerminating(key) {
			attempts[key] = true
		}
	})
	return attempts
}

// resumeDecisions resumes the decisions of predecessors, once in a term.
func (pd *preemptionDecisions) resumeDecisions() {
	if pd.resumed || pd.wallClock() == 0 {
		return
	}
	pd.resumed = true
	now := pd.wallClock()
	decisions := pd.committer.InForce(now - resumeGrace)
	count := 0
	for i := range decisions {
		j := pd.jobs[decisions[i].Preemptor]
		if j == nil || !j.wantsPlacements() {
			continue
		}
		if j.reservedMachines == nil {
			j.reservedMachines = map[string]bool{}
		}
		for _, name := range decisions[i].ReservedMachines {
			j.reservedMachines[name] = true
		}
		j.preemptingUntil = max(j.preemptingUntil, pd.outbox.Now()+max(decisions[i].Until-now, resumedReservation))
		count++
		pd.executeDecision(&decisions[i])
	}
	if count > 0 {
		pd.outbox.Log("preemption decisions resumed", "count", count)
	}
}
