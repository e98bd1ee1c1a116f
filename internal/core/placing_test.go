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

// placer is a leader of two full machines and five free ones. Team red may use eight GPUs more than it does.
// Transactions on pages wait for the test's answer; everything else is carried out.
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
	p.ok(p.only()) // so there is a page
	p.exited()
	p.reportAll()
	p.forgotten()
	p.run(3 * config.Second)
	p.pending = nil
	return p
}

// run lets time pass.
func (p *placer) run(d config.Micros) {
	p.t.Helper()
	for i := range p.machines + p.free { // nobody falls silent
		in := p.reportOf(i)
		if i < p.machines {
			in = p.report(i, nil)
		}
		p.take(p.step(1, in))
	}
	p.take(p.step(d, msg.Tick{WallClock: p.now}))
}

func (p *placer) take(effects []msg.Effect) {
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
		p.answer([]msg.Effect{e})
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
	p.take(p.step(1, msg.Changed{Events: []wire.Change{{Put: job.RecordKey(id), Value: value, Version: p.version + 1<<40}}}))
}

// only returns the one transaction that waits for an answer.
func (p *placer) only() msg.Commit {
	p.t.Helper()
	if len(p.pending) != 1 {
		p.t.Fatalf("%d transactions on pages wait: %v", len(p.pending), p.placedBy())
	}
	x := p.pending[0]
	p.pending = nil
	return x
}

// placedBy lists the jobs that the waiting transactions place.
func (p *placer) placedBy() (out []string) {
	for _, x := range p.pending {
		for _, g := range x.Transaction.Conditions {
			if id, _, ok := job.ParseKey(g.Key); ok {
				out = append(out, id)
			}
		}
	}
	return out
}

func (p *placer) ok(x msg.Commit) {
	p.version++
	p.done(x, msg.CommitDone{Outcome: msg.OK, Revision: p.version + 1<<40})
}

func (p *placer) done(x msg.Commit, d msg.CommitDone) {
	d.ID = x.ID
	p.take(p.step(1, d))
}

// What a transaction without an answer places is counted until it is settled, and it is sent again as it was.
func TestUnansweredPlacementCounts(t *testing.T) {
	p := newPlacer(t)
	p.submit("j-2", wire.Normal, 8)
	p.run(200_000)
	first := p.only()
	p.done(first, msg.CommitDone{Outcome: msg.Unknown})
	p.submit("j-3", wire.Production, 1)
	for range 2 {
		p.run(200_000)
		p.run(200_000)
		again := p.only() // and nothing of j-3: the limit is reached by what may have been placed
		if !reflect.DeepEqual(again.Transaction, first.Transaction) {
			t.Fatalf("sent again %+v, before %+v", again.Transaction, first.Transaction)
		}
		p.done(again, msg.CommitDone{Outcome: msg.Refused})
	}
	p.run(500_000)
	again := p.only()
	p.done(again, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{again.Transaction.Changes[0].Put}})
	p.run(200_000)
	if len(p.pending) > 0 || len(p.reads) != 1 || p.reads[0].Key != again.Transaction.Changes[0].Put {
		t.Fatalf("before the page was read: %v, reads %v", p.placedBy(), p.reads)
	}
	p.version++
	p.take(p.step(1, msg.ReadDone{ID: p.reads[0].ID, Outcome: msg.OK, Key: p.reads[0].Key,
		Item: wire.KeyValue{Key: p.reads[0].Key, Value: again.Transaction.Changes[0].Value, Version: p.version + 1<<40}}))
	p.run(300_000)
	if len(p.pending) > 0 {
		t.Errorf("placed beyond the limit: %v", p.placedBy())
	}
	if n := len(p.tasksOnFree()); n != 8 {
		t.Errorf("%d tasks were started", n)
	}
}

func (p *placer) tasksOnFree() (out []string) {
	for _, tasks := range p.tasks {
		for _, x := range tasks {
			out = append(out, x.Task)
		}
	}
	return out
}

// Of jobs that are placed together, those whose records have changed are read; the others go again at once.
func TestOneOfManyHasChanged(t *testing.T) {
	p := newPlacer(t)
	for n := range 6 {
		p.submit(fmt.Sprintf("j-%d", 10+n), wire.Normal, 1)
	}
	p.run(200_000)
	first := p.only()
	p.done(first, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{job.RecordKey("j-12")}})
	if len(p.reads) != 1 || p.reads[0].Key != job.RecordKey("j-12") {
		t.Errorf("reads %v", p.reads)
	}
	got := p.placedBy()
	slices.Sort(got)
	if want := []string{"j-10", "j-11", "j-13", "j-14", "j-15"}; !slices.Equal(got, want) {
		t.Errorf("sent again %v, want %v", got, want)
	}
	p.ok(p.only())
	if n := len(p.tasksOnFree()); n != 5 {
		t.Errorf("%d tasks were started", n)
	}
}

