package preemption

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

func decision(t *rapid.T, name string, until Micros) Decision {
	d := Decision{Preemptor: name, Reason: Reason(rapid.IntRange(1, 3).Draw(t, "why")), Level: 4, Until: until}
	for i := range rapid.IntRange(0, 40).Draw(t, "kept") {
		d.ReservedMachines = append(d.ReservedMachines, fmt.Sprintf("m-%06d", i))
	}
	for i := range rapid.IntRange(1, 40).Draw(t, "victims") {
		d.Victims = append(d.Victims, Victim{Job: fmt.Sprintf("j-%06d", i), Task: i, Attempt: uint64(i)})
	}
	return d
}

// Whatever is decided, written and over in whichever order: what was packed is found in force
// until it isn't needed any more, no page is larger than a value may be, and a part of a decision
// has what the whole had.
func TestPages(t *testing.T) {
	const room = 1500
	fits := func(raw []byte) bool { return len(raw) <= room }
	rapid.Check(t, func(t *rapid.T) {
		var b Decisions
		now, revision := Micros(1000*config.Second), uint64(0)
		want := map[string]Micros{} // until when, by winner
		parts := map[string]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now += Micros(rapid.IntRange(0, 9).Draw(t, "s")) * config.Second
			var fresh []Decision
			for k := range rapid.IntRange(0, 6).Draw(t, "decisions") {
				d := decision(t, fmt.Sprintf("j-%d-%d", i, k), now+Micros(rapid.IntRange(1, 20).Draw(t, "for"))*config.Second)
				split := SplitToFit(d, fits)
				kept, victims := 0, 0
				for _, p := range split {
					kept, victims = kept+len(p.ReservedMachines), victims+len(p.Victims)
				}
				if kept != len(d.ReservedMachines) || victims != len(d.Victims) {
					t.Fatalf("%d of %d machines, %d of %d victims in the parts", kept, len(d.ReservedMachines), victims, len(d.Victims))
				}
				fresh = append(fresh, split...)
			}
			writes, packed := b.Pack(fresh, 3, func(d *Decision) bool { return d.InForce(now) }, fits)
			if len(writes) > 3 {
				t.Fatalf("%d pages written", len(writes))
			}
			revision++
			for _, w := range writes {
				if !fits(w.Value) || w.Version != b.Version(w.Page) {
					t.Fatalf("page %d of %d bytes over version %d", w.Page, len(w.Value), w.Version)
				}
				if err := b.Apply(w.Page, revision, w.Value); err != nil {
					t.Fatal(err)
				}
			}
			for _, d := range fresh[:packed] {
				want[d.Preemptor] = d.Until
				parts[d.Preemptor]++
			}
			got := map[string]int{}
			for _, d := range b.InForce(now) {
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

// A page that comes late, or again, changes nothing; a decision that a wrong clock has made to
// last is none.
func TestApply(t *testing.T) {
	var b Decisions
	now := Micros(1000 * config.Second)
	value := func(winner string, until Micros) []byte {
		raw, err := job.Encode([]Decision{{Preemptor: winner, Until: until}})
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for _, p := range []struct {
		version uint64
		value   []byte
	}{{7, value("new", now+config.Second)}, {5, value("old", now+config.Second)}} {
		if err := b.Apply(2, p.version, p.value); err != nil {
			t.Fatal(err)
		}
	}
	if ds := b.InForce(now); len(ds) != 1 || ds[0].Preemptor != "new" || b.Version(2) != 7 {
		t.Errorf("%+v", ds)
	}
	if err := b.Apply(3, 8, value("for ever", now+2*MaxDuration)); err != nil {
		t.Fatal(err)
	}
	if ds := b.InForce(now); len(ds) != 1 {
		t.Errorf("%+v", ds)
	}
	if err := b.Apply(2, 9, []byte("\xc1")); err == nil {
		t.Error("an unreadable page is taken")
	}
	if err := b.Apply(2, 0, nil); err != nil || len(b.InForce(now)) != 0 {
		t.Errorf("a page that was deleted is in force: %v", err)
	}
}
