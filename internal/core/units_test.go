package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core"
	leaderclaim "coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// unitJobs is how many one-task jobs a round of a benchmark goes through.
const unitJobs = 40

// roundTrip is a leader of a fleet with free machines, a state service that takes everything
// at once and workers that do what they are told.
type roundTrip struct {
	*fleet
	free    int // machines beyond the full ones
	tasks   map[string][]wire.TaskStatus
	nextJob int
}

func newRoundTrip(tb testing.TB, machines, free, waiting, teams int) *roundTrip {
	r := &roundTrip{fleet: newQueue(tb, machines, waiting), free: free, tasks: map[string][]wire.TaskStatus{}}
	if teams > 0 {
		r.withTeams(tb, teams)
	}
	for i := machines; i < machines+free; i++ {
		r.answer(r.step(1, r.reportOf(i)))
	}
	r.answer(r.step(config.Second, msg.Tick{WallClock: r.now}))
	return r
}

// withTeams begins anew with more teams, each with a running job.
func (r *roundTrip) withTeams(tb testing.TB, teams int) {
	cfg := fleetConfig(r.machines)
	for i := range teams {
		cfg.Cluster.Teams = append(cfg.Cluster.Teams, config.Team{Name: fmt.Sprint("team-", i), GPUs: 1, GPUsMax: float64(8 * r.machines)})
	}
	r.startAs(tb, cfg)
	for i := range r.machines {
		r.step(1, r.report(i, nil))
	}
}

// reportOf is what the worker of a free machine says.
func (r *roundTrip) reportOf(i int) msg.Input {
	in, ok := r.report(i, nil).(msg.HeartbeatIn)
	if !ok {
		panic("not a report")
	}
	in.Heartbeat.Tasks = r.tasks[machineName(i)]
	return in
}

// answer carries out what the core asks for, and what it asks for then. It returns the
// changes that were committed.
func (r *roundTrip) answer(effects []msg.Effect) (changes int) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch x := e.(type) {
		case msg.Commit:
			changes += len(x.Transaction.Changes)
			r.version++
			effects = append(effects, r.step(1, msg.CommitDone{ID: x.ID, Outcome: msg.OK, Revision: r.version + 1<<40})...)
		case msg.Command:
			r.seq++
			report := wire.Heartbeat{Machine: x.Machine, Addr: x.Addr, Type: "t4", Zone: "a", Incarnation: 1, Sequence: r.seq, FencingToken: r.token}
			for _, o := range x.Commands.Commands {
				if o.Verb == wire.CommandStart {
					r.tasks[x.Machine] = append(r.tasks[x.Machine], wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.Running})
				}
			}
			report.Tasks = r.tasks[x.Machine]
			effects = append(effects, r.step(1, msg.CommandDone{ID: x.ID, Machine: x.Machine, Outcome: msg.OK, Heartbeat: &report})...)
		}
	}
	return changes
}

// submitted has other nodes accept unitJobs jobs of one task each.
func (r *roundTrip) submitted(tb testing.TB) {
	for range unitJobs {
		r.nextJob++
		id := fmt.Sprintf("j-7%07d", r.nextJob)
		spec := &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.High, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20}
		value, err := job.EncodeRecord(&job.Record{Spec: spec, CreatedAt: r.now}, job.NewestFormat)
		if err != nil {
			tb.Fatal(err)
		}
		r.version++
		r.step(1, msg.Changed{Events: []wire.Change{{Put: job.RecordKey(id), Value: value, Version: r.version + 1<<40}}})
	}
}

// exited has every task on the free machines end.
func (r *roundTrip) exited() (ended int) {
	for i := r.machines; i < r.machines+r.free; i++ {
		tasks := r.tasks[machineName(i)]
		for k := range tasks {
			tasks[k].State, tasks[k].Cause = wire.Exited, wire.Done
			ended++
		}
	}
	return ended
}

// forgotten has the workers drop the tasks that have exited.
func (r *roundTrip) forgotten() { clear(r.tasks) }

func (r *roundTrip) reportAll() (changes int) {
	for i := r.machines; i < r.machines+r.free; i++ {
		if len(r.tasks[machineName(i)]) > 0 {
			changes += r.answer(r.step(1, r.reportOf(i)))
		}
	}
	return changes
}

