package preemption

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
)

// Each run checks the same cases; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

// decision draws a decision for a preemptor.
func decision(t *rapid.T, preemptor string, until Micros) Decision {
	d := Decision{Preemptor: preemptor, Reason: Reason(rapid.IntRange(1, 3).Draw(t, "why")), Level: 4, Until: until}
	for i := range rapid.IntRange(0, 40).Draw(t, "kept") {
		d.ReservedMachines = append(d.ReservedMachines, fmt.Sprintf("m-%06d", i))
	}
	for i := range rapid.IntRange(1, 40).Draw(t, "victims") {
		d.Victims = append(d.Victims, Victim{Job: fmt.Sprintf("j-%06d", i), Task: i, Attempt: uint64(i)})
	}
	return d
}

// Whatever is decided, written and ends in any order: packed decisions are in force until they are not needed
// any more, no page is larger than a value may be, and the parts of a decision have together what the whole
// had.
func TestPackedDecisionsAreInForceUntilTheyEnd(t *testing.T) {
	const maxValueBytes = 1500
	fits := func(raw []byte) bool { return len(raw) <= maxValueBytes }
	rapid.Check(t, func(t *rapid.T) {
		var decisions Decisions
		now, revision := 1000*config.Second, uint64(0)
		want := map[string]Micros{} // until when, by preemptor
		parts := map[string]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now += Micros(rapid.IntRange(0, 9).Draw(t, "s")) * config.Second
			var fresh []Decision
			for k := range rapid.IntRange(0, 6).Draw(t, "decisions") {
				d := decision(t, fmt.Sprintf("j-%d-%d", i, k), now+Micros(rapid.IntRange(1, 20).Draw(t, "for"))*config.Second)
				split := SplitToFit(d, fits)
				machines, victims := 0, 0
				for _, p := range split {
					machines += len(p.ReservedMachines)
					victims += len(p.Victims)
				}
				if machines != len(d.ReservedMachines) || victims != len(d.Victims) {
					t.Fatalf("%d of %d machines, %d of %d victims in the parts", machines, len(d.ReservedMachines), victims, len(d.Victims))
				}
				fresh = append(fresh, split...)
			}
			writes, packed := decisions.Pack(fresh, 3, func(d *Decision) bool { return d.InForce(now) }, fits)
			if len(writes) > 3 {
				t.Fatalf("%d pages written", len(writes))
			}
			revision++
			for _, w := range writes {
				if !fits(w.Value) || w.Version != decisions.Version(w.Page) {
					t.Fatalf("page %d of %d bytes over version %d", w.Page, len(w.Value), w.Version)
				}
				if err := decisions.Apply(w.Page, revision, w.Value); err != nil {
					t.Fatal(err)
				}
			}
			for _, d := range fresh[:packed] {
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

// An older version of a page, or the same again, changes nothing; a decision that a wrong clock has made too long
// is not in force; an unreadable page is an error, and a deleted one is empty.
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
		t.Errorf("%+v", ds)
	}
	if err := decisions.Apply(3, 8, value("for ever", now+2*MaxDuration)); err != nil {
		t.Fatal(err)
	}
	if ds := decisions.InForce(now); len(ds) != 1 {
		t.Errorf("%+v", ds)
	}
	if err := decisions.Apply(2, 9, []byte("\xc1")); err == nil {
		t.Error("an unreadable page is applied")
	}
	if err := decisions.Apply(2, 0, nil); err != nil || len(decisions.InForce(now)) != 0 {
		t.Errorf("a page that was deleted is in force: %v", err)
	}
}
