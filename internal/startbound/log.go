package startbound

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"coralhub/wire"
)

// Row is a class as a log tells of it: what anyone could have begun in time, and what had.
type Row struct {
	Class            string
	Jobs             int
	Gang             bool
	Bound            float64 // of gangs; 1 for what begins with one task
	Started, Largest float64
}

// Log is what the debug logs of the nodes tell of a day.
type Log struct {
	jobs             map[string]*Job
	firstPlacedAfter map[string]float64 // when a job was placed first, from its acceptance
	machines         []machineCount
	start            time.Time
}

type machineCount struct {
	atS   float64
	count int
}

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// Read takes the lines of a node's debug log. Lines of other kinds, and what comes before the time of a
// line, are passed over.
func (l *Log) Read(r io.Reader) error {
	if l.jobs == nil {
		l.jobs, l.firstPlacedAfter = map[string]*Job{}, map[string]float64{}
	}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line := s.Text()
		if i := strings.Index(line, "time="); i >= 0 && strings.Contains(line, "level=") {
			l.parseLine(line[i:])
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("debug log: %w", err)
	}
	return nil
}

func (l *Log) parseLine(text string) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	of := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			of[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, of["time"])
	if err != nil || d.Err() != nil {
		return
	}
	if l.start.IsZero() {
		l.start = at
	}
	now := at.Sub(l.start).Seconds()
	number := func(key string) float64 {
		x, _ := strconv.ParseFloat(of[key], 64) // absent: 0
		return x
	}
	switch of["msg"] {
	case "accepted":
		l.jobs[of["job"]] = &Job{Class: of["class"], At: max(now, 0), Tasks: max(1, int(number("tasks"))), GPUs: number("gpus"),
			RunS: number("estimate_s"), Gang: of["shape"] == wire.Gang, Ends: of["shape"] != wire.Service}
	case "placing":
		if _, had := l.firstPlacedAfter[of["job"]]; !had {
			l.firstPlacedAfter[of["job"]] = number("age_ms") / 1000
		}
	case "leader statistics", "leader": // the latter by earlier versions
		l.machines = append(l.machines, machineCount{now, int(number("usable"))})
	}
}

const (
	periodS = 20.0 // seconds
	// openPeriods is left out at the end of a log: what came then may begin in time after it.
	openPeriods = 1
)

// Rows reckons, for machines with so many GPUs each and jobs that are to begin within so many
// seconds.
func (l *Log) Rows(gpus, within float64) ([]Row, error) {
	if len(l.machines) == 0 || len(l.jobs) == 0 {
		return nil, fmt.Errorf("the log has no lines of a leader, or of accepted jobs: was LOG_LEVEL debug?")
	}
	end := l.machines[len(l.machines)-1].atS
	d := Workload{PeriodS: periodS, WithinS: within, GPUs: make([]float64, int(end/periodS)+openPeriods)}
	k := 0
	for t := range d.GPUs {
		for k+1 < len(l.machines) && l.machines[k+1].atS <= float64(t+1)*periodS {
			k++
		}
		d.GPUs[t] = float64(l.machines[k].count) * gpus
	}
	rows := map[string]*Row{}
	of := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		d.Jobs = append(d.Jobs, *j)
		of[j.Class] = append(of[j.Class], id)
		if rows[j.Class] == nil {
			rows[j.Class] = &Row{Class: j.Class, Gang: j.Gang, Bound: 1}
		}
	}
	bound, err := Solve(&d)
	if err != nil {
		return nil, err
	}
	var out []Row
	for _, class := range slices.Sorted(maps.Keys(rows)) {
		row, ids := rows[class], of[class]
		slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(l.jobs[b].Tasks, l.jobs[a].Tasks) })
		row.Jobs = len(ids)
		row.Started = l.startedShare(ids, within)
		row.Largest = l.startedShare(ids[:max(1, int(float64(len(ids))*largestFraction))], within)
		if row.Gang {
			row.Bound = bound.StartShare[class]
		}
		out = append(out, *row)
	}
	return out, nil
}

func (l *Log) startedShare(ids []string, within float64) float64 {
	n := 0
	for _, id := range ids {
		if age, ok := l.firstPlacedAfter[id]; ok && age <= within {
			n++
		}
	}
	return float64(n) / float64(len(ids))
}
