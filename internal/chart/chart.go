// Package chart draws what a replay of a history found: as a PNG, or as a page of HTML
// that needs nothing else.
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
	// mostPoints bounds what a chart shows: the last ones.
	mostPoints = 2000
)

// classChart shows by how many times runs took longer than the median stated for them,
// beside the interval stated: as far as estimates are good, dots lie evenly around 1
// and four fifths of them between the lines. Times are drawn by their logarithm.
func classChart(c *history.ClassResult) gochart.Chart {
	points := c.Points[max(0, len(c.Points)-mostPoints):]
	var at, ran, low, high, one []float64
	times := func(s, of float64) float64 { return math.Log10(math.Max(s, 0.01) / math.Max(of, 0.01)) }
	for _, p := range points {
		at, one = append(at, p.Ended), append(one, 0)
		ran = append(ran, times(p.Ran, p.Median))
		low, high = append(low, times(p.Low, p.Median)), append(high, times(p.High, p.Median))
	}
	line := func(name string, ys []float64, color drawing.Color) gochart.ContinuousSeries {
		return gochart.ContinuousSeries{Name: name, XValues: at, YValues: ys, Style: gochart.Style{StrokeColor: color, StrokeWidth: 1}}
	}
	format := func(layout string, of func(float64) float64) gochart.ValueFormatter {
		return func(v any) string {
			f, _ := v.(float64)
			return fmt.Sprintf(layout, of(f))
		}
	}
	g := gochart.Chart{Title: fmt.Sprintf("%s: %d runs with kin, by the stated median", c.Class, c.WithSimilar), Width: width, Height: height,
		TitleStyle: gochart.Style{FontSize: 11}, Background: gochart.Style{Padding: gochart.Box{Top: 70, Left: 20, Right: 20, Bottom: 10}},
		XAxis: gochart.XAxis{Name: "end, s", ValueFormatter: format("%.0f", func(f float64) float64 { return f })},
		YAxis: gochart.YAxis{Name: "times", ValueFormatter: format("%.2g", func(f float64) float64 { return math.Pow(10, f) })},
		Series: []gochart.Series{
			gochart.ContinuousSeries{Name: "ran", XValues: at, YValues: ran,
				Style: gochart.Style{StrokeWidth: gochart.Disabled, StrokeColor: gochart.ColorOrange, DotWidth: 1.5, DotColor: gochart.ColorOrange}},
			line("0.8 interval, low", low, gochart.ColorAlternateGray), line("0.8 interval, high", high, gochart.ColorAlternateGray),
			line("median", one, gochart.ColorBlue),
		}}
	g.Elements = []gochart.Renderable{gochart.Legend(&g, gochart.Style{FontSize: 8})}
	return g
}

// drawable are the classes that have something to show.
func drawable(r *history.Result) []*history.ClassResult {
	var out []*history.ClassResult
	for i := range r.Classes {
		if len(r.Classes[i].Points) >= 2 {
			out = append(out, &r.Classes[i])
		}
	}
	return out
}

// PNG draws the classes one below the other.
func PNG(w io.Writer, r *history.Result) error {
	classes := drawable(r)
	whole := image.NewRGBA(image.Rect(0, 0, width, max(1, len(classes))*height))
	draw.Draw(whole, whole.Bounds(), image.White, image.Point{}, draw.Src)
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
		draw.Draw(whole, image.Rect(0, i*height, width, (i+1)*height), img, image.Point{}, draw.Over)
	}
	return png.Encode(w, whole)
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Estimates of run times</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}</style>
<h1>Estimates of run times</h1>
<p>{{.Result.Skipped}} lines skipped, {{.Result.Changes}} sudden changes found.</p>
<table><tr><th>class<th>jobs<th>with kin<th>within 1.25<th>1.5<th>2<th>0.5 covers<th>0.8<th>0.95<th>log error<th>owners'<th>first seen<th>unknown</tr>
{{range .Result.Classes}}<tr><td>{{.Class}}<td>{{.Jobs}}<td>{{.WithKin}}<td>{{index .Within "1.25"}}<td>{{index .Within "1.5"}}<td>{{index .Within "2"}}<td>{{index .Coverage "0.5"}}<td>{{index .Coverage "0.8"}}<td>{{index .Coverage "0.95"}}<td>{{.LogError}}<td>{{.UserLogError}}<td>{{.FirstSeen.Jobs}}<td>{{.FirstSeen.Unknown}}</tr>
{{end}}</table>
{{range .Charts}}<figure>{{.}}</figure>{{end}}
</html>
`))

// HTML writes a page with a table and the charts.
func HTML(w io.Writer, r *history.Result) error {
	var charts []template.HTML
	for _, c := range drawable(r) {
		g := classChart(c)
		g.Title = template.HTMLEscapeString(g.Title)
		var svg bytes.Buffer
		if err := g.Render(gochart.SVG, &svg); err != nil {
			return fmt.Errorf("chart of %s: %w", c.Class, err)
		}
		charts = append(charts, template.HTML(svg.String())) //nolint:gosec // made here, its one foreign text escaped
	}
	return page.Execute(w, map[string]any{"Result": r, "Charts": charts})
}
