// Package capacity extrapolates the resources that each role of a deployment needs at sizes that were not
// measured, from measured slopes. The data are in slopes.toml. Totals are always computed from them, never
// stored.
package capacity

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

//go:embed slopes.toml
var embeddedData []byte

// Data holds the measured slopes, the situations to which they are extrapolated, and the rows of the
// resulting tables.
type Data struct {
	Slopes     []Slope     `toml:"slope"`
	Situations []Situation `toml:"situation"`
	Rows       []Row       `toml:"row"`
}

// Slope is a cost that was measured at several amounts of a driver, the quantity that the cost depends on.
type Slope struct {
	ID     string       `toml:"id"`
	Cost   string       `toml:"what"`   // description of the cost
	Unit   string       `toml:"unit"`   // unit of the cost
	Driver string       `toml:"driver"` // description of one unit of the driver
	Points [][2]float64 `toml:"points"` // measured pairs of amount of the driver and cost
	Source string       `toml:"from"`   // command that measures the points
}

// Fit is the regression line through a slope's points.
type Fit struct {
	PerUnit     float64 // cost per unit of the driver
	Intercept   float64
	ResidualRMS float64 // root mean square of the residuals
	MaxAmount   float64 // largest measured amount of the driver
}

// Situation is a load of a region, given by the amount of each driver. Totals are computed for it.
type Situation struct {
	Name        string             `toml:"name"`
	Description string             `toml:"about"`
	Drivers     map[string]float64 `toml:"drivers"` // amounts, by driver
}

// Row is the amount of a resource that a role needs. It is the sum of the terms.
type Row struct {
	Role        string   `toml:"role"`
	Resource    string   `toml:"what"`
	Unit        string   `toml:"unit"`
	Limit       float64  `toml:"limit"`      // 0 if there is none
	LimitSource string   `toml:"limit_from"` // origin of the limit
	Terms       []Term   `toml:"term"`
	Situations  []string `toml:"only"`      // names of situations for which it is computed; all if empty
	Mechanism   string   `toml:"mechanism"` // how the design handles the load
}

// Term is a summand of a row: the product of a slope and the amount of a driver.
type Term struct {
	Slope string `toml:"slope"` // id; if empty, the term is Factor times the amount of the driver
	// InterceptOf is the id of a slope whose intercept is the cost per unit of the driver. It is for costs
	// that were measured against a ratio of two drivers.
	InterceptOf string `toml:"intercept_of"`
	// Denominator is the driver in the denominator if the slope was measured against a ratio of two drivers.
	// The extrapolation ratio of the term is then computed from that ratio.
	Denominator string  `toml:"ratio_to"`
	Driver      string  `toml:"driver"`    // of the situation; if empty, its amount is 1
	Factor      float64 `toml:"times"`     // 1 if it is 0
	Intercept   bool    `toml:"intercept"` // add Factor times the slope's intercept
}

// Total is the value of a row in a situation.
type Total struct {
	Row   *Row
	Value float64
	// ExtrapolationRatio is the largest ratio, over all terms, of the amount of a driver to its largest measured
	// amount. It is 0 if no term has a slope.
	ExtrapolationRatio float64
}

// LimitRatio returns the ratio of the total to the limit of its row. It is above 1 if the limit is exceeded,
// and 0 if there is no limit.
func (t *Total) LimitRatio() float64 {
	if t.Row.Limit <= 0 {
		return 0
	}
	return t.Value / t.Row.Limit
}

// Load returns the embedded data.
func Load() (*Data, error) { return Parse(embeddedData) }

// Parse parses and checks data in the format of slopes.toml. Its errors name the invalid entry.
func Parse(raw []byte) (*Data, error) {
	d := &Data{}
	if err := toml.Unmarshal(raw, d); err != nil {
		return nil, fmt.Errorf("capacity: parse data: %w", err)
	}
	return d, d.check()
}

// minPoints is the minimum number of points of a slope.
const minPoints = 3

func (d *Data) check() error {
	if err := d.checkSlopes(); err != nil {
		return err
	}
	if len(d.Situations) == 0 {
		return errors.New("capacity: data must have at least one situation")
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
		incomplete := s.ID == "" || len(s.Points) < minPoints || s.Source == "" || s.Unit == ""
		if incomplete || known[s.ID] {
			return fmt.Errorf("capacity: slope %q: needs a unique id, a unit, at least three points and a source (from)", s.ID)
		}
		known[s.ID] = true
		if f := s.Fit(); math.IsNaN(f.PerUnit) || math.IsInf(f.PerUnit, 0) {
			return fmt.Errorf("capacity: slope %q: all points have the same driver amount", s.ID)
		}
	}
	return nil
}

