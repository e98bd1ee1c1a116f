package invariants

import (
	"slices"
	"testing"
)

const second = 1_000_000

// rules is applied to the histories of the tests.
var rules = Rules{CancelTimeout: 10 * second, MaxPollFailure: 90 * second, Teams: map[string]Limit{"red": {GPUs: 4}}}

// validHistory returns a history without violations: two jobs that run one after the other, and a third
// that is cancelled together with a job that depends on it.
func validHistory() []Event {
	spec := func(tasks int, needs ...string) *Spec {
		return &Spec{Team: "red", Tasks: tasks, GPUs: 1, Types: []string{"t4"}, Zone: "", OneZone: true, Needs: needs}
	}
	at := func(s float64) Micros { return Micros(s * second) }
	return []Event{
		{At: at(0), Kind: MachineAdded, Machine: "m1", Host: &Host{"t4", "a", false}},
		{At: at(0), Kind: MachineAdded, Machine: "m2", Host: &Host{"t4", "b", false}},
		{At: at(0), Kind: MachineAdded, Machine: "m3", Host: &Host{"t4", "a", true}},
		{At: at(1), Kind: JobSubmitted, Job: "j-1", Spec: spec(2)},
		{At: at(1.1), Kind: Answered, Job: "j-1", Via: BySubmit, Status: 201, JobStatus: "queued"},
		{At: at(2), Kind: JobSubmitted, Job: "j-2", Spec: spec(1, "j-1")},
		{At: at(2.1), Kind: Answered, Job: "j-2", Via: BySubmit, Status: 201, JobStatus: "queued"},
		{At: at(3), Kind: TaskStarted, Job: "j-1", Task: 0, Attempt: 1, Machine: "m1"},
		{At: at(3), Kind: TaskStarted, Job: "j-1", Task: 1, Attempt: 1, Machine: "m1"},
		{At: at(4), Kind: Answered, Job: "j-1", Via: ByPoll, Status: 200, JobStatus: "running"},
		{At: at(5), Kind: TaskDone, Job: "j-1", Task: 0},
		{At: at(5), Kind: TaskStopped, Job: "j-1", Task: 0, Attempt: 1, Machine: "m1"},
		{At: at(6), Kind: TaskDone, Job: "j-1", Task: 1},
		{At: at(6), Kind: TaskStopped, Job: "j-1", Task: 1, Attempt: 1, Machine: "m1"},
		{At: at(7), Kind: Answered, Job: "j-1", Via: ByPoll, Status: 200, JobStatus: "done"},
		{At: at(8), Kind: TaskStarted, Job: "j-2", Task: 0, Attempt: 1, Machine: "m2"},
		{At: at(9), Kind: TaskDone, Job: "j-2", Task: 0},
		{At: at(9), Kind: TaskStopped, Job: "j-2", Task: 0, Attempt: 1, Machine: "m2"},
		{At: at(10), Kind: JobSubmitted, Job: "j-3", Spec: spec(2)},
		{At: at(10.1), Kind: Answered, Job: "j-3", Via: BySubmit, Status: 201, JobStatus: "queued"},
		{At: at(11), Kind: JobSubmitted, Job: "j-4", Spec: spec(1, "j-3")},
		{At: at(11.1), Kind: Answered, Job: "j-4", Via: BySubmit, Status: 201, JobStatus: "queued"},
		{At: at(12), Kind: TaskStarted, Job: "j-3", Task: 0, Attempt: 1, Machine: "m1"},
		{At: at(13), Kind: CancelRequested, Job: "j-3"},
		{At: at(14), Kind: Answered, Job: "j-3", Via: ByCancel, Status: 200, JobStatus: "cancelled"},
		{At: at(16), Kind: TaskStopped, Job: "j-3", Task: 0, Attempt: 1, Machine: "m1"},
		{At: at(17), Kind: Answered, Job: "j-4", Via: ByPoll, Status: 200, JobStatus: "cancelled"},
		{At: at(18), Kind: Answered, Job: "j-99", Via: ByPoll, Status: 404},
		{At: at(200), Kind: Answered, Job: "j-1", Via: ByPoll, Status: 200, JobStatus: "done"},
	}
}

func TestValidHistory(t *testing.T) {
	if found := Check(rules, validHistory()); len(found) > 0 {
		t.Errorf("violations in a valid history: %v", found)
	}
}

// After the end of all faults, a job is lost if no poll for it is answered for 75 s, even if no poll for
// another job is answered either.
func TestUnanswered(t *testing.T) {
	t.Parallel()
	settled := rules
	settled.FaultsEndedAt, settled.MaxPollFailureAfterFaults = 300*second, 75*second
	for _, tt := range []struct {
		upTo float64 // time in seconds until which polls fail
		want int
	}{{374, 0}, {376, 1}} {
		events := validHistory()
		for s := 210.0; s <= tt.upTo; s += 5 {
			events = append(events, Event{At: Micros(s * second), Kind: Answered, Job: "j-2", Via: ByPoll, Status: 503})
		}
		if got := Check(settled, events); len(got) != tt.want || tt.want > 0 && got[0].Rule != "forgotten" {
			t.Errorf("polls fail until %v s: violations %v, want %d", tt.upTo, got, tt.want)
		}
	}
}

