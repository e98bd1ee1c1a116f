package emulator

import "coralhub/wire"

// gangCheckpoint is the key under which the progress of a whole gang is saved.
const gangCheckpoint = -1

// progress tracks how far tasks have come, and their checkpoints, which outlast the machines.
type progress struct {
	cloud       *Cloud                    // gives the model
	checkpoints map[string]map[int]Micros // progress by job and task, see checkpointKey
}

// of is how far a running task has come. Without a model it counts from its start.
func (p *progress) of(now Micros, m *Machine, t *task) Micros {
	if p.cloud.Model == nil {
		return now - t.stateSince
	}
	return t.fromProgress + Micros(float64(now-t.stateSince)*m.Speed)
}

// saved is the progress that the n-th task of a job starts from.
func (p *progress) saved(j *SubmittedJob, n int) Micros {
	if p.cloud.Model == nil {
		return 0
	}
	return p.checkpoints[j.ID][checkpointKey(j, n)]
}

// checkpointKey is the key under which the progress of the n-th task of a job is saved.
func checkpointKey(j *SubmittedJob, n int) int {
	if j.Shape == wire.Gang {
		return gangCheckpoint
	}
	return n
}

// save saves the progress of the n-th task of a job outside of the machines.
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
