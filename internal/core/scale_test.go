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

// fleet is a leader with machines that are all full of services, each of which has eight tasks on two
// machines, and with pending jobs that their team's limit prevents from being placed.
type fleet struct {
	core     *core.Core
	now      core.Micros
	machines int
	records  []wire.KeyValue
	sequence uint64 // of the last heartbeat
	token    uint64
	version  uint64
}

const (
	defaultPending  = 50
	tasksPerMachine = 4
)

func fleetConfig(machines int) *config.Config {
	cfg := &config.Config{Settings: config.Defaults()}
	cfg.Node, cfg.Location = "n1", "a"
	cfg.Cluster = config.Cluster{
		Zones: []string{"a", "b"},
		Teams: []config.Team{
			{Name: "red", GPUs: float64(machines), GPUsMax: float64(8 * machines)}, {Name: "blue", CPUsMax: 1}},
		Workers: config.Workers{ReportS: 5, LeaseS: 26, GangWaitS: 40, GangPeerS: 6, CancelS: 56},
		State:   config.State{RPS: 400, WriteRPS: 150, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 8, ListLagS: 8},
	}
	return cfg
}

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

func machineZone(i int) string { return []string{"a", "b"}[i%2] }

func newFleet(tb testing.TB, machines int) *fleet {
	tb.Helper()
	return newFleetWithPending(tb, machines, defaultPending)
}

// newFleetWithPending returns a fleet with the given number of pending jobs.
func newFleetWithPending(tb testing.TB, machines, pending int) *fleet {
	tb.Helper()
	f := &fleet{machines: machines, now: config.Second, version: 1000}
	spec := func(id, team string, tasks int) *wire.Job {
		return &wire.Job{ID: id, Class: "c", Team: team, Shape: wire.Service, Priority: wire.Normal, Tasks: tasks,
			CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1}
	}
	for i := 0; i < machines; i += 2 {
		record := &job.Record{Spec: spec(jobName(i), "red", 2*tasksPerMachine), CreatedAt: int64(i + 1), LastAttempt: 1}
		for task := range 2 * tasksPerMachine {
			machine := i + task/tasksPerMachine
			record.Open = append(record.Open, job.Placement{
				Task: task, Attempt: 1, Machine: machineName(machine), Incarnation: 1, Zone: machineZone(machine)})
		}
		f.put(tb, jobName(i), record)
	}
	atLimit := &job.Record{Spec: spec("j-800000", "blue", 1), CreatedAt: 1, LastAttempt: 1}
	atLimit.Spec.GPUs = 0
	atLimit.Open = []job.Placement{{Attempt: 1, Machine: machineName(0), Incarnation: 1, Zone: machineZone(0)}}
	f.put(tb, "j-800000", atLimit)
	for i := range pending {
		f.put(tb, pendingName(i), &job.Record{Spec: spec(pendingName(i), "blue", 2), CreatedAt: int64(i + 1)})
	}
	f.storeCatalog(tb)
	f.takeOver(tb)
	for i := range machines {
		f.step(1, f.heartbeat(i, nil))
	}
	f.step(config.Second, msg.Tick{WallClock: f.now})
	return f
}

// put adds the record of a job to the stored records.
func (f *fleet) put(tb testing.TB, id string, record *job.Record) {
	tb.Helper()
	value, err := job.EncodeRecord(record, job.NewestFormat)
	if err != nil {
		tb.Fatal(err)
	}
	f.version++
	f.records = append(f.records, wire.KeyValue{Key: job.RecordKey(id), Value: value, Version: f.version})
}

// storeCatalog adds a catalog to the stored records: the machine type of the fleet, and the given ones.
func (f *fleet) storeCatalog(tb testing.TB, others ...wire.MachineType) {
	tb.Helper()
	types := append(others, wire.MachineType{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 1,
		Price: 4, SpotPrice: 2, BootS: 50, Zones: []string{"a", "b"}})
	value, err := job.Encode(&wire.Catalog{Types: types})
	if err != nil {
		tb.Fatal(err)
	}
	f.version++
	f.records = append(f.records, wire.KeyValue{Key: job.KeyRoot + "catalog", Value: value, Version: f.version})
}

func jobName(i int) string { return fmt.Sprintf("j-%06d", i) }

