package leader

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// cachedJobState is what the snapshot holds about one job.
type cachedJobState struct {
	stale     bool         // to be updated by the next cycle
	team      string       // team to whose usage the job is added; empty if to none
	allocated queue.Amount // what the job adds to the team's usage
	queueTeam string       // team to whose queue the job was last added
	queued    queue.QueuedJob
}

// markJobStale marks a job to be updated by the next cycle.
func (ss *clusterSnapshot) markJobStale(j *Job) {
	if ss.ready && !j.stale {
		j.stale = true
		ss.staleJobs = append(ss.staleJobs, j)
	}
}

// setPlan replaces the planned placements of a job. The new ones count as placed from now on.
func (ss *clusterSnapshot) setPlan(j *Job, plan []job.Placement) {
	if len(j.plan) == 0 && len(plan) == 0 {
		return
	}
	for _, p := range j.plan {
		ss.countPlanned(j, p.Machine, -1)
	}
	j.plan = plan
	for _, p := range plan {
		ss.countPlanned(j, p.Machine, 1)
	}
	ss.markJobStale(j)
}

// addPlan plans one more placement of a job.
func (ss *clusterSnapshot) addPlan(j *Job, p job.Placement) {
	j.plan = append(j.plan, p)
	ss.countPlanned(j, p.Machine, 1)
	ss.markJobStale(j)
}

// countPlanned adds n to the planned tasks of a job on a machine.
func (ss *clusterSnapshot) countPlanned(j *Job, machine string, n int) {
	on := ss.planned[machine]
	if on == nil {
		on = map[*Job]int{}
		ss.planned[machine] = on
	}
	if on[j] += n; on[j] <= 0 {
		delete(on, j)
	}
	if len(on) == 0 {
		delete(ss.planned, machine)
	}
	if m := ss.reconciler.Registry().Get(machine); m != nil {
		ss.markMachineStale(m)
	}
}

// refreshJob recomputes what a job adds to its team's usage, its position in the team's queue and
// whether it lacks placements.
func (ss *clusterSnapshot) refreshJob(j *Job) {
	j.stale = false
	spec := j.Record.Spec
	allocated, team := queue.Amount{}, ""
	if spec != nil && j.unfinished {
		team = spec.Team
		allocated = queue.Amount{}.Plus(taskAmount(spec), j.OpenTasks+len(j.plan))
	}
	if j.allocated != allocated || j.team != team {
		if j.team != "" {
			ss.used[j.team] = ss.used[j.team].Plus(j.allocated, -1)
		}
		if team != "" {
			ss.used[team] = ss.used[team].Plus(allocated, 1)
		}
		j.allocated = allocated
		j.team = team
	}
	ss.refreshTeamQueue(j)
	if spec != nil && j.unfinished && ss.lacksPlacements(j) {
		ss.lackingPlacements[j] = true
	} else {
		delete(ss.lackingPlacements, j)
	}
}

// lacksPlacements reports whether an unfinished job has tasks that are to be placed.
func (ss *clusterSnapshot) lacksPlacements(j *Job) bool {
	spec := j.Record.Spec
	runnable := !j.Blocked() && !j.Record.Final() && !j.Record.CancelRequested
	return runnable && j.DoneTasks+j.OpenTasks < spec.Tasks && ss.teams[spec.Team] != nil
}

// refreshTeamQueue updates a job's position in its team's queue, which is the order in which the
// team's guarantee is allotted.
func (ss *clusterSnapshot) refreshTeamQueue(j *Job) {
	spec := j.Record.Spec
	if spec == nil { // a job without a spec is removed from its team's queue, if it is still there
		if teamQueue := ss.teamQueues[j.queueTeam]; teamQueue != nil {
			teamQueue.Remove(&j.queued)
		}
		return
	}
	team := ss.teams[spec.Team]
	if team == nil || !queue.HasGuarantee(team) {
		return
	}
	teamQueue := ss.teamQueues[spec.Team]
	if teamQueue == nil {
		teamQueue = queue.NewTeamQueue(team)
		ss.teamQueues[spec.Team] = teamQueue
	}
	if !j.unfinished || j.Record.Final() || j.Blocked() {
		teamQueue.Remove(&j.queued)
		return
	}
	j.queueTeam = spec.Team
	j.queuedLast = j.queuedLast && !j.hasStarted()
	if position := j.queuePosition(); j.queued.Created != position {
		teamQueue.Remove(&j.queued)
		j.queued.Created = position
	}
	j.queued.ID = j.ID
	teamQueue.Update(&j.queued, queue.Amount{}.Plus(taskAmount(spec), spec.Tasks-j.DoneTasks))
}

// withinGuarantee reports whether a job fits into its team's guarantee together with the team's
// earlier unfinished jobs, as of the last cycle.
func (ss *clusterSnapshot) withinGuarantee(j *Job) bool {
	team := ss.teams[j.Record.Spec.Team]
	if team == nil || j.Record.Final() || j.Blocked() {
		return false
	}
	if j.queuedLast {
		return ss.startOrder.mayClaimGuarantee(j, ss.used)
	}
	return !queue.HasGuarantee(team) || j.queued.WithinGuarantee
}

// queuePosition returns the sort key of a job in its team's queue: its creation time, with an
// offset if the job is queued last.
func (j *Job) queuePosition() Micros {
	if j.queuedLast {
		return j.sortTime + queueLastOffset
	}
	return j.sortTime
}

// taskResources returns the resources that one task of a job needs on a machine.
func taskResources(s *wire.Job) zone.Resources {
	return zone.Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}

// startAmount returns what a job needs to start, as counted against its team's limit and guarantee:
// the amount of one task, or of a whole gang.
func startAmount(s *wire.Job) queue.Amount {
	if s.Shape == wire.Gang {
		return queue.Amount{}.Plus(taskAmount(s), s.Tasks)
	}
	return taskAmount(s)
}

// taskAmount returns what one task of a job counts against its team's limit and guarantee.
func taskAmount(s *wire.Job) queue.Amount { return queue.NewAmount(s.CPUs, s.GPUs) }
