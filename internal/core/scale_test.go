package core_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// fleet is a leader of so many machines, all of them full with replicas, eight of a
// job on two machines, and with jobs that wait for their team's limit.
type fleet struct {
	core     *core.Core
	now      core.Micros
	machines int
	records  []wire.KeyValue
	seq      uint64
	token    uint64
	version  uint64
}

const (
	pendingJobs = 50
	tasksOn     = 4 // a machine
)

func fleetConfig(machines int) *config.Config {
	c := &config.Config{Settings: config.Defaults()}
	c.Node, c.Location = "n1", "a"
	c.Cluster = config.Cluster{
		Zones:   []string{"a", "b"},
		Teams:   []config.Team{{Name: "red", GPUs: float64(machines), GPUsMax: float64(8 * machines)}, {Name: "blue", CPUsMax: 1}},
		Workers: config.Workers{ReportS: 5, LeaseS: 26, GangWaitS: 40, GangPeerS: 6, CancelS: 56},
		State:   config.State{RPS: 400, WriteRPS: 150, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 8, ListLagS: 8},
	}
	return c
}

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

func machineZone(i int) string { return []string{"a", "b"}[i%2] }

func newFleet(tb testing.TB, machines int) *fleet { return newQueue(tb, machines, pendingJobs) }

// newQueue returns a fleet with so many jobs that wait.
func newQueue(tb testing.TB, machines, waiting int) *fleet {
	f := &fleet{machines: machines, now: config.Second, version: 1000}
	put := func(id string, rec *job.Record) { f.put(tb, id, rec) }
	spec := func(id, team string, tasks int) *wire.Job {
		return &wire.Job{ID: id, Class: "c", Team: team, Shape: wire.Service, Priority: wire.Normal, Tasks: tasks, CPUs: 1, GPUs: 1,
			MemoryGB: 1, Image: "i", ImageGB: 1}
	}
	for i := 0; i < machines; i += 2 {
		rec := &job.Record{Spec: spec(jobName(i), "red", 2*tasksOn), CreatedAt: int64(i + 1), LastAttempt: 1}
		for task := range 2 * tasksOn {
			m := i + task/tasksOn
			rec.Open = append(rec.Open, job.Placement{Task: task, Attempt: 1, Machine: machineName(m), Session: 1, Zone: machineZone(m)})
		}
		put(jobName(i), rec)
	}
	full := &job.Record{Spec: spec("j-800000", "blue", 1), CreatedAt: 1, LastAttempt: 1}
	full.Spec.GPUs = 0
	full.Open = []job.Placement{{Attempt: 1, Machine: machineName(0), Session: 1, Zone: machineZone(0)}}
	put("j-800000", full)
	for i := range waiting {
		put(waitingName(i), &job.Record{Spec: spec(waitingName(i), "blue", 2), CreatedAt: int64(i + 1)})
	}
	catalog, err := job.Encode(&wire.Catalog{Types: []wire.MachineType{{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 100,
		FetchGBs: 1, Price: 4, SpotPrice: 2, BootS: 50, Zones: []string{"a", "b"}}}})
	if err != nil {
		tb.Fatal(err)
	}
	f.version++
	f.records = append(f.records, wire.KeyValue{Key: job.KeyRoot + "catalog", Value: catalog, Version: f.version})
	f.takeOver(tb)
	for i := range machines {
		f.step(1, f.report(i, nil))
	}
	f.step(config.Second, msg.Tick{WallClock: f.now})
	return f
}

// put adds a job's record to those that a node reads.
func (f *fleet) put(tb testing.TB, id string, rec *job.Record) {
	value, err := job.EncodeRecord(rec, job.NewestFormat)
	if err != nil {
		tb.Fatal(err)
	}
	f.version++
	f.records = append(f.records, wire.KeyValue{Key: job.RecordKey(id), Value: value, Version: f.version})
}

func jobName(i int) string { return fmt.Sprintf("j-%06d", i) }

// takeOver has a new node read all records, claim and read them again.
func (f *fleet) takeOver(tb testing.TB) { f.startAs(tb, fleetConfig(f.machines)) }

// startAs does so with settings of its own.
func (f *fleet) startAs(tb testing.TB, cfg *config.Config) {
	tb.Helper()
	f.core = core.New(cfg, 0)
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
	f.step(config.Second, msg.Tick{WallClock: f.now})
	for _, e := range f.step(1, msg.LeaseDone{Outcome: msg.OK, Lease: 9}) {
		if claim, ok := e.(msg.Commit); ok {
			f.version++
			f.token = f.version
			f.step(1, msg.CommitDone{ID: claim.ID, Outcome: msg.OK, Revision: f.version})
			f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
			return
		}
	}
	tb.Fatal("no claim was made")
}

func (f *fleet) step(after core.Micros, in msg.Input) []msg.Effect {
	f.now += after
	return f.core.Step(f.now, in)
}

