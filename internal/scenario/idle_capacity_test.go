package scenario

import (
	"fmt"

	"coralhub/internal/core/job"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// waitingSince is the time since which jobs wait though there is free capacity for them, by job. It is
// computed from the stored records and the machines alone, not from the state of nodes.
type waitingSince map[string]emulator.Micros

// maxIdleWait is how long a job may wait while there is free capacity for it, once all faults have
// ended.
const maxIdleWait = 90 * emulator.Second

// check updates all jobs and returns a problem for each that has waited longer than maxIdleWait.
func (w waitingSince) check(s *Sim) (problems []string) {
	recorded := s.recordedJobs()
	free := s.freeGPUs(recorded)
	for _, id := range s.jobIDs() {
		if !s.couldStart(id, recorded, free) {
			delete(w, id)
			continue
		}
		if w[id] == 0 {
			w[id] = s.now
		}
		if s.now-w[id] > maxIdleWait {
			problems = append(problems, fmt.Sprintf("idle_room %s (%s, %d tasks) waits while there is free capacity", id,
				s.env.Jobs[id].Shape, s.env.Jobs[id].Tasks))
		}
	}
	return problems
}

// recordedJob is the state of a job according to its stored record and shards.
type recordedJob struct {
	accepted, ended bool
	placements      []job.Placement
}

// recordedJobs reads all stored records and shards, and returns the jobs by ID.
func (s *Sim) recordedJobs() map[string]*recordedJob {
	jobs := map[string]*recordedJob{}
	for _, it := range s.state.List(job.KeyRoot) {
		id, n, ok := job.ParseKey(it.Key)
		if !ok {
			continue
		}
		if jobs[id] == nil {
			jobs[id] = &recordedJob{}
		}
		var shard job.Shard
		if n == 0 {
			var rec job.Record
			if job.DecodeRecord(it.Value, &rec) != nil {
				continue
			}
			jobs[id].accepted = true
			jobs[id].ended = rec.Final() || rec.CancelRequested
			shard = rec.Shard
		} else if job.DecodeShard(it.Value, &shard) != nil {
			continue
		}
		jobs[id].placements = append(jobs[id].placements, shard.Open...)
	}
	return jobs
}

// freeGPUs returns the GPUs of each machine that is up and on which tasks don't fail, less those of the
// recorded placements.
func (s *Sim) freeGPUs(recorded map[string]*recordedJob) map[string]float64 {
	free := map[string]float64{}
	for _, name := range s.env.MachineNames() {
		if m := s.env.Machines[name]; s.now >= m.StartsAt && s.env.FailingSince[name] == 0 {
			free[name] = s.env.Types[0].GPUs
		}
	}
	for id, r := range recorded {
		if j := s.env.Jobs[id]; j != nil {
			for _, p := range r.placements {
				free[p.Machine] -= j.GPUs
			}
		}
	}
	return free
}

// couldStart reports whether there is free capacity for more of a job: for one more task of an array or
// service, or for all tasks of a gang without placements. It returns false if the existing placements
// of a job constrain further ones.
func (s *Sim) couldStart(id string, recorded map[string]*recordedJob, free map[string]float64) bool {
	j, r := s.env.Jobs[id], recorded[id]
	if r == nil || !r.accepted || r.ended || s.env.Done(id) {
		return false
	}
	placed := s.placedTasks(id, r)
	constrained := j.Shape == wire.Gang || j.OneZone || j.Spread
	if placed > 0 && (constrained || s.env.DoneTasks(id)+placed >= j.Tasks) {
		return false
	}
	for _, dependency := range j.Dependencies {
		if !s.env.Done(dependency) {
			return false
		}
	}
	tasks := 1
	if j.Shape == wire.Gang {
		tasks = j.Tasks
	}
	if s.usedByTeam(j.Team, recorded)+j.GPUs*float64(tasks) > s.teamLimits[j.Team] {
		return false
	}
	return s.fittingTasks(j, free) >= tasks
}

// placedTasks returns the number of a job's tasks with a placement or on a machine.
func (s *Sim) placedTasks(id string, r *recordedJob) int {
	return max(len(r.placements), len(s.env.TasksOf(id, true)))
}

// usedByTeam returns the number of GPUs of a team's placed tasks.
func (s *Sim) usedByTeam(team string, recorded map[string]*recordedJob) float64 {
	used := 0.0
	for id, r := range recorded {
		if j := s.env.Jobs[id]; j != nil && j.Team == team {
			used += j.GPUs * float64(s.placedTasks(id, r))
		}
	}
	return used
}

// fittingTasks returns the number of tasks of a job for which there are free GPUs.
func (s *Sim) fittingTasks(j *emulator.SubmittedJob, free map[string]float64) int {
	byZone := map[string]int{}
	for name, gpus := range free {
		m := s.env.Machines[name]
		if m == nil || j.Zone != "" && j.Zone != m.Zone || m.Spot && !j.Spot {
			continue
		}
		byZone[m.Zone] += max(0, int(gpus/j.GPUs))
	}
	total := 0
	for _, n := range byZone {
		if j.OneZone {
			total = max(total, n)
			continue
		}
		if j.Spread {
			n = min(n, (j.Tasks+1)/2)
		}
		total += n
	}
	return total
}
