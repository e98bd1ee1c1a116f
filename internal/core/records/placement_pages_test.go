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

// An encoded page decodes to the same entries, and a malformed one is rejected.
func TestPlacementPageEncoding(t *testing.T) {
	entries := []PlacementEntry{
		{Job: "j-1", Index: 0, LastAttempt: 3, Shard: job.Shard{
			DoneSet: "5",
			Usage:   &job.Usage{Time: 7, Spot: 2, Lost: 1},
			Open: []job.Placement{
				{Task: 1, Attempt: 2, Machine: "m-1", Incarnation: 1, Zone: "a", PlacedAt: 12},
				{Task: 4, Attempt: 2, Machine: "m-1", Incarnation: 1, Zone: "a", PlacedAt: 12},
				{Task: 6, Attempt: 2, Machine: "m-2", Incarnation: 9, Zone: "b", PlacedAt: 12, Spot: true},
				{Task: 31, Attempt: 3, Machine: "m-2", Incarnation: 9, Zone: "b", PlacedAt: 13, Spot: true}}}},
		{Job: "j-2", Index: 3, LastAttempt: 1, Shard: job.Shard{
			Open: []job.Placement{{Task: 96, Attempt: 1, Machine: "m-3", Incarnation: 1, Zone: "a"}}}},
		{Job: "j-3", Index: 0, LastAttempt: 8},
	}
	value, err := EncodePlacementPage(entries)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodePlacementPage(value)
	if err != nil || !reflect.DeepEqual(got, entries) {
		t.Errorf("decode an encoded page: error %v\ngot  %+v\nwant %+v", err, got, entries)
	}
	for _, page := range []storedPage{
		{Entries: []storedEntry{{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "1", Zone: 2}}}}}}},
		{Zones: []string{"a"}, Entries: []storedEntry{
			{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "x"}}}}}}},
		{Zones: []string{"a"}, Entries: []storedEntry{
			{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "1ffffffff"}}}}}}},
		{Zones: []string{"a"}, Entries: []storedEntry{
			{Job: "j-1", Attempts: []storedAttempt{{Machines: []storedMachine{{Tasks: "1", Zone: -1}}}}}}},
	} {
		value, err := job.Encode(&page)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePlacementPage(value); err == nil {
			t.Errorf("malformed page %+v: no error, want one", page)
		}
	}
}

// leaderModel is a state service with a single writer that changes it as a leader does, and the
// writer's replica.
type leaderModel struct {
	t       *rapid.T
	store   map[string]wire.KeyValue
	version uint64
	replica *Replica
	jobs    int
	logPage uint64 // page of the completion log that is being filled
}

func (m *leaderModel) put(key string, value []byte) {
	m.version++
	m.store[key] = wire.KeyValue{Key: key, Value: value, Version: m.version}
	m.apply(m.replica, wire.Change{Put: key, Value: value, Version: m.version})
}

func (m *leaderModel) apply(replica *Replica, change wire.Change) {
	if _, err := replica.Apply(&change); err != nil {
		m.t.Fatal(err)
	}
}

func (m *leaderModel) submit() {
	id := fmt.Sprintf("j-%d", m.jobs)
	m.jobs++
	tasks := rapid.IntRange(1, 70).Draw(m.t, "tasks")
	m.putRecord(id, &job.Record{CreatedAt: 1, Spec: &wire.Job{
		ID: id, Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks, CPUs: 1}})
}

func (m *leaderModel) putRecord(id string, record *job.Record) {
	value, err := job.EncodeRecord(record, job.NewestFormat)
	if err != nil {
		m.t.Fatal(err)
	}
	m.put(job.RecordKey(id), value)
}

// pick draws a job that is not archived. It returns nil if there is none.
func (m *leaderModel) pick() *Job {
	var active []*Job
	for i := range m.jobs {
		if j := m.replica.Job(fmt.Sprintf("j-%d", i)); !j.Archived() {
			active = append(active, j)
		}
	}
	if len(active) == 0 {
		return nil
	}
	return rapid.SampledFrom(active).Draw(m.t, "job")
}

// place places some tasks of a job in an existing placement page or the next one.
func (m *leaderModel) place() {
	j := m.pick()
	if j == nil {
		return
	}
	page := rapid.Uint64Range(1, m.replica.NextPlacementPage()).Draw(m.t, "page")
	entries := m.replica.CompactedEntries(page)
	attempt := j.Record.LastAttempt + 1
	for n, end := j.Record.ShardRange(j.Record.Spec.Tasks); n < end; n++ {
		first, count := j.Record.ShardSpan(n, j.Record.Spec.Tasks)
		missing := j.CombinedShard(n).Pending(count)
		if len(missing) == 0 {
			continue
		}
		missing = missing[:rapid.IntRange(1, len(missing)).Draw(m.t, "how many")]
		added := PlacementEntry{Job: j.ID, Index: first / job.TasksPerShard, LastAttempt: attempt}
		for _, i := range missing {
			added.Open = append(added.Open, job.Placement{
				Task: first + i, Attempt: attempt, Machine: fmt.Sprintf("m-%d", i%5), Incarnation: 1, Zone: "a", PlacedAt: 5})
		}
		if i := slices.IndexFunc(entries, func(p PlacementEntry) bool {
			return p.Job == j.ID && p.Index == added.Index
		}); i >= 0 {
			entry := &entries[i]
			entry.Open = append(slices.Clip(entry.Open), added.Open...)
			entry.LastAttempt = attempt
		} else {
			entries = append(entries, added)
		}
	}
	m.putPage(page, entries)
}

func (m *leaderModel) putPage(page uint64, entries []PlacementEntry) {
	value, err := EncodePlacementPage(entries)
	if err != nil {
		m.t.Fatal(err)
	}
	m.put(PlacementPageKey(page), value)
}

