package job

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"coralhub/wire"
)

func fullRecord(zone string) *Record {
	deadline := 900.5
	r := &Record{Spec: &wire.Job{ID: "j-123456789012", Class: strings.Repeat("c", 40), Team: strings.Repeat("t", 40),
		Shape: wire.Array, Priority: wire.Normal,
		Tasks: wire.MaxTasksPerJob, CPUs: 1.2345678901234, GPUs: 1, MemoryGB: 29.000001, Image: strings.Repeat("i", 40),
		Types: []string{"g8", "g16"}, DeadlineS: &deadline},
		CreatedAt: 1_900_000_000_000_000, LastAttempt: 123456, DoneTasks: wire.MaxTasksPerJob}
	for i := range TasksPerShard {
		r.Open = append(r.Open, Placement{Task: i, Attempt: 123456, Machine: "m-00000231", Incarnation: 12, Zone: zone})
		r.SetDone(i)
	}
	return r
}

// A record with all of its tasks placed must fit the smallest value limit in use.
func TestFullRecordFitsSmallestValue(t *testing.T) {
	r := fullRecord("a-zone-with-a-name")
	raw, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if n := wire.JSONSize(raw); n > 4096 {
		t.Fatalf("the record has %d bytes, want at most 4096", n)
	}
	var decoded Record
	if err := Decode(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(r, &decoded) {
		t.Fatalf("decoded record:\ngot  %+v\nwant %+v", decoded, *r)
	}
}

func TestMalformedTaskSetHasNoTasks(t *testing.T) {
	for set, want := range map[string]int{"": 0, "5": 2, "ffffffffffffffff": 64, "x": 0, "1ffffffffffffffff": 0} {
		if got := CountDoneSet(set); got != want {
			t.Errorf("%q has %d tasks, want %d", set, got, want)
		}
	}
}

func TestShrinkKeepsPhaseAndDoneTasks(t *testing.T) {
	r := Record{Spec: &wire.Job{}, Phase: Done, DoneTasks: 3}
	r.Shrink()
	if r.Spec != nil || r.Phase != Done || r.DoneTasks != 3 || !r.Final() {
		t.Fatalf("shrunk record %+v, want only phase %q and 3 done tasks", r, Done)
	}
}

// The done tasks and the open placements of a shard behave like sets.
func TestShardBehavesLikeSets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var shard Shard
	done, open := map[int]bool{}, map[int]bool{}
	for range 5000 {
		i := random.IntN(TasksPerShard)
		switch random.IntN(3) {
		case 0:
			shard.SetDone(i)
			done[i] = true
		case 1:
			if !open[i] {
				shard.Open = append(shard.Open, Placement{Task: i, Attempt: 1, Machine: "m"})
				open[i] = true
			}
		case 2:
			before := shard.Clone()
			if shard.Remove(i, 1, "m") != open[i] {
				t.Fatalf("Remove of task %d returned %v, want %v", i, !open[i], open[i])
			}
			if len(before.Open) != len(open) {
				t.Fatalf("clone made before Remove has %d open placements, want %d", len(before.Open), len(open))
			}
			delete(open, i)
		}
		if shard.DoneCount() != len(done) || len(shard.Open) != len(open) || shard.IsDone(i) != done[i] {
			t.Fatalf("shard %+v, want done tasks %v and open tasks %v", shard, done, open)
		}
		for _, m := range shard.Pending(TasksPerShard) {
			if done[m] || open[m] {
				t.Fatalf("Pending returned task %d: done %v, open %v, want neither", m, done[m], open[m])
			}
		}
	}
}

func TestParseKey(t *testing.T) {
	for _, tt := range []struct {
		key, id string
		shard   int
		ok      bool
	}{
		{RecordKey("j-1"), "j-1", 0, true},
		{ShardKey("j-1", 7), "j-1", 7, true},
		{ShardKey("j-1", 0), "j-1", 0, false},
		{KeyRoot + "leader", "", 0, false},
		{"", "", 0, false},
	} {
		id, shard, ok := ParseKey(tt.key)
		if ok != tt.ok || ok && (id != tt.id || shard != tt.shard) {
			t.Errorf("ParseKey(%q) = %q, %d, %v, want %q, %d, %v", tt.key, id, shard, ok, tt.id, tt.shard, tt.ok)
		}
	}
}
