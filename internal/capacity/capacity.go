// Package capacity extrapolates what each role of a deployment takes at sizes that were
// not measured, from slopes that were. The data are in slopes.toml; totals are computed,
// never edited.
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

// Data is the measured slopes, the situations that they are extrapolated to, and the rows of
// the resulting tables.
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
	Points [][2]float64 `toml:"points"` // measured pairs of an amount of the driver and the cost
	From   string       `toml:"from"`   // the command that measures the points
}

// Fit is the regression line of a slope's points.
type Fit struct {
	PerUnit   float64
	Intercept float64
	Spread    float64 // root mean square of the residuals
	Top       float64 // the largest measured amount of the driver
}

// Situation is a load of a region, by driver.
type Situation struct {
	Name    string             `toml:"name"`
	About   string             `toml:"about"`
	Drivers map[string]float64 `toml:"drivers"`
}

// Row is what a role takes of a resource: the sum of its terms.
type Row struct {
	Role      string   `toml:"role"`
	What      string   `toml:"what"`
	Unit      string   `toml:"unit"`
	Limit     float64  `toml:"limit"` // 0: none
	LimitFrom string   `toml:"limit_from"`
	Terms     []Term   `toml:"term"` // summands
	Only      []string `toml:"only"` // situations that it is computed for; empty: all
	Mechanism string   `toml:"mechanism"`
}

// Term is a summand of a row: a slope times the amount of a driver.
type Term struct {
	Slope string `toml:"slope"` // "": none, the term is Times times the driver
	// InterceptOf names a slope whose intercept is the cost of one unit of the driver, for a cost
	// that was measured against a ratio of two drivers.
	InterceptOf string `toml:"intercept_of"`
	// Ratio names the denominator if the slope's driver is a ratio: how far the term goes beyond what
	// was measured is judged by the ratio.
	Ratio     string  `toml:"ratio_to"`
	Driver    string  `toml:"driver"`    // of the situation; "": the term is Times alone
	Times     float64 `toml:"times"`     // 0 means 1
	Intercept bool    `toml:"intercept"` // add the slope's intercept
}

// Total is a row in a situation.
type Total struct {
	Row       *Row
	Value     float64
	Stretched float64 // the largest ratio of a driver's amount to its largest measured amount
}

// Over returns the ratio of a total to its limit: more than 1 if it exceeds the limit, 0 if there is
// none.
func (t *Total) Over() float64 {
	if t.Row.Limit <= 0 {
		return 0
	}
	return t.Value / t.Row.Limit
}

// Load returns the embedded data.
func Load() (*Data, error) { return Parse(data) }

// Parse parses and checks data. Its errors name the invalid entry.
func Parse(raw []byte) (*Data, error) {
	d := &Data{}
	if err := toml.Unmarshal(raw, d); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return d, d.check()
}

// minPoints is the least number of points of a slope.
const minPoints = 3

func (d *Data) check() error {
	if err := d.checkSlopes(); err != nil {
		return err
	}
	if len(d.Situations) == 0 {
		return errors.New("capacity: no situation")
	}
	for i := range d.Rows {
		if err := d.checkRow(&d.Rows[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Data) checkSlopes() error {
	known := map[string]bool{}
	for i := range d.Slopes {
		s := &d.Slopes[i]
		incomplete := s.ID == "" || len(s.Points) < minPoints || s.From == "" || s.Unit == ""
		if incomplete || known[s.ID] {
			return fmt.Errorf("capacity: slope %q: it needs an id of its own, a unit, three points or more, and where they are from", s.ID)
		}
		known[s.ID] = true
		if f := s.Fit(); math.IsNaN(f.PerUnit) || math.IsInf(f.PerUnit, 0) {
			return fmt.Errorf("capacity: slope %q: its points are all of one amount", s.ID)
		}
	}
	return nil
}

// checkRow checks that the slopes, drivers and situations that a row names exist.
func (d *Data) checkRow(r *Row) error {
	for i := range r.Terms {
		if err := d.checkTerm(r, &r.Terms[i]); err != nil {
			return err
		}
	}
	for _, name := range r.Only {
		if !slices.ContainsFunc(d.Situations, func(s Situation) bool { return s.Name == name }) {
			return fmt.Errorf("capacity: %s, %s: no situation %q", r.Role, r.What, name)
		}
	}
	return nil
}

func (d *Data) checkTerm(r *Row, t *Term) error {
	for _, id := range []string{t.Slope, t.InterceptOf} {
		if id != "" && d.slope(id) == nil {
			return fmt.Errorf("capacity: %s, %s: no slope %q", r.Role, r.What, id)
		}
	}
	for i := range d.Situations {
		s := &d.Situations[i]
		if !r.appliesTo(s.Name) {
			continue
		}
		for _, driver := range []string{t.Driver, t.Ratio} {
			if _, known := s.Drivers[driver]; driver != "" && !known {
				return fmt.Errorf("capacity: %s, %s: situation %q has no driver %q", r.Role, r.What, s.Name, driver)
			}
		}
	}
	return nil
}

// Fit returns the regression line of the points, by least squares.
func (s *Slope) Fit() Fit {
	var xs, ys []float64
	f := Fit{}
	for _, p := range s.Points {
		xs = append(xs, p[0])
		ys = append(ys, p[1])
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

// slope returns the slope of an id, or nil.
func (d *Data) slope(id string) *Slope {
	i := slices.IndexFunc(d.Slopes, func(s Slope) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return &d.Slopes[i]
}

// appliesTo reports whether the row is computed for a situation.
func (r *Row) appliesTo(situation string) bool {
	return len(r.Only) == 0 || slices.Contains(r.Only, situation)
}

// Totals computes the rows for a situation.
func (d *Data) Totals(s *Situation) []Total {
	var totals []Total
	for i := range d.Rows {
		r := &d.Rows[i]
		if !r.appliesTo(s.Name) {
			continue
		}
		t := Total{Row: r}
		for _, term := range r.Terms {
			value, stretched := d.term(&term, s)
			t.Value += value
			t.Stretched = max(t.Stretched, stretched)
		}
		totals = append(totals, t)
	}
	return totals
}

// term returns the value of a term, and the ratio of the driver's amount to its largest measured
// amount; 0 if the term has no slope.
func (d *Data) term(t *Term, s *Situation) (value, stretched float64) {
	times := t.Times
	if times == 0 {
		times = 1
	}
	amount := 1.0
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
