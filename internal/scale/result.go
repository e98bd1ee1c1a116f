package scale

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coralhub/internal/config"
	"coralhub/internal/invariants"
	"coralhub/internal/process"
	"coralhub/internal/quantile"
)

// urgentStartTarget is the time from a job's submission within which its urgent tasks should start.
const urgentStartTarget = 2500 * time.Millisecond

// Result is the result of a run.
type Result struct {
	Settings      Settings       `json:"settings"`
	Cores         int            `json:"cores"`     // of the machine
	MemoryMB      float64        `json:"memory_mb"` // of the machine
	Processes     int            `json:"processes"`
	MemoryInUseMB float64        `json:"held_mb"` // resident memory of all processes at the end
	DurationS     float64        `json:"took_s"`
	Regions       []RegionResult `json:"regions"`
}

// RegionResult is the result of a region. Rates are means over the measured time. Times in seconds are
// those of jobs that were submitted within the measured time. RequestsPerS and ChangesPerS are as counted
// by the controllers. Jobs, Faults, Errors and Violations are of the whole run.
type RegionResult struct {
	Region              string                 `json:"region"`
	RequestedStartsPerS float64                `json:"asked_per_s"`  // task starts, as set in the settings
	StartsPerS          float64                `json:"starts_per_s"` // task starts
	EndsPerS            float64                `json:"ends_per_s"`
	Jobs                Jobs                   `json:"jobs"`
	UrgentStartS        quantile.Times         `json:"urgent_start_s"` // from submission to a task's first start
	UrgentInTime        float64                `json:"urgent_in_time"` // fraction of urgent tasks started in time
	OtherStartS         quantile.Times         `json:"other_start_s"`
	SubmitS             quantile.Times         `json:"submit_s"`
	RequestsPerS        map[string]float64     `json:"requests_per_s"`    // to the state service, by purpose
	ChangesPerS         map[string]float64     `json:"changes_per_s"`     // in the state service, by purpose
	RefusedPerS         float64                `json:"refused_per_s"`     // by the state service, due to its quotas
	ChangesPerStart     float64                `json:"changes_per_start"` // per task start
	Controllers         []ControllerResult     `json:"controllers"`
	Workers             WorkerResult           `json:"workers"`
	Faults              faultCounts            `json:"troubles"`
	Errors              map[string]int         `json:"errors,omitempty"` // unsuccessful responses, by request and status
	Violations          []invariants.Violation `json:"rules_broken"`
}

// Jobs holds the numbers of jobs in the whole run.
type Jobs struct {
	Submitted int `json:"submitted"`
	Accepted  int `json:"accepted"`
	Ended     int `json:"over"`
}

// ControllerResult is the result of a controller.
type ControllerResult struct {
	Name            string             `json:"name"`
	IsLeader        bool               `json:"leads"`
	Cores           float64            `json:"cores"` // CPU time in seconds per second
	MemoryMB        float64            `json:"memory_mb"`
	HeapMB          float64            `json:"heap_mb"`
	OpenFiles       int                `json:"files"`
	ForwardedPerS   float64            `json:"handed_per_s"`       // heartbeats forwarded to the leader
	StepSecondsPerS map[string]float64 `json:"core_seconds_per_s"` // spent in steps of the state machine, by input type
	InputsPerS      map[string]float64 `json:"inputs_per_s"`       // steps of the state machine, by input type
	Machines        map[string]float64 `json:"machines_by_state"`  // as counted by the leader
	WaitingJobs     float64            `json:"waiting_jobs"`
	Restarted       bool               `json:"restarted,omitempty"` // detected by a decrease of CPU time
}

// WorkerResult holds means per worker, except for Workers and LeasesExpired.
type WorkerResult struct {
	Workers        int     `json:"workers"`
	CoresEach      float64 `json:"cores_each"`
	MemoryMBEach   float64 `json:"memory_mb_each"` // resident memory of the hosting processes
	BytesPerS      float64 `json:"bytes_per_s"`    // received and sent, including the overhead of HTTP
	HeartbeatsPerS float64 `json:"reports_per_s"`
	CommandsPerS   float64 `json:"commands_per_s"` // requests received by the worker
	LeasesExpired  int64   `json:"leases_expired"` // total of all workers in the whole run
}

