package estimate

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes each test run draw the same cases; the flag -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

const second = 1_000_000

func drawFeatures(t *rapid.T) Features {
	return Features{
		Image:        fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "image")),
		Shape:        rapid.SampledFrom([]string{"array", "gang"}).Draw(t, "shape"),
		Class:        fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "class")),
		Team:         "t",
		Machine:      rapid.SampledFrom([]string{"", "m1", "m2"}).Draw(t, "machine"),
		UserEstimate: rapid.Int64Range(-1, 1<<40).Draw(t, "expect"),
	}
}

func drawObservation(t *rapid.T) *Observation {
	return &Observation{
		Features: drawFeatures(t),
		Elapsed:  rapid.Int64Range(-1, 1<<45).Draw(t, "ran"),
		Done:     rapid.Bool().Draw(t, "done"),
	}
}

// checkEstimate returns an error if the intervals of an estimate are not nested or a quantile is not finite.
func checkEstimate(a *RunTimeEstimate) error {
	if a.Level == Unknown {
		return nil
	}
	for _, y := range a.distribution {
		if math.IsNaN(y) || math.IsInf(y, 0) {
			return fmt.Errorf("distribution %v has a quantile that is not finite", a.distribution)
		}
	}
	low, high := a.Median, a.Median
	for i := range Intervals {
		if a.Low[i] > low || a.High[i] < high || a.Low[i] < 0 {
			return fmt.Errorf("the %v interval, %d to %d, does not contain the next narrower one, %d to %d",
				Intervals[i], a.Low[i], a.High[i], low, high)
		}
		low, high = a.Low[i], a.High[i]
	}
	return nil
}

// Intervals are nested and all quantiles are finite after any observations, also for the remaining time of a run.
func TestIntervalsNest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Settings{MaxGroups: 8, MaxMachines: 2}, 1)
		for range rapid.IntRange(0, 60).Draw(t, "runs") {
			m.Observe(drawObservation(t))
		}
		f := drawFeatures(t)
		a := m.Estimate(&f)
		if err := checkEstimate(&a); err != nil {
			t.Fatal(err)
		}
		left := a.Remaining(rapid.Int64Range(0, 1<<45).Draw(t, "for"))
		if err := checkEstimate(&left); err != nil {
			t.Fatal("remaining time: ", err)
		}
		if p := a.ProbabilityWithin(rapid.Int64Range(-1, 1<<45).Draw(t, "due")); a.Level != Unknown && !(p >= 0 && p <= 1) {
			t.Fatalf("probability %v is not between 0 and 1", p)
		}
	})
}

// Merging the chunks of several epochs gives the same model in any order and with duplicates.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*Chunk
		for epoch := range uint64(rapid.IntRange(1, 3).Draw(t, "epochs")) {
			m := New(DefaultSettings(), epoch+1)
			if epoch > 0 && rapid.Bool().Draw(t, "successor") {
				m = Restore(DefaultSettings(), epoch+1, all...)
			}
			for range rapid.IntRange(0, 30).Draw(t, "runs") {
				m.Observe(drawObservation(t))
				if rapid.IntRange(0, 9).Draw(t, "write") == 0 {
					all = append(all, m.Chunk(rapid.IntRange(0, Chunks-1).Draw(t, "chunk"), 0))
				}
			}
			for n := range Chunks {
				all = append(all, m.Chunk(n, 0))
			}
		}
		a := Restore(DefaultSettings(), 9, all...)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		b := Restore(DefaultSettings(), 9, append(shuffled, shuffled[0])...)
		for n := range Chunks {
			if x, y := a.Chunk(n, 0), b.Chunk(n, 0); !reflect.DeepEqual(x, y) {
				t.Fatalf("chunk %d depends on the order of merging:\n%+v\n%+v", n, x, y)
			}
		}
	})
}

