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

// Row is a class in a log: the fraction of its jobs that could have started in time, and
// the fraction that did.
type Row struct {
	Class            string
	Jobs             int
	Gang             bool
	Bound            float64 // for gangs; 1 for others, which start with one task
	Started, Largest float64 // of all its jobs, of its largest ones
}

// Log is what the debug logs of the nodes contain of a workload.
type Log struct {
	jobs             map[string]*Job
	firstPlacedAfter map[string]float64 // seconds from the acceptance of a job to its first placement
	machines         []machineCount
	start            time.Time // of the first line
}

// machineCount is the number of usable machines at a time, in seconds from the start.
type machineCount struct {
	atS   float64
	count int
}

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Read reads a node's debug log; it may be called for several nodes. Other lines and
// whatever precedes the time of a line are ignored.
func (l *Log) Read(r io.Reader) error {
	if l.jobs == nil {
		l.jobs = map[string]*Job{}
		l.firstPlacedAfter = map[string]float64{}
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

// parseLine takes a line from its time on.
func (l *Log) parseLine(text string) {
	values, err := parseLogfmt(text)
	at, timeErr := time.Parse(time.RFC3339Nano, values["time"])
	if timeErr != nil || err != nil {
		return
	}
	if l.start.IsZero() {
		l.start = at
	}
	now := at.Sub(l.start).Seconds()
	number := func(key string) float64 {
		x, _ := strconv.ParseFloat(values[key], 64) // 0 if it is absent
		return x
	}
	switch values["msg"] {
	case "accepted":
		l.jobs[values["job"]] = &Job{
			Class: values["class"],
			At:    max(now, 0),
			Tasks: max(1, int(number("tasks"))),
			GPUs:  number("gpus"),
			RunS:  number("estimate_s"),
			Gang:  values["shape"] == wire.Gang,
			Ends:  values["shape"] != wire.Service,
		}
	case "placing":
		if _, placed := l.firstPlacedAfter[values["job"]]; !placed {
			l.firstPlacedAfter[values["job"]] = number("age_ms") / 1000
		}
	case "leader statistics", "leader": // earlier versions wrote the latter
		l.machines = append(l.machines, machineCount{now, int(number("usable"))})
	}
}

// parseLogfmt returns the values of a line by their keys.
func parseLogfmt(text string) (map[string]string, error) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	values := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			values[string(d.Key())] = string(d.Value())
		}
	}
	return values, d.Err()
}

const (
	// periodS is the length of a period in seconds.
	periodS = 20.0
	// openPeriods are added after the end of the log: jobs that arrived last may start in
	// time after it.
	openPeriods = 1
)

// Rows returns the classes by name, for machines with the given number of GPUs each and
// jobs that are to start within so many seconds. It fails if the log contains no jobs or
// no statistics of a leader.
func (l *Log) Rows(gpus, within float64) ([]Row, error) {
	if len(l.machines) == 0 || len(l.jobs) == 0 {
		return nil, fmt.Errorf("the log has no lines of a leader, or of accepted jobs: was LOG_LEVEL debug?")
	}
	workload := Workload{PeriodS: periodS, WithinS: within, GPUs: l.gpusByPeriod(gpus)}
	rowOf := map[string]*Row{}
	jobsOf := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		workload.Jobs = append(workload.Jobs, *j)
		jobsOf[j.Class] = append(jobsOf[j.Class], id)
		if rowOf[j.Class] == nil {
			rowOf[j.Class] = &Row{Class: j.Class, Gang: j.Gang, Bound: 1}
		}
	}
	bound, err := Solve(&workload)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, class := range slices.Sorted(maps.Keys(rowOf)) {
		row, ids := rowOf[class], jobsOf[class]
		slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(l.jobs[b].Tasks, l.jobs[a].Tasks) })
		row.Jobs = len(ids)
		row.Started = l.startedShare(ids, within)
		row.Largest = l.startedShare(ids[:largestCount(len(ids))], within)
		if row.Gang {
			row.Bound = bound.StartShare[class]
		}
		rows = append(rows, *row)
	}
	return rows, nil
}

// gpusByPeriod returns the GPUs of the usable machines in each period.
func (l *Log) gpusByPeriod(gpus float64) []float64 {
	end := l.machines[len(l.machines)-1].atS
	byPeriod := make([]float64, int(end/periodS)+openPeriods)
	k := 0
	for t := range byPeriod {
		for k+1 < len(l.machines) && l.machines[k+1].atS <= float64(t+1)*periodS {
			k++
		}
		byPeriod[t] = float64(l.machines[k].count) * gpus
	}
	return byPeriod
}

// startedShare returns the fraction of jobs that started in time.
func (l *Log) startedShare(ids []string, within float64) float64 {
	started := 0
	for _, id := range ids {
		if age, placed := l.firstPlacedAfter[id]; placed && age <= within {
			started++
		}
	}
	return float64(started) / float64(len(ids))
}
