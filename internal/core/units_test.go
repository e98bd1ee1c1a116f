package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// jobsPerRound is the number of one-task jobs in a round of a benchmark.
const jobsPerRound = 40

// simulatedCluster is a leader of a fleet with additional free machines, with a state service that commits
// all transactions at once and workers that execute their commands.
type simulatedCluster struct {
	*fleet
	free    int // number of machines beyond the full ones
	tasks   map[string][]wire.TaskStatus
	nextJob int
}

func newSimulatedCluster(tb testing.TB, machines, free, pending, teams int) *simulatedCluster {
	tb.Helper()
	r := &simulatedCluster{
		fleet: newFleetWithPending(tb, machines, pending), free: free, tasks: map[string][]wire.TaskStatus{}}
	if teams > 0 {
		r.takeOverWithTeams(tb, teams)
	}
	for i := machines; i < machines+free; i++ {
		r.execute(r.step(1, r.freeMachineHeartbeat(i)))
	}
	r.execute(r.step(config.Second, msg.Tick{WallClock: r.now}))
	return r
}

// takeOverWithTeams is takeOver with additional teams in the configuration.
func (r *simulatedCluster) takeOverWithTeams(tb testing.TB, teams int) {
	tb.Helper()
	cfg := fleetConfig(r.machines)
	for i := range teams {
		cfg.Cluster.Teams = append(cfg.Cluster.Teams, config.Team{
			Name: fmt.Sprint("team-", i), GPUs: 1, GPUsMax: float64(8 * r.machines)})
	}
	r.takeOverWithConfig(tb, cfg)
	for i := range r.machines {
		r.step(1, r.heartbeat(i, nil))
	}
}

// freeMachineHeartbeat returns the heartbeat of the worker of a free machine.
func (r *simulatedCluster) freeMachineHeartbeat(i int) msg.Input {
	in, ok := r.heartbeat(i, nil).(msg.HeartbeatIn)
	if !ok {
		panic("not a heartbeat")
	}
	in.Heartbeat.Tasks = r.tasks[machineName(i)]
	return in
}

// execute executes effects, and the effects that follow from their results. It returns the number of
// committed changes.
func (r *simulatedCluster) execute(effects []msg.Effect) (changes int) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch x := e.(type) {
		case msg.Commit:
			changes += len(x.Transaction.Changes)
			r.version++
			effects = append(effects, r.step(1, msg.CommitDone{ID: x.ID, Outcome: msg.OK, Revision: r.version + 1<<40})...)
		case msg.Command:
			r.sequence++
			hb := wire.Heartbeat{Machine: x.Machine, Addr: x.Addr, Type: "t4", Zone: "a", Incarnation: 1,
				Sequence: r.sequence, FencingToken: r.token}
			for _, command := range x.Commands.Commands {
				if command.Verb == wire.CommandStart {
					r.tasks[x.Machine] = append(r.tasks[x.Machine], wire.TaskStatus{
						Task: command.Task, Attempt: command.Attempt, State: wire.Running})
				}
			}
			hb.Tasks = r.tasks[x.Machine]
			effects = append(effects, r.step(1, msg.CommandDone{
				ID: x.ID, Machine: x.Machine, Outcome: msg.OK, Heartbeat: &hb})...)
		}
	}
	return changes
}

// submitJobs applies the records of jobsPerRound jobs of one task each that other nodes have admitted.
func (r *simulatedCluster) submitJobs(tb testing.TB) {
	tb.Helper()
	for range jobsPerRound {
		r.nextJob++
		id := fmt.Sprintf("j-7%07d", r.nextJob)
		spec := &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.High, Tasks: 1, CPUs: 1,
			GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20}
		value, err := job.EncodeRecord(&job.Record{Spec: spec, CreatedAt: r.now}, job.NewestFormat)
		if err != nil {
			tb.Fatal(err)
		}
		r.version++
		r.step(1, msg.Changed{Events: []wire.Change{
			{Put: job.RecordKey(id), Value: value, Version: r.version + 1<<40}}})
	}
}

