package history

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// kind is a kind of history: how long runs really take, and what else happens.
type kind struct {
	name   string
	median float64
	spread float64 // of the logarithm of run times
	owner  float64 // spread of the logarithm of owners' errors
	bias   float64 // and what they have in common
	change func(at float64) float64
	rare   bool
	cut    float64 // part of the runs that end otherwise
}

const ln2 = math.Ln2

var kinds = []kind{
	{name: "stationary", median: 60, spread: 0.6, owner: 0.35},
	{name: "biased", median: 100, spread: 0.3, owner: 0.25, bias: 0.7},
	{name: "drift", median: 60, spread: 0.3, owner: 0.3, change: func(at float64) float64 { return at * ln2 }},
	{name: "triple", median: 60, spread: 0.3, owner: 0.3, change: func(at float64) float64 {
		if at > 0.5 {
			return math.Log(3)
		}
		return 0
	}},
	{name: "rare", median: 60, spread: 0.3, owner: 0.3, rare: true},
	{name: "censored", median: 120, spread: 0.4, owner: 0.35, cut: 0.25},
}

// generate makes a history of n runs, some of them side by side.
func generate(k kind, seed uint64, n int) []Line {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var lines []Line
	at := 0.0
	for i := range n {
		at += rnd.ExpFloat64() * 12
		class := fmt.Sprint("class-", i%2)
		shift := float64(i%2) * 0.8
		if k.rare {
			class = fmt.Sprint("class-", rnd.IntN(1+rnd.IntN(60)))
			shift = float64(len(class)) / 10
		}
		image := rnd.IntN(4)
		y := math.Log(k.median) + shift + 0.15*float64(image) + k.spread*rnd.NormFloat64()
		if k.change != nil {
			y += k.change(float64(i) / float64(n))
		}
		ran := math.Exp(y)
		l := Line{Ref: fmt.Sprint("j-", i), Class: class, Team: "t", Shape: "array", Tasks: 1, Image: fmt.Sprint(class, "-img-", image),
			ExpectS: ran * math.Exp(k.bias+k.owner*rnd.NormFloat64()), Submitted: at, Started: at, Ended: at + ran, Outcome: Done,
			Machine: fmt.Sprint("m-", rnd.IntN(40))}
		if l.Machine == "m-3" { // slow: its runs say nothing of the work
			l.Ended = at + 3*ran
		}
		if rnd.Float64() < k.cut {
			l.Outcome = []string{Cancelled, Preempted, Lost, Error}[rnd.IntN(4)]
			l.Ended = at + ran*rnd.Float64()
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return int(math.Copysign(1, a.Ended-b.Ended)) })
	return lines
}

// total adds the classes up, weighed by their runs.
func total(r *Result) (within, coverage, err, owner float64, jobs int) {
	for _, c := range r.Classes {
		n := float64(c.WithKin)
		within += n * c.Within["1.5"]
		coverage += n * c.Coverage["0.8"]
		err += n * c.LogError
		owner += n * c.OwnerLogError
		jobs += c.WithKin
	}
	n := float64(jobs)
	return within / n, coverage / n, err / n, owner / n, jobs
}

// Six kinds of history, three seeds each. What is asked of the share within a factor
// of 1.5 is 0.8 where the history's own spread, given the owner's estimate, leaves
// that much, or else nearly what it leaves.
func TestReplaysOfSixKinds(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := Replay(generate(k, seed, 1500), 0)
				within, coverage, err, owner, jobs := total(r)
				spread := 1 / math.Sqrt(1/(k.spread*k.spread)+1/(k.owner*k.owner))
				possible := math.Erf(math.Log(1.5) / spread / math.Sqrt2)
				t.Logf("seed %d: %d jobs, %.3f within 1.5 (possible %.3f), coverage %.3f, error %.3f, owners' %.3f, %d changes",
					seed, jobs, within, possible, coverage, err, owner, r.Changes)
				if within < min(0.8, possible-0.06) {
					t.Errorf("%.3f within a factor of 1.5 of possible %.3f", within, possible)
				}
				if coverage < 0.77 || coverage > 0.87 {
					t.Errorf("0.8 intervals cover %.3f", coverage)
				}
				if k.bias > 0 && err > owner/2 {
					t.Errorf("error %.3f beside the owners' %.3f", err, owner)
				}
			}
		})
	}
}

// Whatever the end of the history holds, what is said of the runs before is the same.
func TestReplayNeverLooksAhead(t *testing.T) {
	lines := generate(kinds[0], 1, 400)
	half := slices.Clone(lines[:200])
	a, b := Replay(lines, 0), Replay(half, 0)
	for i, c := range b.Classes {
		for j, p := range c.Points {
			if a.Classes[i].Points[j] != p {
				t.Fatalf("%s: %+v and %+v", c.Class, p, a.Classes[i].Points[j])
			}
		}
	}
}

func TestReadTellsOfBadLines(t *testing.T) {
	text := strings.Join([]string{
		`{"ref":"a","class":"c","team":"t","shape":"array","tasks":1,"cpus":1,"gpus":1,"memory_gb":1,"image":"i","expect_s":2,"submitted_s":0,"started_s":1,"ended_s":3,"outcome":"done","machine":"m","type":"g"}`,
		`{"class":"c","started_s":1,"ended_s":4,"outcome":"done","colour":"red"}`,
		`{"class":"c","started_s":1,"ended_s":4,"outcome":"melted"}`,
		`{"class":"c","started_s":5,"ended_s":4,"outcome":"done"}`,
		`{"class":7,"started_s":5,"ended_s":6,"outcome":"done"}`,
		`{"class":"c","started_s":5,"outcome":"done"}`,
		`not JSON`, ``,
		`{"class":"c","started_s":1,"ended_s":2,"outcome":"lost"}`,
	}, "\n")
	var told []string
	lines, skipped, err := Read(strings.NewReader(text), func(p Problem) { told = append(told, p.String()) })
	if err != nil || len(lines) != 3 || skipped != 5 {
		t.Fatalf("%d lines, %d skipped, %v", len(lines), skipped, err)
	}
	all := strings.Join(told, "\n")
	for _, want := range []string{`line 2: field "colour" is unknown`, "line 2: field image is missing", `line 3: outcome "melted" is unknown (skipped)`,
		"line 4: ended_s is before started_s (skipped)", "line 5: field class is no string (skipped)", "line 6: field ended_s is missing (skipped)",
		"line 7: not a JSON object (skipped)", "line 9: out of order"} {
		if !strings.Contains(all, want) {
			t.Errorf("%q not told of in\n%s", want, all)
		}
	}
	if _, _, err := Read(strings.NewReader("hello\nworld\n"), func(Problem) {}); !errors.Is(err, ErrNoHistory) {
		t.Errorf("no history: %v", err)
	}
}

func FuzzRead(f *testing.F) {
	for _, l := range generate(kinds[5], 3, 3) {
		raw, err := json.Marshal(l)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"class":"c","started_s":-1e300,"ended_s":1e300,"outcome":"done","expect_s":1e-320}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		lines, skipped, err := Read(bytes.NewReader(raw), func(Problem) {})
		if err != nil {
			return
		}
		for _, c := range Replay(lines, skipped).Classes {
			for _, v := range []float64{c.LogError, c.OwnerLogError, c.Within["2"], c.Coverage["0.8"], c.FirstSeen.LogError} {
				if math.IsNaN(v) || math.IsInf(v, 0) {
					t.Fatalf("%+v", c)
				}
			}
		}
	})
}
