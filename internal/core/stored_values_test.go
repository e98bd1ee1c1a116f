package core

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"coralhub/internal/core/claim"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/records"
	"coralhub/internal/core/standing"
	"coralhub/internal/golden"
	"coralhub/wire"
)

// Nodes of several versions share what is stored, and it outlives all of them: the bytes and the
// keys recorded in testdata/stored must not change. Every field has a value of its own, so that
// neither a renamed field nor two fields in each other's place go unnoticed.

func storedSpec() *wire.Job {
	due := 900.5
	return &wire.Job{ID: "j-000412", Class: "train", Team: "red", Shape: wire.Gang, Priority: wire.High, Tasks: 40, CPUs: 8, GPUs: 1,
		MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "g4"}, Zone: "a", OneZone: true, Spread: true, Spot: true, EstimateS: 240,
		CheckpointS: 30, SaveS: 4, DeadlineS: &due, Needs: []string{"j-1", "j-2"}}
}

func storedPart(first int) job.Part {
	return job.Part{Done: "5", Spent: &job.Spent{Time: 7_000_000, Cheap: 5_000_000, Lost: 3_000_000}, Open: []job.Placement{
		{Task: first + 1, Attempt: 2, Machine: "m-000231", Session: 3, Zone: "a", At: 17, Cheap: true},
		{Task: first + 4, Attempt: 2, Machine: "m-000231", Session: 3, Zone: "a", At: 17, Cheap: true},
		{Task: first + 31, Attempt: 5, Machine: "m-000240", Session: 6, Zone: "b", At: 19}}}
}

func storedRecord() job.Record {
	return job.Record{Spec: storedSpec(), Phase: job.Done, Cancel: true, Created: 1764600000000000, Attempt: 11, Count: 13, Apart: true,
		Account: &job.Account{Team: "red", Class: "train", Service: true, End: 1764600099,
			Use: job.Use{CPU: 21, GPU: 22, Memory: 23, Time: 24, Cheap: 25, Lost: 26}},
		Part: storedPart(0)}
}

// withFormat is what a reader finds in a part that was written in a format: what the format
// doesn't know is missing.
func withFormat(p job.Part, f job.Format) job.Part {
	p = p.Clone()
	if f >= job.Standing {
		return p
	}
	p.Spent = nil
	for i := range p.Open {
		p.Open[i].At, p.Open[i].Cheap = 0, false
	}
	return p
}

func check(t *testing.T, name string, value []byte, err error) []byte {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "stored/"+name+".hex", value)
	return golden.Bytes(t, "stored/"+name+".hex")
}

func TestStoredRecordsAndParts(t *testing.T) {
	for f := job.Placements; f <= job.Newest; f++ {
		rec, part := storedRecord(), storedPart(32)
		value, err := job.EncodeRecord(&rec, f)
		var gotRecord job.Record
		if err := job.DecodeRecord(check(t, fmt.Sprintf("record-%d", f), value, err), &gotRecord); err != nil {
			t.Error(err)
		}
		rec.Part = withFormat(rec.Part, f)
		if !reflect.DeepEqual(gotRecord, rec) {
			t.Errorf("format %d: read %+v, stored %+v", f, gotRecord, rec)
		}
		value, err = job.EncodePart(&part, f)
		var gotPart job.Part
		if err := job.DecodePart(check(t, fmt.Sprintf("part-%d", f), value, err), &gotPart); err != nil {
			t.Error(err)
		}
		if want := withFormat(part, f); !reflect.DeepEqual(gotPart, want) {
			t.Errorf("format %d: read %+v, stored %+v", f, gotPart, want)
		}
	}
}

func TestStoredEndedAttempts(t *testing.T) {
	lines := []records.Ended{{Job: "j-000412", Task: 33, Attempt: 3, Machine: "m-000240", Done: true, Stay: job.Stay{End: 41, Lost: 42}},
		{Job: "j-7", Task: 2, Attempt: 1, Machine: "m-1", Stay: job.Stay{End: 43}}}
	for f := job.Placements; f <= job.Newest; f++ {
		value, err := records.EncodePage(lines, f)
		got, err := records.DecodePage(check(t, fmt.Sprintf("ended-%d", f), value, err))
		if err != nil {
			t.Error(err)
		}
		want := append([]records.Ended(nil), lines...)
		for i := range want {
			if f < job.Standing {
				want[i].Stay = job.Stay{}
			}
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("format %d: read %+v, stored %+v", f, got, want)
		}
	}
}

