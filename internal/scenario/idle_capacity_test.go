package scenario

import (
	"fmt"

	"coralhub/internal/core/job"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// idle notes since when jobs wait though there is room for them. It is reckoned from the records
// and the machines alone, with no question to any node: no node's own opinion of a machine counts.
type idle map[string]emulator.Micros

// idleLimit is how long that may last once all troubles are over.
const idleLimit = 90 * emulator.Second

// look looks at all jobs, and returns those that have waited too long.
func (w idle) look(s *Sim) (wrong []string) {
	open := s.openByRecords()
	free := s.freeRoom(open)
	for _, id := range s.jobIDs() {
		if !s.couldStart(id, open, free) {
			delete(w, id)
			continue
		}
		if w[id] == 0 {
			w[id] = s.now
		}
		if s.now-w[id] > idleLimit {
			wrong = append(wrong, fmt.Sprintf("idle_room %s (%s, %d tasks) waits while there is room", id, s.world.Jobs[id].Shape, s.world.Jobs[id].Tasks))
		}
	}
	return wrong
}

// openJob is what the records say of a job.
type openJob struct {
	known, over bool
	on          []job.Placement
}

// openByRecords reads all records as they are committed.
func (s *Sim) openByRecords() map[string]*openJob {
	out := map[string]*openJob{}
	for _, it := range s.state.List(job.KeyRoot) {
		id, n, ok := job.ParseKey(it.Key)
		if !ok {
			continue
		}
		if out[id] == nil {
			out[id] = &openJob{}
		}
		var part job.Shard
		if n == 0 {
			var rec job.Record
			if job.DecodeRecord(it.Value, &rec) != nil {
				continue
			}
			out[id].known, out[id].over = true, rec.Final() || rec.CancelRequested
			part = rec.Shard
		} else if job.DecodeShard(it.Value, &part) != nil {
			continue
		}
		out[id].on = append(out[id].on, part.Open...)
	}
	return out
}

// freeRoom is what each machine that is up has left beside all that is open there and all that is on it.
func (s *Sim) freeRoom(open map[string]*openJob) map[string]float64 {
	free := map[string]float64{}
	for _, name := range s.world.Names() {
		if m := s.world.Machines[name]; s.now >= m.Up && s.world.Fails[name] == 0 {
			free[name] = s.world.Types[0].GPUs
		}
	}
	for id, o := range open {
		if j := s.world.Jobs[id]; j != nil {
			for _, p := range o.on {
				free[p.Machine] -= j.GPUs
			}
		}
	}
	return free
}

// couldStart tells whether more of a job could start: one task of an array or a service, all of a gang that has no
// place. What has places already and is bound by them is left out.
func (s *Sim) couldStart(id string, open map[string]*openJob, free map[string]float64) bool {
	j, o := s.world.Jobs[id], open[id]
	if o == nil || !o.known || o.over || s.world.Done(id) {
		return false
	}
	has := max(len(o.on), len(s.world.On(id, true)))
	if has > 0 && (j.Shape == wire.Gang || j.OneZone || j.Spread || s.world.DoneTasks(id)+has >= j.Tasks) {
		return false
	}
	for _, need := range j.Needs {
		if !s.world.Done(need) {
			return false
		}
	}
	used := 0.0
	for other, oo := range open {
		if oj := s.world.Jobs[other]; oj != nil && oj.Team == j.Team {
			used += oj.GPUs * float64(max(len(oo.on), len(s.world.On(other, true))))
		}
	}
	tasks := 1
	if j.Shape == wire.Gang {
		tasks = j.Tasks
	}
	if used+j.GPUs*float64(tasks) > s.limits[j.Team] {
		return false
	}
	fits := map[string]int{} // how many tasks have room, by zone
	for name, f := range free {
		m := s.world.Machines[name]
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