// takeOver replaces the core with one that reads all records, becomes the leader and reads them again.
func (f *fleet) takeOver(tb testing.TB) {
	tb.Helper()
	f.takeOverWithConfig(tb, fleetConfig(f.machines))
}

// takeOverWithConfig is takeOver with the given configuration.
func (f *fleet) takeOverWithConfig(tb testing.TB, cfg *config.Config) {
	tb.Helper()
	f.core = core.New(cfg, 0)
	f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
	f.step(config.Second, msg.Tick{WallClock: f.now})
	for _, e := range f.step(1, msg.LeaseDone{Outcome: msg.OK, Lease: 9}) {
		if campaign, ok := e.(msg.Commit); ok {
			f.version++
			f.token = f.version
			f.step(1, msg.CommitDone{ID: campaign.ID, Outcome: msg.OK, Revision: f.version})
			f.step(1, msg.Snapshot{Items: f.records, Revision: f.version})
			return
		}
	}
	tb.Fatal("the node did not campaign")
}

func (f *fleet) step(after core.Micros, in msg.Input) []msg.Effect {
	f.now += after
	return f.core.Step(f.now, in)
}

// heartbeat returns the heartbeat of a machine's worker. notice is a termination notice in seconds, or nil for none.
func (f *fleet) heartbeat(i int, notice *float64) msg.Input {
	f.sequence++
	hb := wire.Heartbeat{Machine: machineName(i), Addr: "10.0.0.1:9000", Type: "t4", Zone: machineZone(i),
		Incarnation: 1, Sequence: f.sequence, FencingToken: f.token, NoticeS: notice}
	if i == 0 {
		hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: wire.TaskName("j-800000", 0), Attempt: 1, State: wire.Running})
	}
	for k := range tasksPerMachine {
		hb.Tasks = append(hb.Tasks, wire.TaskStatus{
			Task: wire.TaskName(jobName(i-i%2), (i%2)*tasksPerMachine+k), Attempt: 1, State: wire.Running})
	}
	return msg.HeartbeatIn{RequestID: 1, Heartbeat: hb, Forwarded: true}
}

// workerHeartbeat returns the heartbeat of a machine's worker, to be changed before it is passed to the core.
func (f *fleet) workerHeartbeat(tb testing.TB, i int) msg.HeartbeatIn {
	tb.Helper()
	in, ok := f.heartbeat(i, nil).(msg.HeartbeatIn)
	if !ok {
		tb.Fatal("not a heartbeat")
	}
	return in
}

// idleHeartbeat returns the heartbeat of the worker of a machine without tasks.
func (f *fleet) idleHeartbeat(tb testing.TB, i int) msg.HeartbeatIn {
	tb.Helper()
	in := f.workerHeartbeat(tb, i)
	in.Heartbeat.Tasks = nil
	return in
}

// renewAndTick renews the lease of the leader and passes a tick to it a second later. It returns the effects of the
// tick.
func (f *fleet) renewAndTick() []msg.Effect {
	f.step(1, msg.LeaseDone{Outcome: msg.OK, Lease: 9, IsRenewal: true})
	return f.step(config.Second, msg.Tick{WallClock: f.now})
}

// commitsKey reports whether any of the effects commits a put of a key that matches.
func commitsKey(effects []msg.Effect, matches func(key string) bool) bool {
	return slices.ContainsFunc(effects, func(e msg.Effect) bool {
		commit, ok := e.(msg.Commit)
		return ok && slices.ContainsFunc(commit.Transaction.Changes, func(c wire.Change) bool { return matches(c.Put) })
	})
}

// submit submits a job of one task for machines of the given type to the leader.
func (f *fleet) submit(tb testing.TB, id, machineType string) []msg.Effect {
	tb.Helper()
	body, err := wire.Marshal(&wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
		CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20, Types: []string{machineType}})
	if err != nil {
		tb.Fatal(err)
	}
	return f.step(1, msg.SubmitIn{RequestID: 2, WallClock: f.now, Body: body})
}

// toggleNotices sets the termination notice of every hundredth machine in even rounds, and removes it in odd ones. It
// returns the number of these machines.
func (f *fleet) toggleNotices(round int) (changed int) {
	notice := new(float64)
	*notice = 30
	if round%2 == 1 {
		notice = nil
	}
	for i := 0; i < f.machines; i += 100 {
		f.step(1, f.heartbeat(i, notice))
		changed++
	}
	return changed
}

