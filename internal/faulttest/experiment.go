package faulttest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Experiment is a table of variants that are played with the same seeds, pair by pair,
// each against the first.
type Experiment struct {
	Name     string    `toml:"name"`
	Scenario string    `toml:"scenario"`
	Seeds    []uint64  `toml:"seeds"`
	Scale    float64   `toml:"scale"`
	Variants []Variant `toml:"variant"`
	Measures []string  `toml:"measures"` // see measure
}

// Variant is what is different: operators' settings, and the program, of an earlier
// version say.
type Variant struct {
	Name     string         `toml:"name"`
	Program  string         `toml:"program"`
	Settings map[string]any `toml:"settings"`
	Scale    float64        `toml:"scale"`
}

// LoadExperiment reads and checks an experiment.
func LoadExperiment(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e := &Experiment{Scale: 1}
	if err := toml.Unmarshal(raw, e); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, place(err))
	}
	names := map[string]bool{}
	for _, v := range e.Variants {
		if v.Name == "" || names[v.Name] {
			return nil, fmt.Errorf("experiment %s: a variant's name is missing or there twice", path)
		}
		names[v.Name] = true
	}
	if len(e.Variants) < 2 || len(e.Seeds) == 0 || len(e.Measures) == 0 || e.Scale <= 0 {
		return nil, fmt.Errorf("experiment %s: it takes two variants, a seed and a measure at least", path)
	}
	for _, name := range e.Measures {
		if _, err := measure(name, &Result{}); err != nil {
			return nil, fmt.Errorf("experiment %s: %w", path, err)
		}
	}
	_, err = Load(e.Scenario)
	return e, err
}

// Measures are the things of a result that less is better of, but for "met".
var Measures = []string{"start_p50", "start_p90", "done_p50", "done_p90", "submit_p99", "cpu", "memory", "requests", "changes", "machines", "met"}

// measure takes a number out of a result: of times, the worst over the classes.
func measure(name string, r *Result) (float64, error) {
	worst := func(pick func(*ClassResult) float64) float64 {
		out := 0.0
		for i := range r.Classes {
			out = max(out, pick(&r.Classes[i]))
		}
		return out
	}
	switch name {
	case "start_p50":
		return worst(func(c *ClassResult) float64 { return c.StartS.P50 }), nil
	case "start_p90":
		return worst(func(c *ClassResult) float64 { return c.StartS.P90 }), nil
	case "done_p50":
		return worst(func(c *ClassResult) float64 { return c.DoneS.P50 }), nil
	case "done_p90":
		return worst(func(c *ClassResult) float64 { return c.DoneS.P90 }), nil
	case "submit_p99":
		return worst(func(c *ClassResult) float64 { return c.SubmitMS.P99 }), nil
	case "cpu":
		out := 0.0
		for _, n := range r.Nodes {
			out += n.CPUS
		}
		return out, nil
	case "memory":
		out := 0.0
		for _, n := range r.Nodes {
			out = max(out, n.PeakMB)
		}
		return out, nil
	case "requests":
		return float64(r.Requests), nil
	case "changes":
		return float64(r.Changes), nil
	case "machines":
		return float64(r.Machines), nil
	case "met":
		out := 0.0
		for _, f := range r.Findings {
			out += f.Found
		}
		return out / float64(max(len(r.Findings), 1)), nil
	}
	return 0, fmt.Errorf("no measure %q; there are %v", name, Measures)
}

// Verdicts of a comparison.
const (
	Better = "better"
	Worse  = "worse"
	Noise  = "noise"
)

// Comparison is a measure of a variant beside that of the first one.
type Comparison struct {
	Variant string    `json:"variant"`
	Measure string    `json:"measure"`
	Values  []float64 `json:"values"` // by seed
	Median  float64   `json:"median"`
	Spread  float64   `json:"spread"`  // between the quartiles
	Against float64   `json:"against"` // median of the ratios to the first variant, pair by pair
	Verdict string    `json:"verdict"`
}

