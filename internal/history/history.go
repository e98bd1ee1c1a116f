// Package history reads histories of past runs, and replays them to measure how good
// estimates of run times are. A history has one JSON object per line, in the order in
// which the runs ended.
package history

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
)

// Line is one run of a history. Times are in seconds.
type Line struct {
	Ref       string  `json:"ref"`
	Class     string  `json:"class"`
	Team      string  `json:"team"`
	Shape     string  `json:"shape"`
	Tasks     int     `json:"tasks"`
	CPUs      float64 `json:"cpus"`
	GPUs      float64 `json:"gpus"`
	MemoryGB  float64 `json:"memory_gb"`
	Image     string  `json:"image"`
	ExpectS   float64 `json:"expect_s"`
	Submitted float64 `json:"submitted_s"`
	Started   float64 `json:"started_s"`
	Ended     float64 `json:"ended_s"`
	Outcome   string  `json:"outcome"`
	Machine   string  `json:"machine"`
	Type      string  `json:"type"`
}

// The outcomes of a run.
const (
	Done      = "done"
	Cancelled = "cancelled"
	Preempted = "preempted"
	Lost      = "lost"
	Error     = "error"
)

var outcomes = []string{Done, Cancelled, Preempted, Lost, Error}

// required are the fields without which a line says nothing about a run time.
var required = []string{"class", "started_s", "ended_s", "outcome"}

// known are all fields of a line.
var known = []string{"ref", "class", "team", "shape", "tasks", "cpus", "gpus", "memory_gb", "image", "expect_s", "submitted_s",
	"started_s", "ended_s", "outcome", "machine", "type"}

// Problem is what is wrong with a line. Each skipped line has one; others may have some.
type Problem struct {
	Line    int
	What    string
	Skipped bool
}

// String returns the problem as it is shown to users.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d: %s", p.Line, p.What)
	if p.Skipped {
		s += " (skipped)"
	}
	return s
}

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// ErrNoHistory is returned for a file in which no line is a run.
var ErrNoHistory = errors.New("not a history of runs")

// Parse reads a line. Its error says why the line is unusable; the strings name fields that
// are missing or unknown in a usable line.
func Parse(raw []byte) (*Line, []string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, nil, errors.New("not a JSON object")
	}
	warnings, err := checkFields(fields)
	if err != nil {
		return nil, nil, err
	}
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, nil, fmt.Errorf("field %s is no %s", typeError.Field, typeError.Type)
		}
		return nil, nil, err
	}
	if err := l.validate(); err != nil {
		return nil, nil, err
	}
	return &l, warnings, nil
}

// checkFields returns warnings of missing and unknown fields, and an error if a required
// field is missing.
func checkFields(fields map[string]json.RawMessage) ([]string, error) {
	var warnings []string
	for _, name := range known {
		if v, ok := fields[name]; !ok || string(v) == "null" {
			if slices.Contains(required, name) {
				return nil, fmt.Errorf("field %s is missing", name)
			}
			warnings = append(warnings, "field "+name+" is missing")
		}
	}
	var unknown []string
	for name := range fields {
		if !slices.Contains(known, name) {
			unknown = append(unknown, fmt.Sprintf("field %q is unknown", name))
		}
	}
	slices.Sort(unknown)
	return append(warnings, unknown...), nil
}

// validate checks the values of a line.
func (l *Line) validate() error {
	switch {
	case !slices.Contains(outcomes, l.Outcome):
		return fmt.Errorf("outcome %q is unknown", l.Outcome)
	case !inRange(l.Started, l.Ended, l.Submitted, l.ExpectS):
		return errors.New("a time is out of range")
	case l.Ended < l.Started:
		return errors.New("ended_s is before started_s")
	case l.ExpectS < 0:
		return errors.New("expect_s is below 0")
	}
	return nil
}

// maxSeconds bounds times.
const maxSeconds = 1e11

func inRange(seconds ...float64) bool {
	for _, v := range seconds {
		if math.IsNaN(v) || math.Abs(v) > maxSeconds {
			return false
		}
	}
	return true
}

// Read reads a history and returns its runs, ordered by their end, and the number of
// skipped lines. Unusable lines are skipped; report is called with each problem. A line
// that is out of order is reported and used all the same. The error is ErrNoHistory if no
// line is usable, or that of the reader.
func Read(r io.Reader, report func(Problem)) ([]Line, int, error) {
	p := parser{report: report, latest: math.Inf(-1)}
	br := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		raw, tooLong, err := readLine(br)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, 0, err
		}
		if len(bytes.TrimSpace(raw)) > 0 || tooLong {
			p.parse(number, raw, tooLong)
		}
		if err != nil {
			break
		}
	}
	if len(p.lines) == 0 {
		return nil, p.skipped, ErrNoHistory
	}
	slices.SortStableFunc(p.lines, func(a, b Line) int { return cmp.Compare(a.Ended, b.Ended) })
	return p.lines, p.skipped, nil
}

// parser collects the lines of a history.
type parser struct {
	report  func(Problem)
	lines   []Line
	skipped int
	latest  float64 // end of a run so far
}

// parse takes the line of a number, counted from 1.
func (p *parser) parse(number int, raw []byte, tooLong bool) {
	l, warnings, err := Parse(raw)
	if tooLong {
		err = errors.New("longer than 1 MiB")
	}
	if err != nil {
		p.skipped++
		p.report(Problem{number, err.Error(), true})
		return
	}
	for _, what := range warnings {
		p.report(Problem{Line: number, What: what})
	}
	if l.Ended < p.latest {
		p.report(Problem{Line: number, What: "out of order by ended_s"})
	}
	p.latest = max(p.latest, l.Ended)
	p.lines = append(p.lines, *l)
}

// readLine returns a line, and whether it is longer than maxLineBytes and incomplete.
func readLine(br *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		fragment, err := br.ReadSlice('\n')
		if len(line)+len(fragment) > maxLineBytes {
			tooLong = true
		} else {
			line = append(line, fragment...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, tooLong, err
		}
	}
}
