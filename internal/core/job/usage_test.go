package job

import (
	"testing"

	"pgregory.net/rapid"

	"coralhub/wire"
)

// Whatever the order in which placements are closed, and however often each is closed, the usage of
// the shard is the sum of theirs, each counted once, and does not change when the shard is encoded
// and decoded.
func TestPlacementsAreChargedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shard := Shard{}
		type endedPlacement struct {
			Placement
			Occupancy
		}
		var ended []endedPlacement
		var want Usage
		for i := range rapid.IntRange(1, 12).Draw(t, "placements") {
			placement := Placement{Task: rapid.IntRange(0, 3).Draw(t, "task"), Attempt: uint64(i + 1),
				Machine: "m", Incarnation: 1, Zone: "a",
				PlacedAt: int64(rapid.IntRange(0, 50).Draw(t, "at")), Spot: rapid.Bool().Draw(t, "spot")}
			occupancy := Occupancy{End: int64(rapid.IntRange(0, 90).Draw(t, "end")),
				Lost: int64(rapid.IntRange(0, 60).Draw(t, "lost"))}
			shard.Open = append(shard.Open, placement)
			ended = append(ended, endedPlacement{placement, occupancy})
			if placement.PlacedAt == 0 || occupancy.End <= placement.PlacedAt {
				continue // the duration is unknown, or the clock was set back
			}
			duration := (occupancy.End - placement.PlacedAt) * timeUnit
			want.Time += duration
			want.Lost += min(duration, occupancy.Lost*timeUnit)
			if placement.Spot {
				want.Spot += duration
			}
		}
		for _, c := range rapid.Permutation(append(ended, ended...)).Draw(t, "order") {
			shard.Close(c.Task, c.Attempt, c.Machine, c.Occupancy)
			raw, err := EncodeShard(&shard, FormatPreemption)
			if err != nil {
				t.Fatal(err)
			}
			shard = Shard{}
			if err := DecodeShard(raw, &shard); err != nil {
				t.Fatal(err)
			}
		}
		got := Usage{}
		if shard.Usage != nil {
			got = *shard.Usage
		}
		if got != want || len(shard.Open) != 0 {
			t.Fatalf("usage %+v, want %+v; %d open placements, want 0", got, want, len(shard.Open))
		}
	})
}

// The record of a finished job must stay small, because there is one for each job ever submitted.
func TestUsageAccountIsSmall(t *testing.T) {
	spec := &wire.Job{Class: "loudness-sweep", Team: "newsroom-north", Shape: wire.Array, CPUs: 5, GPUs: 1, MemoryGB: 36}
	record := Record{Phase: Done, DoneTasks: 10,
		Account: NewUsageAccount(spec, &Usage{Time: 400_000_000, Lost: 3_000_000}, 1_900_000_000_000_000)}
	raw, err := EncodeRecord(&record, FormatPreemption)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 120 {
		t.Errorf("the record has %d bytes, want at most 120", len(raw))
	}
	t.Logf("%d bytes with the account", len(raw))
	record.Account = nil
	if raw, err = EncodeRecord(&record, FormatPreemption); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes without the account", len(raw))
}
