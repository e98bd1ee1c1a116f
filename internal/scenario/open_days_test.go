package scenario

import (
	"fmt"
	"testing"
)

// openDays are the days of TestConcurrentFaults, by kind and seed, that show faults which are not fixed yet. KNOWN-RED.txt
// lists them.
var openDays = []struct {
	kind string
	seed uint64
}{
	{"struck", 1100},
	{"copies", 1006},
	{"at_end", 5012},
}

func TestOpenDays(t *testing.T) {
	for _, day := range openDays {
		t.Run(fmt.Sprintf("%s/%d", day.kind, day.seed), func(t *testing.T) {
			t.Parallel()
			for _, problem := range runDay(t, generateDay(day.seed, day.kind)) {
				t.Error(problem)
			}
		})
	}
}
