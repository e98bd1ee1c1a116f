package records

import (
	"fmt"
	"slices"
	"testing"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// chainLength is long enough to expose code that recurses along a chain of dependencies, or
// traverses all of it at each step.
const chainLength = 20000

// recordingListener records the jobs whose dependencies are met.
type recordingListener struct{ unblocked []string }

func (l *recordingListener) JobAdded(*Job)                                            {}
func (l *recordingListener) PlacementsChanged(*Job, []job.Placement, []job.Placement) {}
func (l *recordingListener) PlanOutdated(*Job)                                        {}
func (l *recordingListener) RecordChanged(*Job)                                       {}
func (l *recordingListener) JobFinished(*Job)                                         {}
func (l *recordingListener) JobChanged(*Job)                                          {}
func (l *recordingListener) DependenciesMet(j *Job) {
	l.unblocked = append(l.unblocked, j.ID)
}
func (l *recordingListener) DependencyCancelled(*Job) {}

// putRecord applies a put of the record of job j-n.
func putRecord(t *testing.T, r *Replica, version uint64, record job.Record, n int) {
	t.Helper()
	value, err := job.EncodeRecord(&record, job.FormatGrouped)
	if err != nil {
		t.Fatal(err)
	}
	if handled, err := r.Apply(&wire.Change{
		Put:     job.RecordKey(fmt.Sprintf("j-%d", n)),
		Value:   value,
		Version: version,
	}); !handled || err != nil {
		t.Fatalf("apply the record of j-%d: handled %v, error %v", n, handled, err)
	}
}

// newChain returns a replica with a chain of jobs, each of which depends on the one before. Only the
// last job has high priority. The records are applied from the first job on, or in reverse order.
func newChain(t *testing.T, backwards bool) (*Replica, *recordingListener) {
	t.Helper()
	listener := &recordingListener{}
	replica := New(listener)
	order := make([]int, chainLength)
	for i := range order {
		order[i] = i
	}
	if backwards {
		slices.Reverse(order)
	}
	for i, n := range order {
		record := job.Record{CreatedAt: Micros(n + 1), Spec: &wire.Job{Shape: wire.Array, Priority: wire.Low, Tasks: 1}}
		if n > 0 {
			record.Spec.Dependencies = []string{fmt.Sprintf("j-%d", n-1)}
		}
		if n == chainLength-1 {
			record.Spec.Priority = wire.High
		}
		putRecord(t, replica, uint64(i+1), record, n)
	}
	return replica, listener
}

func TestLongDependencyChain(t *testing.T) {
	for _, backwards := range []bool{false, true} {
		replica, listener := newChain(t, backwards)
		for n := range chainLength {
			j := replica.Job(fmt.Sprintf("j-%d", n))
			if j.Blocked() != (n > 0) || j.Priority() != wire.High {
				t.Fatalf("j-%d: blocked %v, want %v; priority %s, want %s",
					n, j.Blocked(), n > 0, j.Priority(), wire.High)
			}
		}
		putRecord(t, replica, chainLength+1, job.Record{Phase: job.Done}, 0)
		if replica.Job("j-1").Blocked() || !replica.Job("j-2").Blocked() ||
			!slices.Equal(listener.unblocked, []string{"j-1"}) {
			t.Fatalf("after j-0 is done: unblocked %q, want only j-1; blocked: j-1 %v, j-2 %v",
				listener.unblocked, replica.Job("j-1").Blocked(), replica.Job("j-2").Blocked())
		}
		putRecord(t, replica, chainLength+2, job.Record{Phase: job.Cancelled}, 1)
		for n := 2; n < chainLength; n++ {
			if !replica.Job(fmt.Sprintf("j-%d", n)).DependencyCancelled() {
				t.Fatalf("j-%d is not marked as having a cancelled dependency, though j-1 is cancelled", n)
			}
		}
	}
}
