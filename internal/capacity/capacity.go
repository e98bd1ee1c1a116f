// Package capacity works out what each role of a deployment takes at a size that was not
// measured, from slopes that were. The data are in slopes.toml; nobody edits totals.
package capacity

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"gonum.org/v1/gonum/stat"
)

//go:embed slopes.toml
var data []byte

// Data is what was measured, the sizes that it is worked out for, and for which roles.
type Data struct {
	Slopes     []Slope     `toml:"slope"`
	Situations []Situation `toml:"situation"`
	Rows       []Row       `toml:"row"`
}

// Slope is a measured cost of one unit of a driver.
type Slope struct {
	ID     string       `toml:"id"`
	What   string       `toml:"what"`   // the cost, in words
	Unit   string       `toml:"unit"`   // of the cost
	Driver string       `toml:"driver"` // what it grows with, in words
	Points [][2]float64 `toml:"points"` // measured: an amount of the driver, and the cost
	From   string       `toml:"from"`   // the command that gives the points
}

// Fit is the line through a slope's points.
type Fit struct {
	PerUnit   float64
	Intercept float64
	Spread    float64 // root of the mean squared distance of the points from the line
	Top       float64 // the largest amount of the driver that was measured
}

// Situation is a region's load in a situation, by driver.
type Situation struct {
	Name    string             `toml:"name"`
	About   string             `toml:"about"`
	Drivers map[string]float64 `toml:"drivers"`
}

// Row is what a role takes of something.
type Row struct {
	Role      string   `toml:"role"`
	What      string   `toml:"what"`
	Unit      string   `toml:"unit"`
	Limit     float64  `toml:"limit"` // 0: none is given
	LimitFrom string   `toml:"limit_from"`
	Terms     []Term   `toml:"term"` // added up
	Only      []string `toml:"only"` // situations that it is worked out for; none: all
	Mechanism string   `toml:"mechanism"`
}

// Term is a part of a row: a slope by the amount of a driver.
type Term struct {
	Slope string `toml:"slope"` // "": none, the term is Times by the driver
	// InterceptOf names a slope whose intercept costs one unit of the driver: a cost for each of one
	// thing was measured against a ratio of two.
	InterceptOf string `toml:"intercept_of"`
	// Ratio names the driver that the slope's driver is a ratio to, if it is one: how far the term goes
	// beyond what was measured is told by the ratio.
	Ratio     string  `toml:"ratio_to"`
	Driver    string  `toml:"driver"`    // of the situation; "": the term is Times alone
	Times     float64 `toml:"times"`     // 0 stands for 1
	Intercept bool    `toml:"intercept"` // with the slope's intercept
}

// Total is a row in a situation.
type Total struct {
	Row       *Row
	Value     float64
	Stretched float64 // how many times the largest measured amount of a driver it goes, at the most
}

// Over is by how many times a total is over its limit; at most 1: it is not.
func (t *Total) Over() float64 {
	if t.Row.Limit <= 0 {
		return 0
	}
	return t.Value / t.Row.Limit
}

// Load reads the data that come with the program.
func Load() (*Data, error) { return Parse(data) }

// Parse reads and checks data. Its errors name the entry that is wrong.
func Parse(raw []byte) (*Data, error) {
	d := &Data{}
	if err := toml.Unmarshal(raw, d); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return d, d.check()
}

func (d *Data) check() error {
	slopes := map[string]bool{}
	for i := range d.Slopes {
		s := &d.Slopes[i]
		if s.ID == "" || slopes[s.ID] || len(s.Points) < 3 || s.From == "" || s.Unit == "" {
			return fmt.Errorf("capacity: slope %q: it needs an id of its own, a unit, three points or more, and where they are from", s.ID)
		}
		slopes[s.ID] = true
		if f := s.Fit(); math.IsNaN(f.PerUnit) || math.IsInf(f.PerUnit, 0) {
			return fmt.Errorf("capacity: slope %q: its points are all of one amount", s.ID)
		}
	}
	if len(d.Situations) == 0 {
		return errors.New("capacity: no situation")
	}
	for i := range d.Rows {
		r := &d.Rows[i]
		for _, t := range r.Terms {
			for _, id := range []string{t.Slope, t.InterceptOf} {
				if id != "" && !slopes[id] {
					return fmt.Errorf("capacity: %s, %s: no slope %q", r.Role, r.What, id)
				}
			}
			for k := range d.Situations {
				s := &d.Situations[k]
				for _, name := range []string{t.Driver, t.Ratio} {
					if _, known := s.Drivers[name]; name != "" && !known && r.in(s.Name) {
						return fmt.Errorf("capacity: %s, %s: situation %q has no driver %q", r.Role, r.What, s.Name, name)
					}
				}
			}
		}
		for _, name := range r.Only {
			if !slices.ContainsFunc(d.Situations, func(s Situation) bool { return s.Name == name }) {
				return fmt.Errorf("capacity: %s, %s: no situation %q", r.Role, r.What, name)
			}
		}
	}
	return nil
}

// Fit draws the line through the points, by least squares.
func (s *Slope) Fit() Fit {
	var xs, ys []float64
	f := Fit{}
	for _, p := range s.Points {
		xs, ys = append(xs, p[0]), append(ys, p[1])
		f.Top = max(f.Top, p[0])
	}
	f.Intercept, f.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	for i := range xs {
		residual := ys[i] - f.Intercept - f.PerUnit*xs[i]
		f.Spread += residual * residual / float64(len(xs))
	}
	f.Spread = math.Sqrt(f.Spread)
	return f
}

func (d *Data) slope(id string) *Slope {
	i := slices.IndexFunc(d.Slopes, func(s Slope) bool { return s.ID == id })
	return &d.Slopes[i]
}

func (r *Row) in(situation string) bool {
	return len(r.Only) == 0 || slices.Contains(r.Only, situation)
}

// Totals works out the rows for a situation.
func (d *Data) Totals(s *Situation) []Total {
	var out []Total
	for i := range d.Rows {
		r := &d.Rows[i]
		if !r.in(s.Name) {
			continue
		}
		t := Total{Row: r}
		for _, term := range r.Terms {
			value, stretched := d.term(&term, s)
			t.Value += value
			t.Stretched = max(t.Stretched, stretched)
		}
		out = append(out, t)
	}
	return out
}

// term works out a part of a row, and how far it goes beyond what was measured.
func (d *Data) term(t *Term, s *Situation) (value, stretched float64) {
	times, amount := t.Times, 1.0
	if times == 0 {
		times = 1
	}
	if t.Driver != "" {
		amount = s.Drivers[t.Driver]
	}
	switch {
	case t.InterceptOf != "":
		return times * amount * d.slope(t.InterceptOf).Fit().Intercept, 0
	case t.Slope == "":
		return times * amount, 0
	}
	f := d.slope(t.Slope).Fit()
	value = times * amount * f.PerUnit
	if t.Intercept {
		value += times * f.Intercept
	}
	if ratio := s.Drivers[t.Ratio]; ratio > 0 {
		amount /= ratio
	}
	return value, amount / f.Top
}
