package core

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/machinecache"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/internal/golden"
	"coralhub/wire"
)

// Nodes of several versions share the stored values, which are kept longer than any of these versions is in
// use: the keys, and the bytes recorded in testdata/stored, must not change. Every field has a different
// value, so that these tests detect a renamed field and two swapped fields.

func storedSpec() *wire.Job {
	deadline := 900.5
	return &wire.Job{ID: "j-000412", Class: "train", Team: "red", Shape: wire.Gang, Priority: wire.High, Tasks: 40,
		CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "g4"}, Zone: "a",
		OneZone: true, Spread: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &deadline,
		Dependencies: []string{"j-1", "j-2"}}
}

func storedShard(first int) job.Shard {
	return job.Shard{DoneSet: "5", Usage: &job.Usage{Time: 7_000_000, Spot: 5_000_000, Lost: 3_000_000},
		Open: []job.Placement{
			{Task: first + 1, Attempt: 2, Machine: "m-000231", Incarnation: 3, Zone: "a", PlacedAt: 17, Spot: true},
			{Task: first + 4, Attempt: 2, Machine: "m-000231", Incarnation: 3, Zone: "a", PlacedAt: 17, Spot: true},
			{Task: first + 31, Attempt: 5, Machine: "m-000240", Incarnation: 6, Zone: "b", PlacedAt: 19}}}
}

func storedRecord() job.Record {
	return job.Record{Spec: storedSpec(), Phase: job.Done, CancelRequested: true, CreatedAt: 1764600000000000,
		LastAttempt: 11, DoneTasks: 13, ShardsOnly: true,
		Account: &job.UsageAccount{Team: "red", Class: "train", Service: true, End: 1764600099,
			Usage: job.ResourceUsage{CPU: 21, GPU: 22, Memory: 23, Time: 24, Spot: 25, Lost: 26}},
		Shard: storedShard(0)}
}

// asDecoded returns the expected result of encoding and decoding a shard in a format: the shard without the
// fields that the format lacks.
func asDecoded(shard job.Shard, format job.Format) job.Shard {
	shard = shard.Clone()
	if format >= job.FormatPreemption {
		return shard
	}
	shard.Usage = nil
	for i := range shard.Open {
		shard.Open[i].PlacedAt, shard.Open[i].Spot = 0, false
	}
	return shard
}

// checkGolden compares an encoded value with the recorded bytes, and returns the recorded bytes.
func checkGolden(t *testing.T, name string, value []byte, err error) []byte {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "stored/"+name+".hex", value)
	return golden.Bytes(t, "stored/"+name+".hex")
}

func TestStoredRecordsAndShards(t *testing.T) {
	for f := job.FormatPlacements; f <= job.NewestFormat; f++ {
		record, shard := storedRecord(), storedShard(32)
		value, err := job.EncodeRecord(&record, f)
		var gotRecord job.Record
		if err := job.DecodeRecord(checkGolden(t, fmt.Sprintf("record-%d", f), value, err), &gotRecord); err != nil {
			t.Error(err)
		}
		record.Shard = asDecoded(record.Shard, f)
		if !reflect.DeepEqual(gotRecord, record) {
			t.Errorf("format %d: read %+v, stored %+v", f, gotRecord, record)
		}
		value, err = job.EncodeShard(&shard, f)
		var gotShard job.Shard
		if err := job.DecodeShard(checkGolden(t, fmt.Sprintf("part-%d", f), value, err), &gotShard); err != nil {
			t.Error(err)
		}
		if want := asDecoded(shard, f); !reflect.DeepEqual(gotShard, want) {
			t.Errorf("format %d: read %+v, stored %+v", f, gotShard, want)
		}
	}
}

func TestStoredCompletionPages(t *testing.T) {
	entries := []records.CompletionEntry{
		{Job: "j-000412", Task: 33, Attempt: 3, Machine: "m-000240", Done: true, Occupancy: job.Occupancy{End: 41, Lost: 42}},
		{Job: "j-7", Task: 2, Attempt: 1, Machine: "m-1", Occupancy: job.Occupancy{End: 43}}}
	for f := job.FormatPlacements; f <= job.NewestFormat; f++ {
		value, err := records.EncodeCompletionPage(entries, f)
		got, err := records.DecodeCompletionPage(checkGolden(t, fmt.Sprintf("ended-%d", f), value, err))
		if err != nil {
			t.Error(err)
		}
		want := append([]records.CompletionEntry(nil), entries...)
		for i := range want {
			if f < job.FormatPreemption {
				want[i].Occupancy = job.Occupancy{}
			}
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("format %d: read %+v, stored %+v", f, got, want)
		}
	}
}