// While a transaction is under way what is planned waits, and then goes together.
func TestPlacementsGather(t *testing.T) {
	p := newPlacer(t)
	p.submit("j-20", wire.Normal, 1)
	p.run(200_000)
	first := p.only()
	for n := range 4 {
		p.submit(fmt.Sprintf("j-%d", 21+n), wire.Normal, 1)
		p.run(200_000)
	}
	if len(p.pending) > 0 {
		t.Fatalf("sent while another is under way: %v", p.placedBy())
	}
	p.ok(first)
	if got := p.placedBy(); len(p.pending) != 1 || len(got) != 4 {
		t.Errorf("%d transactions, of %v", len(p.pending), got)
	}
	if pages := p.only().Transaction.Changes; len(pages) != 1 {
		t.Errorf("%d pages", len(pages))
	}
}

// A gang of 512 tasks on machines of its own is placed by one transaction within the limits of today's large sites.
func TestGangOf512FitsATransaction(t *testing.T) {
	for _, limits := range []struct{ kb, ops int }{{8, 12}, {4, 8}} {
		var parts []records.PlacementEntry
		for n := range 512 {
			if n%job.TasksPerShard == 0 {
				parts = append(parts, records.PlacementEntry{Job: "j-123456", Index: n / job.TasksPerShard, LastAttempt: 3})
			}
			last := &parts[len(parts)-1]
			last.Open = append(last.Open, job.Placement{Task: n, Attempt: 3, Machine: fmt.Sprintf("m-%06d", 200000+n), Session: 12, Zone: "portland-rack", PlacedAt: 123456})
		}
		pages, size := 0, 0
		for i := range parts {
			value, err := records.EncodePlacementPage(parts[i : i+1])
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

// A refusal may name only one of the guards that have failed. After a sending without an answer the page is read
// whatever the refusal names: the earlier sending may have placed everything.
func TestRefusalAfterNoAnswerReadsPages(t *testing.T) {
	p := newPlacer(t)
	p.submit("j-2", wire.Normal, 2)
	p.submit("j-3", wire.Normal, 2)
	p.run(200_000)
	first := p.only()
	p.done(first, msg.CommitDone{Outcome: msg.Unknown})
	p.run(500_000)
	again := p.only()
	p.done(again, msg.CommitDone{Outcome: msg.Conflict, Failed: []string{job.RecordKey("j-2")}})
	p.run(300_000)
	if len(p.pending) > 0 {
		t.Fatalf("placed again before the page was read: %v", p.placedBy())
	}
	key := again.Transaction.Changes[0].Put
	i := slices.IndexFunc(p.reads, func(r msg.Read) bool { return r.Key == key })
	if i < 0 {
		t.Fatalf("reads %v, not %s", p.reads, key)
	}
	p.version++
	p.take(p.step(1, msg.ReadDone{ID: p.reads[i].ID, Outcome: msg.OK, Key: key, Item: wire.KeyValue{Key: key, Value: again.Transaction.Changes[0].Value, Version: p.version + 1<<40}}))
	p.run(300_000)
	if n := len(p.tasksOnFree()); len(p.pending) > 0 || n != 4 {
		t.Errorf("%d tasks were started, placed again %v", n, p.placedBy())
	}
}

// Pages are begun in the order of their numbers and by one transaction at a time, and no page is in two
// transactions: who guards all pages there are and the next one guards against any.
func TestPagesAreBegunInOrder(t *testing.T) {
	p := newPlacer(t)
	p.free, p.gpus = 40, 0 // for more than two full batches, and no limit
	for i := p.machines; i < p.machines+p.free; i++ {
		p.take(p.step(1, p.reportOf(i)))
	}
	p.submit("j-2", wire.Normal, 1)
	p.run(200_000)
	first := p.only()
	for n := range 60 { // more than one transaction can place: the next goes though one is under way
		p.submit(fmt.Sprintf("j-%d", 100+n), wire.Normal, 1)
	}
	p.run(200_000)
	p.run(200_000)
	second := p.only()
	if second.Transaction.Changes[0].Put == first.Transaction.Changes[0].Put {
		t.Errorf("two transactions write %s", first.Transaction.Changes[0].Put)
	}
	if want := records.PlacementPageKey(2); second.Transaction.Changes[0].Put != want || len(second.Transaction.Changes) != 1 {
		t.Errorf("%s is begun, not %s", second.Transaction.Changes[0].Put, want)
	}
	for n := range 60 {
		p.submit(fmt.Sprintf("j-%d", 200+n), wire.Normal, 1)
	}
	p.run(200_000)
	p.run(200_000)
	if len(p.pending) > 0 { // page 1 is being written, page 2 begun: page 3 has to wait
		t.Errorf("%s is begun before page 2 is known to exist", p.pending[0].Transaction.Changes[0].Put)
	}
	p.ok(second)
	if len(p.pending) == 0 {
		t.Error("nothing follows once page 2 exists")
	}
}
