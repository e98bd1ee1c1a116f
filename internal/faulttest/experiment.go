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

// Experiment compares variants of one scenario that are played with the same seeds, each with the
// first one, pair by pair.
type Experiment struct {
	Name     string    `toml:"name"`
	Scenario string    `toml:"scenario"`
	Seeds    []uint64  `toml:"seeds"`
	Scale    float64   `toml:"scale"`
	Variants []Variant `toml:"variant"`
	Measures []string  `toml:"measures"` // see Measures
}

// Variant is what differs in the runs of an experiment: the operators' settings, the program (of an
// earlier version, for example), or the scale.
type Variant struct {
	Name     string         `toml:"name"`
	Program  string         `toml:"program"` // "": that of the options
	Settings map[string]any `toml:"settings"`
	Scale    float64        `toml:"scale"` // multiplies that of the experiment; 0: 1
}

// LoadExperiment reads an experiment from a TOML file and checks it, with its scenario.
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

// Play plays the scenario for each seed with every variant, one run after the other, and compares the
// measures.
func (e *Experiment) Play(ctx context.Context, opt Options) (*Table, error) {
	results := make([][]*Result, len(e.Variants)) // by variant and seed
	table := &Table{Name: e.Name}
	for _, seed := range e.Seeds {
		for i := range e.Variants {
			v := &e.Variants[i]
			res, err := e.playVariant(ctx, v, seed, opt)
			if err != nil {
				return nil, err
			}
			if !res.Passed {
				table.Failed = append(table.Failed, fmt.Sprintf("%s, seed %d: %s", v.Name, seed, res.Why))
			}
			if opt.Say != nil {
				opt.Say(fmt.Sprintf("%s, seed %d: %.0f s", v.Name, seed, res.TookS))
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

// playVariant plays the scenario with a variant and a seed, in a directory of its own.
func (e *Experiment) playVariant(ctx context.Context, v *Variant, seed uint64, opt Options) (*Result, error) {
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
		return nil, fmt.Errorf("%s, seed %d: %w", v.Name, seed, err)
	}
	return res, nil
}

// scaleOf is the scale of a variant's runs.
func (e *Experiment) scaleOf(v *Variant) float64 {
	if v.Scale > 0 {
		return e.Scale * v.Scale
	}
	return e.Scale
}

// compareVariants compares a measure of each variant with that of the first.
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
