package faulttest

import (
	"context"
	"coralhub/internal/schema"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// Experiment runs variants of one scenario with the same seeds and compares each variant with the first
// one, seed by seed.
type Experiment struct {
	Name     string    `toml:"name"`
	Scenario string    `toml:"scenario"`
	Seeds    []uint64  `toml:"seeds"`
	Scale    float64   `toml:"scale"`
	Variants []Variant `toml:"variant"`
	Measures []string  `toml:"measures"` // names from Measures
}

// Variant is what differs between the runs of an experiment: the operators' settings, the program (an
// earlier version, for example), or the scale.
type Variant struct {
	Name     string         `toml:"name"`
	Program  string         `toml:"program"` // path; Options.Program if empty
	Settings map[string]any `toml:"settings"`
	Scale    float64        `toml:"scale"` // multiplies the scale of the experiment; 1 if 0
}

// LoadExperiment reads an experiment from a TOML file and validates it and its scenario.
func LoadExperiment(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e := &Experiment{Scale: 1}
	if err := toml.Unmarshal(raw, e); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, schema.NewTOMLError(err))
	}
	names := map[string]bool{}
	for _, v := range e.Variants {
		if v.Name == "" || names[v.Name] {
			return nil, fmt.Errorf("experiment %s: variant name %q is empty or used twice", path, v.Name)
		}
		names[v.Name] = true
	}
	if len(e.Variants) < 2 || len(e.Seeds) == 0 || len(e.Measures) == 0 || e.Scale <= 0 {
		return nil, fmt.Errorf("experiment %s: expected at least two variants, a seed, a measure and a scale above 0; "+
			"found %d variants, %d seeds, %d measures and scale %g",
			path, len(e.Variants), len(e.Seeds), len(e.Measures), e.Scale)
	}
	for _, name := range e.Measures {
		if _, err := measure(name, &Result{}); err != nil {
			return nil, fmt.Errorf("experiment %s: %w", path, err)
		}
	}
	_, err = Load(e.Scenario)
	return e, err
}

// Run runs the scenario for each seed with every variant, one run at a time, and compares the measures.
func (e *Experiment) Run(ctx context.Context, opt Options) (*Table, error) {
	results := make([][]*Result, len(e.Variants)) // indexed by variant, then by seed
	table := &Table{Name: e.Name}
	for _, seed := range e.Seeds {
		for i := range e.Variants {
			v := &e.Variants[i]
			res, err := e.runVariant(ctx, v, seed, opt)
			if err != nil {
				return nil, err
			}
			if !res.Passed {
				table.Failed = append(table.Failed, fmt.Sprintf("variant %s, seed %d: %s", v.Name, seed, res.FailureReason))
			}
			if opt.OnProgress != nil {
				opt.OnProgress(fmt.Sprintf("variant %s, seed %d: run took %.0f s", v.Name, seed, res.ElapsedS))
			}
			results[i] = append(results[i], res)
		}
	}
	for _, name := range e.Measures {
		rows, err := e.compareVariants(name, results)
		if err != nil {
			return nil, err
		}
		table.Rows = append(table.Rows, rows...)
	}
	return table, nil
}

// runVariant runs the scenario with a variant and a seed, in a separate directory.
func (e *Experiment) runVariant(ctx context.Context, v *Variant, seed uint64, opt Options) (*Result, error) {
	s, err := Load(e.Scenario)
	if err != nil {
		return nil, err
	}
	if scale := e.scaleOf(v); scale != 1 {
		s = s.Scaled(scale)
	}
	opt.Seed = seed
	opt.Dir = filepath.Join(opt.Dir, fmt.Sprintf("%s-%d", v.Name, seed))
	if v.Program != "" {
		opt.Program = v.Program
	}
	if len(v.Settings) > 0 {
		if opt.Settings, err = v.writeSettings(opt.Dir); err != nil {
			return nil, err
		}
	}
	res, err := Run(ctx, s, opt)
	if err != nil {
		return nil, fmt.Errorf("variant %s, seed %d: %w", v.Name, seed, err)
	}
	return res, nil
}

// scaleOf returns the scale of the runs of a variant.
func (e *Experiment) scaleOf(v *Variant) float64 {
	if v.Scale > 0 {
		return e.Scale * v.Scale
	}
	return e.Scale
}

// compareVariants compares one measure of each variant with that of the first variant.
func (e *Experiment) compareVariants(name string, results [][]*Result) ([]Comparison, error) {
	var rows []Comparison
	for i := range e.Variants {
		c := Comparison{Variant: e.Variants[i].Name, Measure: name}
		for _, res := range results[i] {
			value, err := measure(name, res)
			if err != nil {
				return nil, err
			}
			c.Values = append(c.Values, value)
		}
		rows = append(rows, c)
	}
	for i := range rows {
		compare(&rows[i], rows[0].Values, name == measureMet)
	}
	return rows, nil
}

// writeSettings writes the operators' settings to a file in dir and returns its path.
func (v *Variant) writeSettings(dir string) (string, error) {
	raw, err := json.Marshal(v.Settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "settings.json")
	return path, errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(path, raw, 0o600))
}
