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

// WritePage writes the preface, followed by the totals, slopes and fits, as a page of Markdown.
func (d *Data) WritePage(out io.Writer, preface string) error {
	var b strings.Builder
	b.WriteString(strings.TrimRight(preface, "\n") + "\n")
	for i := range d.Situations {
		s := &d.Situations[i]
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", s.Name, s.Description)
		fmt.Fprintf(&b, "Drivers: %s.\n\n", formatDrivers(s))
		b.WriteString("| role | what | amount | limit | of the limit | beyond what was measured | carried by |\n" +
			"| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, t := range d.Totals(s) {
			fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s | %s |\n", t.Row.Role, t.Row.Resource, FormatNumber(t.Value),
				t.Row.Unit, formatLimit(t.Row), formatLimitRatio(&t), formatExtrapolation(&t), t.Row.Mechanism)
		}
	}
	b.WriteString("\n## Slopes\n\nA line through the measured points by least squares; " +
		"the spread is the root of the mean squared distance from it.\n\n")
	b.WriteString("| slope | cost | for each | slope | intercept | spread | measured at | by |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range d.Slopes {
		s := &d.Slopes[i]
		f := s.Fit()
		fmt.Fprintf(&b, "| `%s` | %s, %s | %s | %s | %s | %s | %s | %s |\n", s.ID, s.Cost, s.Unit, s.Driver,
			FormatNumber(f.PerUnit), FormatNumber(f.Intercept), FormatNumber(f.ResidualRMS), formatPoints(s), s.Source)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// FormatNumber formats an amount with three significant digits; integer digits are never cut.
func FormatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits <= 0 {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', min(digits, 9), 64)
}

func formatDrivers(s *Situation) string {
	var amounts []string
	for _, name := range slices.Sorted(maps.Keys(s.Drivers)) {
		amounts = append(amounts, name+" "+FormatNumber(s.Drivers[name]))
	}
	return strings.Join(amounts, ", ")
}

func formatLimit(r *Row) string {
	if r.Limit <= 0 {
		return "none given"
	}
	return FormatNumber(r.Limit) + " " + r.Unit + " (" + r.LimitSource + ")"
}

// formatLimitRatio formats the ratio of a total to its limit, in bold if the limit is exceeded.
func formatLimitRatio(t *Total) string {
	switch ratio := t.LimitRatio(); {
	case ratio == 0:
		return ""
	case ratio > 1:
		return "**over: x" + FormatNumber(ratio) + "**"
	default:
		return FormatNumber(ratio)
	}
}

// formatExtrapolation formats the extrapolation ratio of a total.
func formatExtrapolation(t *Total) string {
	switch {
	case t.ExtrapolationRatio == 0:
		return "not measured"
	case t.ExtrapolationRatio <= 1:
		return "no"
	default:
		return "x" + FormatNumber(t.ExtrapolationRatio)
	}
}

func formatPoints(s *Slope) string {
	var amounts []string
	for _, p := range s.Points {
		amounts = append(amounts, FormatNumber(p[0]))
	}
	return strings.Join(amounts, ", ")
}

//go:embed page.md
var embeddedPreface string

// Write writes the page of the embedded data, with the embedded preface.
func Write(out io.Writer) error {
	d, err := Load()
	if err != nil {
		return err
	}
	return d.WritePage(out, embeddedPreface)
}
