package startbound

import (
	"strings"
	"testing"
)

// Rows are computed from a log with lines of this and of earlier versions, in which there is capacity for half of the
// gangs.
func TestRowsFromLog(t *testing.T) {
	var b strings.Builder
	line := func(at, rest string) {
		b.WriteString("  12.5 n1 time=2026-09-21T14:" + at + ".000Z level=DEBUG msg=" + rest + "\n")
	}
	line("00:00", "leader passes=1 usable=10") // format of earlier versions
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		line("00:00", "accepted job=j-"+id+" class=train team=north tasks=5 shape=group gpus=1 estimate_s=120")
	}
	line("00:01", "accepted job=j-s class=sweep team=north tasks=50 shape=sweep gpus=0 estimate_s=10")
	line("00:02", "placing job=j-a class=train tasks=5 age_ms=2000")
	line("04:30", "placing job=j-b class=train tasks=5 age_ms=270000")
	line("05:00", `"leader statistics" cycles=1 usable=10`)
	b.WriteString("a line of something else\n")
	var l Log
	if err := l.Read(strings.NewReader(b.String())); err != nil {
		t.Fatal(err)
	}
	rows, err := l.Rows(1, 240)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != 2 || rows[1].Class != "train" || rows[1].Jobs != 8 ||
		rows[1].Bound < 0.45 || rows[1].Bound > 0.55 || rows[1].StartedShare != 0.125 || rows[1].LargestStartedShare != 1 {
		t.Errorf("got %+v, want 2 rows, the second of train: 8 jobs, bound 0.5, started 0.125, largest 1", rows)
	}
	if rows[0].Bound != 1 || rows[0].StartedShare != 0 {
		t.Errorf("got %+v, want bound 1 and no jobs started", rows[0])
	}
	if _, err := new(Log).Rows(1, 240); err == nil {
		t.Error("Rows returned no error for an empty log")
	}
}