// compact rewrites a placement page without new placements.
func (m *leaderModel) compact() {
	if pages := m.replica.PlacementPages(); len(pages) > 0 {
		n := rapid.SampledFrom(pages).Draw(m.t, "page")
		m.putPage(n, m.replica.CompactedEntries(n))
	}
}

// complete writes completions of some of a job's tasks into the log.
func (m *leaderModel) complete() {
	j := m.pick()
	if j == nil || j.OpenTasks == 0 {
		return
	}
	var completions []CompletionEntry
	if page := m.replica.CompletionPage(m.logPage); page != nil {
		for _, c := range page.Completions {
			completions = append(completions, c.CompletionEntry)
		}
	}
	j.EachPlacement(func(p job.Placement) {
		if rapid.Bool().Draw(m.t, "completes") {
			completions = append(completions, CompletionEntry{
				Job:       j.ID,
				Task:      p.Task,
				Attempt:   p.Attempt,
				Machine:   p.Machine,
				Done:      rapid.Bool().Draw(m.t, "done"),
				Occupancy: job.Occupancy{End: p.PlacedAt + 10},
			})
		}
	})
	value, err := EncodeCompletionPage(completions, job.NewestFormat)
	if err != nil {
		m.t.Fatal(err)
	}
	m.put(CompletionPageKey(m.logPage), value)
	if rapid.Bool().Draw(m.t, "next page") {
		m.logPage++
	}
}

// deleteMerged deletes pages of the completion log whose completions are all merged.
func (m *leaderModel) deleteMerged() {
	for _, n := range m.replica.CompletionPages() {
		needed := slices.ContainsFunc(m.replica.CompletionPage(n).Completions, func(c *Completion) bool {
			j := m.replica.Job(c.Job)
			return !c.Merged && j.Record.Spec != nil
		})
		if needed || n == m.logPage {
			continue
		}
		m.version++
		delete(m.store, CompletionPageKey(n))
		m.apply(m.replica, wire.Change{Delete: CompletionPageKey(n), Version: m.version})
	}
}

// rewrite writes a job's record back as the replica has it, as a node does to request a cancellation.
func (m *leaderModel) rewrite() {
	if j := m.pick(); j != nil {
		record := j.Record.Clone()
		m.putRecord(j.ID, &record)
	}
}

// finish cancels a job that has no open placements.
func (m *leaderModel) finish() {
	if j := m.pick(); j != nil && j.OpenTasks == 0 {
		m.putRecord(j.ID, &job.Record{
			Phase:     job.Cancelled,
			DoneTasks: j.DoneTasks,
			Account:   job.NewUsageAccount(j.Record.Spec, m.usage(j), 0),
		})
	}
}

// usage returns the total usage of a job in its record and placement pages.
func (m *leaderModel) usage(j *Job) *job.Usage {
	return j.Record.Usage.Plus(j.PageUsage())
}

// jobState is the state of a job in a replica.
type jobState struct {
	Done, Open int
	Usage      job.Usage
	Account    *job.UsageAccount
	Attempt    uint64
	Placements []job.Placement
}

// jobStates returns the state of each job in a replica by ID.
func (m *leaderModel) jobStates(replica *Replica) map[string]jobState {
	states := map[string]jobState{}
	for i := range m.jobs {
		j := replica.Job(fmt.Sprintf("j-%d", i))
		state := jobState{Done: j.DoneTasks, Open: j.OpenTasks, Account: j.Record.Account}
		if usage := m.usage(j); usage != nil {
			state.Usage = *usage
		}
		if !j.Archived() {
			state.Attempt = j.Record.LastAttempt
		}
		j.EachPlacement(func(p job.Placement) { state.Placements = append(state.Placements, p) })
		slices.SortFunc(state.Placements, func(a, b job.Placement) int {
			return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
		})
		states[j.ID] = state
	}
	return states
}

// After any sequence of writes of placement pages, records and the completion log by a leader, a
// node that starts has the same state of each job as the leader, in whichever order it reads the
// values.
func TestReplicaStateIsIndependentOfReadOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaderModel{t: t, store: map[string]wire.KeyValue{}, replica: New(noopListener{}), logPage: 1}
		m.submit()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			step := rapid.SampledFrom([]func(){
				m.submit, m.place, m.place, m.place, m.complete, m.complete, m.compact, m.deleteMerged, m.rewrite, m.finish,
			}).Draw(t, "step")
			step()
		}
		want := m.jobStates(m.replica)
		keys := slices.Sorted(maps.Keys(m.store))
		for _, order := range [][]string{keys, rapid.Permutation(keys).Draw(t, "order")} {
			fresh := New(noopListener{})
			for _, key := range order {
				item := m.store[key]
				m.apply(fresh, wire.Change{Put: key, Value: item.Value, Version: item.Version})
			}
			if got := m.jobStates(fresh); !reflect.DeepEqual(got, want) {
				t.Fatalf("job states after reading the keys in the order %v:\ngot  %+v\nwant %+v (the leader's)",
					order, got, want)
			}
		}
	})
}

// noopListener is a Listener that ignores everything.
type noopListener struct{}

func (noopListener) JobAdded(*Job)                                            {}
func (noopListener) PlacementsChanged(*Job, []job.Placement, []job.Placement) {}
func (noopListener) PlanOutdated(*Job)                                        {}
func (noopListener) RecordChanged(*Job)                                       {}
func (noopListener) JobFinished(*Job)                                         {}
func (noopListener) JobChanged(*Job)                                          {}
func (noopListener) DependenciesMet(*Job)                                     {}
func (noopListener) DependencyCancelled(*Job)                                 {}
