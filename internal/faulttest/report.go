package faulttest

import (
	"html/template"
	"io"
	"strconv"
	"strings"
)

// Sizes of a plot, in pixels.
const (
	plotWidth  = 900.0
	plotHeight = 160.0
	// plotMargin is the space above a plot for the labels of its marks.
	plotMargin = 20
)

// series is a value that is plotted for each second of a run.
type series struct {
	title string
	value func(Second) int
}

// plottedSeries lists the series in the plots of a report.
var plottedSeries = []series{
	{"Jobs submitted per second", func(s Second) int { return s.Submitted }},
	{"Tasks started per second", func(s Second) int { return s.Started }},
	{"Tasks done per second", func(s Second) int { return s.Done }},
	{"Tasks on machines", func(s Second) int { return s.Running }},
}

// plot holds the fields of a plot that the template uses.
type plot struct {
	Title, Points string
	Max           int // of the series
	Marks         []plotMark
	Width, Height float64
}

// plotMark is the beginning or the end of a fault in a plot.
type plotMark struct {
	X    float64
	What string
}

// maxValue returns the highest value of the series, at least 0.
func (s *series) maxValue(load []Second) int {
	highest := 0
	for _, second := range load {
		highest = max(highest, s.value(second))
	}
	return highest
}

// polyline returns the points of the series in the format of an SVG polyline.
func (s *series) polyline(load []Second) string {
	highest := max(1, s.maxValue(load))
	var b strings.Builder
	for i, second := range load {
		x := plotX(float64(i), load)
		y := plotHeight - float64(s.value(second))/float64(highest)*plotHeight
		b.WriteString(strconv.FormatFloat(x, 'f', 1, 64) + "," + strconv.FormatFloat(y, 'f', 1, 64) + " ")
	}
	return b.String()
}

// plotX returns the x coordinate of a time, in seconds since the run began, in the plots of a load.
func plotX(seconds float64, load []Second) float64 {
	return seconds / float64(max(len(load)-1, 1)) * plotWidth
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Scenario}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:960px}table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}.pass{color:#070}.fail{color:#a00}svg{background:#f7f7f7}text{font-size:10px;fill:#a00}</style>
<h1>{{.R.Scenario}}: {{if .R.Passed}}<span class="pass">PASS</span>{{else}}<span class="fail">FAIL</span>{{end}}</h1>
<p>{{.R.Description}}. Seed {{.R.Seed}}, {{printf "%.0f" .R.ElapsedS}} s, {{.R.Machines}} machines rented.</p>
{{with .R.FailureReason}}<p class="fail">{{.}}</p>{{end}}
<h2>Invariants</h2>{{if .R.Violations}}<ul>{{range .R.Violations}}<li class="fail">{{.}}</li>{{end}}</ul>{{else}}<p>No violations.</p>{{end}}
{{if .R.Findings}}<h2>Expectations</h2><table><tr><th>expected<th>found<th>of<th></tr>
{{range .R.Findings}}<tr><td>{{.Expect}}<td>{{printf "%.3f" .Share}}<td>{{.Jobs}}<td>{{if .Met}}<span class="pass">met</span>{{else}}<span class="fail">missed</span>{{end}}</tr>{{end}}</table>{{end}}
<h2>Classes</h2><table><tr><th>class<th>submitted<th>accepted<th>started<th>done<th>cancelled<th>submit p50/p99 ms<th>start p50/p90/max s<th>done p50/p90/max s</tr>
{{range .R.Classes}}<tr><td>{{.Class}}<td>{{.Submitted}}<td>{{.Accepted}}<td>{{.Started}}<td>{{.Done}}<td>{{.Cancelled}}<td>{{printf "%.0f/%.0f" .SubmitMS.P50 .SubmitMS.P99}}<td>{{printf "%.1f/%.1f/%.1f" .StartS.P50 .StartS.P90 .StartS.Max}}<td>{{printf "%.1f/%.1f/%.1f" .DoneS.P50 .DoneS.P90 .DoneS.Max}}</tr>{{end}}</table>
<h2>Jobs started within four minutes</h2><table><tr><th>group<th>name<th>share</tr>
{{range $k, $v := .R.StartedInTime.Class}}<tr><td>class<td>{{$k}}<td>{{printf "%.2f" $v}}</tr>{{end}}
{{range $k, $v := .R.StartedInTime.Team}}<tr><td>team<td>{{$k}}<td>{{printf "%.2f" $v}}</tr>{{end}}
{{range $k, $v := .R.StartedInTime.Largest}}<tr><td>largest tenth of a class<td>{{$k}}<td>{{printf "%.2f" $v}}</tr>{{end}}</table>
{{range .Plots}}<h3>{{.Title}} (maximum {{.Max}})</h3>
<svg viewBox="0 -12 {{.Width}} {{.Height}}" width="{{.Width}}" height="{{.Height}}">{{range .Marks}}<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="160" stroke="#d99"/><text x="{{.X}}" y="-2">{{.What}}</text>{{end}}<polyline points="{{.Points}}" fill="none" stroke="#247" stroke-width="1.5"/></svg>{{end}}
<h2>Nodes</h2><table><tr><th>node<th>CPU s<th>memory MB<th>restarts</tr>
{{range .R.Nodes}}<tr><td>{{.Node}}<td>{{printf "%.1f" .CPUS}}<td>{{printf "%.0f" .PeakMB}}<td>{{.Restarts}}</tr>{{end}}</table>
<p>State service: {{.R.Requests}} requests, {{.R.Refused}} refused, {{.R.Changes}} changes.</p>
</html>
`))

// WriteReport writes a result as a self-contained HTML page.
func WriteReport(w io.Writer, res *Result) error {
	var marks []plotMark
	for _, m := range res.Marks {
		marks = append(marks, plotMark{X: plotX(m.At, res.Load), What: m.What})
	}
	var plots []plot
	for i := range plottedSeries {
		s := &plottedSeries[i]
		plots = append(plots, plot{
			Title:  s.title,
			Points: s.polyline(res.Load),
			Max:    s.maxValue(res.Load),
			Marks:  marks,
			Width:  plotWidth,
			Height: plotHeight + plotMargin,
		})
	}
	return reportPage.Execute(w, map[string]any{"R": res, "Plots": plots})
}
