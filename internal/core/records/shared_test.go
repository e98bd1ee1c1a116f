package records

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

func TestSharedIsReadAsWritten(t *testing.T) {
	parts := []SharedPart{
		{Job: "j-1", Index: 0, Last: 3, Part: job.Part{Done: "5", Spent: &job.Spent{Time: 7, Cheap: 2, Lost: 1}, Open: []job.Placement{
			{Task: 1, Attempt: 2, Machine: "m-1", Session: 1, Zone: "a", At: 12},
			{Task: 4, Attempt: 2, Machine: "m-1", Session: 1, Zone: "a", At: 12},
			{Task: 6, Attempt: 2, Machine: "m-2", Session: 9, Zone: "b", At: 12, Cheap: true},
			{Task: 31, Attempt: 3, Machine: "m-2", Session: 9, Zone: "b", At: 13, Cheap: true}}}},
		{Job: "j-2", Index: 3, Last: 1, Part: job.Part{Open: []job.Placement{{Task: 96, Attempt: 1, Machine: "m-3", Session: 1, Zone: "a"}}}},
		{Job: "j-3", Index: 0, Last: 8},
	}
	value, err := EncodeShared(parts)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeShared(value)
	if err != nil || !reflect.DeepEqual(got, parts) {
		t.Errorf("%v\n%+v\n%+v", err, got, parts)
	}
	for _, page := range []storedPage{
		{Parts: []storedPart{{Job: "j-1", Attempts: []storedAttempt{{Places: []storedPlace{{Tasks: "1", Zone: 2}}}}}}},
		{Zones: []string{"a"}, Parts: []storedPart{{Job: "j-1", Attempts: []storedAttempt{{Places: []storedPlace{{Tasks: "x"}}}}}}},
		{Zones: []string{"a"}, Parts: []storedPart{{Job: "j-1", Attempts: []storedAttempt{{Places: []storedPlace{{Tasks: "1ffffffff"}}}}}}},
		{Zones: []string{"a"}, Parts: []storedPart{{Job: "j-1", Attempts: []storedAttempt{{Places: []storedPlace{{Tasks: "1", Zone: -1}}}}}}},
	} {
		value, err := job.Encode(&page)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeShared(value); err == nil {
			t.Errorf("%+v was read", page)
		}
	}
}

// sharedWorld is a state service that one writer changes as a leader does, with the writer's copy.
type sharedWorld struct {
	t       *rapid.T
	store   map[string]wire.Item
	version uint64
	replica *Replica
	jobs    int
	ended   uint64 // page of the log that is being filled
}

func (w *sharedWorld) put(key string, value []byte) {
	w.version++
	w.store[key] = wire.Item{Key: key, Value: value, Version: w.version}
	w.apply(w.replica, wire.Change{Put: key, Value: value, Version: w.version})
}

func (w *sharedWorld) apply(b *Replica, ev wire.Change) {
	if _, err := b.Apply(&ev); err != nil {
		w.t.Fatal(err)
	}
}

func (w *sharedWorld) submit() {
	id := fmt.Sprintf("j-%d", w.jobs)
	w.jobs++
	tasks := rapid.IntRange(1, 70).Draw(w.t, "tasks")
	w.record(id, &job.Record{Created: 1, Spec: &wire.Job{ID: id, Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks, CPUs: 1}})
}

func (w *sharedWorld) record(id string, rec *job.Record) {
	value, err := job.EncodeRecord(rec, job.Newest)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(job.RecordKey(id), value)
}

