package queue

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/config"
)

// Every run checks the same cases; -rapid.seed selects others.
var _ = flag.Set("rapid.seed", "1")

// After any sequence of additions, updates and removals, the jobs within the guarantee are the same as when all amounts
// are added up again, the oldest job first.
func TestTeamQueueMatchesFullSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := &config.Team{GPUs: float64(rapid.IntRange(0, 20).Draw(t, "gpus")), CPUs: 8}
		teamQueue := NewTeamQueue(team)
		need := map[*QueuedJob]Amount{}
		var all []*QueuedJob
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			var m *QueuedJob
			if len(all) == 0 || rapid.Bool().Draw(t, "new") {
				m = &QueuedJob{Created: int64(rapid.IntRange(0, 9).Draw(t, "created")), ID: fmt.Sprint(i)}
				all = append(all, m)
			} else {
				m = rapid.SampledFrom(all).Draw(t, "member")
			}
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				teamQueue.Remove(m)
				delete(need, m)
			} else {
				gpus := float64(rapid.IntRange(0, 9).Draw(t, "need"))
				need[m] = NewAmount(float64(rapid.IntRange(0, 3).Draw(t, "cpus")), gpus)
				teamQueue.Update(m, need[m])
			}
			for _, m := range all {
				sum := Amount{}
				for o, a := range need {
					if compareByAge(o, m) <= 0 {
						sum = sum.Plus(a, 1)
					}
				}
				_, in := need[m]
				if want := in && WithinGuarantee(team, sum); m.WithinGuarantee != want {
					t.Fatalf("job %s: WithinGuarantee = %v, want %v", m.ID, m.WithinGuarantee, want)
				}
			}
		}
	})
}