// A successor that has restored all values gives nearly the same estimates as the previous leader.
func TestSuccessorRestoresEstimates(t *testing.T) {
	m := New(DefaultSettings(), 5)
	f := Features{Image: "i", Shape: "array", Class: "c", Team: "t", UserEstimate: 90 * second}
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		m.Observe(&Observation{
			Features: f,
			Elapsed:  int64(60 * second * math.Exp(0.3*rnd.NormFloat64())),
			Done:     rnd.IntN(5) > 0,
		})
	}
	var chunks []*Chunk
	encodedBytes := 0
	for n := range Chunks {
		raw, err := m.Encode(n, func(raw []byte) bool { return len(raw) < 1500 })
		if err != nil {
			t.Fatal(err)
		}
		if raw == nil {
			continue
		}
		encodedBytes += len(raw)
		c, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, c)
	}
	successor := Restore(DefaultSettings(), 6, chunks...)
	a, b := m.Estimate(&f), successor.Estimate(&f)
	if math.Abs(math.Log(float64(a.Median)/float64(b.Median))) > 0.03 ||
		math.Abs(math.Log(float64(a.High[1])/float64(b.High[1]))) > 0.1 {
		t.Errorf("median or 0.8 interval of the successor differs: %v, of the previous leader %v", b, a)
	}
	if a.Samples != b.Samples || a.Level != b.Level || b.Coverage[1] < 0 {
		t.Errorf("samples, level or coverage of the successor differ: %v, of the previous leader %v", b, a)
	}
	if encodedBytes > 4000 {
		t.Errorf("%d bytes for a single group of work, want at most 4000", encodedBytes)
	}
}

// Values that are damaged or in a later format version are rejected.
func TestDamagedValuesAreRejected(t *testing.T) {
	m := New(DefaultSettings(), 1)
	for i := range 50 {
		m.Observe(&Observation{
			Features: Features{Class: "c", Shape: "array", Image: fmt.Sprint(i % 5)},
			Elapsed:  second * int64(i+1),
			Done:     true,
		})
	}
	raw, err := m.Chunk(0, 0).Encode()
	if err != nil {
		t.Fatal(err)
	}
	later := append([]byte(nil), raw...)
	for i := range later {
		if later[i] == 'v' && later[i+1] == formatVersion {
			later[i+1] = formatVersion + 1
			break
		}
	}
	if _, err := Decode(later); !errors.Is(err, ErrVersion) {
		t.Errorf("decode value in a later version: got error %v, want %v", err, ErrVersion)
	}
	damaged := append([]byte(nil), raw...)
	damaged[len(damaged)-20] ^= 4
	if _, err := Decode(damaged); !errors.Is(err, ErrDamaged) {
		t.Errorf("decode damaged value: got error %v, want %v", err, ErrDamaged)
	}
}

func FuzzDecode(f *testing.F) {
	m := New(DefaultSettings(), 1)
	for i := range 50 {
		m.Observe(&Observation{
			Features: Features{Class: "c", Shape: "array", Image: fmt.Sprint(i % 5)},
			Elapsed:  second * int64(i+1),
			Done:     i%3 > 0,
		})
	}
	for n := range Chunks {
		raw, err := m.Chunk(n, 0).Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Decode(raw)
		if err != nil {
			return
		}
		restored := Restore(Settings{MaxGroups: 16, MaxMachines: 4}, 2, c)
		a := restored.Estimate(&Features{Class: "c", Shape: "array", Image: "1", UserEstimate: second})
		if err := checkEstimate(&a); err != nil {
			t.Fatal(err)
		}
	})
}

// Observing the same runs again doesn't widen an interval beyond its earlier width or the range of the runs, whichever
// is larger. The range is allowed because one run in nine that takes longer than the others is at the edge of the 0.8
// interval, and may be inside or outside.
func TestRepeatedObservationsDoNotWidenIntervals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Int64Range(40*second, 80*second), 6, 12).Draw(t, "runs")
		m := New(DefaultSettings(), 1)
		f := Features{Image: "i", Shape: "array", Class: "c", Team: "t"}
		observeAll := func() {
			for _, ran := range runs {
				m.Observe(&Observation{Features: f, Elapsed: ran, Done: true})
			}
		}
		for range 8 {
			observeAll()
		}
		before, changes := m.Estimate(&f), m.DetectedChanges()
		for range 24 {
			observeAll()
		}
		after := m.Estimate(&f)
		if m.DetectedChanges() != changes {
			return // the order of the runs was detected as a change
		}
		// A bin of errors is 6% wide, and the location may still change by as much.
		spread := math.Log(float64(slices.Max(runs)) / float64(slices.Min(runs)))
		if width(&after) > max(width(&before), spread)+2.0/binsPerLog {
			t.Fatalf("0.8 interval is %v to %v, before the repetitions %v to %v",
				after.Low[1], after.High[1], before.Low[1], before.High[1])
		}
	})
}

