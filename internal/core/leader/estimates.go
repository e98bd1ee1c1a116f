package leader

import (
	"maps"
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/completionlog"
	"coralhub/internal/core/job"
	"coralhub/internal/core/modelstore"
	"coralhub/internal/core/preemption"
	"coralhub/internal/estimate"
	"coralhub/internal/history"
	"coralhub/wire"
)

// The leader estimates run times from the runs that it observes (package estimate), and stores the
// model for its successors (package modelstore). Only the order of jobs and the choice of machines and
// victims depend on it: a successor that finds nothing stored starts with an empty model.

// runTimeEstimates is the leader's model of run times.
type runTimeEstimates struct {
	*environment
	commits       *jobCommitter
	completionLog *completionlog.Log
	diagnostics   *diagnostics

	store *modelstore.Store
	// The fields below are used only while this node leads.
	model *estimate.Model       // nil if estimates are disabled or this node doesn't lead
	waits map[string]*waitStats // by class: how long jobs wait for their first placement

	nextDeadlineIndex int           // index of the unfinished job whose deadline is assessed next
	recentRuns        []history.Run // ring buffer of the last maxRecentRuns runs
	runsRecorded      uint64        // number of runs recorded so far
}

// reset discards the model of this term. The stored model is kept for the next leader.
func (es *runTimeEstimates) reset() {
	es.store.Reset()
	es.model = nil
	es.waits = nil
	es.nextDeadlineIndex = 0
	es.recentRuns = nil
	es.runsRecorded = 0
}

// restoreEstimates restores the model that earlier leaders have stored, if estimates are enabled.
func (es *runTimeEstimates) restoreEstimates() {
	if !es.cfg.Settings.Estimates {
		return
	}
	settings := estimate.DefaultSettings()
	settings.MaxGroups = es.cfg.Settings.EstimateGroups
	es.model = es.store.Restore(settings)
	es.waits = map[string]*waitStats{}
	for _, j := range es.unfinished {
		j.placedByPredecessor = j.Record.LastAttempt > 0
	}
}

// writeEstimates writes a part of the model if that is due and no other changes are to be written.
func (es *runTimeEstimates) writeEstimates() {
	if es.model == nil || !es.store.WriteDue() {
		return
	}
	otherChanges := es.commits.inFlightChanges > 0 || es.completionLog.Pending() > 0 ||
		es.diagnostics.counters.deferred > 0
	if !otherChanges {
		es.store.Write(es.model)
	}
}

// maxWaitSamples is the number of samples beyond which each new one has the same weight.
const maxWaitSamples = 32

// waitStats is a moving average of the time that jobs wait for their first placement, in seconds.
type waitStats struct{ n, mean float64 }

// add adds the time that a job has waited.
func (ws *waitStats) add(d Micros) {
	ws.n = math.Min(ws.n+1, maxWaitSamples)
	ws.mean += (inSeconds(d) - ws.mean) / ws.n
}

// inSeconds converts a time or a duration to seconds.
func inSeconds(d Micros) float64 { return float64(d) / 1e6 }

// runHistory is what the leader has observed of a job's runs.
type runHistory struct {
	ownAttempts         map[int]uint64 // by task: attempt that this leader has placed, and whose start it has observed
	savedProgress       map[int]Micros // by task: saved progress
	observedGangAttempt uint64         // last attempt of the gang whose run was observed
	placedByPredecessor bool           // an earlier leader placed attempts, which may have made progress
	verdict             string         // last verdict on its deadline
}

// features returns the features from which the run time of a job's tasks is estimated. The machine
// is empty for tasks that are not placed.
func (es *runTimeEstimates) features(j *Job, machine string) estimate.Features {
	s := j.Record.Spec
	return estimate.Features{
		Image:        s.Image,
		Shape:        wire.ShapeName(s.Shape),
		Class:        s.Class,
		Team:         s.Team,
		UserEstimate: config.FromSeconds(s.EstimateS),
		Machine:      machine,
	}
}

