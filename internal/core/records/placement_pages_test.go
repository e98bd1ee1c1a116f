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
	parts := []PlacementEntry{
		{Job: "j-1", Index: 0, LastAttempt: 3, Shard: job.Shard{DoneSet: "5", Usage: &job.Usage{Time: 7, Spot: 2, Lost: 1}, Open: []job.Placement{
			{Task: 1, Attempt: 2, Machine: "m-1", Session: 1, Zone: "a", PlacedAt: 12},
			{Task: 4, Attempt: 2, Machine: "m-1", Session: 1, Zone: "a", PlacedAt: 12},
			{Task: 6, Attempt: 2, Machine: "m-2", Session: 9, Zone: "b", PlacedAt: 12, Spot: true},
			{Task: 31, Attempt: 3, Machine: "m-2", Session: 9, Zone: "b", PlacedAt: 13, Spot: true}}}},
		{Job: "j-2", Index: 3, LastAttempt: 1, Shard: job.Shard{Open: []job.Placement{{Task: 96, Attempt: 1, Machine: "m-3", Session: 1, Zone: "a"}}}},
		{Job: "j-3", Index: 0, LastAttempt: 8},
	}
	value, err := EncodePlacementPage(parts)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodePlacementPage(value)
	if err != nil || !reflect.DeepEqual(got, parts) {
		t.Errorf("%v\n%+v\n%+v", err, got, parts)
	}
	for _, page := range []storedPage{
		{Entries: []storedEntry{{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "1", Zone: 2}}}}}}},
		{Zones: []string{"a"}, Entries: []storedEntry{{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "x"}}}}}}},
		{Zones: []string{"a"}, Entries: []storedEntry{{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "1ffffffff"}}}}}}},
		{Zones: []string{"a"}, Entries: []storedEntry{{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "1", Zone: -1}}}}}}},
	} {
		value, err := job.Encode(&page)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePlacementPage(value); err == nil {
			t.Errorf("%+v was read", page)
		}
	}
}

// sharedWorld is a state service that one writer changes as a leader does, with the writer's copy.
type sharedWorld struct {
	t       *rapid.T
	store   map[string]wire.KeyValue
	version uint64
	replica *Replica
	jobs    int
	ended   uint64 // page of the log that is being filled
}

func (w *sharedWorld) put(key string, value []byte) {
	w.version++
	w.store[key] = wire.KeyValue{Key: key, Value: value, Version: w.version}
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
	w.record(id, &job.Record{CreatedAt: 1, Spec: &wire.Job{ID: id, Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks, CPUs: 1}})
}

func (w *sharedWorld) record(id string, rec *job.Record) {
	value, err := job.EncodeRecord(rec, job.NewestFormat)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(job.RecordKey(id), value)
}

