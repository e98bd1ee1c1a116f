package records

import (
	"fmt"
	"slices"
	"testing"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// links is long enough for anything that recurs along a chain, or goes through
// all of it at each step, to be noticed.
const links = 20000

// recordingListener notes which jobs were freed.
type recordingListener struct{ freed []string }

func (h *recordingListener) JobAdded(*Job)                                            {}
func (h *recordingListener) PlacementsChanged(*Job, []job.Placement, []job.Placement) {}
func (h *recordingListener) PlanOutdated(*Job)                                        {}
func (h *recordingListener) RecordChanged(*Job)                                       {}
func (h *recordingListener) JobFinished(*Job)                                         {}
func (h *recordingListener) JobChanged(*Job)                                          {}
func (h *recordingListener) DependenciesMet(j *Job)                                   { h.freed = append(h.freed, j.ID) }
func (h *recordingListener) DependencyCancelled(*Job)                                 {}

func put(t *testing.T, b *Replica, version uint64, rec job.Record, n int) {
	t.Helper()
	value, err := job.EncodeRecord(&rec, job.FormatGrouped)
	if err != nil {
		t.Fatal(err)
	}
	if ours, err := b.Apply(&wire.Change{Put: job.RecordKey(fmt.Sprintf("j-%d", n)), Value: value, Version: version}); !ours || err != nil {
		t.Fatal(ours, err)
	}
}

// chained returns a copy that holds a chain whose last job alone is urgent. The
// records come in any order.
func chained(t *testing.T, backwards bool) (*Replica, *recordingListener) {
	t.Helper()
	h := &recordingListener{}
	b := New(h)
	order := make([]int, links)
	for i := range order {
		order[i] = i
	}
	if backwards {
		slices.Reverse(order)
	}
	for v, n := range order {
		rec := job.Record{CreatedAt: Micros(n + 1), Spec: &wire.Job{Shape: wire.Array, Priority: wire.Low, Tasks: 1}}
		if n > 0 {
			rec.Spec.Needs = []string{fmt.Sprintf("j-%d", n-1)}
		}
		if n == links-1 {
			rec.Spec.Priority = wire.High
		}
		put(t, b, uint64(v+1), rec, n)
	}
	return b, h
}

func TestLongChain(t *testing.T) {
	for _, backwards := range []bool{false, true} {
		b, h := chained(t, backwards)
		for n := range links {
			j := b.Job(fmt.Sprintf("j-%d", n))
			if j.Blocked() != (n > 0) || j.Priority() != wire.High {
				t.Fatalf("job %d: held %v, priority %s", n, j.Blocked(), j.Priority())
			}
		}
		put(t, b, links+1, job.Record{Phase: job.Done}, 0)
		if b.Job("j-1").Blocked() || !b.Job("j-2").Blocked() || !slices.Equal(h.freed, []string{"j-1"}) {
			t.Fatal("the end of a job frees the next and no other")
		}
		put(t, b, links+2, job.Record{Phase: job.Cancelled}, 1)
		for n := 2; n < links; n++ {
			if !b.Job(fmt.Sprintf("j-%d", n)).DependencyCancelled() {
				t.Fatalf("job %d goes on after a cancellation", n)
			}
		}
	}
}