// width returns the width of the 0.8 interval, in natural logarithms.
func width(a *RunTimeEstimate) float64 { return math.Log(float64(a.High[1]) / float64(a.Low[1])) }

// If run times suddenly triple, the change is detected and the estimate is correct again after eight completed runs,
// with an interval that is no narrower than before. There are few false alarms.
func TestSuddenChangeIsDetected(t *testing.T) {
	correct, falseAlarms := 0, 0
	const seeds = 60
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		m := New(DefaultSettings(), 1)
		f := Features{Image: "i", Shape: "array", Class: "c", Team: "t"}
		run := func(factor float64) {
			m.Observe(&Observation{
				Features: f,
				Elapsed:  int64(60 * second * factor * math.Exp(0.25*rnd.NormFloat64())),
				Done:     true,
			})
		}
		for range 100 {
			run(1)
		}
		falseAlarms += m.DetectedChanges()
		before := m.Estimate(&f)
		if !before.Overdue(180 * second) {
			t.Errorf("seed %d: a run of three times the usual time is not overdue: upper bounds %v", seed, before.High)
		}
		for range 8 {
			run(3)
		}
		after := m.Estimate(&f)
		if m.DetectedChanges() == 0 {
			t.Errorf("seed %d: no change detected", seed)
		}
		if off := float64(after.Median) / (180 * second); off > 1/1.25 && off < 1.25 {
			correct++
		}
		if width(&after) < width(&before) {
			t.Errorf("seed %d: width of the 0.8 interval is %v after the change, %v before",
				seed, width(&after), width(&before))
		}
	}
	// With this spread of run times, the median of eight runs deviates by more than 25% in one case of a hundred.
	if correct < seeds*95/100 {
		t.Errorf("median within 25%% after eight runs for %d of %d seeds", correct, seeds)
	}
	if falseAlarms > seeds/5 {
		t.Errorf("%d false alarms in %d times 100 runs", falseAlarms, seeds)
	}
}

// Longer runs on a slow machine are attributed to the machine: the estimate of the work doesn't change.
func TestSlowMachineDoesNotAffectWorkEstimate(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 3))
	m := New(DefaultSettings(), 1)
	f := Features{Image: "i", Shape: "array", Class: "c", Team: "t"}
	for i := range 300 {
		f.Machine = fmt.Sprint("m", i%10)
		ran := 60 * math.Exp(0.25*rnd.NormFloat64())
		if i%10 == 7 {
			ran *= 4
		}
		m.Observe(&Observation{Features: f, Elapsed: int64(ran * second), Done: true})
	}
	if s := m.Slowness("m7"); s < 3 || s > 5 {
		t.Errorf("slowness of the slow machine is %v, want 3 to 5", s)
	}
	for i := range 7 {
		if s := m.Slowness(fmt.Sprint("m", i)); s > 1.3 || s < 0.75 {
			t.Errorf("slowness of m%d is %v, want 0.75 to 1.3", i, s)
		}
	}
	f.Machine = "m1"
	if a := m.Estimate(&f); a.Median < 52*second || a.Median > 68*second {
		t.Errorf("median is %v s, want 52 to 68", a.Median/second)
	}
}

