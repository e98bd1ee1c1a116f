package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/internal/estimate"
	"coralhub/internal/history"
	"coralhub/wire"
)

// maxRecentRuns is the number of runs that are kept for operators who record histories.
const maxRecentRuns = 2000

// observeFirstPlacementWait adds the time that a job has waited for its first placement to the
// statistics of its class.
func (es *runTimeEstimates) observeFirstPlacementWait(j *Job) {
	if es.model == nil || j.Record.Spec == nil {
		return
	}
	ws := es.waits[j.Record.Spec.Class]
	if ws == nil {
		if len(es.waits) >= es.cfg.Settings.EstimateGroups {
			return
		}
		ws = &waitStats{}
		es.waits[j.Record.Spec.Class] = ws
	}
	ws.add(es.outbox.Now() - j.arrivedAt)
}

// recordOwnPlacements records the placements that this leader has made itself.
func (es *runTimeEstimates) recordOwnPlacements(j *Job, placed []job.Placement) {
	if es.model == nil || len(placed) == 0 {
		return
	}
	if j.ownAttempts == nil {
		j.ownAttempts = map[int]uint64{}
		if !j.placedByPredecessor {
			es.observeFirstPlacementWait(j)
		}
	}
	for _, p := range placed {
		j.ownAttempts[p.Task] = p.Attempt
	}
}

// observeRun adds a run that has ended to the model, however its end was proven. It must be called
// before the placement is closed.
func (es *runTimeEstimates) observeRun(j *Job, key job.AttemptKey, machine string, done bool) {
	spec := j.Record.Spec
	if es.model == nil || spec == nil || spec.Shape == wire.Service {
		return
	}
	startedAt, started := j.startedAt[key.Task]
	if !started {
		return
	}
	task, observedMachine := key.Task, machine
	if spec.Shape == wire.Gang {
		if j.observedGangAttempt >= key.Attempt || key.Attempt > j.ranGangAttempt {
			return // observed already, or it never ran as a whole
		}
		j.observedGangAttempt = key.Attempt
		task = preemption.WholeGang
		if spec.Tasks > 1 {
			observedMachine = ""
		}
	}
	worked := j.savedProgress[task] + es.outbox.Now() - startedAt
	interval := checkpointInterval(spec)
	observedWhole := done && j.ownAttempts[key.Task] == key.Attempt && (!j.placedByPredecessor || interval == 0)
	es.model.Observe(&estimate.Observation{
		Features: es.features(j, observedMachine), Elapsed: worked, Done: observedWhole,
	})
	es.recordRun(j, key, observedMachine, startedAt, done)
	if !done && interval > 0 {
		es.recordSavedProgress(j, key, task, machine, worked, interval)
	}
}

// checkpointInterval returns the progress after which a task of a job saves a checkpoint, 0 if it never does.
func checkpointInterval(spec *wire.Job) Micros { return max(0, config.FromSeconds(spec.CheckpointS)) }

// recordSavedProgress records which part of the work of an unfinished task is saved: up to the last
// checkpoint or, if its worker had it save its progress, all of it. interval is the time between its checkpoints.
func (es *runTimeEstimates) recordSavedProgress(
	j *Job, key job.AttemptKey, task int, machine string, worked, interval Micros,
) {
	if j.savedProgress == nil {
		j.savedProgress = map[int]Micros{}
	}
	j.savedProgress[task] = max(j.savedProgress[task], worked/interval*interval)
	if m := es.reconciler.Registry().Get(machine); m != nil && m.Tasks[key].Saved {
		j.savedProgress[task] = worked
	}
}

// recordRun keeps a run for operators who record histories. The machine is empty for a gang of more
// than one task.
func (es *runTimeEstimates) recordRun(j *Job, key job.AttemptKey, machine string, startedAt Micros, done bool) {
	if !es.cfg.Settings.Admin {
		return
	}
	spec := j.Record.Spec
	wallSeconds := func(at Micros) float64 { return inSeconds(at + es.wallClockOffset) }
	run := history.Run{
		Ref:       j.ID,
		Class:     spec.Class,
		Team:      spec.Team,
		Shape:     wire.ShapeName(spec.Shape),
		Tasks:     spec.Tasks,
		CPUs:      spec.CPUs,
		GPUs:      spec.GPUs,
		MemoryGB:  spec.MemoryGB,
		Image:     spec.Image,
		ExpectS:   spec.EstimateS,
		Submitted: inSeconds(j.Record.CreatedAt),
		Started:   wallSeconds(startedAt),
		Ended:     wallSeconds(es.outbox.Now()),
		Outcome:   es.runOutcome(j, key, machine, done),
		Machine:   machine,
	}
	if spec.Shape == wire.Array {
		run.Ref = wire.TaskName(j.ID, key.Task)
		run.Tasks = 1
	}
	if m := es.reconciler.Registry().Get(machine); m != nil {
		run.Type = m.Type
	}
	if len(es.recentRuns) < maxRecentRuns {
		es.recentRuns = append(es.recentRuns, run)
	} else {
		es.recentRuns[es.runsRecorded%maxRecentRuns] = run
	}
	es.runsRecorded++
}

// runOutcome returns how a run has ended, by the names used in histories.
func (es *runTimeEstimates) runOutcome(j *Job, key job.AttemptKey, machine string, done bool) string {
	if done {
		return history.Done
	}
	if j.Record.CancelRequested {
		return history.Cancelled
	}
	if m := es.reconciler.Registry().Get(machine); m != nil {
		switch m.Tasks[key].Cause {
		case wire.CauseStopped:
			return history.Preempted
		case wire.CauseError:
			return history.Error
		}
	}
	return history.Lost
}
