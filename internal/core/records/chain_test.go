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

// heard notes which jobs were freed.
type heard struct{ freed []string }

func (h *heard) Born(*Job)                                     {}
func (h *heard) Placed(*Job, []job.Placement, []job.Placement) {}
func (h *heard) Stored(*Job)                                   {}
func (h *heard) Recorded(*Job)                                 {}
func (h *heard) Ended(*Job)                                    {}
func (h *heard) Changed(*Job)                                  {}
func (h *heard) Freed(j *Job)                                  { h.freed = append(h.freed, j.ID) }
func (h *heard) Doomed(*Job)                                   {}

func put(t *testing.T, b *Replica, version uint64, rec job.Record, n int) {
	t.Helper()
	value, err := job.EncodeRecord(&rec, job.Grouped)
	if err != nil {
		t.Fatal(err)
	}
	if ours, err := b.Apply(&wire.Change{Put: job.RecordKey(fmt.Sprintf("j-%d", n)), Value: value, Version: version}); !ours || err != nil {
		t.Fatal(ours, err)
	}
}

// chained returns a copy that holds a chain whose last job alone is urgent. The
// records come in any order.
func chained(t *testing.T, backwards bool) (*Replica, *heard) {
	t.Helper()
	h := &heard{}
	b := New(h)
	order := make([]int, links)
	for i := range order {
		order[i] = i
	}
	if backwards {
		slices.Reverse(order)
	}
	for v, n := range order {
		rec := job.Record{Created: Micros(n + 1), Spec: &wire.Job{Shape: wire.Array, Priority: wire.Low, Tasks: 1}}
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
			if j.Held() != (n > 0) || j.Priority() != wire.High {
				t.Fatalf("job %d: held %v, priority %s", n, j.Held(), j.Priority())
			}
		}
		put(t, b, links+1, job.Record{Phase: job.Done}, 0)
		if b.Job("j-1").Held() || !b.Job("j-2").Held() || !slices.Equal(h.freed, []string{"j-1"}) {
			t.Fatal("the end of a job frees the next and no other")
		}
		put(t, b, links+2, job.Record{Phase: job.Cancelled}, 1)
		for n := 2; n < links; n++ {
			if !b.Job(fmt.Sprintf("j-%d", n)).Doomed() {
				t.Fatalf("job %d goes on after a cancellation", n)
			}
		}
	}
}
