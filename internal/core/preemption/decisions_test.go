package preemption

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
)

// The fixed seed makes every run check the same cases; the flag -rapid.seed selects others.
var _ = flag.Set("rapid.seed", "1")

// drawDecision draws a random decision for a preemptor.
func drawDecision(t *rapid.T, preemptor string, until Micros) Decision {
	d := Decision{Preemptor: preemptor, Reason: Reason(rapid.IntRange(1, 3).Draw(t, "why")), Level: 4, Until: until}
	for i := range rapid.IntRange(0, 40).Draw(t, "kept") {
		d.ReservedMachines = append(d.ReservedMachines, fmt.Sprintf("m-%06d", i))
	}
	for i := range rapid.IntRange(1, 40).Draw(t, "victims") {
		d.Victims = append(d.Victims, Victim{Job: fmt.Sprintf("j-%06d", i), Task: i, Attempt: uint64(i)})
	}
	return d
}

// For any sequence of decisions, writes and expirations: packed decisions are in force until they expire, no page
// exceeds the size limit of a value, and the parts of a divided decision together have all its machines and victims.
func TestPackedDecisionsAreInForceUntilTheyExpire(t *testing.T) {
	const maxValueBytes = 1500
	fits := func(raw []byte) bool { return len(raw) <= maxValueBytes }
	rapid.Check(t, func(t *rapid.T) {
		var decisions Decisions
		now, revision := 1000*config.Second, uint64(0)
		want := map[string]Micros{} // time of expiry by preemptor
		parts := map[string]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now += Micros(rapid.IntRange(0, 9).Draw(t, "s")) * config.Second
			var pending []Decision
			for k := range rapid.IntRange(0, 6).Draw(t, "decisions") {
				d := drawDecision(t, fmt.Sprintf("j-%d-%d", i, k), now+Micros(rapid.IntRange(1, 20).Draw(t, "for"))*config.Second)
				split := SplitToFit(d, fits)
				machines, victims := 0, 0
				for _, p := range split {
					machines += len(p.ReservedMachines)
					victims += len(p.Victims)
				}
				if machines != len(d.ReservedMachines) || victims != len(d.Victims) {
					t.Fatalf("the parts have %d of %d machines and %d of %d victims",
						machines, len(d.ReservedMachines), victims, len(d.Victims))
				}
				pending = append(pending, split...)
			}
			writes, packed := decisions.Pack(pending, 3, func(d *Decision) bool { return d.InForce(now) }, fits)
			if len(writes) > 3 {
				t.Fatalf("%d pages written, want at most 3", len(writes))
			}
			revision++
			for _, w := range writes {
				if !fits(w.Value) || w.Version != decisions.Version(w.Page) {
					t.Fatalf("page %d: %d bytes replace version %d, want at most %d bytes and version %d",
						w.Page, len(w.Value), w.Version, maxValueBytes, decisions.Version(w.Page))
				}
				if err := decisions.Apply(w.Page, revision, w.Value); err != nil {
					t.Fatal(err)
				}
			}
			for _, d := range pending[:packed] {
				want[d.Preemptor] = d.Until
				parts[d.Preemptor]++
			}
			got := map[string]int{}
			for _, d := range decisions.InForce(now) {
				got[d.Preemptor]++
			}
			for name, until := range want {
				if now < until && got[name] != parts[name] || now >= until && got[name] != 0 {
					t.Fatalf("%d parts of %s in force, %d were packed", got[name], name, parts[name])
				}
			}
		}
	})
}

// A version of a page that is not newer changes nothing. A decision that exceeds MaxDuration because of a wrong
// clock is not in force. A page that can't be decoded is an error, and a deleted page is empty.
func TestApplyIgnoresOldPagesAndTooLongDecisions(t *testing.T) {
	var decisions Decisions
	now := 1000 * config.Second
	value := func(preemptor string, until Micros) []byte {
		t.Helper()
		raw, err := job.Encode([]Decision{{Preemptor: preemptor, Until: until}})
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for _, p := range []struct {
		version uint64
		value   []byte
	}{{7, value("new", now+config.Second)}, {5, value("old", now+config.Second)}} {
		if err := decisions.Apply(2, p.version, p.value); err != nil {
			t.Fatal(err)
		}
	}
	if ds := decisions.InForce(now); len(ds) != 1 || ds[0].Preemptor != "new" || decisions.Version(2) != 7 {
		t.Errorf("in force: %+v at version %d, want the decision of version 7", ds, decisions.Version(2))
	}
	if err := decisions.Apply(3, 8, value("for ever", now+2*MaxDuration)); err != nil {
		t.Fatal(err)
	}
	if ds := decisions.InForce(now); len(ds) != 1 {
		t.Errorf("in force: %+v, want 1 decision", ds)
	}
	if err := decisions.Apply(2, 9, []byte("\xc1")); err == nil {
		t.Error("a page that can't be decoded was applied")
	}
	if err := decisions.Apply(2, 0, nil); err != nil || len(decisions.InForce(now)) != 0 {
		t.Errorf("after the deletion of page 2: error %v, in force: %+v", err, decisions.InForce(now))
	}
}