// Table is what came of an experiment.
type Table struct {
	Name   string       `json:"name"`
	Rows   []Comparison `json:"rows"`
	Failed []string     `json:"failed,omitempty"` // runs in which a rule was broken or an expectation missed
}

// Play plays an experiment: for each seed every variant, one after the other.
func (e *Experiment) Play(ctx context.Context, opt Options) (*Table, error) {
	results := make([][]*Result, len(e.Variants))
	t := &Table{Name: e.Name}
	for _, seed := range e.Seeds {
		for i := range e.Variants {
			v := &e.Variants[i]
			s, err := Load(e.Scenario)
			if err != nil {
				return nil, err
			}
			times := e.Scale
			if v.Scale > 0 {
				times *= v.Scale
			}
			if times != 1 {
				s = s.Scaled(times)
			}
			o := opt
			o.Seed, o.Dir = seed, filepath.Join(opt.Dir, fmt.Sprintf("%s-%d", v.Name, seed))
			if v.Program != "" {
				o.Program = v.Program
			}
			if len(v.Settings) > 0 {
				if o.Settings, err = v.write(o.Dir); err != nil {
					return nil, err
				}
			}
			res, err := Run(ctx, s, o)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", v.Name, seed, err)
			}
			if !res.Passed {
				t.Failed = append(t.Failed, fmt.Sprintf("%s, seed %d: %s", v.Name, seed, res.Why))
			}
			if opt.Say != nil {
				opt.Say(fmt.Sprintf("%s, seed %d: %.0f s", v.Name, seed, res.TookS))
			}
			results[i] = append(results[i], res)
		}
	}
	for _, name := range e.Measures {
		var first []float64
		for i := range e.Variants {
			c := Comparison{Variant: e.Variants[i].Name, Measure: name}
			for _, res := range results[i] {
				v, err := measure(name, res)
				if err != nil {
					return nil, err
				}
				c.Values = append(c.Values, v)
			}
			if i == 0 {
				first = c.Values
			}
			compare(&c, first, name == "met")
			t.Rows = append(t.Rows, c)
		}
	}
	return t, nil
}

func (v *Variant) write(dir string) (string, error) {
	raw, err := json.Marshal(v.Settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "settings.json")
	return path, errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(path, raw, 0o600))
}

// leastRatio is the difference below which nothing is called better or worse.
const leastRatio = 0.05

// compare judges a variant pair by pair: it is better or worse if the median ratio is
// off by a twentieth at least, and the signs of the pairs would come about by luck in
// one case of ten at most (sign test).
func compare(c *Comparison, first []float64, moreIsBetter bool) {
	var ratios []float64
	above, below := 0, 0
	for i, v := range c.Values {
		if first[i] > 0 {
			ratios = append(ratios, v/first[i])
		}
		switch {
		case v > first[i]:
			above++
		case v < first[i]:
			below++
		}
	}
	c.Median, c.Against = middle(c.Values), middle(ratios)
	sorted := slices.Sorted(slices.Values(c.Values))
	c.Spread = sorted[len(sorted)*3/4] - sorted[len(sorted)/4]
	c.Verdict = Noise
	if math.Abs(c.Against-1) < leastRatio || byLuck(above, below) > 0.1 {
		return
	}
	c.Verdict = Worse
	if (c.Against > 1) == moreIsBetter {
		c.Verdict = Better
	}
}

// byLuck is the probability of signs that are at least as one-sided, if both are as
// likely.
func byLuck(above, below int) float64 {
	n, k := above+below, max(above, below)
	if n == 0 {
		return 1
	}
	p, way := 0.0, math.Exp2(-float64(n))
	for i := 0; i <= n; i++ {
		if i >= k || i <= n-k {
			p += way
		}
		way *= float64(n-i) / float64(i+1)
	}
	return min(p, 1)
}

func middle(vs []float64) float64 {
	if len(vs) == 0 {
		return 1
	}
	s := slices.Sorted(slices.Values(vs))
	if len(s)%2 == 1 {
		return s[len(s)/2]
	}
	return (s[len(s)/2-1] + s[len(s)/2]) / 2
}