// checkRow checks that the slopes, drivers and situations to which a row refers exist.
func (d *Data) checkRow(r *Row) error {
	for i := range r.Terms {
		if err := d.checkTerm(r, &r.Terms[i]); err != nil {
			return err
		}
	}
	for _, name := range r.Situations {
		if !slices.ContainsFunc(d.Situations, func(s Situation) bool { return s.Name == name }) {
			return fmt.Errorf("capacity: %s, %s: no situation %q", r.Role, r.Resource, name)
		}
	}
	return nil
}

func (d *Data) checkTerm(r *Row, t *Term) error {
	for _, id := range []string{t.Slope, t.InterceptOf} {
		if id != "" && d.slope(id) == nil {
			return fmt.Errorf("capacity: %s, %s: no slope %q", r.Role, r.Resource, id)
		}
	}
	for i := range d.Situations {
		s := &d.Situations[i]
		if !r.appliesTo(s.Name) {
			continue
		}
		for _, driver := range []string{t.Driver, t.Denominator} {
			if _, known := s.Drivers[driver]; driver != "" && !known {
				return fmt.Errorf("capacity: %s, %s: situation %q has no driver %q", r.Role, r.Resource, s.Name, driver)
			}
		}
	}
	return nil
}

// Fit returns the least-squares regression line through the points. Products are converted before they are added, so
// that compilers that fuse the two give the same line.
func (s *Slope) Fit() Fit {
	n := float64(len(s.Points))
	f := Fit{}
	var sumX, sumY float64
	for _, p := range s.Points {
		sumX += p[0]
		sumY += p[1]
		f.MaxAmount = max(f.MaxAmount, p[0])
	}
	meanX, meanY := sumX/n, sumY/n
	var variance, covariance float64
	for _, p := range s.Points {
		variance += float64((p[0] - meanX) * (p[0] - meanX))
		covariance += float64((p[0] - meanX) * (p[1] - meanY))
	}
	f.PerUnit = covariance / variance
	f.Intercept = meanY - float64(f.PerUnit*meanX)
	var squares float64
	for _, p := range s.Points {
		residual := p[1] - f.Intercept - float64(f.PerUnit*p[0])
		squares += float64(residual * residual)
	}
	f.ResidualRMS = math.Sqrt(squares / n)
	return f
}

// slope returns the slope with an id, or nil if there is none.
func (d *Data) slope(id string) *Slope {
	i := slices.IndexFunc(d.Slopes, func(s Slope) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return &d.Slopes[i]
}

// appliesTo reports whether the row is computed for a situation.
func (r *Row) appliesTo(situation string) bool {
	return len(r.Situations) == 0 || slices.Contains(r.Situations, situation)
}

// Totals computes all rows that apply to a situation.
func (d *Data) Totals(s *Situation) []Total {
	var totals []Total
	for i := range d.Rows {
		r := &d.Rows[i]
		if !r.appliesTo(s.Name) {
			continue
		}
		t := Total{Row: r}
		for _, term := range r.Terms {
			value, extrapolation := d.term(&term, s)
			t.Value += value
			t.ExtrapolationRatio = max(t.ExtrapolationRatio, extrapolation)
		}
		totals = append(totals, t)
	}
	return totals
}

// term returns the value of a term, and the ratio of the driver's amount to its largest measured amount. The
// ratio is 0 if the term has no slope.
func (d *Data) term(t *Term, s *Situation) (value, extrapolation float64) {
	factor := t.Factor
	if factor == 0 {
		factor = 1
	}
	amount := 1.0
	if t.Driver != "" {
		amount = s.Drivers[t.Driver]
	}
	switch {
	case t.InterceptOf != "":
		return float64(factor * amount * d.slope(t.InterceptOf).Fit().Intercept), 0
	case t.Slope == "":
		return float64(factor * amount), 0
	}
	f := d.slope(t.Slope).Fit()
	value = float64(factor * amount * f.PerUnit)
	if t.Intercept {
		value += float64(factor * f.Intercept)
	}
	if denominator := s.Drivers[t.Denominator]; denominator > 0 {
		amount /= denominator
	}
	return value, amount / f.MaxAmount
}