// BenchmarkUnits measures what the leader's core takes for one unit of each of its drivers, at
// several sizes: a job that another node accepted, a task placed and started, a report that
// tells of an end, with everything that follows from it.
func BenchmarkUnits(b *testing.B) {
	type size struct{ machines, waiting, teams int }
	sizes := []size{{1250, 50, 0}, {2500, 50, 0}, {5000, 50, 0}, {1250, 1000, 0}, {1250, 4000, 0}, {1250, 50, 110}, {1250, 50, 220}, {1250, 50, 1100}}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("machines=%d/waiting=%d/teams=%d", s.machines, s.waiting, s.teams), func(b *testing.B) {
			r := newRoundTrip(b, s.machines, unitJobs, s.waiting, s.teams)
			var learnt, placed, ended time.Duration
			placeChanges, endChanges, starts, ends := 0, 0, 0, 0
			for b.Loop() {
				began := time.Now()
				r.submitted(b)
				learnt += time.Since(began)
				began = time.Now()
				placeChanges += r.answer(r.step(150_000, msg.Tick{WallClock: r.now}))
				placeChanges += r.answer(r.step(150_000, msg.Tick{WallClock: r.now}))
				placed += time.Since(began)
				n := r.exited()
				starts += n
				ends += n
				began = time.Now()
				endChanges += r.reportAll()
				ended += time.Since(began)
				r.forgotten()
				r.hear()
				for i := r.machines; i < r.machines+r.free; i++ {
					r.answer(r.step(1, r.reportOf(i)))
				}
			}
			if starts == 0 {
				b.Fatal("nothing was started")
			}
			jobs := float64(b.N * unitJobs)
			b.ReportMetric(float64(learnt.Nanoseconds())/jobs, "ns/job-learnt")
			b.ReportMetric(float64(placed.Nanoseconds())/float64(starts), "ns/start")
			b.ReportMetric(float64(ended.Nanoseconds())/float64(ends), "ns/end")
			b.ReportMetric(float64(placeChanges)/float64(starts), "changes/start")
			b.ReportMetric(float64(endChanges)/float64(ends), "changes/end")
		})
	}
}

// newFollower returns a node whose leader is elsewhere.
func newFollower(tb testing.TB, machines int) *fleet {
	f := newFleet(tb, machines)
	raw, err := job.Encode(leaderclaim.LeaseRecord{Node: "n2", Nonce: 7})
	if err != nil {
		tb.Fatal(err)
	}
	f.version++
	f.token = f.version
	cfg := fleetConfig(machines)
	cfg.Peers = []config.Peer{{Node: "n2", Location: "b", Address: "10.0.0.9:1"}}
	f.core = core.New(cfg, 0)
	items := append([]wire.KeyValue{{Key: job.KeyRoot + "leader", Value: raw, Version: f.token, Lease: 5}}, f.records...)
	f.step(1, msg.Snapshot{Items: items, Revision: f.version})
	f.step(1, msg.PeerAlive{Node: "n2"})
	return f
}

// BenchmarkFollower measures what a node's core takes that doesn't lead: a report that says
// nothing new, answered for the leader; a job accepted; a poll.
func BenchmarkFollower(b *testing.B) {
	for _, n := range []int{1250, 2500, 5000} {
		b.Run(fmt.Sprintf("relay/%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			relayed := f.relayed(b)
			for b.Loop() {
				f.step(1, msg.PeerAlive{Node: "n2"})
				f.step(1, relayed())
			}
		})
		b.Run(fmt.Sprintf("accept/%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			i := 0
			for b.Loop() {
				i++
				body, err := wire.Marshal(&wire.Job{ID: fmt.Sprintf("j-6%07d", i), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
					CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 5})
				if err != nil {
					b.Fatal(err)
				}
				f.accepted(f.step(1, msg.SubmitIn{RequestID: uint64(i), WallClock: f.now, Body: body}))
			}
		})
		b.Run(fmt.Sprintf("poll/%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			for b.Loop() {
				f.accepted(f.step(config.Second, msg.PollIn{RequestID: 1, JobID: jobName(0)}))
			}
		})
	}
}

// accepted confirms what a follower commits.
func (f *fleet) accepted(effects []msg.Effect) {
	for _, e := range effects {
		if x, ok := e.(msg.Commit); ok {
			f.version++
			f.accepted(f.step(1, msg.CommitDone{ID: x.ID, Outcome: msg.OK, Revision: f.version + 1<<40}))
		}
	}
}

// relayed has a report taken by the leader, and returns what makes others that repeat it.
func (f *fleet) relayed(tb testing.TB) func() msg.Input {
	tb.Helper()
	first, ok := f.report(2, nil).(msg.HeartbeatIn)
	if !ok {
		tb.Fatal("not a report")
	}
	first.Forwarded = false
	f.step(1, first)
	f.step(1, msg.ForwardDone{RequestID: 1, Heartbeat: first.Heartbeat, Response: &wire.HeartbeatResponse{FencingToken: f.token}})
	return func() msg.Input {
		f.seq++
		in := first
		in.Heartbeat.Sequence = f.seq
		return in
	}
}

// BenchmarkJobMemory measures what a copy of the records holds for a job that waits and for
// one that is over.
func BenchmarkJobMemory(b *testing.B) {
	for _, n := range []int{10_000, 20_000, 40_000} {
		for _, over := range []bool{false, true} {
			b.Run(fmt.Sprintf("jobs=%d/over=%v", n, over), func(b *testing.B) {
				var bytes uint64
				for b.Loop() {
					f := &fleet{machines: 10, now: config.Second, version: 1000}
					for i := range n {
						rec := &job.Record{Phase: job.Done, DoneTasks: 1}
						if !over {
							rec = &job.Record{CreatedAt: int64(i + 1), Spec: &wire.Job{ID: waitingName(i), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal,
								Tasks: 2, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1}}
						}
						f.put(b, fmt.Sprintf("j-5%07d", i), rec)
					}
					before := held()
					f.core = core.New(fleetConfig(10), 0)
					f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
					bytes = held() - before
					runtime.KeepAlive(f)
				}
				b.ReportMetric(float64(bytes)/float64(n), "B/job")
			})
		}
	}
}