// pick draws a job that is not over; nil: there is none.
func (w *sharedWorld) pick() *Job {
	var open []*Job
	for i := range w.jobs {
		if j := w.replica.Job(fmt.Sprintf("j-%d", i)); !j.Over() {
			open = append(open, j)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(w.t, "job")
}

// place places some tasks of a job, by a page that there is or the next.
func (w *sharedWorld) place() {
	j := w.pick()
	if j == nil {
		return
	}
	page := rapid.Uint64Range(1, w.replica.NextShared()).Draw(w.t, "page")
	parts := w.replica.Folded(page)
	attempt := j.Rec.Attempt + 1
	for n, end := j.Rec.Parts(j.Rec.Spec.Tasks); n < end; n++ {
		first, count := j.Rec.Span(n, j.Rec.Spec.Tasks)
		missing := j.Whole(n).Missing(count)
		if len(missing) == 0 {
			continue
		}
		missing = missing[:rapid.IntRange(1, len(missing)).Draw(w.t, "how many")]
		added := SharedPart{Job: j.ID, Index: first / job.PartTasks, Last: attempt}
		for _, i := range missing {
			added.Open = append(added.Open, job.Placement{Task: first + i, Attempt: attempt, Machine: fmt.Sprintf("m-%d", i%5), Session: 1, Zone: "a", At: 5})
		}
		if at := slices.IndexFunc(parts, func(p SharedPart) bool { return p.Job == j.ID && p.Index == added.Index }); at >= 0 {
			p := &parts[at]
			p.Open, p.Last = append(slices.Clip(p.Open), added.Open...), attempt
		} else {
			parts = append(parts, added)
		}
	}
	w.write(page, parts)
}

func (w *sharedWorld) write(page uint64, parts []SharedPart) {
	value, err := EncodeShared(parts)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(SharedKey(page), value)
}

// fold rewrites a page with nothing new.
func (w *sharedWorld) fold() {
	if pages := w.replica.SharedPages(); len(pages) > 0 {
		n := rapid.SampledFrom(pages).Draw(w.t, "page")
		w.write(n, w.replica.Folded(n))
	}
}

// end writes some ends of a job's tasks into the log.
func (w *sharedWorld) end() {
	j := w.pick()
	if j == nil || j.Open == 0 {
		return
	}
	var lines []Ended
	if p := w.replica.Page(w.ended); p != nil {
		for _, f := range p.Facts {
			lines = append(lines, f.Ended)
		}
	}
	j.EachOpen(func(p job.Placement) {
		if rapid.Bool().Draw(w.t, "ends") {
			lines = append(lines, Ended{Job: j.ID, Task: p.Task, Attempt: p.Attempt, Machine: p.Machine, Done: rapid.Bool().Draw(w.t, "done"),
				Stay: job.Stay{End: p.At + 10}})
		}
	})
	value, err := EncodePage(lines, job.Newest)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(PageKey(w.ended), value)
	if rapid.Bool().Draw(w.t, "next page") {
		w.ended++
	}
}

// tidy deletes pages of the log that nothing needs any more.
func (w *sharedWorld) tidy() {
	for _, n := range w.replica.Pages() {
		needed := slices.ContainsFunc(w.replica.Page(n).Facts, func(f *Fact) bool {
			j := w.replica.Job(f.Job)
			return !f.Merged && j.Rec.Spec != nil
		})
		if needed || n == w.ended {
			continue
		}
		w.version++
		delete(w.store, PageKey(n))
		w.apply(w.replica, wire.Change{Delete: PageKey(n), Version: w.version})
	}
}

// rewrite writes a job's record as it is known, as a node does that marks it.
func (w *sharedWorld) rewrite() {
	if j := w.pick(); j != nil {
		rec := j.Rec.Clone()
		w.record(j.ID, &rec)
	}
}

// finish ends a job that has nothing open.
func (w *sharedWorld) finish() {
	if j := w.pick(); j != nil && j.Open == 0 {
		w.record(j.ID, &job.Record{Phase: job.Cancelled, Count: j.Done, Account: job.AccountOf(j.Rec.Spec, w.spent(j), 0)})
	}
}

func (w *sharedWorld) spent(j *Job) *job.Spent {
	return j.Rec.Spent.Plus(j.SharedSpent())
}

// said is what a copy says of a job.
type said struct {
	Done, Open int
	Spent      job.Spent
	Account    *job.Account
	Attempt    uint64
	Places     []job.Placement
}

func (w *sharedWorld) said(b *Replica) map[string]said {
	out := map[string]said{}
	for i := range w.jobs {
		j := b.Job(fmt.Sprintf("j-%d", i))
		s := said{Done: j.Done, Open: j.Open, Account: j.Rec.Account}
		if spent := w.spent(j); spent != nil {
			s.Spent = *spent
		}
		if !j.Over() {
			s.Attempt = j.Rec.Attempt
		}
		j.EachOpen(func(p job.Placement) { s.Places = append(s.Places, p) })
		slices.SortFunc(s.Places, func(a, b job.Placement) int {
			return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
		})
		out[j.ID] = s
	}
	return out
}

// Whatever a leader has done with pages, records and the log, a node that begins now reads the same
// of each job as the leader knows, in whichever order it reads.
func TestSharedMeansTheSameToAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &sharedWorld{t: t, store: map[string]wire.Item{}, replica: New(silent{}), ended: 1}
		w.submit()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			step := rapid.SampledFrom([]func(){w.submit, w.place, w.place, w.place, w.end, w.end, w.fold, w.tidy, w.rewrite, w.finish}).Draw(t, "step")
			step()
		}
		want := w.said(w.replica)
		keys := slices.Sorted(maps.Keys(w.store))
		for _, order := range [][]string{keys, rapid.Permutation(keys).Draw(t, "order")} {
			fresh := New(silent{})
			for _, key := range order {
				it := w.store[key]
				w.apply(fresh, wire.Change{Put: key, Value: it.Value, Version: it.Version})
			}
			if got := w.said(fresh); !reflect.DeepEqual(got, want) {
				t.Fatalf("read in the order %v:\n%+v\nthe leader:\n%+v", order, got, want)
			}
		}
	})
}

// silent is a listener that hears nothing.
type silent struct{}

func (silent) Born(*Job)                                     {}
func (silent) Placed(*Job, []job.Placement, []job.Placement) {}
func (silent) Stored(*Job)                                   {}
func (silent) Recorded(*Job)                                 {}
func (silent) Ended(*Job)                                    {}
func (silent) Changed(*Job)                                  {}
func (silent) Freed(*Job)                                    {}
func (silent) Doomed(*Job)                                   {}
