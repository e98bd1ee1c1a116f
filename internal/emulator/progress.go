package emulator

import "coralhub/wire"

// gangCheckpoint is the key under which the progress of a whole gang is saved.
const gangCheckpoint = -1

// progress tracks the progress of tasks and their checkpoints, which outlive the machines. Progress is
// the part of the run time that has been completed.
type progress struct {
	cloud       *Cloud                    // for its model
	checkpoints map[string]map[int]Micros // progress by job and task, see checkpointKey
}

// current returns the progress of a running task. Without a model it is the time since the task's start.
func (p *progress) current(now Micros, m *Machine, t *task) Micros {
	if p.cloud.Model == nil {
		return now - t.stateSince
	}
	return t.fromProgress + Micros(float64(now-t.stateSince)*m.Speed)
}

// lastCheckpoint returns the saved progress that the n-th task of a job starts from; 0 without a model.
func (p *progress) lastCheckpoint(j *SubmittedJob, n int) Micros {
	if p.cloud.Model == nil {
		return 0
	}
	return p.checkpoints[j.ID][checkpointKey(j, n)]
}

// checkpointKey returns the key under which the progress of the n-th task of a job is saved.
func checkpointKey(j *SubmittedJob, n int) int {
	if j.Shape == wire.Gang {
		return gangCheckpoint
	}
	return n
}

// save saves the progress of the n-th task of a job outside of the machines. Earlier progress never
// replaces later progress. Without a model, or if the job has no checkpoints, nothing is saved.
func (p *progress) save(j *SubmittedJob, n int, progress Micros) {
	if p.cloud.Model == nil || j.CheckpointS <= 0 {
		return
	}
	if p.checkpoints == nil {
		p.checkpoints = map[string]map[int]Micros{}
	}
	if p.checkpoints[j.ID] == nil {
		p.checkpoints[j.ID] = map[int]Micros{}
	}
	key := checkpointKey(j, n)
	p.checkpoints[j.ID][key] = max(p.checkpoints[j.ID][key], progress)
}