// Every rule is violated by at least one of the mutations of a valid history. The checker must report that
// rule and no other, except that a history without any start may also violate went_back.
func TestMutatedHistories(t *testing.T) {
	type mutation func([]Event) []Event
	insert := func(e Event) mutation { return func(h []Event) []Event { return append(h, e) } }
	change := func(kind Kind, job string, f func(*Event)) mutation {
		return func(h []Event) []Event {
			i := slices.IndexFunc(h, func(e Event) bool { return e.Kind == kind && e.Job == job })
			f(&h[i])
			return h
		}
	}
	remove := func(kind Kind, job string) mutation {
		return func(h []Event) []Event {
			return slices.DeleteFunc(h, func(e Event) bool { return e.Kind == kind && e.Job == job })
		}
	}
	all := func(by ...mutation) mutation {
		return func(h []Event) []Event {
			for _, m := range by {
				h = m(h)
			}
			return h
		}
	}
	at := func(s float64) Micros { return Micros(s * second) }
	respec := func(job string, f func(*Spec)) mutation {
		return change(JobSubmitted, job, func(e *Event) { f(e.Spec) })
	}
	for name, c := range map[string]struct {
		rule string
		by   mutation
	}{
		"a task starts on a second machine": {"ran_twice", insert(
			Event{At: at(4), Kind: TaskStarted, Job: "j-1", Task: 1, Attempt: 2, Machine: "m3x"})},
		"more GPUs than the limit": {"quota", respec("j-1", func(s *Spec) { s.GPUs = 3 })},
		"another type":             {"wrong_place", respec("j-1", func(s *Spec) { s.Types = []string{"a100"} })},
		"another zone":             {"wrong_place", respec("j-2", func(s *Spec) { s.Zone = "a" })},
		"a spot instance":          {"wrong_place", change(TaskStarted, "j-2", func(e *Event) { e.Machine = "m3" })},
		"two zones": {"wrong_place", all(
			insert(Event{At: at(12.5), Kind: TaskStarted, Job: "j-3", Task: 1, Attempt: 1, Machine: "m2"}),
			insert(Event{At: at(12.6), Kind: TaskStopped, Job: "j-3", Task: 1, Attempt: 1, Machine: "m2"}))},
		"tasks not spread over zones": {"wrong_place", respec("j-1",
			func(s *Spec) { s.Spread, s.OneZone = true, false })},
		"a machine that was never rented": {"wrong_place", change(TaskStarted, "j-2",
			func(e *Event) { e.Machine = "m9" })},
		"task remains after the cancellation": {"ran_cancelled", remove(TaskStopped, "j-3")},
		"task starts after the cancellation": {"ran_cancelled", insert(
			Event{At: at(30), Kind: TaskStarted, Job: "j-3", Task: 1, Attempt: 1, Machine: "m1"})},
		"404 for an accepted job": {"forgotten", insert(
			Event{At: at(8), Kind: Answered, Job: "j-1", Via: ByPoll, Status: 404})},
		"422 for a repeated submission": {"forgotten", insert(
			Event{At: at(8), Kind: Answered, Job: "j-1", Via: BySubmit, Status: 422})},
		"a job that was never submitted": {"invented", insert(
			Event{At: at(8), Kind: Answered, Job: "j-99", Via: ByPoll, Status: 200, JobStatus: "queued"})},
		"a task of a job that was never submitted": {"invented", insert(
			Event{At: at(8), Kind: TaskStarted, Job: "j-99", Machine: "m1"})},
		"done with a task missing": {"not_done", all(remove(TaskStarted, "j-2"),
			change(TaskDone, "j-1", func(e *Event) { e.Task = 1 }))},
		"done and then running": {"went_back", insert(
			Event{At: at(8), Kind: Answered, Job: "j-1", Via: ByPoll, Status: 200, JobStatus: "running"})},
		"cancelled without request": {"went_back", remove(CancelRequested, "j-3")},
		"started before a dependency is done": {"too_early", change(TaskStarted, "j-2",
			func(e *Event) { e.At = at(5.5) })},
		"queued although a dependency is cancelled": {"orphaned", all(remove(Answered, "j-4"),
			insert(Event{At: at(30), Kind: Answered, Job: "j-4", Via: ByPoll, Status: 200, JobStatus: "queued"}))},
		"no task starts": {"nothing_ran", func(h []Event) []Event {
			return slices.DeleteFunc(h, func(e Event) bool {
				return e.Kind != JobSubmitted && (e.Kind != Answered || e.JobStatus == "done")
			})
		}},
		"every poll fails": {"forgotten", func(h []Event) []Event {
			for s := 20.0; s < 130; s += 5 {
				h = append(h, Event{At: at(s), Kind: Answered, Job: "j-2", Via: ByPoll, Status: 503},
					Event{At: at(s), Kind: Answered, Job: "j-1", Via: ByPoll, Status: 200, JobStatus: "done"})
			}
			return h
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			h = append(h, Event{At: 0, Kind: MachineAdded, Machine: "m3x", Host: &Host{"t4", "a", false}})
			found := Check(rules, c.by(h))
			if len(found) == 0 {
				t.Fatalf("no violations, want one of %s", c.rule)
			}
			for _, v := range found {
				if v.Rule != c.rule && (c.rule != "nothing_ran" || v.Rule != "went_back") {
					t.Errorf("unexpected violation: %v", v)
				}
			}
		})
	}
}
