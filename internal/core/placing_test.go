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

// placer is a leader of two full machines and five free ones. Team red may use eight GPUs more than it
// does. Transactions on placement pages and reads wait for the test's response; everything else is executed.
type placer struct {
	*roundTrip
	t       *testing.T
	gpus    float64 // of each task that is submitted
	pending []msg.Commit
	reads   []msg.Read
}

func newPlacer(t *testing.T) *placer {
	t.Helper()
	p := &placer{roundTrip: newRoundTrip(t, 2, 5, 0, 0), t: t, gpus: 1}
	for range 30 { // the format is raised
		p.run(100_000)
	}
	p.submit("j-1", wire.Normal, 1)
	p.run(200_000)
	p.succeed(p.onlyPending()) // so there is a page
	p.exitTasks()
	p.reportTasks()
	p.forgetTasks()
	p.run(3 * config.Second)
	p.pending = nil
	return p
}

// run sends a heartbeat of every worker, advances the clock and ticks.
func (p *placer) run(duration config.Micros) {
	p.t.Helper()
	for i := range p.machines + p.free {
		in := p.freeHeartbeat(i)
		if i < p.machines {
			in = p.heartbeat(i, nil)
		}
		p.handle(p.step(1, in))
	}
	p.handle(p.step(duration, msg.Tick{WallClock: p.now}))
}