// pick draws a job that is not over; nil: there is none.
func (w *sharedWorld) pick() *Job {
	var open []*Job
	for i := range w.jobs {
		if j := w.replica.Job(fmt.Sprintf("j-%d", i)); !j.Archived() {
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
	page := rapid.Uint64Range(1, w.replica.NextPlacementPage()).Draw(w.t, "page")
	parts := w.replica.Compacted(page)
	attempt := j.Record.LastAttempt + 1
	for n, end := j.Record.ShardRange(j.Record.Spec.Tasks); n < end; n++ {
		first, count := j.Record.ShardSpan(n, j.Record.Spec.Tasks)
		missing := j.CombinedShard(n).Missing(count)
		if len(missing) == 0 {
			continue
		}
		missing = missing[:rapid.IntRange(1, len(missing)).Draw(w.t, "how many")]
		added := PlacementEntry{Job: j.ID, Index: first / job.TasksPerShard, LastAttempt: attempt}
		for _, i := range missing {
			added.Open = append(added.Open, job.Placement{Task: first + i, Attempt: attempt, Machine: fmt.Sprintf("m-%d", i%5), Session: 1, Zone: "a", PlacedAt: 5})
		}
		if at := slices.IndexFunc(parts, func(p PlacementEntry) bool { return p.Job == j.ID && p.Index == added.Index }); at >= 0 {
			p := &parts[at]
			p.Open, p.LastAttempt = append(slices.Clip(p.Open), added.Open...), attempt
		} else {
			parts = append(parts, added)
		}
	}
	w.write(page, parts)
}

func (w *sharedWorld) write(page uint64, parts []PlacementEntry) {
	value, err := EncodePlacementPage(parts)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(PlacementPageKey(page), value)
}

// fold rewrites a page with nothing new.
func (w *sharedWorld) fold() {
	if pages := w.replica.PlacementPages(); len(pages) > 0 {
		n := rapid.SampledFrom(pages).Draw(w.t, "page")
		w.write(n, w.replica.Compacted(n))
	}
}

// end writes some ends of a job's tasks into the log.
func (w *sharedWorld) end() {
	j := w.pick()
	if j == nil || j.OpenTasks == 0 {
		return
	}
	var lines []CompletionEntry
	if p := w.replica.CompletionPage(w.ended); p != nil {
		for _, f := range p.Completions {
			lines = append(lines, f.CompletionEntry)
		}
	}
	j.EachPlacement(func(p job.Placement) {
		if rapid.Bool().Draw(w.t, "ends") {
			lines = append(lines, CompletionEntry{Job: j.ID, Task: p.Task, Attempt: p.Attempt, Machine: p.Machine, Done: rapid.Bool().Draw(w.t, "done"),
				Occupancy: job.Occupancy{End: p.PlacedAt + 10}})
		}
	})
	value, err := EncodeCompletionPage(lines, job.NewestFormat)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(CompletionPageKey(w.ended), value)
	if rapid.Bool().Draw(w.t, "next page") {
		w.ended++
	}
}

// tidy deletes pages of the log that nothing needs any more.
func (w *sharedWorld) tidy() {
	for _, n := range w.replica.CompletionPages() {
		needed := slices.ContainsFunc(w.replica.CompletionPage(n).Completions, func(f *Completion) bool {
			j := w.replica.Job(f.Job)
			return !f.Merged && j.Record.Spec != nil
		})
		if needed || n == w.ended {
			continue
		}
		w.version++
		delete(w.store, CompletionPageKey(n))
		w.apply(w.replica, wire.Change{Delete: CompletionPageKey(n), Version: w.version})
	}
}

// rewrite writes a job's record as it is known, as a node does that marks it.
func (w *sharedWorld) rewrite() {
	if j := w.pick(); j != nil {
		rec := j.Record.Clone()
		w.record(j.ID, &rec)
	}
}

// finish ends a job that has nothing open.
func (w *sharedWorld) finish() {
	if j := w.pick(); j != nil && j.OpenTasks == 0 {
		w.record(j.ID, &job.Record{Phase: job.Cancelled, DoneTasks: j.DoneTasks, Account: job.NewUsageAccount(j.Record.Spec, w.spent(j), 0)})
	}
}

func (w *sharedWorld) spent(j *Job) *job.Usage {
	return j.Record.Usage.Plus(j.PageUsage())
}

// said is what a copy says of a job.
type said struct {
	Done, Open int
	Spent      job.Usage
	Account    *job.UsageAccount
	Attempt    uint64
	Places     []job.Placement
}

func (w *sharedWorld) said(b *Replica) map[string]said {
	out := map[string]said{}
	for i := range w.jobs {
		j := b.Job(fmt.Sprintf("j-%d", i))
		s := said{Done: j.DoneTasks, Open: j.OpenTasks, Account: j.Record.Account}
		if spent := w.spent(j); spent != nil {
			s.Spent = *spent
		}
		if !j.Archived() {
			s.Attempt = j.Record.LastAttempt
		}
		j.EachPlacement(func(p job.Placement) { s.Places = append(s.Places, p) })
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
		w := &sharedWorld{t: t, store: map[string]wire.KeyValue{}, replica: New(noopListener{}), ended: 1}
		w.submit()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			step := rapid.SampledFrom([]func(){w.submit, w.place, w.place, w.place, w.end, w.end, w.fold, w.tidy, w.rewrite, w.finish}).Draw(t, "step")
			step()
		}
		want := w.said(w.replica)
		keys := slices.Sorted(maps.Keys(w.store))
		for _, order := range [][]string{keys, rapid.Permutation(keys).Draw(t, "order")} {
			fresh := New(noopListener{})
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

// noopListener is a listener that hears nothing.
type noopListener struct{}

func (noopListener) JobAdded(*Job)                                            {}
func (noopListener) PlacementsChanged(*Job, []job.Placement, []job.Placement) {}
func (noopListener) PlanOutdated(*Job)                                        {}
func (noopListener) RecordChanged(*Job)                                       {}
func (noopListener) JobFinished(*Job)                                         {}
func (noopListener) JobChanged(*Job)                                          {}
func (noopListener) DependenciesMet(*Job)                                     {}
func (noopListener) DependencyCancelled(*Job)                                 {}