// heartbeatAll sends a heartbeat of every worker, so that none is overdue.
func (f *fleet) heartbeatAll() {
	for i := range f.machines {
		f.step(1, f.heartbeat(i, nil))
	}
}

// runCycle triggers a scheduling cycle by applying a change of a pending job.
func (f *fleet) runCycle() {
	item := f.records[f.machines/2+1] // of a pending job
	f.version++
	f.step(150*1000, msg.PeerUpdate{
		Change: wire.Change{Put: item.Key, Value: item.Value, Version: f.version + 1<<40}})
}

// A scheduling cycle examines only what has changed: the number of machines and jobs that it examines is
// that of the changes, regardless of the size of the fleet.
func TestCycleExaminesWhatHasChanged(t *testing.T) {
	for _, machines := range []int{500, 2000} {
		f := newFleet(t, machines)
		f.heartbeatAll()
		f.runCycle()
		before := f.core.CycleStatistics()
		changed := f.toggleNotices(0)
		f.runCycle()
		after := f.core.CycleStatistics()
		cycles := after.Cycles - before.Cycles
		if cycles == 0 {
			t.Fatal("no scheduling cycle was run")
		}
		if got := after.Machines - before.Machines; got < changed || got > changed+2 {
			t.Errorf("fleet of %d: %d machines examined in %d cycles, want the %d that have changed, or up to 2 more",
				machines, got, cycles, changed)
		}
		if got := after.Jobs - before.Jobs; got < 1 || got > 2 {
			t.Errorf("fleet of %d: %d jobs examined, want the 1 that has changed, or 1 more", machines, got)
		}
		if err := f.core.Audit(); err != nil {
			t.Error(err)
		}
	}
}

// The number of allocations of a tick with nothing to do does not grow with the fleet.
func TestIdleTickDoesNotGrowWithTheFleet(t *testing.T) {
	var allocs [2]float64
	for i, machines := range []int{500, 2000} {
		f := newFleet(t, machines)
		f.heartbeatAll()
		f.runCycle()
		allocs[i] = testing.AllocsPerRun(5, func() { f.step(1000, msg.Tick{WallClock: f.now}) })
	}
	if allocs[1] > allocs[0]+2 {
		t.Errorf("allocations per tick: %v with 500 machines and %v with 2,000, want at most 2 more", allocs[0], allocs[1])
	}
}

var fleetSizes = []int{1250, 2500, 5000, 10000}

// BenchmarkFleet measures, at four sizes, an unchanged heartbeat, a change of a record, a tick, a
// scheduling cycle after one in a hundred machines has changed, a takeover, and the memory for a
// machine and its half of a job. The ratios between sizes matter, not the absolute values.
func BenchmarkFleet(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("heartbeat/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			for b.Loop() {
				f.step(1, f.heartbeat(0, nil))
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			f.heartbeatAll()
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
				item := f.records[0]
				f.step(1, msg.Changed{Events: []wire.Change{
					{Put: item.Key, Value: item.Value, Version: f.version + 1<<40}}})
			}
		})
	}
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("cycle/%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			var durations []time.Duration
			rounds := 0
			for b.Loop() {
				if rounds%20 == 0 {
					f.heartbeatAll() // so that a full cycle is due from time to time
				}
				f.toggleNotices(rounds)
				start := time.Now()
				f.runCycle()
				durations = append(durations, time.Since(start))
				rounds++
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Nanoseconds()), "ns/cycle")
			// the slowest cycle is one that examines everything
			b.ReportMetric(float64(durations[len(durations)-1].Nanoseconds()), "ns/full-cycle")
		})
	}
	for _, pending := range []int{100, 1000, 10000} { // all are queued, and none can be placed within its team's limit
		b.Run(fmt.Sprintf("queue/%d", pending), func(b *testing.B) {
			f := newFleetWithPending(b, fleetSizes[2], pending)
			rounds := 0
			for b.Loop() {
				f.toggleNotices(rounds)
				f.runCycle()
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
				before := heapBytes()
				f := newFleet(b, n)
				f.records = f.records[:1]
				bytes = heapBytes() - before
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/machine+half-job")
		})
	}
}

// heapBytes returns the size of the reachable objects on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func pendingName(i int) string { return fmt.Sprintf("j-9%05d", i) }