// newResult returns the result of a run from the results of its regions.
func newResult(s *Settings, regions []*region, results []RegionResult, took time.Duration) *Result {
	return &Result{
		Settings:      *s,
		Cores:         runtime.NumCPU(),
		MemoryMB:      process.TotalMB(),
		Processes:     1 + s.Regions*s.Controllers + s.Regions*len(regions[0].hosts),
		MemoryInUseMB: memoryInUse(regions),
		DurationS:     took.Seconds(),
		Regions:       results,
	}
}

// countJobs counts the submitted, accepted and ended jobs.
func countJobs(jobs map[string]submission) (counts Jobs) {
	for _, job := range jobs {
		counts.Submitted++
		if job.acceptedAt != 0 {
			counts.Accepted++
		}
		if job.ended {
			counts.Ended++
		}
	}
	return counts
}

// result computes the result of the region from the samples at the start and the end of the measurement
// and from the recorded events.
func (r *region) result(u *users, first, last *sample) *RegionResult {
	elapsedS := last.at.Sub(first.at).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &RegionResult{
		Region:              r.name,
		RequestedStartsPerS: r.settings.StartsPerS,
		RefusedPerS:         float64(last.refused-first.refused) / elapsedS,
		RequestsPerS:        map[string]float64{},
		ChangesPerS:         map[string]float64{},
		Faults:              r.faults,
		Violations:          []invariants.Violation{},
	}
	jobs := u.submissions()
	res.Jobs = countJobs(jobs)
	r.addStarts(res, jobs, window{first.at.UnixMicro(), last.at.UnixMicro()})
	for i := range last.controllers {
		a, b := &first.controllers[i], &last.controllers[i]
		addRates(res.RequestsPerS, a.requests, b.requests, elapsedS)
		addRates(res.ChangesPerS, a.changes, b.changes, elapsedS)
		res.Controllers = append(res.Controllers, controllerResult(r.controllers[i].name, a, b, elapsedS))
	}
	if res.StartsPerS > 0 {
		res.ChangesPerStart = sum(res.ChangesPerS) / res.StartsPerS
	}
	res.Workers = workerResult(r.settings.Workers, first.hosts, last.hosts, elapsedS)
	u.mu.Lock()
	res.Errors = maps.Clone(u.errors)
	u.mu.Unlock()
	res.Violations = append(res.Violations, invariants.Check(r.rules(), r.events)...)
	return res
}

// Bounds of the checked rules, see invariants.Rules.
const (
	maxPollFailure            = 90 * config.Second
	maxPollFailureAfterFaults = 75 * config.Second
)

// rules returns the rules that the recorded events are checked against.
func (r *region) rules() invariants.Rules {
	s := r.settings
	rules := invariants.Rules{
		CancelTimeout:             config.FromSeconds(s.Protocol.CancelS),
		MaxPollFailure:            maxPollFailure,
		MaxPollFailureAfterFaults: maxPollFailureAfterFaults,
		Teams:                     map[string]invariants.Limit{},
	}
	for i := range s.Teams {
		rules.Teams[teamName(i)] = invariants.Limit{GPUs: s.teamLimit()}
	}
	return rules
}

// maxRecordedS is the largest time in histograms, in seconds.
const maxRecordedS = 3600

// significantDigits is the precision of recorded times.
const significantDigits = 3

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedS*config.Second, significantDigits)
}

// recordMicros records a time in a histogram, clamped to the range of the histogram.
func recordMicros(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(min(max(micros, 1), maxRecordedS*config.Second)) // no error: the value is in range
}

// window is a half-open interval [from, to) of Unix times in microseconds.
type window struct{ from, to int64 }

func (w window) contains(at int64) bool { return at >= w.from && at < w.to }

// startTimes counts the starts and ends of tasks within a window. For jobs that were submitted within the
// window, it collects the times from submission to the first start of each task.
type startTimes struct {
	window        window
	urgent, other *hdrhistogram.Histogram
	started       map[startedTask]bool // tasks that have started at least once
	starts, ends  int
	urgentInTime  int
}