func TestStoredPlacementPages(t *testing.T) {
	entries := []records.PlacementEntry{
		{Job: "j-000412", Index: 2, LastAttempt: 9, Shard: storedShard(64)},
		{Job: "j-7", Index: 0, LastAttempt: 1, Shard: job.Shard{DoneSet: "f"}}}
	value, err := records.EncodePlacementPage(entries)
	got, err := records.DecodePlacementPage(checkGolden(t, "placements", value, err))
	if err != nil || !reflect.DeepEqual(got, entries) {
		t.Errorf("placement page: read %+v, stored %+v, error %v", got, entries, err)
	}
}

func TestStoredPreemptions(t *testing.T) {
	decisions := []preemption.Decision{{Preemptor: "j-1", Reason: preemption.ReasonGuarantee, Level: 3, Order: 4,
		Until: 1764600000000000, ReservedMachines: []string{"m-1", "m-2"}, Victims: []preemption.Victim{
			{Job: "j-2", Task: 5, Attempt: 6}, {Job: "j-3", Task: preemption.WholeGang, Attempt: 7}}}}
	value, err := job.Encode(decisions)
	var got []preemption.Decision
	if err := job.Decode(checkGolden(t, "decisions", value, err), &got); err != nil ||
		!reflect.DeepEqual(got, decisions) {
		t.Errorf("preemption decisions: read %+v, stored %+v, error %v", got, decisions, err)
	}
	var counts, decoded preemption.Counts
	counts.Add(preemption.Pair{Preemptor: "live", Victim: "batch", Reason: preemption.ReasonPriority}, 7)
	counts.Add(preemption.Pair{Preemptor: "train", Victim: "lab", Reason: preemption.ReasonDefragmentation}, 3)
	raw := checkGolden(t, "tally", counts.Value(func([]byte) bool { return true }), nil)
	if err := decoded.Apply(1, raw); err != nil || !bytes.Equal(decoded.Value(func([]byte) bool { return true }), raw) {
		t.Errorf("preemption counts: read %+v, stored %+v, error %v", decoded, counts, err)
	}
	for _, reason := range [][2]int{{int(preemption.ReasonPriority), 1}, {int(preemption.ReasonGuarantee), 2},
		{int(preemption.ReasonDefragmentation), 3}} {
		if reason[0] != reason[1] {
			t.Errorf("a preemption reason is stored as %d, want %d", reason[0], reason[1])
		}
	}
}

func TestOtherStoredValues(t *testing.T) {
	notice := 7.5
	machines := []machinecache.Machine{{Name: "m-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true,
		Images: []string{"img-07", "img-08"}}}
	heartbeats := []relay.RelayedHeartbeat{{Machine: "m-000231", Incarnation: 2, Sequence: 88, FencingToken: 41,
		NoticeS: &notice, Tasks: []relay.RelayedTask{
			{Task: "j-000412/3", Attempt: 5, State: wire.Exited, Cause: wire.CauseStopped, Saved: true}}}}
	catalog := wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 200,
		FetchGBPerS: 1, Price: 12, SpotPrice: 4.5, BootS: 45, Zones: []string{"a", "b"}}}}
	for _, x := range []struct {
		name       string
		value, got any
	}{
		{"machines", &machines, &[]machinecache.Machine{}},
		{"mail", &heartbeats, &[]relay.RelayedHeartbeat{}},
		{"catalog", &catalog, &wire.Catalog{}},
		{"claim", &election.LeaseRecord{Node: "n1", Nonce: 7}, &election.LeaseRecord{}},
		{"format", &storedFormat{Format: 3}, &storedFormat{}},
	} {
		value, err := job.Encode(x.value)
		if err := job.Decode(checkGolden(t, x.name, value, err), x.got); err != nil || !reflect.DeepEqual(x.got, x.value) {
			t.Errorf("%s: read %+v, stored %+v, error %v", x.name, x.got, x.value, err)
		}
	}
}

func TestStoredKeys(t *testing.T) {
	for got, want := range map[string]string{
		job.RecordKey("j-1"):          "ch/job/j-1",
		job.ShardKey("j-1", 2):        "ch/part/j-1/2",
		records.CompletionPageKey(17): "ch/ended/17",
		records.PlacementPageKey(17):  "ch/placed/17",
		records.FormatKey:             "ch/format",
		announcePrefix:                "ch/nodes/",
		leaderKey:                     "ch/leader",
		catalogKey:                    "ch/catalog",
		relay.KeyPrefix:               "ch/mail/",
		preemption.PageKey(3):         "ch/standing/3",
		preemption.CountsKey:          "ch/standing/tally",
	} {
		if got != want {
			t.Errorf("key %s, want %s", got, want)
		}
	}
	if preemption.PageCount != 8 || job.TasksPerShard != 32 || job.NewestFormat != 4 {
		t.Errorf("%d pages of decisions, %d tasks per shard, newest format %d; want 8, 32 and 4",
			preemption.PageCount, job.TasksPerShard, job.NewestFormat)
	}
}
