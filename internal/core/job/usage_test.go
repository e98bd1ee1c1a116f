package job

import (
	"testing"

	"pgregory.net/rapid"

	"coralhub/wire"
)

// Whatever order closings come in, however often each does: a part has spent the sum of its stays,
// each once, and says the same after it was stored and read.
func TestStaysAreChargedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Shard{}
		type end struct {
			Placement
			Occupancy
		}
		var ends []end
		var want Usage
		for i := range rapid.IntRange(1, 12).Draw(t, "placements") {
			o := Placement{Task: rapid.IntRange(0, 3).Draw(t, "task"), Attempt: uint64(i + 1), Machine: "m", Session: 1, Zone: "a",
				PlacedAt: int64(rapid.IntRange(0, 50).Draw(t, "at")), Spot: rapid.Bool().Draw(t, "cheap")}
			s := Occupancy{End: int64(rapid.IntRange(0, 90).Draw(t, "end")), Lost: int64(rapid.IntRange(0, 60).Draw(t, "lost"))}
			p.Open = append(p.Open, o)
			ends = append(ends, end{o, s})
			if o.PlacedAt == 0 || s.End <= o.PlacedAt {
				continue // not known, or a clock that went back
			}
			d := (s.End - o.PlacedAt) * timeUnit
			want.Time += d
			want.Lost += min(d, s.Lost*timeUnit)
			if o.Spot {
				want.Spot += d
			}
		}
		for _, e := range rapid.Permutation(append(ends, ends...)).Draw(t, "order") {
			p.Close(e.Task, e.Attempt, e.Machine, e.Occupancy)
			raw, err := EncodeShard(&p, FormatPreemption)
			if err != nil {
				t.Fatal(err)
			}
			p = Shard{}
			if err := DecodeShard(raw, &p); err != nil {
				t.Fatal(err)
			}
		}
		got := Usage{}
		if p.Usage != nil {
			got = *p.Usage
		}
		if got != want || len(p.Open) != 0 {
			t.Fatalf("spent %+v, should be %+v; %d open", got, want, len(p.Open))
		}
	})
}

// What is left of a job that is over stays small: there is one for each job that ever was.
func TestAccountIsSmall(t *testing.T) {
	spec := &wire.Job{Class: "loudness-sweep", Team: "newsroom-north", Shape: wire.Array, CPUs: 5, GPUs: 1, MemoryGB: 36}
	rec := Record{Phase: Done, DoneTasks: 10, Account: NewUsageAccount(spec, &Usage{Time: 400_000_000, Lost: 3_000_000}, 1_900_000_000_000_000)}
	raw, err := EncodeRecord(&rec, FormatPreemption)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 120 {
		t.Errorf("%d bytes", len(raw))
	}
	t.Logf("%d bytes", len(raw))
	rec.Account = nil
	if raw, err = EncodeRecord(&rec, FormatPreemption); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d without", len(raw))
}