type startedTask struct {
	job  string
	task int
}

// addEvent adds a task event of a job.
func (t *startTimes) addEvent(e *invariants.Event, job *submission) {
	inside := t.window.contains(e.At)
	switch e.Kind {
	case invariants.TaskDone:
		if inside {
			t.ends++
		}
	case invariants.TaskStarted:
		if inside {
			t.starts++
		}
		key := startedTask{e.Job, e.Task}
		if t.started[key] {
			return // a later attempt
		}
		t.started[key] = true
		if t.window.contains(job.submittedAt) {
			t.addFirstStart(e.At-job.submittedAt, job.class)
		}
	}
}

// addFirstStart adds the time in microseconds from the submission of a job to the first start of a task.
func (t *startTimes) addFirstStart(waited int64, class *Class) {
	if !class.Urgent {
		recordMicros(t.other, waited)
		return
	}
	recordMicros(t.urgent, waited)
	if waited <= urgentStartTarget.Microseconds() {
		t.urgentInTime++
	}
}

// addStarts sets the fields of res for task starts and submissions within a window. The caller holds r.mu.
func (r *region) addStarts(res *RegionResult, jobs map[string]submission, w window) {
	times := startTimes{window: w, urgent: newHistogram(), other: newHistogram(), started: map[startedTask]bool{}}
	for i := range r.events {
		e := &r.events[i]
		if job, known := jobs[e.Job]; known {
			times.addEvent(e, &job)
		}
	}
	urgentTasks := 0
	submit := newHistogram()
	for _, job := range jobs {
		if !w.contains(job.submittedAt) {
			continue
		}
		if job.class.Urgent {
			urgentTasks += job.tasks
		}
		if job.acceptedAt != 0 {
			recordMicros(submit, job.acceptedAt-job.submittedAt)
		}
	}
	elapsedS := float64(w.to-w.from) / 1e6
	res.StartsPerS = float64(times.starts) / elapsedS
	res.EndsPerS = float64(times.ends) / elapsedS
	res.UrgentStartS = quantile.Of(times.urgent, 1)
	res.OtherStartS = quantile.Of(times.other, 1)
	res.SubmitS = quantile.Of(submit, 1)
	if urgentTasks > 0 {
		res.UrgentInTime = float64(times.urgentInTime) / float64(urgentTasks)
	}
}

// controllerResult computes the result of a controller from two samples.
func controllerResult(name string, first, last *controllerSample, elapsedS float64) ControllerResult {
	c := ControllerResult{
		Name:            name,
		IsLeader:        last.isLeader,
		Cores:           (last.cpu - first.cpu).Seconds() / elapsedS,
		MemoryMB:        last.memoryMB,
		HeapMB:          last.heapMB,
		OpenFiles:       last.files,
		ForwardedPerS:   (last.forwarded - first.forwarded) / elapsedS,
		StepSecondsPerS: map[string]float64{},
		InputsPerS:      map[string]float64{},
		Machines:        last.machines,
		WaitingJobs:     last.waiting,
		Restarted:       last.cpu < first.cpu,
	}
	addRates(c.StepSecondsPerS, first.steps, last.steps, elapsedS)
	addRates(c.InputsPerS, first.inputs, last.inputs, elapsedS)
	return c
}

// workerResult computes the means per worker from two samples of each process of hollow workers.
func workerResult(workers int, first, last []hostSample, elapsedS float64) WorkerResult {
	w := WorkerResult{Workers: workers}
	n := float64(workers)
	for i := range last {
		a, b := &first[i], &last[i]
		w.CoresEach += (b.cpu - a.cpu).Seconds() / elapsedS / n
		w.MemoryMBEach += b.memoryMB / n
		w.BytesPerS += float64(b.usage.BytesIn+b.usage.BytesOut-a.usage.BytesIn-a.usage.BytesOut) / elapsedS / n
		w.HeartbeatsPerS += float64(b.usage.Heartbeats-a.usage.Heartbeats) / elapsedS / n
		w.CommandsPerS += float64(b.usage.Commands-a.usage.Commands) / elapsedS / n
		w.LeasesExpired += b.usage.LeasesExpired
	}
	return w
}