// remainingTime estimates the remaining run time of a running task. It returns false if there is
// nothing to estimate from.
func (es *runTimeEstimates) remainingTime(j *Job, p *job.Placement) (estimate.RunTimeEstimate, bool) {
	if es.model == nil {
		return estimate.RunTimeEstimate{}, false
	}
	f := es.features(j, p.Machine)
	runTime := es.model.Estimate(&f)
	if runTime.Level == estimate.Unknown {
		return runTime, false
	}
	return runTime.Remaining(es.workedTime(j, p)), true
}

// workedTime returns how long a placed task, or its gang, has worked: the saved progress of earlier
// runs plus the time of this one.
func (es *runTimeEstimates) workedTime(j *Job, p *job.Placement) Micros {
	task := p.Task
	if j.Record.Spec.Shape == wire.Gang {
		task = preemption.WholeGang
	}
	worked := j.savedProgress[task]
	if startedAt, ok := j.startedAt[p.Task]; ok {
		worked += es.outbox.Now() - startedAt
	}
	return worked
}

// addSlowMachines returns the machines that a gang avoids, including those that are known to be
// slow: the whole gang would run as slowly as its slowest task. It does not change the given map.
func (es *runTimeEstimates) addSlowMachines(avoid map[string]Micros) map[string]Micros {
	if es.model == nil {
		return avoid
	}
	var out map[string]Micros
	es.model.EachSlowMachine(es.cfg.Settings.SlowFactor, func(machine string) {
		if out == nil {
			out = make(map[string]Micros, len(avoid)+1)
			maps.Copy(out, avoid)
		}
		out[machine] = es.outbox.Now() + config.Second
	})
	if out == nil {
		return avoid
	}
	return out
}

// rankCost returns the cost that orders jobs of one level before their credit does, according to
// the settings. Jobs with a smaller cost rank first.
func (es *runTimeEstimates) rankCost(j *Job) float64 {
	rank := es.cfg.Settings.Rank
	if es.model == nil || rank == config.RankCredit {
		return 0
	}
	duration, ok := es.jobDuration(j)
	if !ok {
		return math.MaxFloat32
	}
	if rank == config.RankShortest {
		return duration.Mean
	}
	if j.Record.Spec.DeadlineS == nil {
		return math.MaxFloat32
	}
	return es.dueInSeconds(j) - duration.Mean
}

// expectedFreeShare is the share of the capacity expected to become free that is counted on.
const expectedFreeShare = 0.5

// subtractExpectedFree subtracts from the demands of a cycle what can run on the capacity that
// running tasks are expected to free before a machine that is requested now has booted. Only
// expectedFreeShare of that capacity is counted.
func (es *runTimeEstimates) subtractExpectedFree(c *cycle) {
	if !es.cfg.Settings.ScaleOutAgainstBoot || es.model == nil {
		return
	}
	free := es.expectedFreeWeight(config.FromSeconds(es.shortestBootS()))
	for i := range c.demands {
		demand := &c.demands[i]
		fit := min(demand.Count, int(free/max(demand.Task.Weight(), 1e-9)))
		demand.Count -= fit
		free -= float64(float64(fit) * demand.Task.Weight())
	}
	c.demands = slices.DeleteFunc(c.demands, func(d autoscaler.Demand) bool { return d.Count == 0 })
}

// shortestBootS returns the shortest boot time of any machine type, in seconds.
func (es *runTimeEstimates) shortestBootS() float64 {
	shortest := 0.0
	for _, t := range es.catalog.Types {
		if shortest == 0 || t.BootS < shortest {
			shortest = t.BootS
		}
	}
	return shortest
}

// expectedFreeWeight returns the weight of the resources that running tasks are expected to free
// within a time, scaled by expectedFreeShare.
func (es *runTimeEstimates) expectedFreeWeight(within Micros) float64 {
	free := 0.0
	for _, j := range es.unfinished {
		if j.Record.Spec.Shape == wire.Service || j.OpenTasks == 0 {
			continue
		}
		j.EachPlacement(func(p job.Placement) {
			if remaining, ok := es.remainingTime(j, &p); ok {
				free += float64(expectedFreeShare * remaining.ProbabilityWithin(within) * taskResources(j.Record.Spec).Weight())
			}
		})
	}
	return free
}