// report is what a machine's worker says.
func (f *fleet) report(i int, notice *float64) msg.Input {
	f.seq++
	r := wire.Heartbeat{Machine: machineName(i), Addr: "10.0.0.1:9000", Type: "t4", Zone: machineZone(i), Incarnation: 1, Sequence: f.seq,
		FencingToken: f.token, NoticeS: notice}
	if i == 0 {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName("j-800000", 0), Attempt: 1, State: wire.Running})
	}
	for k := range tasksOn {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(jobName(i-i%2), (i%2)*tasksOn+k), Attempt: 1, State: wire.Running})
	}
	return msg.HeartbeatIn{RequestID: 1, Heartbeat: r, Forwarded: true}
}

// change has a hundredth of the machines change what they offer, all over the fleet.
func (f *fleet) change(round int) (changed int) {
	notice := new(float64)
	*notice = 30
	if round%2 == 1 {
		notice = nil
	}
	for i := 0; i < f.machines; i += 100 {
		f.step(1, f.report(i, notice))
		changed++
	}
	return changed
}

// hear has every worker heard, so that none is silent by now.
func (f *fleet) hear() {
	for i := range f.machines {
		f.step(1, f.report(i, nil))
	}
}

// pass asks for a pass with a change of a waiting job.
func (f *fleet) pass() []msg.Effect {
	it := f.records[f.machines/2+1] // of a job that waits
	f.version++
	return f.step(150*1000, msg.PeerUpdate{Change: wire.Change{Put: it.Key, Value: it.Value, Version: f.version + 1<<40}})
}

// A pass looks at what has changed, not at the fleet: the count of machines and jobs
// looked at is that of the changes, whatever the number of machines.
func TestPassLooksAtWhatHasChanged(t *testing.T) {
	for _, machines := range []int{500, 2000} {
		f := newFleet(t, machines)
		f.hear()
		f.pass()
		before := f.core.CycleStatistics()
		changed := f.change(0)
		f.pass()
		after := f.core.CycleStatistics()
		passes := after.Cycles - before.Cycles
		if passes == 0 {
			t.Fatal("no pass")
		}
		if got := after.Machines - before.Machines; got < changed || got > changed+2 {
			t.Errorf("%d machines: looked at %d in %d passes, %d have changed", machines, got, passes, changed)
		}
		if got := after.Jobs - before.Jobs; got < 1 || got > 2 {
			t.Errorf("%d machines: looked at %d jobs, one has changed", machines, got)
		}
		if err := f.core.Audit(); err != nil {
			t.Error(err)
		}
	}
}

// A tick with nothing to do reserves as little memory at any size.
func TestTickDoesNotGrowWithTheFleet(t *testing.T) {
	var allocs [2]float64
	for i, machines := range []int{500, 2000} {
		f := newFleet(t, machines)
		f.hear()
		f.pass()
		allocs[i] = testing.AllocsPerRun(5, func() { f.step(1000, msg.Tick{WallClock: f.now}) })
	}
	if allocs[1] > allocs[0]+2 {
		t.Errorf("a tick takes %v allocations with 500 machines and %v with 2,000", allocs[0], allocs[1])
	}
}

var fleetSizes = []int{1250, 2500, 5000, 10000}

// BenchmarkFleet measures, at four sizes, a report that says nothing new, a change of
// a record, a tick, a pass after a hundredth of the machines have changed and a
// takeover; and what a machine and a job hold. Its ratios are what to look at.
func BenchmarkFleet(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("report/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			for b.Loop() {
				f.step(1, f.report(0, nil))
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			f.hear()
			for b.Loop() {
				f.step(1, msg.Tick{WallClock: f.now})
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			for b.Loop() {
				f.version++
				it := f.records[0]
				f.step(1, msg.Changed{Events: []wire.Change{{Put: it.Key, Value: it.Value, Version: f.version + 1<<40}}})
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("pass/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			var spent []time.Duration
			rounds := 0
			for b.Loop() {
				if rounds%20 == 0 {
					f.hear() // and the pass that looks at everything is due now and then
				}
				f.change(rounds)
				began := time.Now()
				f.pass()
				spent = append(spent, time.Since(began))
				rounds++
			}
			slices.Sort(spent)
			b.ReportMetric(float64(spent[len(spent)/2].Nanoseconds()), "ns/pass")
			b.ReportMetric(float64(spent[len(spent)-1].Nanoseconds()), "ns/whole-pass") // one that looks at everything
		})
	}
	for _, waiting := range []int{100, 1000, 10000} { // all ranked, none with room under its team's limit
		b.Run(fmt.Sprintf("queue/%d", waiting), func(b *testing.B) {
			f := newQueue(b, fleetSizes[2], waiting)
			rounds := 0
			for b.Loop() {
				f.change(rounds)
				f.pass()
				rounds++
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("takeover/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			for b.Loop() {
				f.takeOver(b)
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("memory/%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := held()
				f := newFleet(b, n)
				f.records = f.records[:1]
				bytes = held() - before
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/machine+half-job")
		})
	}
}

func held() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func waitingName(i int) string { return fmt.Sprintf("j-9%05d", i) }
