// Package history reads histories of past runs, and replays them to measure the accuracy of run-time estimates. A
// history is a text of JSON objects, one per line, in the order in which the runs ended.
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

// Run is one run of a history. Times are in seconds.
type Run struct {
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

// requiredFields are the fields without which a line has no information about a run time.
var requiredFields = []string{"class", "started_s", "ended_s", "outcome"}

// knownFields are the names of all fields of a Run.
var knownFields = []string{"ref", "class", "team", "shape", "tasks", "cpus", "gpus", "memory_gb", "image", "expect_s",
	"submitted_s", "started_s", "ended_s", "outcome", "machine", "type"}

// Problem is a defect of a line. A skipped line has exactly one; a usable line may have any number.
type Problem struct {
	Line    int // number of the line, counted from 1
	Message string
	Skipped bool
}

// String returns the problem as a text for users.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d: %s", p.Line, p.Message)
	if p.Skipped {
		s += " (skipped)"
	}
	return s
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// ErrNoHistory is returned for a text without a usable line.
var ErrNoHistory = errors.New("not a history of runs")

// Parse parses a line. For a usable line it also returns warnings about fields that are missing or unknown. The error
// is the reason why the line is unusable.
func Parse(raw []byte) (*Run, []string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, nil, errors.New("not a JSON object")
	}
	warnings, err := checkFields(fields)
	if err != nil {
		return nil, nil, err
	}
	var run Run
	if err := json.Unmarshal(raw, &run); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, nil, fmt.Errorf("field %s: expected %s, found %s",
				typeError.Field, typeError.Type, typeError.Value)
		}
		return nil, nil, err
	}
	if err := run.validate(); err != nil {
		return nil, nil, err
	}
	return &run, warnings, nil
}

// checkFields returns warnings about missing and unknown fields, and an error if a required field is missing. A field
// with the value null is missing.
func checkFields(fields map[string]json.RawMessage) ([]string, error) {
	var warnings []string
	for _, name := range knownFields {
		if v, ok := fields[name]; !ok || string(v) == "null" {
			if slices.Contains(requiredFields, name) {
				return nil, fmt.Errorf("field %s is missing", name)
			}
			warnings = append(warnings, "field "+name+" is missing")
		}
	}
	var unknown []string
	for name := range fields {
		if !slices.Contains(knownFields, name) {
			unknown = append(unknown, fmt.Sprintf("field %q is unknown", name))
		}
	}
	slices.Sort(unknown)
	return append(warnings, unknown...), nil
}

// validate checks the values of a line.
func (run *Run) validate() error {
	switch {
	case !slices.Contains(outcomes, run.Outcome):
		return fmt.Errorf("outcome %q is unknown", run.Outcome)
	case !inRange(run.Started, run.Ended, run.Submitted, run.ExpectS):
		return errors.New("a time is out of range")
	case run.Ended < run.Started:
		return errors.New("ended_s is before started_s")
	case run.ExpectS < 0:
		return errors.New("expect_s is below 0")
	}
	return nil
}

// maxSeconds is the upper bound of the absolute values of times.
const maxSeconds = 1e11

func inRange(seconds ...float64) bool {
	for _, v := range seconds {
		if math.IsNaN(v) || math.Abs(v) > maxSeconds {
			return false
		}
	}
	return true
}

// Read reads a history and returns its runs, ordered by their end, and the number of skipped lines. It skips unusable
// lines and calls report with each problem. A line that is out of order is reported but not skipped. The error is
// ErrNoHistory if no line is usable, or that of the reader.
func Read(r io.Reader, report func(Problem)) ([]Run, int, error) {
	p := parser{report: report, latestEnd: math.Inf(-1)}
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
	if len(p.runs) == 0 {
		return nil, p.skipped, ErrNoHistory
	}
	slices.SortStableFunc(p.runs, func(a, b Run) int { return cmp.Compare(a.Ended, b.Ended) })
	return p.runs, p.skipped, nil
}

// parser collects the runs of a history.
type parser struct {
	report    func(Problem)
	runs      []Run
	skipped   int
	latestEnd float64 // latest end of the runs so far
}

// parse parses the line with the given number and collects its run and its problems.
func (p *parser) parse(number int, raw []byte, tooLong bool) {
	run, warnings, err := Parse(raw)
	if tooLong {
		err = errors.New("longer than 1 MiB")
	}
	if err != nil {
		p.skipped++
		p.report(Problem{number, err.Error(), true})
		return
	}
	for _, warning := range warnings {
		p.report(Problem{Line: number, Message: warning})
	}
	if run.Ended < p.latestEnd {
		p.report(Problem{Line: number, Message: "out of order by ended_s"})
	}
	p.latestEnd = max(p.latestEnd, run.Ended)
	p.runs = append(p.runs, *run)
}

// readLine reads a line. If tooLong is true, the line exceeds maxLineBytes and is returned incompletely.
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
