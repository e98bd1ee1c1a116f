package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/wire"
)

// A preemption decision is committed before any task is stopped for it (package preemption). If the
// leader fails in between, its successor reads which machines are reserved for which job: they stay
// reserved for the preemptor, and no second set of victims is stopped for it. Decisions of several
// scheduling cycles share a change. Ending a decision needs no change: it ends when its preemptor
// needs no more placements, or when its time is over.

const (
	// commitAllowance is added to the time for which machines are reserved, to cover the commit.
	commitAllowance = 2 * config.Second
	// minResumedReservation is the minimum time for which a successor reserves the machines of a
	// decision that it resumes.
	minResumedReservation = 6 * config.Second
	// resumeGrace is how long after the end of a decision a successor still resumes it: while there
	// was no leader, the machines that it reserved could not be used.
	resumeGrace = 15 * config.Second
	// maxReservation bounds the time for which a stored decision reserves machines, so that a successor
	// whose clock is up to 5 s behind takes it for one in force.
	maxReservation = preemption.MaxDuration - resumeGrace - 5*config.Second
)

// preemptionState is the reservation for a job for which others are preempted.
type preemptionState struct {
	preemptingUntil  Micros          // end of the reservation
	reservedMachines map[string]bool // machines that its victims free
}

// preemptionDecisions makes preemption decisions, has them committed and carries them out.
type preemptionDecisions struct {
	*environment
	scheduler *scheduler
	committer *preemption.Committer

	pendingVictims map[string]map[int]bool // by job and task: victims of decisions that are not committed yet
	resumed        bool                    // the decisions of earlier leaders were resumed
}

// reset discards the decisions of a term that is over. Those that are known to be committed are
// kept.
func (pd *preemptionDecisions) reset() {
	pd.committer.Reset()
	pd.pendingVictims = map[string]map[int]bool{}
	pd.resumed = false
}

// WallClock returns the time of day, or 0 if it is not known yet.
func (pd *preemptionDecisions) WallClock() Micros { return pd.wallClock() }

// IsNeeded reports whether the preemptor of a decision still needs placements.
func (pd *preemptionDecisions) IsNeeded(d *preemption.Decision) bool {
	j := pd.jobs[d.Preemptor]
	return j != nil && j.needsPlacements()
}

// isPendingVictim reports whether a task is a victim of a decision that isn't committed yet.
func (pd *preemptionDecisions) isPendingVictim(id string, task int) bool {
	tasks := pd.pendingVictims[id]
	return tasks[task] || tasks[preemption.WholeGang]
}

func (pd *preemptionDecisions) addPendingVictim(v *preemption.Victim) {
	if pd.pendingVictims[v.Job] == nil {
		pd.pendingVictims[v.Job] = map[int]bool{}
	}
	pd.pendingVictims[v.Job][v.Task] = true
}

func (pd *preemptionDecisions) removePendingVictims(decisions []preemption.Decision) {
	for i := range decisions {
		for _, v := range decisions[i].Victims {
			delete(pd.pendingVictims[v.Job], v.Task)
			if len(pd.pendingVictims[v.Job]) == 0 {
				delete(pd.pendingVictims, v.Job)
			}
		}
	}
}

// addDecision reserves machines for a job, for the time wait, and has victims stopped to free them:
// once the decision is committed or, if decisions can't be stored, at once.
func (pd *preemptionDecisions) addDecision(
	j *Job,
	why preemption.Reason,
	level int,
	machines []string,
	victims []preemption.Victim,
	wait Micros,
) {
	j.reservedMachines = make(map[string]bool, len(machines))
	for _, name := range machines {
		j.reservedMachines[name] = true
	}
	j.preemptingUntil = pd.outbox.Now() + wait
	decision := preemption.Decision{
		Preemptor:        j.ID,
		Reason:           why,
		Level:            level,
		ReservedMachines: machines,
		Victims:          victims,
	}
	if pd.encoding.Format < job.FormatPreemption || pd.wallClock() == 0 {
		pd.executeDecision(&decision)
		return
	}
	j.preemptingUntil += commitAllowance
	decision.Until = pd.wallClock() + min(wait+commitAllowance, maxReservation)
	for i := range victims {
		pd.addPendingVictim(&victims[i])
	}
	pd.committer.Add(decision)
}

// needsPlacements reports whether a job still lacks placements.
func (j *Job) needsPlacements() bool {
	if j.Record.Spec == nil || j.Record.Final() || j.Record.CancelRequested || j.DependencyCancelled() {
		return false
	}
	return j.DoneTasks+j.OpenTasks < j.Record.Spec.Tasks
}

// newVictim returns a task of a job as a victim, or the whole gang if the job is one.
func (pd *preemptionDecisions) newVictim(j *Job, task int) preemption.Victim {
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

// DecisionsCommitted carries out decisions that are committed, unless their preemptors need no more
// placements.
func (pd *preemptionDecisions) DecisionsCommitted(decisions []preemption.Decision) {
	pd.removePendingVictims(decisions)
	for i := range decisions {
		if pd.IsNeeded(&decisions[i]) {
			pd.executeDecision(&decisions[i])
		}
	}
}

// DecisionsDropped cancels the reservations of decisions that are not committed and never will be.
func (pd *preemptionDecisions) DecisionsDropped(decisions []preemption.Decision) {
	pd.removePendingVictims(decisions)
	for i := range decisions {
		if j := pd.jobs[decisions[i].Preemptor]; j != nil {
			j.preemptingUntil = 0
			j.reservedMachines = nil
		}
	}
	pd.scheduler.requestCycle()
}

// executeDecision stops those victims of a decision whose attempts are still placed.
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
		pd.outbox.Debug("preempting",
			"job", victim.ID, "class", pair.Victim, "team", victim.Record.Spec.Team, "tasks", len(attempts),
			"to", d.Preemptor, "class_to", pair.Preemptor, "team_to", preemptor.Record.Spec.Team,
			"by", d.Reason.String(), "level", d.Level)
	}
}

// runningAttempts returns the open attempts of a job that a victim describes and that are not being
// terminated.
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

// resumeDecisions resumes the decisions of earlier leaders, once in a term.
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
		if j == nil || !j.needsPlacements() {
			continue
		}
		if j.reservedMachines == nil {
			j.reservedMachines = map[string]bool{}
		}
		for _, name := range decisions[i].ReservedMachines {
			j.reservedMachines[name] = true
		}
		j.preemptingUntil = max(j.preemptingUntil, pd.outbox.Now()+max(decisions[i].Until-now, minResumedReservation))
		count++
		pd.executeDecision(&decisions[i])
	}
	if count > 0 {
		pd.outbox.Log("preemption decisions resumed", "count", count)
	}
}