// exitTasks marks all tasks on the free machines as exited, and returns their number.
func (r *simulatedCluster) exitTasks() (ended int) {
	for i := r.machines; i < r.machines+r.free; i++ {
		tasks := r.tasks[machineName(i)]
		for k := range tasks {
			tasks[k].State, tasks[k].Cause = wire.Exited, wire.Done
			ended++
		}
	}
	return ended
}

// clearTasks removes all tasks from the workers.
func (r *simulatedCluster) clearTasks() { clear(r.tasks) }

// reportTasks sends the heartbeats of the free machines that have tasks, and returns the number of
// committed changes.
func (r *simulatedCluster) reportTasks() (changes int) {
	for i := r.machines; i < r.machines+r.free; i++ {
		if len(r.tasks[machineName(i)]) > 0 {
			changes += r.execute(r.step(1, r.freeMachineHeartbeat(i)))
		}
	}
	return changes
}

// BenchmarkUnits measures, at several sizes, the time of the leader's core for one unit of each of its load
// drivers: a job that another node has admitted, a task that is placed and started, and a heartbeat that
// reports the end of a task, including all effects that follow from it.
func BenchmarkUnits(b *testing.B) {
	type size struct{ machines, pending, teams int }
	sizes := []size{{1250, 50, 0}, {2500, 50, 0}, {5000, 50, 0}, {1250, 1000, 0}, {1250, 4000, 0},
		{1250, 50, 110}, {1250, 50, 220}, {1250, 50, 1100}}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("machines=%d/pending=%d/teams=%d", s.machines, s.pending, s.teams), func(b *testing.B) {
			r := newSimulatedCluster(b, s.machines, jobsPerRound, s.pending, s.teams)
			var reading, placing, ending time.Duration
			placeChanges, endChanges, starts, ends := 0, 0, 0, 0
			for b.Loop() {
				start := time.Now()
				r.submitJobs(b)
				reading += time.Since(start)
				start = time.Now()
				placeChanges += r.execute(r.step(150_000, msg.Tick{WallClock: r.now}))
				placeChanges += r.execute(r.step(150_000, msg.Tick{WallClock: r.now}))
				placing += time.Since(start)
				n := r.exitTasks()
				starts += n
				ends += n
				start = time.Now()
				endChanges += r.reportTasks()
				ending += time.Since(start)
				r.clearTasks()
				r.heartbeatAll()
				for i := r.machines; i < r.machines+r.free; i++ {
					r.execute(r.step(1, r.freeMachineHeartbeat(i)))
				}
			}
			if starts == 0 {
				b.Fatal("no task was started")
			}
			jobs := float64(b.N * jobsPerRound)
			b.ReportMetric(float64(reading.Nanoseconds())/jobs, "ns/job-read")
			b.ReportMetric(float64(placing.Nanoseconds())/float64(starts), "ns/start")
			b.ReportMetric(float64(ending.Nanoseconds())/float64(ends), "ns/end")
			b.ReportMetric(float64(placeChanges)/float64(starts), "changes/start")
			b.ReportMetric(float64(endChanges)/float64(ends), "changes/end")
		})
	}
}

// newFollower returns a fleet whose core is a follower; node n2 is the leader.
func newFollower(tb testing.TB, machines int) *fleet {
	tb.Helper()
	f := newFleet(tb, machines)
	leaderValue, err := job.Encode(election.LeaseRecord{Node: "n2", Nonce: 7})
	if err != nil {
		tb.Fatal(err)
	}
	f.version++
	f.token = f.version
	cfg := fleetConfig(machines)
	cfg.Peers = []config.Peer{{Node: "n2", Location: "b", Address: "10.0.0.9:1"}}
	f.core = core.New(cfg, 0)
	items := append([]wire.KeyValue{
		{Key: job.KeyRoot + "leader", Value: leaderValue, Version: f.token, Lease: 5}}, f.records...)
	f.step(1, msg.Snapshot{Items: items, Revision: f.version})
	f.step(1, msg.PeerAlive{Node: "n2"})
	return f
}

