package core

import (
	"fmt"
	"slices"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// links is long enough for anything that recurs along a chain, or goes through
// all of it at each step, to be noticed.
const links = 20000

func link(t *testing.T, c *Core, version uint64, rec job.Record, n int) {
	t.Helper()
	value, err := job.EncodeRecord(&rec, job.Grouped)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(Micros(version), msg.Changed{Events: []wire.Change{{Put: job.RecordKey(fmt.Sprintf("j-%d", n)), Value: value, Version: version}}})
}

// chained returns a node that knows a chain whose last job alone is urgent. The
// records come in any order.
func chained(t *testing.T, backwards bool) *Core {
	t.Helper()
	cfg := &config.Config{Settings: config.Defaults()}
	cfg.Cluster.State = config.State{RPS: 10, WriteRPS: 10, ValueKB: 4, TxnOps: 8}
	c := New(cfg, 1)
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
		link(t, c, uint64(v+1), rec, n)
	}
	return c
}

func TestLongChain(t *testing.T) {
	for _, backwards := range []bool{false, true} {
		c := chained(t, backwards)
		for n := range links {
			j := c.jobs[fmt.Sprintf("j-%d", n)]
			if j.Held() != (n > 0) || j.Priority() != wire.High {
				t.Fatalf("job %d: held %v, priority %s", n, j.Held(), j.Priority())
			}
		}
		link(t, c, links+1, job.Record{Phase: job.Done}, 0)
		if c.jobs["j-1"].Held() || !c.jobs["j-2"].Held() || c.jobs["j-1"].arrived != links+1 {
			t.Fatal("the end of a job frees the next, and its times count from then")
		}
		link(t, c, links+2, job.Record{Phase: job.Cancelled}, 1)
		for n := 2; n < links; n++ {
			if !c.jobs[fmt.Sprintf("j-%d", n)].Doomed() {
				t.Fatalf("job %d goes on after a cancellation", n)
			}
		}
	}
}
