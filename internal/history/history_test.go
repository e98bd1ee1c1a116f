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

// workload is the specification of a generated history.
type workload struct {
	name             string
	median           float64                  // of the run times, in seconds
	spread           float64                  // standard deviation of the logarithms of run times
	user             float64                  // standard deviation of the logarithms of the errors of users' estimates
	bias             float64                  // mean of these logarithms
	change           func(at float64) float64 // change of the logarithm of run times at a fraction of the history
	rareClasses      bool                     // many classes with few runs
	censoredFraction float64                  // fraction of the runs with an outcome other than Done
}

const ln2 = math.Ln2

var workloads = []workload{
	{name: "stationary", median: 60, spread: 0.6, user: 0.35},
	{name: "biased", median: 100, spread: 0.3, user: 0.25, bias: 0.7},
	{name: "drift", median: 60, spread: 0.3, user: 0.3, change: func(at float64) float64 { return at * ln2 }},
	{name: "triple", median: 60, spread: 0.3, user: 0.3, change: func(at float64) float64 {
		if at > 0.5 {
			return math.Log(3)
		}
		return 0
	}},
	{name: "rare", median: 60, spread: 0.3, user: 0.3, rareClasses: true},
	{name: "censored", median: 120, spread: 0.4, user: 0.35, censoredFraction: 0.25},
}

// generate returns a history of n runs, some of them concurrent.
func generate(w workload, seed uint64, n int) []Run {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var lines []Run
	at := 0.0
	for i := range n {
		at += rnd.ExpFloat64() * 12
		class := fmt.Sprint("class-", i%2)
		shift := float64(i%2) * 0.8
		if w.rareClasses {
			class = fmt.Sprint("class-", rnd.IntN(1+rnd.IntN(60)))
			shift = float64(len(class)) / 10
		}
		image := rnd.IntN(4)
		y := math.Log(w.median) + shift + 0.15*float64(image) + w.spread*rnd.NormFloat64()
		if w.change != nil {
			y += w.change(float64(i) / float64(n))
		}
		ran := math.Exp(y)
		l := Run{
			Ref:       fmt.Sprint("j-", i),
			Class:     class,
			Team:      "t",
			Shape:     "array",
			Tasks:     1,
			Image:     fmt.Sprint(class, "-img-", image),
			ExpectS:   ran * math.Exp(w.bias+w.user*rnd.NormFloat64()),
			Submitted: at,
			Started:   at,
			Ended:     at + ran,
			Outcome:   Done,
			Machine:   fmt.Sprint("m-", rnd.IntN(40)),
		}
		if l.Machine == "m-3" { // a slow machine, on which runs take three times as long
			l.Ended = at + 3*ran
		}
		if rnd.Float64() < w.censoredFraction {
			l.Outcome = []string{Cancelled, Preempted, Lost, Error}[rnd.IntN(4)]
			l.Ended = at + ran*rnd.Float64()
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b Run) int { return int(math.Copysign(1, a.Ended-b.Ended)) })
	return lines
}

// total returns the means over the classes, weighted by their numbers of runs with similar runs, and the sum of these
// numbers.
func total(r *Result) (within, coverage, logError, userLogError float64, jobs int) {
	for _, c := range r.Classes {
		n := float64(c.WithSimilar)
		within += n * c.Within["1.5"]
		coverage += n * c.Coverage["0.8"]
		logError += n * c.LogError
		userLogError += n * c.UserLogError
		jobs += c.WithSimilar
	}
	n := float64(jobs)
	return within / n, coverage / n, logError / n, userLogError / n, jobs
}

