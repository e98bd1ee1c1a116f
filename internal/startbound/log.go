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

// Row is the result of a class in a log: the bound of the fraction of its jobs that start in time, and the fraction
// that did start in time.
type Row struct {
	Class string
	Jobs  int
	Gang  bool
	Bound float64 // 1 for a class that is not of gangs, whose jobs start with one task
	// StartedShare and LargestStartedShare are the fractions of all its jobs and of its largest jobs that started
	// in time.
	StartedShare, LargestStartedShare float64
}

// Log is the data about a workload from the debug logs of nodes.
type Log struct {
	jobs             map[string]*Job
	firstPlacedAfter map[string]float64 // seconds from the acceptance of a job to its first placement, by job
	machines         []machineCount
	start            time.Time // time of the first line
}

// machineCount is the number of usable machines at a time.
type machineCount struct {
	atS   float64 // seconds since the start of the log
	count int
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read reads the debug log of a node. It may be called for several nodes. It ignores lines that are not log lines, and
// any text before the time of a log line.
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
		return fmt.Errorf("read debug log: %w", err)
	}
	return nil
}

// parseLine parses the part of a log line that begins with the time. It ignores lines that can't be parsed.
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
		x, _ := strconv.ParseFloat(values[key], 64) // 0 if the key is missing
		return x
	}
	switch values["msg"] {
	case "accepted":
		l.jobs[values["job"]] = &Job{
			Class:      values["class"],
			AcceptedAt: max(now, 0),
			Tasks:      max(1, int(number("tasks"))),
			GPUs:       number("gpus"),
			RunS:       number("estimate_s"),
			Gang:       values["shape"] == wire.Gang,
			Ends:       values["shape"] != wire.Service,
		}
	case "placing":
		if _, placed := l.firstPlacedAfter[values["job"]]; !placed {
			l.firstPlacedAfter[values["job"]] = number("age_ms") / 1000
		}
	case "leader statistics", "leader": // earlier versions log "leader"
		l.machines = append(l.machines, machineCount{now, int(number("usable"))})
	}
}

// parseLogfmt returns the values of a log line, by key.
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
	// periodS is the length of a period, in seconds.
	periodS = 20.0
	// trailingPeriods is the number of periods that are added after the end of the log, because the last jobs may start
	// in time after it.
	trailingPeriods = 1
)

// Rows returns the results of the classes, sorted by name, for machines with the given number of GPUs each and jobs
// that are to start within the given number of seconds. It returns an error if the log contains no accepted jobs or no
// statistics of a leader.
func (l *Log) Rows(gpus, within float64) ([]Row, error) {
	if len(l.machines) == 0 || len(l.jobs) == 0 {
		return nil, fmt.Errorf(
			"the log has %d lines of leader statistics and %d accepted jobs, expected some of each: was LOG_LEVEL debug?",
			len(l.machines), len(l.jobs))
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
		row.StartedShare = l.startedShare(ids, within)
		row.LargestStartedShare = l.startedShare(ids[:largestCount(len(ids))], within)
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
	byPeriod := make([]float64, int(end/periodS)+trailingPeriods)
	k := 0
	for t := range byPeriod {
		for k+1 < len(l.machines) && l.machines[k+1].atS <= float64(t+1)*periodS {
			k++
		}
		byPeriod[t] = float64(l.machines[k].count) * gpus
	}
	return byPeriod
}

// startedShare returns the fraction of the jobs that were first placed in time.
func (l *Log) startedShare(ids []string, within float64) float64 {
	started := 0
	for _, id := range ids {
		if age, placed := l.firstPlacedAfter[id]; placed && age <= within {
			started++
		}
	}
	return float64(started) / float64(len(ids))
}
