// Package history reads and replays records of past runs: one JSON object a line, in
// the order in which the runs ended.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
)

// Line is one run.
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

// Outcomes.
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

// Problem is what is wrong with a line. A line that is skipped has one; others may.
type Problem struct {
	Line    int
	What    string
	Skipped bool
}

func (p Problem) String() string {
	s := fmt.Sprintf("line %d: %s", p.Line, p.What)
	if p.Skipped {
		s += " (skipped)"
	}
	return s
}

// maxLine bounds a line.
const maxLine = 1 << 20

// ErrNoHistory marks a file of which no line is a run.
var ErrNoHistory = errors.New("not a history of runs")

// Parse reads a line. Its error tells why the line says nothing; what is only missing
// or unknown is listed.
func Parse(raw []byte) (*Line, []string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, nil, errors.New("not a JSON object")
	}
	var odd []string
	for _, name := range known {
		if v, ok := fields[name]; !ok || string(v) == "null" {
			if slices.Contains(required, name) {
				return nil, nil, fmt.Errorf("field %s is missing", name)
			}
			odd = append(odd, "field "+name+" is missing")
		}
	}
	var unknown []string
	for name := range fields {
		if !slices.Contains(known, name) {
			unknown = append(unknown, fmt.Sprintf("field %q is unknown", name))
		}
	}
	slices.Sort(unknown)
	odd = append(odd, unknown...)
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, nil, fmt.Errorf("field %s is no %s", te.Field, te.Type)
		}
		return nil, nil, err
	}
	switch {
	case !slices.Contains(outcomes, l.Outcome):
		return nil, nil, fmt.Errorf("outcome %q is unknown", l.Outcome)
	case !finite(l.Started, l.Ended, l.Submitted, l.ExpectS):
		return nil, nil, errors.New("a time is out of range")
	case l.Ended < l.Started:
		return nil, nil, errors.New("ended_s is before started_s")
	case l.ExpectS < 0:
		return nil, nil, errors.New("expect_s is below 0")
	}
	return &l, odd, nil
}

func finite(vs ...float64) bool {
	for _, v := range vs {
		if math.IsNaN(v) || math.Abs(v) > 1e11 {
			return false
		}
	}
	return true
}

// Read reads a history. Lines that say nothing are skipped and told of, and so is
// one out of order, which is taken all the same.
func Read(r io.Reader, tell func(Problem)) ([]Line, int, error) {
	br := bufio.NewReaderSize(r, 64<<10)
	var lines []Line
	skipped, last := 0, math.Inf(-1)
	for n := 1; ; n++ {
		raw, tooLong, err := readLine(br)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, 0, err
		}
		if len(bytes.TrimSpace(raw)) > 0 || tooLong {
			l, odd, bad := Parse(raw)
			if tooLong {
				bad = errors.New("longer than 1 MiB")
			}
			if bad != nil {
				skipped++
				tell(Problem{n, bad.Error(), true})
			} else {
				for _, what := range odd {
					tell(Problem{Line: n, What: what})
				}
				if l.Ended < last {
					tell(Problem{Line: n, What: "out of order by ended_s"})
				}
				last = max(last, l.Ended)
				lines = append(lines, *l)
			}
		}
		if err != nil {
			break
		}
	}
	if len(lines) == 0 {
		return nil, skipped, ErrNoHistory
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		switch {
		case a.Ended < b.Ended:
			return -1
		case a.Ended > b.Ended:
			return 1
		}
		return 0
	})
	return lines, skipped, nil
}

// readLine returns a line without its end, and whether it was cut for its length.
func readLine(br *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		frag, err := br.ReadSlice('\n')
		if len(line)+len(frag) > maxLine {
			tooLong = true
		} else {
			line = append(line, frag...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, tooLong, err
		}
	}
}