// Estimates are accurate for six workloads, three seeds each. A fraction of 0.8 of the estimates has to be within a
// factor of 1.5 of the run time, or nearly the attainable fraction if that is less because of the spread of the run
// times, given the user's estimates.
func TestReplayAccuracy(t *testing.T) {
	for _, w := range workloads {
		t.Run(w.name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := Replay(generate(w, seed, 1500), 0)
				within, coverage, logError, userLogError, jobs := total(r)
				spread := 1 / math.Sqrt(1/(w.spread*w.spread)+1/(w.user*w.user))
				attainable := math.Erf(math.Log(1.5) / spread / math.Sqrt2)
				t.Logf("seed %d: %d jobs, %.3f within 1.5 (attainable %.3f), coverage %.3f, log error %.3f, "+
					"users' %.3f, %d changes",
					seed, jobs, within, attainable, coverage, logError, userLogError, r.Changes)
				if within < min(0.8, attainable-0.06) {
					t.Errorf("%.3f of the estimates within a factor of 1.5, %.3f is attainable", within, attainable)
				}
				if coverage < 0.77 || coverage > 0.87 {
					t.Errorf("coverage of the 0.8 intervals is %.3f, want 0.77 to 0.87", coverage)
				}
				if w.bias > 0 && logError > userLogError/2 {
					t.Errorf("log error is %.3f, want at most half of the users' %.3f", logError, userLogError)
				}
			}
		})
	}
}

// Estimates don't depend on later runs: those of the first half of a history are the same without the second half.
func TestReplayUsesOnlyEarlierRuns(t *testing.T) {
	lines := generate(workloads[0], 1, 400)
	firstHalf := slices.Clone(lines[:200])
	a, b := Replay(lines, 0), Replay(firstHalf, 0)
	for i, c := range b.Classes {
		for j, p := range c.Points {
			if a.Classes[i].Points[j] != p {
				t.Fatalf("class %s: estimate %+v of the first half alone, %+v of the whole history",
					c.Class, p, a.Classes[i].Points[j])
			}
		}
	}
}

// Read skips unusable lines and reports every problem.
func TestReadReportsProblems(t *testing.T) {
	text := strings.Join([]string{
		`{"ref":"a","class":"c","team":"t","shape":"array","tasks":1,"cpus":1,"gpus":1,"memory_gb":1,` +
			`"image":"i","expect_s":2,"submitted_s":0,"started_s":1,"ended_s":3,"outcome":"done",` +
			`"machine":"m","type":"g"}`,
		`{"class":"c","started_s":1,"ended_s":4,"outcome":"done","colour":"red"}`,
		`{"class":"c","started_s":1,"ended_s":4,"outcome":"melted"}`,
		`{"class":"c","started_s":5,"ended_s":4,"outcome":"done"}`,
		`{"class":7,"started_s":5,"ended_s":6,"outcome":"done"}`,
		`{"class":"c","started_s":5,"outcome":"done"}`,
		`not JSON`, ``,
		`{"class":"c","started_s":1,"ended_s":2,"outcome":"lost"}`,
	}, "\n")
	var reported []string
	lines, skipped, err := Read(strings.NewReader(text), func(p Problem) { reported = append(reported, p.String()) })
	if err != nil || len(lines) != 3 || skipped != 5 {
		t.Fatalf("%d lines, %d skipped, error %v, want 3 lines, 5 skipped", len(lines), skipped, err)
	}
	all := strings.Join(reported, "\n")
	for _, want := range []string{
		`line 2: field "colour" is unknown`,
		"line 2: field image is missing",
		`line 3: outcome "melted" is unknown (skipped)`,
		"line 4: ended_s is before started_s (skipped)",
		"line 5: field class: expected string, found number (skipped)",
		"line 6: field ended_s is missing (skipped)",
		"line 7: not a JSON object (skipped)",
		"line 9: out of order",
	} {
		if !strings.Contains(all, want) {
			t.Errorf("%q not reported in\n%s", want, all)
		}
	}
	if _, _, err := Read(strings.NewReader("hello\nworld\n"), func(Problem) {}); !errors.Is(err, ErrNoHistory) {
		t.Errorf("read text without a run: got error %v, want %v", err, ErrNoHistory)
	}
}

func FuzzRead(f *testing.F) {
	for _, l := range generate(workloads[5], 3, 3) {
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
			for _, v := range []float64{
				c.LogError, c.UserLogError, c.Within["2"], c.Coverage["0.8"], c.FirstSeen.LogError,
			} {
				if math.IsNaN(v) || math.IsInf(v, 0) {
					t.Fatalf("result of class %s has a value that is not finite: %+v", c.Class, c)
				}
			}
		}
	})
}
