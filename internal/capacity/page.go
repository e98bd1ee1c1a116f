package capacity

import (
	_ "embed"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Page writes the totals, slopes and fits as a page of Markdown, after a preface.
func (d *Data) Page(out io.Writer, preface string) error {
	var b strings.Builder
	b.WriteString(strings.TrimRight(preface, "\n") + "\n")
	for i := range d.Situations {
		s := &d.Situations[i]
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", s.Name, s.About)
		fmt.Fprintf(&b, "Drivers: %s.\n\n", drivers(s))
		b.WriteString("| role | what | amount | limit | of the limit | beyond what was measured | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, t := range d.Totals(s) {
			fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s | %s |\n", t.Row.Role, t.Row.What, Number(t.Value), t.Row.Unit, limit(t.Row), ofLimit(&t), beyond(&t), t.Row.Mechanism)
		}
	}
	b.WriteString("\n## Slopes\n\nA line through the measured points by least squares; the spread is the root of the mean squared distance from it.\n\n")
	b.WriteString("| slope | cost | for each | slope | intercept | spread | measured at | by |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range d.Slopes {
		s := &d.Slopes[i]
		f := s.Fit()
		fmt.Fprintf(&b, "| `%s` | %s, %s | %s | %s | %s | %s | %s | %s |\n", s.ID, s.What, s.Unit, s.Driver, Number(f.PerUnit), Number(f.Intercept), Number(f.Spread), points(s), s.From)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// Number formats an amount with three significant digits.
func Number(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits <= 0 {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', min(digits, 9), 64)
}

func drivers(s *Situation) string {
	var amounts []string
	for _, name := range slices.Sorted(maps.Keys(s.Drivers)) {
		amounts = append(amounts, name+" "+Number(s.Drivers[name]))
	}
	return strings.Join(amounts, ", ")
}

func limit(r *Row) string {
	if r.Limit <= 0 {
		return "none given"
	}
	return Number(r.Limit) + " " + r.Unit + " (" + r.LimitFrom + ")"
}

// ofLimit formats the ratio to the limit, in bold if the limit is exceeded.
func ofLimit(t *Total) string {
	switch over := t.Over(); {
	case over == 0:
		return ""
	case over > 1:
		return "**over: x" + Number(over) + "**"
	default:
		return Number(over)
	}
}

// beyond formats how far a total goes beyond what was measured.
func beyond(t *Total) string {
	switch {
	case t.Stretched == 0:
		return "not measured"
	case t.Stretched <= 1:
		return "no"
	default:
		return "x" + Number(t.Stretched)
	}
}

func points(s *Slope) string {
	var amounts []string
	for _, p := range s.Points {
		amounts = append(amounts, Number(p[0]))
	}
	return strings.Join(amounts, ", ")
}

//go:embed page.md
var capacityPreface string

// Write writes the page of the embedded data.
func Write(out io.Writer) error {
	d, err := Load()
	if err != nil {
		return err
	}
	return d.Page(out, capacityPreface)
}
