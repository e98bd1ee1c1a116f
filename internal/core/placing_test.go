package core_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// placementTest is a leader with two full machines and five free ones. Team red may use eight GPUs more than
// it does. Transactions on placement pages and reads wait for a response from the test; all other effects are
// executed.
type placementTest struct {
	*simulatedCluster
	t       *testing.T
	gpus    float64 // of each task that is submitted
	pending []msg.Commit
	reads   []msg.Read
}

func newPlacementTest(t *testing.T) *placementTest {
	t.Helper()
	p := &placementTest{simulatedCluster: newSimulatedCluster(t, 2, 5, 0, 0), t: t, gpus: 1}
	for range 30 { // so that the format is raised
		p.run(100_000)
	}
	p.submit("j-1", wire.Normal, 1)
	p.run(200_000)
	p.respondOK(p.onlyPending()) // so that the first placement page exists
	p.exitTasks()
	p.reportTasks()
	p.clearTasks()
	p.run(3 * config.Second)
	p.pending = nil
	return p
}

// run sends a heartbeat of every worker, advances the clock and ticks.
func (p *placementTest) run(duration config.Micros) {
	p.t.Helper()
	for i := range p.machines + p.free {
		in := p.freeMachineHeartbeat(i)
		if i < p.machines {
			in = p.heartbeat(i, nil)
		}
		p.handle(p.step(1, in))
	}
	p.handle(p.step(duration, msg.Tick{WallClock: p.now}))
}

// handle executes effects, except for transactions on placement pages and reads.
func (p *placementTest) handle(effects []msg.Effect) {
	for _, e := range effects {
		switch x := e.(type) {
		case msg.Commit:
			if slices.ContainsFunc(x.Transaction.Changes, func(c wire.Change) bool {
				return strings.HasPrefix(c.Put, job.KeyRoot+"placed/")
			}) {
				p.pending = append(p.pending, x)
				continue
			}
		case msg.Read:
			p.reads = append(p.reads, x)
			continue
		}
		p.execute([]msg.Effect{e})
	}
}

func (p *placementTest) submit(id, priority string, tasks int) {
	p.t.Helper()
	value, err := job.EncodeRecord(&job.Record{CreatedAt: p.now, Spec: &wire.Job{ID: id, Class: "c", Team: "red",
		Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: 1, GPUs: p.gpus, MemoryGB: 1, Image: "i", ImageGB: 1,
		EstimateS: 5}}, job.NewestFormat)
	if err != nil {
		p.t.Fatal(err)
	}
	p.version++
	p.handle(p.step(1, msg.Changed{Events: []wire.Change{
		{Put: job.RecordKey(id), Value: value, Version: p.version + 1<<40}}}))
}

// onlyPending returns and removes the only transaction that waits for a response.
func (p *placementTest) onlyPending() msg.Commit {
	p.t.Helper()
	if len(p.pending) != 1 {
		p.t.Fatalf("%d transactions on placement pages are pending, want 1; they place %v", len(p.pending), p.pendingJobs())
	}
	x := p.pending[0]
	p.pending = nil
	return x
}