// BenchmarkFollower measures the time of a follower's core for an unchanged heartbeat that is answered on
// behalf of the leader, for the admission of a job, and for a poll.
func BenchmarkFollower(b *testing.B) {
	for _, n := range []int{1250, 2500, 5000} {
		b.Run(fmt.Sprintf("relay/%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			nextHeartbeat := f.acknowledgeHeartbeat(b)
			for b.Loop() {
				f.step(1, msg.PeerAlive{Node: "n2"})
				f.step(1, nextHeartbeat())
			}
		})
		b.Run(fmt.Sprintf("admission/%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			i := 0
			for b.Loop() {
				i++
				body, err := wire.Marshal(&wire.Job{ID: fmt.Sprintf("j-6%07d", i), Class: "c", Team: "red", Shape: wire.Array,
					Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 5})
				if err != nil {
					b.Fatal(err)
				}
				f.executeCommits(f.step(1, msg.SubmitIn{RequestID: uint64(i), WallClock: f.now, Body: body}))
			}
		})
		b.Run(fmt.Sprintf("poll/%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			for b.Loop() {
				f.executeCommits(f.step(config.Second, msg.PollIn{RequestID: 1, JobID: jobName(0)}))
			}
		})
	}
}

// executeCommits commits the transactions among the effects, and those that follow from their results.
func (f *fleet) executeCommits(effects []msg.Effect) {
	for _, e := range effects {
		if x, ok := e.(msg.Commit); ok {
			f.version++
			f.executeCommits(f.step(1, msg.CommitDone{ID: x.ID, Outcome: msg.OK, Revision: f.version + 1<<40}))
		}
	}
}

// acknowledgeHeartbeat sends a heartbeat that the leader acknowledges, and returns a function that returns
// further heartbeats with the same content.
func (f *fleet) acknowledgeHeartbeat(tb testing.TB) func() msg.Input {
	tb.Helper()
	first, ok := f.heartbeat(2, nil).(msg.HeartbeatIn)
	if !ok {
		tb.Fatal("not a heartbeat")
	}
	first.Forwarded = false
	f.step(1, first)
	f.step(1, msg.ForwardDone{
		RequestID: 1, Heartbeat: first.Heartbeat, Response: &wire.HeartbeatResponse{FencingToken: f.token}})
	return func() msg.Input {
		f.sequence++
		in := first
		in.Heartbeat.Sequence = f.sequence
		return in
	}
}

// BenchmarkJobMemory measures the memory of the replica for each pending job and for each finished job.
func BenchmarkJobMemory(b *testing.B) {
	for _, n := range []int{10_000, 20_000, 40_000} {
		for _, finished := range []bool{false, true} {
			b.Run(fmt.Sprintf("jobs=%d/finished=%v", n, finished), func(b *testing.B) {
				var bytes uint64
				for b.Loop() {
					f := &fleet{machines: 10, now: config.Second, version: 1000}
					for i := range n {
						record := &job.Record{Phase: job.Done, DoneTasks: 1}
						if !finished {
							record = &job.Record{CreatedAt: int64(i + 1), Spec: &wire.Job{ID: pendingName(i), Class: "c", Team: "red",
								Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1}}
						}
						f.put(b, fmt.Sprintf("j-5%07d", i), record)
					}
					before := heapBytes()
					f.core = core.New(fleetConfig(10), 0)
					f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
					bytes = heapBytes() - before
					runtime.KeepAlive(f)
				}
				b.ReportMetric(float64(bytes)/float64(n), "B/job")
			})
		}
	}
}