// handle executes effects, except for transactions on placement pages and reads.
func (p *placer) handle(effects []msg.Effect) {
	for _, e := range effects {
		switch x := e.(type) {
		case msg.Commit:
			if slices.ContainsFunc(x.Transaction.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.Put, job.KeyRoot+"placed/") }) {
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

func (p *placer) submit(id, priority string, tasks int) {
	p.t.Helper()
	value, err := job.EncodeRecord(&job.Record{CreatedAt: p.now, Spec: &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: priority,
		Tasks: tasks, CPUs: 1, GPUs: p.gpus, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 5}}, job.NewestFormat)
	if err != nil {
		p.t.Fatal(err)
	}
	p.version++
	p.handle(p.step(1, msg.Changed{Events: []wire.Change{{Put: job.RecordKey(id), Value: value, Version: p.version + 1<<40}}}))
}

// onlyPending returns the only transaction that waits for a response.
func (p *placer) onlyPending() msg.Commit {
	p.t.Helper()
	if len(p.pending) != 1 {
		p.t.Fatalf("%d transactions on pages are pending: %v", len(p.pending), p.pendingJobs())
	}
	x := p.pending[0]
	p.pending = nil
	return x
}

// pendingJobs returns the jobs that the pending transactions place.
func (p *placer) pendingJobs() (ids []string) {
	for _, x := range p.pending {
		for _, condition := range x.Transaction.Conditions {
			if id, _, ok := job.ParseKey(condition.Key); ok {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// succeed responds to a transaction that it was committed.
func (p *placer) succeed(x msg.Commit) {
	p.version++
	p.respond(x, msg.CommitDone{Outcome: msg.OK, Revision: p.version + 1<<40})
}

// respond responds to a transaction with a result.
func (p *placer) respond(x msg.Commit, done msg.CommitDone) {
	done.ID = x.ID
	p.handle(p.step(1, done))
}

// The placements of a transaction without a response count until its outcome is known, and it is sent
// again unchanged.
func TestPlacementWithoutResponseCounts(t *testing.T) {
	p := newPlacer(t)
	p.submit("j-2", wire.Normal, 8)
	p.run(200_000)
	first := p.onlyPending()
	p.respond(first, msg.CommitDone{Outcome: msg.Unknown})
	p.submit("j-3", wire.Production, 1)
	for range 2 {
		p.run(200_000)
		p.run(200_000)
		again := p.onlyPending() // without j-3: what may have been placed reaches the limit
		if !reflect.DeepEqual(again.Transaction, first.Transaction) {
			t.Fatalf("retried %+v, before %+v", again.Transaction, first.Transaction)
		}
		p.respond(again, msg.CommitDone{Outcome: msg.Refused})
	}
	p.run(500_000)
	again := p.onlyPending()
	p.respond(again, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{again.Transaction.Changes[0].Put}})
	p.run(200_000)
	if len(p.pending) > 0 || len(p.reads) != 1 || p.reads[0].Key != again.Transaction.Changes[0].Put {
		t.Fatalf("before the page was read: %v, reads %v", p.pendingJobs(), p.reads)
	}
	p.version++
	p.handle(p.step(1, msg.ReadDone{ID: p.reads[0].ID, Outcome: msg.OK, Key: p.reads[0].Key,
		Item: wire.KeyValue{Key: p.reads[0].Key, Value: again.Transaction.Changes[0].Value, Version: p.version + 1<<40}}))
	p.run(300_000)
	if len(p.pending) > 0 {
		t.Errorf("placed beyond the limit: %v", p.pendingJobs())
	}
	if n := len(p.startedTasks()); n != 8 {
		t.Errorf("%d tasks were started", n)
	}
}

// startedTasks returns the tasks that were started on the free machines.
func (p *placer) startedTasks() (names []string) {
	for _, tasks := range p.tasks {
		for _, x := range tasks {
			names = append(names, x.Task)
		}
	}
	return names
}

// Of jobs that are placed together, those whose records have changed are read; the others are placed
// again at once.
func TestOneOfManyRecordsHasChanged(t *testing.T) {
	p := newPlacer(t)
	for n := range 6 {
		p.submit(fmt.Sprintf("j-%d", 10+n), wire.Normal, 1)
	}
	p.run(200_000)
	first := p.onlyPending()
	p.respond(first, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{job.RecordKey("j-12")}})
	if len(p.reads) != 1 || p.reads[0].Key != job.RecordKey("j-12") {
		t.Errorf("reads %v", p.reads)
	}
	got := p.pendingJobs()
	slices.Sort(got)
	if want := []string{"j-10", "j-11", "j-13", "j-14", "j-15"}; !slices.Equal(got, want) {
		t.Errorf("placed again %v, want %v", got, want)
	}
	p.succeed(p.onlyPending())
	if n := len(p.startedTasks()); n != 5 {
		t.Errorf("%d tasks were started", n)
	}
}

// While a transaction is in flight, further placements wait, and are then committed together.
func TestPlacementsAreBatched(t *testing.T) {
	p := newPlacer(t)
	p.submit("j-20", wire.Normal, 1)
	p.run(200_000)
	first := p.onlyPending()
	for n := range 4 {
		p.submit(fmt.Sprintf("j-%d", 21+n), wire.Normal, 1)
		p.run(200_000)
	}
	if len(p.pending) > 0 {
		t.Fatalf("sent while another is in flight: %v", p.pendingJobs())
	}
	p.succeed(first)
	if got := p.pendingJobs(); len(p.pending) != 1 || len(got) != 4 {
		t.Errorf("%d transactions, of %v", len(p.pending), got)
	}
	if pages := p.onlyPending().Transaction.Changes; len(pages) != 1 {
		t.Errorf("%d pages", len(pages))
	}
}

// A gang of 512 tasks, each on a machine of its own, is placed by one transaction within the limits of
// the large sites of today.
func TestGangOf512FitsATransaction(t *testing.T) {
	for _, limits := range []struct{ kb, ops int }{{8, 12}, {4, 8}} {
		var entries []records.PlacementEntry
		for n := range 512 {
			if n%job.TasksPerShard == 0 {
				entries = append(entries, records.PlacementEntry{Job: "j-123456", Index: n / job.TasksPerShard, LastAttempt: 3})
			}
			entry := &entries[len(entries)-1]
			entry.Open = append(entry.Open, job.Placement{Task: n, Attempt: 3, Machine: fmt.Sprintf("m-%06d", 200000+n), Incarnation: 12, Zone: "portland-rack", PlacedAt: 123456})
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
			t.Errorf("%d pages of %d KiB, %d operations", pages, limits.kb, limits.ops)
		}
		t.Logf("%d pages of %d KiB", pages, limits.kb)
	}
}

// A conflict may name only one of the conditions that have failed. After an attempt without a response
// the page is read whatever the conflict names: the earlier attempt may have placed everything.
func TestConflictAfterNoResponseReadsPages(t *testing.T) {
	p := newPlacer(t)
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
		t.Fatalf("placed again before the page was read: %v", p.pendingJobs())
	}
	key := again.Transaction.Changes[0].Put
	i := slices.IndexFunc(p.reads, func(r msg.Read) bool { return r.Key == key })
	if i < 0 {
		t.Fatalf("reads %v, not %s", p.reads, key)
	}
	p.version++
	p.handle(p.step(1, msg.ReadDone{ID: p.reads[i].ID, Outcome: msg.OK, Key: key, Item: wire.KeyValue{Key: key, Value: again.Transaction.Changes[0].Value, Version: p.version + 1<<40}}))
	p.run(300_000)
	if n := len(p.startedTasks()); len(p.pending) > 0 || n != 4 {
		t.Errorf("%d tasks were started, placed again %v", n, p.pendingJobs())
	}
}

// Pages are created in the order of their numbers and by one transaction at a time, and no page is in
// two transactions: conditions on all existing pages and the next one exclude any other write.
func TestPagesAreCreatedInOrder(t *testing.T) {
	p := newPlacer(t)
	p.free, p.gpus = 40, 0 // for more than two full batches, and no limit
	for i := p.machines; i < p.machines+p.free; i++ {
		p.handle(p.step(1, p.freeHeartbeat(i)))
	}
	p.submit("j-2", wire.Normal, 1)
	p.run(200_000)
	first := p.onlyPending()
	for n := range 60 { // more than one transaction can place: the next is sent while one is in flight
		p.submit(fmt.Sprintf("j-%d", 100+n), wire.Normal, 1)
	}
	p.run(200_000)
	p.run(200_000)
	second := p.onlyPending()
	if second.Transaction.Changes[0].Put == first.Transaction.Changes[0].Put {
		t.Errorf("two transactions write %s", first.Transaction.Changes[0].Put)
	}
	if want := records.PlacementPageKey(2); second.Transaction.Changes[0].Put != want || len(second.Transaction.Changes) != 1 {
		t.Errorf("%s is created, not %s", second.Transaction.Changes[0].Put, want)
	}
	for n := range 60 {
		p.submit(fmt.Sprintf("j-%d", 200+n), wire.Normal, 1)
	}
	p.run(200_000)
	p.run(200_000)
	if len(p.pending) > 0 { // page 1 is being written and page 2 created, so page 3 has to wait
		t.Errorf("%s is created before page 2 is known to exist", p.pending[0].Transaction.Changes[0].Put)
	}
	p.succeed(second)
	if len(p.pending) == 0 {
		t.Error("no transaction follows once page 2 exists")
	}
}