func TestStoredPlacementPages(t *testing.T) {
	parts := []records.SharedPart{{Job: "j-000412", Index: 2, Last: 9, Part: storedPart(64)}, {Job: "j-7", Index: 0, Last: 1, Part: job.Part{Done: "f"}}}
	value, err := records.EncodeShared(parts)
	got, err := records.DecodeShared(check(t, "placements", value, err))
	if err != nil || !reflect.DeepEqual(got, parts) {
		t.Errorf("read %+v, %v", got, err)
	}
}

func TestStoredDecisions(t *testing.T) {
	decisions := []standing.Decision{{Winner: "j-1", Why: standing.Guarantee, Level: 3, Order: 4, Until: 1764600000000000,
		Keep: []string{"m-1", "m-2"}, Victims: []standing.Victim{{Job: "j-2", Task: 5, Attempt: 6}, {Job: "j-3", Task: standing.WholeGang, Attempt: 7}}}}
	value, err := job.Encode(decisions)
	var got []standing.Decision
	if err := job.Decode(check(t, "decisions", value, err), &got); err != nil || !reflect.DeepEqual(got, decisions) {
		t.Errorf("read %+v, %v", got, err)
	}
	var tally, read standing.Tally
	tally.Add(standing.Yield{To: "live", From: "batch", Why: standing.Priority}, 7)
	tally.Add(standing.Yield{To: "train", From: "lab", Why: standing.Whole}, 3)
	raw := check(t, "tally", tally.Value(func([]byte) bool { return true }), nil)
	if err := read.Apply(1, raw); err != nil || !bytes.Equal(read.Value(func([]byte) bool { return true }), raw) {
		t.Errorf("read %+v, %v", read, err)
	}
	for _, w := range [][2]int{{int(standing.Priority), 1}, {int(standing.Guarantee), 2}, {int(standing.Whole), 3}} {
		if w[0] != w[1] {
			t.Errorf("a reason is stored as %d, was %d", w[0], w[1])
		}
	}
}

func TestStoredByNodes(t *testing.T) {
	notice := 7.5
	hints := []leader.Hint{{Name: "m-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Images: []string{"img-07", "img-08"}}}
	mail := []home.Line{{Machine: "m-000231", Session: 2, Seq: 88, Token: 41, NoticeS: &notice,
		Tasks: []home.Task{{Task: "j-000412/3", Attempt: 5, State: wire.Exited, Cause: wire.CauseStopped, Saved: true}}}}
	catalog := wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 200, FetchGBs: 1, Price: 12, SpotPrice: 4.5,
		BootS: 45, Zones: []string{"a", "b"}}}}
	for _, x := range []struct {
		name       string
		value, got any
	}{
		{"machines", &hints, &[]leader.Hint{}},
		{"mail", &mail, &[]home.Line{}},
		{"catalog", &catalog, &wire.Catalog{}},
		{"claim", &claim.Value{Node: "n1", Nonce: 7}, &claim.Value{}},
		{"format", &formatMark{Format: 3}, &formatMark{}},
	} {
		value, err := job.Encode(x.value)
		if err := job.Decode(check(t, x.name, value, err), x.got); err != nil || !reflect.DeepEqual(x.got, x.value) {
			t.Errorf("%s: read %+v, %v", x.name, x.got, err)
		}
	}
}

func TestStoredKeys(t *testing.T) {
	for got, want := range map[string]string{
		job.RecordKey("j-1"):     "ch/job/j-1",
		job.PartKey("j-1", 2):    "ch/part/j-1/2",
		records.PageKey(17):      "ch/ended/17",
		records.SharedKey(17):    "ch/placed/17",
		records.FormatKey:        "ch/format",
		announcePrefix:           "ch/nodes/",
		leaderKey:                "ch/leader",
		catalogKey:               "ch/catalog",
		home.MailPrefix:          "ch/mail/",
		standing.Key(3):          "ch/standing/3",
		standing.TallyKey:        "ch/standing/tally",
	} {
		if got != want {
			t.Errorf("key %s was %s", got, want)
		}
	}
	if standing.Pages != 8 || job.PartTasks != 32 || job.Newest != 4 {
		t.Error("the division of stored values has changed")
	}
}
