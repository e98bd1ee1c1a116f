// Package chart renders the result of a replay of a history, as a PNG or as a self-contained HTML page.
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
	width, height = 1000, 360 // size of the chart of a class, in pixels
	// maxPoints is the maximum number of points of a chart. Of more points, the last ones are shown.
	maxPoints = 2000
)

// minimumSeconds is the lower bound of times, so that their logarithms are defined.
const minimumSeconds = 0.01

// series is the data of a chart. For each run it has the end in seconds, and the decimal logarithms of the ratios of
// the other times to the estimated median.
type series struct{ end, ran, low, high, median []float64 }

func newSeries(points []history.Point) *series {
	logRatio := func(seconds, median float64) float64 {
		return math.Log10(math.Max(seconds, minimumSeconds) / math.Max(median, minimumSeconds))
	}
	s := &series{}
	for _, p := range points {
		s.end = append(s.end, p.Ended)
		s.ran = append(s.ran, logRatio(p.RunTime, p.Median))
		s.low = append(s.low, logRatio(p.Low, p.Median))
		s.high = append(s.high, logRatio(p.High, p.Median))
		s.median = append(s.median, 0)
	}
	return s
}

// line returns values of the series in the style of a line.
func (s *series) line(name string, values []float64, color drawing.Color) gochart.ContinuousSeries {
	return gochart.ContinuousSeries{Name: name, XValues: s.end, YValues: values,
		Style: gochart.Style{StrokeColor: color, StrokeWidth: 1}}
}

// dots returns values of the series in the style of dots.
func (s *series) dots(name string, values []float64, color drawing.Color) gochart.ContinuousSeries {
	return gochart.ContinuousSeries{Name: name, XValues: s.end, YValues: values,
		Style: gochart.Style{StrokeWidth: gochart.Disabled, StrokeColor: color, DotWidth: 1.5, DotColor: color}}
}

// formatter returns a formatter of the labels of an axis, which converts each value before formatting it.
func formatter(layout string, convert func(float64) float64) gochart.ValueFormatter {
	return func(v any) string {
		f, _ := v.(float64)
		return fmt.Sprintf(layout, convert(f))
	}
}

// classChart returns the chart of a class: the run times as multiples of their estimated medians, on a logarithmic
// axis, with the bounds of the 0.8 interval. If the estimates are accurate, the dots are evenly distributed around 1,
// and four fifths of them are between the bounds.
func classChart(c *history.ClassResult) gochart.Chart {
	s := newSeries(c.Points[max(0, len(c.Points)-maxPoints):])
	g := gochart.Chart{
		Title:      fmt.Sprintf("%s: %d runs with similar runs, by the estimated median", c.Class, c.WithSimilar),
		Width:      width,
		Height:     height,
		TitleStyle: gochart.Style{FontSize: 11},
		Background: gochart.Style{Padding: gochart.Box{Top: 70, Left: 20, Right: 20, Bottom: 10}},
		XAxis: gochart.XAxis{
			Name:           "end, s",
			ValueFormatter: formatter("%.0f", func(f float64) float64 { return f }),
		},
		YAxis: gochart.YAxis{
			Name:           "times",
			ValueFormatter: formatter("%.2g", func(f float64) float64 { return math.Pow(10, f) }),
		},
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

// PNG writes the charts of the classes as one image, arranged vertically.
func PNG(w io.Writer, r *history.Result) error {
	classes := classesWithPoints(r)
	canvas := image.NewRGBA(image.Rect(0, 0, width, max(1, len(classes))*height))
	draw.Draw(canvas, canvas.Bounds(), image.White, image.Point{}, draw.Src)
	for i, c := range classes {
		g := classChart(c)
		var raw bytes.Buffer
		if err := g.Render(gochart.PNG, &raw); err != nil {
			return fmt.Errorf("render chart of class %s: %w", c.Class, err)
		}
		img, err := png.Decode(&raw)
		if err != nil {
			return fmt.Errorf("decode chart of class %s: %w", c.Class, err)
		}
		draw.Draw(canvas, image.Rect(0, i*height, width, (i+1)*height), img, image.Point{}, draw.Over)
	}
	return png.Encode(w, canvas)
}

// page is the template of the HTML page. Its data has the keys Result and Charts.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Estimates of run times</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}</style>
<h1>Estimates of run times</h1>
<p>{{.Result.Skipped}} lines skipped, {{.Result.Changes}} sudden changes found.</p>
<table><tr><th>class<th>jobs<th>with similar runs<th>within 1.25<th>1.5<th>2<th>0.5 covers<th>0.8<th>0.95<th>log error<th>users'<th>first seen<th>unknown</tr>
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
			return fmt.Errorf("render chart of class %s: %w", c.Class, err)
		}
		charts = append(charts, template.HTML(svg.String())) //nolint:gosec // its title, the only external text, is escaped
	}
	return page.Execute(w, map[string]any{"Result": r, "Charts": charts})
}
