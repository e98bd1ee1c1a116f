package scenario

import (
	"fmt"

	"coralhub/internal/core/job"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// waitingSince notes since when jobs wait though there is room for them. It is reckoned from the records
// and the machines alone, with no question to any node: no node's own opinion of a machine counts.
type waitingSince map[string]emulator.Micros

// maxIdleWait is how long that may last once all troubles are over.
const maxIdleWait = 90 * emulator.Second

// check looks at all jobs, and returns those that have waited too long.
func (w waitingSince) check(s *Sim) (wrong []string) {
	open := s.recordedJobs()
	free := s.freeGPUs(open)
	for _, id := range s.jobIDs() {
		if !s.couldStart(id, open, free) {
			delete(w, id)
			continue
		}
		if w[id] == 0 {
			w[id] = s.now
		}
		if s.now-w[id] > maxIdleWait {
			wrong = append(wrong, fmt.Sprintf("idle_room %s (%s, %d tasks) waits while there is room", id, s.env.Jobs[id].Shape, s.env.Jobs[id].Tasks))
		}
	}
	return wrong
}

// recordedJob is what the records say of a job.
type recordedJob struct {
	accepted, ended bool
	placements      []job.Placement
}

// recordedJobs reads all records as they are committed.
func (s *Sim) recordedJobs() map[string]*recordedJob {
	out := map[string]*recordedJob{}
	for _, it := range s.state.List(job.KeyRoot) {
		id, n, ok := job.ParseKey(it.Key)
		if !ok {
			continue
		}
		if out[id] == nil {
			out[id] = &recordedJob{}
		}
		var part job.Shard
		if n == 0 {
			var rec job.Record
			if job.DecodeRecord(it.Value, &rec) != nil {
				continue
			}
			out[id].accepted, out[id].ended = true, rec.Final() || rec.CancelRequested
			part = rec.Shard
		} else if job.DecodeShard(it.Value, &part) != nil {
			continue
		}
		out[id].placements = append(out[id].placements, part.Open...)
	}
	return out
}

// freeGPUs is what each machine that is up has left beside all that is open there and all that is on it.
func (s *Sim) freeGPUs(open map[string]*recordedJob) map[string]float64 {
	free := map[string]float64{}
	for _, name := range s.env.Names() {
		if m := s.env.Machines[name]; s.now >= m.Up && s.env.Fails[name] == 0 {
			free[name] = s.env.Types[0].GPUs
		}
	}
	for id, o := range open {
		if j := s.env.Jobs[id]; j != nil {
			for _, p := range o.placements {
				free[p.Machine] -= j.GPUs
			}
		}
	}
	return free
}

// couldStart tells whether more of a job could start: one task of an array or a service, all of a gang that has no
// place. What has places already and is bound by them is left out.
func (s *Sim) couldStart(id string, open map[string]*recordedJob, free map[string]float64) bool {
	j, o := s.env.Jobs[id], open[id]
	if o == nil || !o.accepted || o.ended || s.env.Done(id) {
		return false
	}
	has := max(len(o.placements), len(s.env.On(id, true)))
	if has > 0 && (j.Shape == wire.Gang || j.OneZone || j.Spread || s.env.DoneTasks(id)+has >= j.Tasks) {
		return false
	}
	for _, need := range j.Needs {
		if !s.env.Done(need) {
			return false
		}
	}
	used := 0.0
	for other, oo := range open {
		if oj := s.env.Jobs[other]; oj != nil && oj.Team == j.Team {
			used += oj.GPUs * float64(max(len(oo.placements), len(s.env.On(other, true))))
		}
	}
	tasks := 1
	if j.Shape == wire.Gang {
		tasks = j.Tasks
	}
	if used+j.GPUs*float64(tasks) > s.teamLimits[j.Team] {
		return false
	}
	fits := map[string]int{} // how many tasks have room, by zone
	for name, f := range free {
		m := s.env.Machines[name]
		if m == nil || j.Zone != "" && j.Zone != m.Zone || m.Spot && !j.Spot {
			continue
		}
		fits[m.Zone] += max(0, int(f/j.GPUs))
	}
	total := 0
	for _, n := range fits {
		if j.OneZone {
			total = max(total, n)
			continue
		}
		if j.Spread {
			n = min(n, (j.Tasks+1)/2)
		}
		total += n
	}
	return total >= tasks
}