// addRates adds the growth per second of each counter to the map. Counters that have not grown are omitted.
func addRates(to, first, last map[string]float64, elapsedS float64) {
	for name, v := range last {
		if grown := v - first[name]; grown > 0 {
			to[name] += grown / elapsedS
		}
	}
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Print writes the result as human-readable text.
func (res *Result) Print(out io.Writer) error {
	s := &res.Settings
	fmt.Fprintf(out, "%d processes use %.0f of %.0f MB; %d cores; %.0f s\n", res.Processes, res.MemoryInUseMB,
		res.MemoryMB, res.Cores, res.DurationS)
	for i := range res.Regions {
		if err := res.Regions[i].print(out, s); err != nil {
			return err
		}
	}
	return nil
}

// print writes the result of the region as human-readable text.
func (r *RegionResult) print(out io.Writer, s *Settings) error {
	fmt.Fprintf(out, "%s: task starts per second: requested %.1f, measured %.1f (ends %.1f); "+
		"jobs submitted %d, accepted %d, ended %d\n",
		r.Region, r.RequestedStartsPerS, r.StartsPerS, r.EndsPerS, r.Jobs.Submitted, r.Jobs.Accepted, r.Jobs.Ended)
	fmt.Fprintf(out, "  urgent tasks start after p50 %.3f p99 %.3f max %.3f s, %.3f of them within %v; "+
		"others p50 %.3f p99 %.3f max %.3f s\n",
		r.UrgentStartS.P50, r.UrgentStartS.P99, r.UrgentStartS.Max, r.UrgentInTime, urgentStartTarget,
		r.OtherStartS.P50, r.OtherStartS.P99, r.OtherStartS.Max)
	fmt.Fprintf(out, "  submissions are accepted after p50 %.3f p99 %.3f max %.3f s; errors %v\n", r.SubmitS.P50,
		r.SubmitS.P99, r.SubmitS.Max, r.Errors)
	fmt.Fprintf(out, "  state service, per second: %.1f requests (quota %g), %.1f changes (quota %g; %.3f per start), "+
		"%.1f refused\n", sum(r.RequestsPerS), s.State.RPS, sum(r.ChangesPerS), s.State.WriteRPS,
		r.ChangesPerStart, r.RefusedPerS)
	fmt.Fprintf(out, "    changes:  %s\n    requests: %s\n", rates(r.ChangesPerS), rates(r.RequestsPerS))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "  controller\tcores\tstate machine\tMB\theap MB\tfiles\tforwarded heartbeats/s\twaiting jobs\t")
	for i := range r.Controllers {
		c := &r.Controllers[i]
		name := c.Name
		if c.IsLeader {
			name += " (leader)"
		}
		fmt.Fprintf(w, "  %s\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%.1f\t%.0f\t\n", name, c.Cores, sum(c.StepSecondsPerS), c.MemoryMB,
			c.HeapMB, c.OpenFiles, c.ForwardedPerS, c.WaitingJobs)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "  per worker: %.5f cores, %.0f bytes/s, %.3f MB, %.2f heartbeats/s, "+
		"%.2f command requests/s; %d leases expired in total\n",
		r.Workers.CoresEach, r.Workers.BytesPerS, r.Workers.MemoryMBEach, r.Workers.HeartbeatsPerS,
		r.Workers.CommandsPerS, r.Workers.LeasesExpired)
	fmt.Fprintf(out, "  machines failed %d, restarted %d; rule violations: %d\n", r.Faults.Failed, r.Faults.Restarted,
		len(r.Violations))
	for i, b := range r.Violations {
		if i == maxPrintedViolations {
			break
		}
		fmt.Fprintf(out, "  violation: %s\n", b)
	}
	return nil
}

// maxPrintedViolations is the maximum number of printed rule violations; the JSON has all.
const maxPrintedViolations = 10

// rates formats rates, sorted by name.
func rates(values map[string]float64) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf("%s %.2f  ", name, values[name])
	}
	return text
}
