package leader

import (
	"math"
	"testing"

	"coralhub/internal/config"
	"coralhub/wire"
)

// Guards against a deadline that counts as lost, because the number of tasks that a team's limit allows at once
// overflows when each of them needs little.
func TestTasksThatNeedLittleRunConcurrently(t *testing.T) {
	for _, c := range []struct {
		gpusMax, gpus float64
		want          int
	}{
		{160, 1, 100},
		{160, 16, 10},
		{160, 64, 2},
		{1, 4, 1},
		{0, 4, 100},
		{160, 0, 100},
		{160, 1e-20, 100},
		{160, 5e-324, 100},
		{math.Inf(1), 1, 100},
		{0.7, 0.1, 7},
	} {
		team := &config.Team{GPUsMax: c.gpusMax}
		if got := concurrentTasks(team, &wire.Job{GPUs: c.gpus}, 100); got != c.want {
			t.Errorf("%d of 100 tasks with %v GPUs each run at once with a limit of %v, want %d", got, c.gpus, c.gpusMax, c.want)
		}
	}
}
