package core_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// checkpointingJob is the ID of a stored job with a task on the second machine.
const checkpointingJob = "j-900000"

// newFleetWithCheckpointingJob returns a fleet whose leader has found the record of checkpointingJob, with the given
// checkpoint interval in seconds, in the state service.
func newFleetWithCheckpointingJob(tb testing.TB, checkpointS float64) *fleet {
	tb.Helper()
	f := newFleet(tb, 2)
	f.put(tb, checkpointingJob, &job.Record{
		Spec: &wire.Job{ID: checkpointingJob, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
			CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20, CheckpointS: checkpointS},
		CreatedAt:   1,
		LastAttempt: 1,
		Shard: job.Shard{Open: []job.Placement{
			{Attempt: 1, Machine: machineName(1), Incarnation: 1, Zone: machineZone(1)}}},
	})
	f.takeOver(tb)
	return f
}

// reportTask sends a heartbeat of the second machine with a state of the task of checkpointingJob.
func (f *fleet) reportTask(tb testing.TB, incarnation uint64, status wire.TaskStatus) []msg.Effect {
	tb.Helper()
	in := f.workerHeartbeat(tb, 1)
	in.Heartbeat.Incarnation = incarnation
	if status.State != "" {
		status.Task, status.Attempt = wire.TaskName(checkpointingJob, 0), 1
		in.Heartbeat.Tasks = append(in.Heartbeat.Tasks, status)
	}
	return f.step(3*config.Second, in)
}

// closesCheckpointingJob reports whether a put of a key may commit the end of a task of checkpointingJob.
func closesCheckpointingJob(key string) bool {
	return key == job.RecordKey(checkpointingJob) || strings.HasPrefix(key, job.KeyRoot+"ended/")
}

// Guards against a leader that ends with a division by zero when a task ends whose job has a checkpoint interval
// below a microsecond: the job is in the state service, so each successor would end in the same way.
func TestCheckpointIntervalBelowMicrosecondDoesNotEndLeader(t *testing.T) {
	ends := map[string]struct {
		incarnation uint64
		status      wire.TaskStatus
	}{
		"error":         {1, wire.TaskStatus{State: wire.Exited, Cause: wire.CauseError}},
		"stopped":       {1, wire.TaskStatus{State: wire.Exited, Cause: wire.CauseStopped}},
		"saved":         {1, wire.TaskStatus{State: wire.Exited, Cause: wire.CauseStopped, Saved: true}},
		"done":          {1, wire.TaskStatus{State: wire.Exited, Cause: wire.Done}},
		"lease expired": {2, wire.TaskStatus{}},
	}
	for _, checkpointS := range []float64{2e-7, 4.9e-7, 1e-300} {
		for name, end := range ends {
			t.Run(fmt.Sprint(checkpointS, " s, ", name), func(t *testing.T) {
				f := newFleetWithCheckpointingJob(t, checkpointS)
				f.reportTask(t, 1, wire.TaskStatus{State: wire.Running})
				effects := f.reportTask(t, end.incarnation, end.status)
				for range 3 {
					effects = append(effects, f.step(config.Second, msg.Tick{WallClock: f.now})...)
				}
				if !commitsKey(effects, closesCheckpointingJob) {
					t.Error("the leader did not commit the end of the task")
				}
				if got := responseStatus(f.step(1, f.heartbeat(0, nil))); got != http.StatusOK {
					t.Errorf("status %d for a later heartbeat, want 200", got)
				}
			})
		}
	}
}
