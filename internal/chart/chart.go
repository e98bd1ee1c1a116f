// Package chart draws the result of a replay of a history, as a PNG or as a self-contained
// HTML page.
package chart

import (
	"bytes"
	"fmt"
	"html/template"
	"image"
	"image/draw"
	"image/png"
	"io"
	"math"

	gochart "github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"coralhub/internal/history"
)

const (
	width, height = 1000, 360
	// maxPoints is how many points a chart shows: the last ones.
	maxPoints = 2000
)

// shortestS bounds times from below, in seconds, so that they have a logarithm.
const shortestS = 0.01

// series is the data of a chart: for each run its end and decimal logarithms of multiples
// of the estimated median.
type series struct{ end, ran, low, high, median []float64 }

func newSeries(points []history.Point) *series {
	multiple := func(seconds, median float64) float64 {
		return math.Log10(math.Max(seconds, shortestS) / math.Max(median, shortestS))
	}
	s := &series{}
	for _, p := range points {
		s.end = append(s.end, p.Ended)
		s.ran = append(s.ran, multiple(p.Ran, p.Median))
		s.low = append(s.low, multiple(p.Low, p.Median))
		s.high = append(s.high, multiple(p.High, p.Median))
		s.median = append(s.median, 0)
	}
	return s
}

// line draws values of the series as a line.
func (s *series) line(name string, values []float64, color drawing.Color) gochart.ContinuousSeries {
	return gochart.ContinuousSeries{Name: name, XValues: s.end, YValues: values, Style: gochart.Style{StrokeColor: color, StrokeWidth: 1}}
}

// dots draws values of the series as dots.
func (s *series) dots(name string, values []float64, color drawing.Color) gochart.ContinuousSeries {
	return gochart.ContinuousSeries{Name: name, XValues: s.end, YValues: values,
		Style: gochart.Style{StrokeWidth: gochart.Disabled, StrokeColor: color, DotWidth: 1.5, DotColor: color}}
}

// formatter formats the labels of an axis.
func formatter(layout string, convert func(float64) float64) gochart.ValueFormatter {
	return func(v any) string {
		f, _ := v.(float64)
		return fmt.Sprintf(layout, convert(f))
	}
}

// classChart shows the run times of a class as multiples of their estimated medians, with
// the 0.8 interval. If the estimates are good the dots lie evenly around 1, and four
// fifths of them between the lines. The multiples are drawn by their logarithm.
func classChart(c *history.ClassResult) gochart.Chart {
	s := newSeries(c.Points[max(0, len(c.Points)-maxPoints):])
	g := gochart.Chart{
		Title:      fmt.Sprintf("%s: %d runs with kin, by the stated median", c.Class, c.WithSimilar),
		Width:      width,
		Height:     height,
		TitleStyle: gochart.Style{FontSize: 11},
		Background: gochart.Style{Padding: gochart.Box{Top: 70, Left: 20, Right: 20, Bottom: 10}},
		XAxis:      gochart.XAxis{Name: "end, s", ValueFormatter: formatter("%.0f", func(f float64) float64 { return f })},
		YAxis:      gochart.YAxis{Name: "times", ValueFormatter: formatter("%.2g", func(f float64) float64 { return math.Pow(10, f) })},
		Series: []gochart.Series{
			s.dots("ran", s.ran, gochart.ColorOrange),
			s.line("0.8 interval, low", s.low, gochart.ColorAlternateGray),
			s.line("0.8 interval, high", s.high, gochart.ColorAlternateGray),
			s.line("median", s.median, gochart.ColorBlue),
		},
	}
	g.Elements = []gochart.Renderable{gochart.Legend(&g, gochart.Style{FontSize: 8})}
	return g
}

// classesWithPoints returns the classes with enough points for a chart.
func classesWithPoints(r *history.Result) []*history.ClassResult {
	var classes []*history.ClassResult
	for i := range r.Classes {
		if len(r.Classes[i].Points) >= 2 {
			classes = append(classes, &r.Classes[i])
		}
	}
	return classes
}

// PNG writes the charts of the classes one below the other.
func PNG(w io.Writer, r *history.Result) error {
	classes := classesWithPoints(r)
	canvas := image.NewRGBA(image.Rect(0, 0, width, max(1, len(classes))*height))
	draw.Draw(canvas, canvas.Bounds(), image.White, image.Point{}, draw.Src)
	for i, c := range classes {
		g := classChart(c)
		var raw bytes.Buffer
		if err := g.Render(gochart.PNG, &raw); err != nil {
			return fmt.Errorf("chart of %s: %w", c.Class, err)
		}
		img, err := png.Decode(&raw)
		if err != nil {
			return fmt.Errorf("chart of %s: %w", c.Class, err)
		}
		draw.Draw(canvas, image.Rect(0, i*height, width, (i+1)*height), img, image.Point{}, draw.Over)
	}
	return png.Encode(w, canvas)
}

// page is the HTML page; its data are Result and Charts.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Estimates of run times</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}</style>
<h1>Estimates of run times</h1>
<p>{{.Result.Skipped}} lines skipped, {{.Result.Changes}} sudden changes found.</p>
<table><tr><th>class<th>jobs<th>with kin<th>within 1.25<th>1.5<th>2<th>0.5 covers<th>0.8<th>0.95<th>log error<th>owners'<th>first seen<th>unknown</tr>
{{range .Result.Classes}}<tr><td>{{.Class}}<td>{{.Jobs}}<td>{{.WithSimilar}}<td>{{index .Within "1.25"}}<td>{{index .Within "1.5"}}<td>{{index .Within "2"}}<td>{{index .Coverage "0.5"}}<td>{{index .Coverage "0.8"}}<td>{{index .Coverage "0.95"}}<td>{{.LogError}}<td>{{.UserLogError}}<td>{{.FirstSeen.Jobs}}<td>{{.FirstSeen.Unknown}}</tr>
{{end}}</table>
{{range .Charts}}<figure>{{.}}</figure>{{end}}
</html>
`))

// HTML writes a page with a table of the classes and their charts.
func HTML(w io.Writer, r *history.Result) error {
	var charts []template.HTML
	for _, c := range classesWithPoints(r) {
		g := classChart(c)
		g.Title = template.HTMLEscapeString(g.Title)
		var svg bytes.Buffer
		if err := g.Render(gochart.SVG, &svg); err != nil {
			return fmt.Errorf("chart of %s: %w", c.Class, err)
		}
		charts = append(charts, template.HTML(svg.String())) //nolint:gosec // rendered here; the title, its only external text, is escaped
	}
	return page.Execute(w, map[string]any{"Result": r, "Charts": charts})
}