// pendingJobs returns the jobs that the pending transactions place.
func (p *placementTest) pendingJobs() (ids []string) {
	for _, x := range p.pending {
		for _, condition := range x.Transaction.Conditions {
			if id, _, ok := job.ParseKey(condition.Key); ok {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// respondOK responds that a transaction was committed.
func (p *placementTest) respondOK(x msg.Commit) {
	p.version++
	p.respond(x, msg.CommitDone{Outcome: msg.OK, Revision: p.version + 1<<40})
}

// respond responds to a transaction with a result.
func (p *placementTest) respond(x msg.Commit, done msg.CommitDone) {
	done.ID = x.ID
	p.handle(p.step(1, done))
}

// A transaction without a response is sent again unchanged, and its placements count towards the team's limit
// until its outcome is known.
func TestPlacementWithoutResponseCounts(t *testing.T) {
	p := newPlacementTest(t)
	p.submit("j-2", wire.Normal, 8)
	p.run(200_000)
	first := p.onlyPending()
	p.respond(first, msg.CommitDone{Outcome: msg.Unknown})
	p.submit("j-3", wire.Production, 1)
	for range 2 {
		p.run(200_000)
		p.run(200_000)
		again := p.onlyPending() // without j-3: the possible placements already reach the limit
		if !reflect.DeepEqual(again.Transaction, first.Transaction) {
			t.Fatalf("resent %+v, want %+v", again.Transaction, first.Transaction)
		}
		p.respond(again, msg.CommitDone{Outcome: msg.Refused})
	}
	p.run(500_000)
	again := p.onlyPending()
	p.respond(again, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{again.Transaction.Changes[0].Put}})
	p.run(200_000)
	if len(p.pending) > 0 || len(p.reads) != 1 || p.reads[0].Key != again.Transaction.Changes[0].Put {
		t.Fatalf("before the page was read: placements of %v, reads %v; want none and the page", p.pendingJobs(), p.reads)
	}
	p.version++
	p.handle(p.step(1, msg.ReadDone{ID: p.reads[0].ID, Outcome: msg.OK, Key: p.reads[0].Key,
		Item: wire.KeyValue{Key: p.reads[0].Key, Value: again.Transaction.Changes[0].Value, Version: p.version + 1<<40}}))
	p.run(300_000)
	if len(p.pending) > 0 {
		t.Errorf("placements beyond the limit of the team: %v", p.pendingJobs())
	}
	if n := len(p.startedTasks()); n != 8 {
		t.Errorf("%d tasks were started, want 8", n)
	}
}

// startedTasks returns the tasks that were started on the free machines.
func (p *placementTest) startedTasks() (names []string) {
	for _, tasks := range p.tasks {
		for _, x := range tasks {
			names = append(names, x.Task)
		}
	}
	return names
}

// After a conflict of a transaction that places several jobs, the records that have changed are read, and the
// other jobs are placed again at once.
func TestOneOfManyRecordsHasChanged(t *testing.T) {
	p := newPlacementTest(t)
	for n := range 6 {
		p.submit(fmt.Sprintf("j-%d", 10+n), wire.Normal, 1)
	}
	p.run(200_000)
	first := p.onlyPending()
	p.respond(first, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{job.RecordKey("j-12")}})
	if len(p.reads) != 1 || p.reads[0].Key != job.RecordKey("j-12") {
		t.Errorf("reads %v, want only the record of j-12", p.reads)
	}
	got := p.pendingJobs()
	slices.Sort(got)
	if want := []string{"j-10", "j-11", "j-13", "j-14", "j-15"}; !slices.Equal(got, want) {
		t.Errorf("placed again %v, want %v", got, want)
	}
	p.respondOK(p.onlyPending())
	if n := len(p.startedTasks()); n != 5 {
		t.Errorf("%d tasks were started, want 5", n)
	}
}

// While a transaction is in flight, further placements wait, and are then committed by one transaction.
func TestPlacementsAreBatched(t *testing.T) {
	p := newPlacementTest(t)
	p.submit("j-20", wire.Normal, 1)
	p.run(200_000)
	first := p.onlyPending()
	for n := range 4 {
		p.submit(fmt.Sprintf("j-%d", 21+n), wire.Normal, 1)
		p.run(200_000)
	}
	if len(p.pending) > 0 {
		t.Fatalf("placements sent while another transaction is in flight: %v", p.pendingJobs())
	}
	p.respondOK(first)
	if got := p.pendingJobs(); len(p.pending) != 1 || len(got) != 4 {
		t.Errorf("%d transactions, which place %v, want one that places 4 jobs", len(p.pending), got)
	}
	if pages := p.onlyPending().Transaction.Changes; len(pages) != 1 {
		t.Errorf("%d pages are written, want 1", len(pages))
	}
}

// A gang of 512 tasks, each on a different machine, is placed by one transaction within the limits of the
// large sites.
func TestGangOf512FitsATransaction(t *testing.T) {
	for _, limits := range []struct{ kb, ops int }{{8, 12}, {4, 8}} {
		var entries []records.PlacementEntry
		for n := range 512 {
			if n%job.TasksPerShard == 0 {
				entries = append(entries, records.PlacementEntry{Job: "j-123456", Index: n / job.TasksPerShard, LastAttempt: 3})
			}
			entry := &entries[len(entries)-1]
			entry.Open = append(entry.Open, job.Placement{Task: n, Attempt: 3, Machine: fmt.Sprintf("m-%06d", 200000+n),
				Incarnation: 12, Zone: "portland-rack", PlacedAt: 123456})
		}
		pages, size := 0, 0
		for i := range entries {
			value, err := records.EncodePlacementPage(entries[i : i+1])
			if err != nil {
				t.Fatal(err)
			}
			if n := wire.JSONSize(value); size == 0 || size+n > limits.kb<<10-32 {
				pages, size = pages+1, n
			} else {
				size += n
			}
		}
		if pages > limits.ops {
			t.Errorf("%d pages of %d KiB, want at most %d, one for each operation", pages, limits.kb, limits.ops)
		}
		t.Logf("%d pages of %d KiB", pages, limits.kb)
	}
}

// A conflict may report only one of the conditions that have failed. After an attempt without a response, the
// page is read regardless of the reported conditions, because the earlier attempt may have placed all tasks.
func TestConflictAfterNoResponseReadsPages(t *testing.T) {
	p := newPlacementTest(t)
	p.submit("j-2", wire.Normal, 2)
	p.submit("j-3", wire.Normal, 2)
	p.run(200_000)
	first := p.onlyPending()
	p.respond(first, msg.CommitDone{Outcome: msg.Unknown})
	p.run(500_000)
	again := p.onlyPending()
	p.respond(again, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{job.RecordKey("j-2")}})
	p.run(300_000)
	if len(p.pending) > 0 {
		t.Fatalf("jobs placed again before the page was read: %v", p.pendingJobs())
	}
	key := again.Transaction.Changes[0].Put
	i := slices.IndexFunc(p.reads, func(r msg.Read) bool { return r.Key == key })
	if i < 0 {
		t.Fatalf("reads %v, want %s among them", p.reads, key)
	}
	p.version++
	p.handle(p.step(1, msg.ReadDone{ID: p.reads[i].ID, Outcome: msg.OK, Key: key,
		Item: wire.KeyValue{Key: key, Value: again.Transaction.Changes[0].Value, Version: p.version + 1<<40}}))
	p.run(300_000)
	if n := len(p.startedTasks()); len(p.pending) > 0 || n != 4 {
		t.Errorf("%d tasks were started, want 4; jobs placed again: %v, want none", n, p.pendingJobs())
	}
}

// Pages are created in the order of their numbers and by one transaction at a time, and no page is in two
// transactions. Thus conditions on all existing pages and the next one exclude any other placement.
func TestPagesAreCreatedInOrder(t *testing.T) {
	p := newPlacementTest(t)
	p.free, p.gpus = 40, 0 // space for more than two full batches, and tasks to which no limit applies
	for i := p.machines; i < p.machines+p.free; i++ {
		p.handle(p.step(1, p.freeMachineHeartbeat(i)))
	}
	p.submit("j-2", wire.Normal, 1)
	p.run(200_000)
	first := p.onlyPending()
	for n := range 60 { // more than one transaction can place, so that the next is sent while one is in flight
		p.submit(fmt.Sprintf("j-%d", 100+n), wire.Normal, 1)
	}
	p.run(200_000)
	p.run(200_000)
	second := p.onlyPending()
	if second.Transaction.Changes[0].Put == first.Transaction.Changes[0].Put {
		t.Errorf("two transactions write %s", first.Transaction.Changes[0].Put)
	}
	if want := records.PlacementPageKey(2); second.Transaction.Changes[0].Put != want ||
		len(second.Transaction.Changes) != 1 {
		t.Errorf("%d changes, the first creates %s; want only %s",
			len(second.Transaction.Changes), second.Transaction.Changes[0].Put, want)
	}
	for n := range 60 {
		p.submit(fmt.Sprintf("j-%d", 200+n), wire.Normal, 1)
	}
	p.run(200_000)
	p.run(200_000)
	if len(p.pending) > 0 { // page 1 is being written and page 2 created, so that page 3 has to wait
		t.Errorf("%s is created before page 2 is known to exist", p.pending[0].Transaction.Changes[0].Put)
	}
	p.respondOK(second)
	if len(p.pending) == 0 {
		t.Error("no transaction was sent once page 2 existed")
	}
}