// Censored runs are taken into account. If they were ignored, long runs would be missing from the data and the median
// would be too low.
func TestCensoredRunsCount(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 9))
	m, uncensored := New(DefaultSettings(), 1), New(DefaultSettings(), 1)
	f := Features{Image: "i", Shape: "array", Class: "c", Team: "t"}
	for range 400 { // each run is stopped after a random time, if it is still running
		ran, stop := int64(100*second*math.Exp(0.4*rnd.NormFloat64())), int64(rnd.IntN(300))*second
		if e := (&Observation{Features: f, Elapsed: min(ran, stop), Done: ran <= stop}); e.Elapsed > 0 {
			m.Observe(e)
			if e.Done {
				uncensored.Observe(e)
			}
		}
	}
	a, b := m.Estimate(&f), uncensored.Estimate(&f)
	if a.Median < 88*second || a.Median > 114*second || b.Median >= a.Median {
		t.Errorf("median %v s, without the censored runs %v s; the true median is 100 s",
			a.Median/second, b.Median/second)
	}
}

// Without observed runs the level is Unknown, or the estimate is the user's with wide intervals.
func TestNoObservations(t *testing.T) {
	m := New(DefaultSettings(), 1)
	a := m.Estimate(&Features{Class: "c"})
	if a.Level != Unknown || a.Median != 0 || !math.IsNaN(a.ProbabilityWithin(second)) {
		t.Errorf("estimate without data: %+v, want level Unknown, no median and no probability", a)
	}
	a = m.Estimate(&Features{Class: "c", UserEstimate: 60 * second})
	if a.Level != User || a.Median != 60*second || a.High[1] < 2*a.Median || a.Coverage[0] >= 0 {
		t.Errorf("estimate without past runs: %+v, want the user's 60 s with wide intervals", a)
	}
	// The mean error of users' estimates is also corrected for work that was never observed.
	for i := range 100 {
		m.Observe(&Observation{
			Features: Features{Class: fmt.Sprint("o", i%10), Shape: "array", UserEstimate: int64(i+10) * second},
			Elapsed:  2 * int64(i+10) * second,
			Done:     true,
		})
	}
	if a := m.Estimate(&Features{Class: "c", Team: "new", UserEstimate: 60 * second}); a.Level != Everything ||
		a.Median < 100*second || a.Median > 140*second {
		t.Errorf("estimate of work without past runs: %+v, want level Everything and a median of 100 to 140 s", a)
	}
}

// The numbers of groups, machines and classes of a model are bounded, and Estimate doesn't allocate.
func TestMemoryIsBounded(t *testing.T) {
	m := New(Settings{MaxGroups: 64, MaxMachines: 32}, 1)
	for i := range 5000 {
		m.Observe(&Observation{
			Features: Features{
				Image:   fmt.Sprint("i", i),
				Class:   fmt.Sprint("c", i%700),
				Shape:   "array",
				Team:    fmt.Sprint("t", i%90),
				Machine: fmt.Sprint("m", i),
			},
			Elapsed: second,
			Done:    true,
		})
	}
	if len(m.groups) > 64 || len(m.machines) > 32 || len(m.coverage) > 64 {
		t.Errorf("%d groups, %d machines and %d classes, want at most 64, 32 and 64",
			len(m.groups), len(m.machines), len(m.coverage))
	}
	f := Features{Image: "i4999", Class: "c99", Shape: "array", Team: "t49", UserEstimate: second, Machine: "m4999"}
	if n := testing.AllocsPerRun(100, func() { m.Estimate(&f) }); n != 0 {
		t.Errorf("Estimate makes %v allocations, want 0", n)
	}
}

func BenchmarkObserve(b *testing.B) {
	m, f := newTrainedModel()
	e := &Observation{Features: f, Elapsed: 50 * second, Done: true}
	for b.Loop() {
		m.Observe(e)
	}
}

func BenchmarkEstimate(b *testing.B) {
	m, f := newTrainedModel()
	for b.Loop() {
		m.Estimate(&f)
	}
}

func newTrainedModel() (*Model, Features) {
	rnd := rand.New(rand.NewPCG(1, 9))
	m := New(DefaultSettings(), 1)
	f := Features{Shape: "array", Team: "t", UserEstimate: 60 * second}
	for i := range 2000 {
		f.Image, f.Class, f.Machine = fmt.Sprint("image-", i%40), fmt.Sprint("class-", i%4), fmt.Sprint("m-", i%100)
		m.Observe(&Observation{Features: f, Elapsed: int64(60 * second * math.Exp(0.4*rnd.NormFloat64())), Done: i%5 > 0})
	}
	return m, f
}
