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

// urgentWithin is the time within which urgent tasks are to start.
const urgentWithin = 2500 * time.Millisecond

// Result is the result of a run.
type Result struct {
	Settings  Settings       `json:"settings"`
	Cores     int            `json:"cores"`     // of the machine
	MemoryMB  float64        `json:"memory_mb"` // of the machine
	Processes int            `json:"processes"`
	HeldMB    float64        `json:"held_mb"` // by all processes at the end
	TookS     float64        `json:"took_s"`
	Regions   []RegionResult `json:"regions"`
}

// RegionResult is the result of a region. Rates are per second of the measured time, and start times
// are those of jobs that were submitted in it.
type RegionResult struct {
	Region          string                 `json:"region"`
	AskedPerS       float64                `json:"asked_per_s"`  // task starts that the settings ask for
	StartsPerS      float64                `json:"starts_per_s"` // task starts
	EndsPerS        float64                `json:"ends_per_s"`
	Jobs            Jobs                   `json:"jobs"`
	UrgentS         quantile.Times         `json:"urgent_start_s"` // from a job's submission to the first start of a task
	UrgentInTime    float64                `json:"urgent_in_time"` // fraction of the urgent tasks that started in time
	OtherS          quantile.Times         `json:"other_start_s"`
	SubmitS         quantile.Times         `json:"submit_s"`
	RequestsPerS    map[string]float64     `json:"requests_per_s"` // to the state service, as controllers count them, by purpose
	ChangesPerS     map[string]float64     `json:"changes_per_s"`
	RefusedPerS     float64                `json:"refused_per_s"`
	ChangesPerStart float64                `json:"changes_per_start"`
	Controllers     []ControllerResult     `json:"controllers"`
	Workers         WorkerResult           `json:"workers"`
	Faults          faultCounts            `json:"troubles"`
	Errors          map[string]int         `json:"errors,omitempty"` // unsuccessful answers to users, by request and status
	Broken          []invariants.Violation `json:"rules_broken"`
}

// Jobs are the numbers of jobs of the whole run.
type Jobs struct {
	Submitted int `json:"submitted"`
	Accepted  int `json:"accepted"`
	Over      int `json:"over"`
}

// ControllerResult is the result of a controller.
type ControllerResult struct {
	Name       string             `json:"name"`
	Leads      bool               `json:"leads"`
	Cores      float64            `json:"cores"` // processor time per second
	MemoryMB   float64            `json:"memory_mb"`
	HeapMB     float64            `json:"heap_mb"`
	Files      int                `json:"files"`
	HandedPerS float64            `json:"handed_per_s"`       // heartbeats forwarded to the leader
	CoreS      map[string]float64 `json:"core_seconds_per_s"` // of the core, by kind of input
	InputsPerS map[string]float64 `json:"inputs_per_s"`       // of the core, by kind
	Machines   map[string]float64 `json:"machines_by_state"`  // as the leader sees them
	Waiting    float64            `json:"waiting_jobs"`
	Restarted  bool               `json:"restarted,omitempty"` // it restarted during the run
}

// WorkerResult is the result of the mean worker.
type WorkerResult struct {
	Workers       int     `json:"workers"`
	CoresEach     float64 `json:"cores_each"`
	MemoryMBEach  float64 `json:"memory_mb_each"` // of the hosting processes
	BytesPerS     float64 `json:"bytes_per_s"`    // in and out, with the overhead of HTTP
	ReportsPerS   float64 `json:"reports_per_s"`
	CommandsPerS  float64 `json:"commands_per_s"`
	LeasesExpired int64   `json:"leases_expired"`
}

// newResult returns the result of a run with those of its regions.
func newResult(s *Settings, regions []*region, results []RegionResult, took time.Duration) *Result {
	return &Result{
		Settings:  *s,
		Cores:     runtime.NumCPU(),
		MemoryMB:  process.TotalMB(),
		Processes: 1 + s.Regions*s.Controllers + s.Regions*len(regions[0].hosts),
		HeldMB:    memoryInUse(regions),
		TookS:     took.Seconds(),
		Regions:   results,
	}
}

// countJobs counts jobs by how far they got.
func countJobs(jobs map[string]submission) (counts Jobs) {
	for _, job := range jobs {
		counts.Submitted++
		if job.acceptedAt != 0 {
			counts.Accepted++
		}
		if job.ended {
			counts.Over++
		}
	}
	return counts
}

// result computes the result from two samples and the recorded events.
func (r *region) result(u *users, first, last *sample) *RegionResult {
	elapsedS := last.at.Sub(first.at).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &RegionResult{
		Region:       r.name,
		AskedPerS:    r.settings.StartsPerS,
		RefusedPerS:  float64(last.refused-first.refused) / elapsedS,
		RequestsPerS: map[string]float64{},
		ChangesPerS:  map[string]float64{},
		Faults:       r.faults,
		Broken:       []invariants.Violation{},
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
	res.Broken = append(res.Broken, invariants.Check(r.rules(), r.events)...)
	return res
}

// Bounds of the rules.
const (
	maxSilence    = 90 * config.Second
	maxUnanswered = 75 * config.Second
)

// rules returns the rules that the recorded events are checked against.
func (r *region) rules() invariants.Rules {
	s := r.settings
	rules := invariants.Rules{
		CancelTimeout:   config.FromSeconds(s.Protocol.CancelS),
		MaxPollFailure:    maxSilence,
		MaxPollFailureAfterFaults: maxUnanswered,
		Teams:      map[string]invariants.Limit{},
	}
	for i := range s.Teams {
		rules.Teams[teamName(i)] = invariants.Limit{GPUs: s.teamLimit()}
	}
	return rules
}

// maxRecordedS bounds the times in histograms, in seconds.
const maxRecordedS = 3600

// significantDigits is the precision of histograms.
const significantDigits = 3

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedS*config.Second, significantDigits)
}

// recordMicros records a time in a histogram, within its range.
func recordMicros(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(min(max(micros, 1), maxRecordedS*config.Second)) // within its range
}

// window is the measured time, from a Unix time in microseconds until before another.
type window struct{ from, to int64 }

func (w window) contains(at int64) bool { return at >= w.from && at < w.to }

// startTimes collects the starts and ends of tasks within a window, and the times from the
// submission of jobs in the window to the first start of their tasks.
type startTimes struct {
	window        window
	urgent, other *hdrhistogram.Histogram
	started       map[startedTask]bool // tasks that have started once
	starts, ends  int
	urgentInTime  int
}

type startedTask struct {
	job  string
	task int
}

// addEvent adds an event of a task of a job.
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

// addFirstStart adds the time in microseconds until a task started.
func (t *startTimes) addFirstStart(waited int64, class *Class) {
	if !class.Urgent {
		recordMicros(t.other, waited)
		return
	}
	recordMicros(t.urgent, waited)
	if waited <= urgentWithin.Microseconds() {
		t.urgentInTime++
	}
}

// addStarts sets the rates and times of starts within a window. The lock is held.
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
	res.UrgentS = quantile.Of(times.urgent, 1)
	res.OtherS = quantile.Of(times.other, 1)
	res.SubmitS = quantile.Of(submit, 1)
	if urgentTasks > 0 {
		res.UrgentInTime = float64(times.urgentInTime) / float64(urgentTasks)
	}
}

// controllerResult computes the result of a controller from two samples.
func controllerResult(name string, first, last *controllerSample, elapsedS float64) ControllerResult {
	c := ControllerResult{
		Name:       name,
		Leads:      last.leads,
		Cores:      (last.cpu - first.cpu).Seconds() / elapsedS,
		MemoryMB:   last.memoryMB,
		HeapMB:     last.heapMB,
		Files:      last.files,
		HandedPerS: (last.forwarded - first.forwarded) / elapsedS,
		CoreS:      map[string]float64{},
		InputsPerS: map[string]float64{},
		Machines:   last.machines,
		Waiting:    last.waiting,
		Restarted:  last.cpu < first.cpu,
	}
	addRates(c.CoreS, first.steps, last.steps, elapsedS)
	addRates(c.InputsPerS, first.inputs, last.inputs, elapsedS)
	return c
}

// workerResult computes the result of the mean worker from two samples of each process.
func workerResult(workers int, first, last []hostSample, elapsedS float64) WorkerResult {
	w := WorkerResult{Workers: workers}
	n := float64(workers)
	for i := range last {
		a, b := &first[i], &last[i]
		w.CoresEach += (b.cpu - a.cpu).Seconds() / elapsedS / n
		w.MemoryMBEach += b.memoryMB / n
		w.BytesPerS += float64(b.usage.BytesIn+b.usage.BytesOut-a.usage.BytesIn-a.usage.BytesOut) / elapsedS / n
		w.ReportsPerS += float64(b.usage.Reports-a.usage.Reports) / elapsedS / n
		w.CommandsPerS += float64(b.usage.Commands-a.usage.Commands) / elapsedS / n
		w.LeasesExpired += b.usage.LeasesExpired
	}
	return w
}

// addRates adds the rates per second at which counters have grown, without those that have not.
func addRates(to, first, last map[string]float64, elapsedS float64) {
	for name, v := range last {
		if grown := v - first[name]; grown > 0 {
			to[name] += grown / elapsedS
		}
	}
}

// sum returns the sum of the values.
func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Print writes the result as text.
func (res *Result) Print(out io.Writer) error {
	s := &res.Settings
	fmt.Fprintf(out, "%d processes hold %.0f of %.0f MB; %d cores; %.0f s\n", res.Processes, res.HeldMB, res.MemoryMB, res.Cores, res.TookS)
	for i := range res.Regions {
		if err := res.Regions[i].print(out, s); err != nil {
			return err
		}
	}
	return nil
}

// print writes the result of a region as text.
func (r *RegionResult) print(out io.Writer, s *Settings) error {
	fmt.Fprintf(out, "%s: starts a second: asked %.1f, had %.1f (ends %.1f); jobs submitted %d, accepted %d, over %d\n",
		r.Region, r.AskedPerS, r.StartsPerS, r.EndsPerS, r.Jobs.Submitted, r.Jobs.Accepted, r.Jobs.Over)
	fmt.Fprintf(out, "  urgent tasks start after p50 %.3f p99 %.3f max %.3f s, %.3f of them within %v; others p50 %.3f p99 %.3f max %.3f s\n",
		r.UrgentS.P50, r.UrgentS.P99, r.UrgentS.Max, r.UrgentInTime, urgentWithin, r.OtherS.P50, r.OtherS.P99, r.OtherS.Max)
	fmt.Fprintf(out, "  submissions are accepted after p50 %.3f p99 %.3f max %.3f s; errors %v\n", r.SubmitS.P50, r.SubmitS.P99, r.SubmitS.Max, r.Errors)
	fmt.Fprintf(out, "  state service: %.1f requests a second of %g, %.1f changes of %g (%.3f a start), %.1f refused\n", sum(r.RequestsPerS), s.State.RPS,
		sum(r.ChangesPerS), s.State.WriteRPS, r.ChangesPerStart, r.RefusedPerS)
	fmt.Fprintf(out, "    changes:  %s\n    requests: %s\n", rates(r.ChangesPerS), rates(r.RequestsPerS))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "  controller\tcores\tstate machine\tMB\theap MB\tfiles\treports handed on\twaiting jobs\t")
	for i := range r.Controllers {
		c := &r.Controllers[i]
		name := c.Name
		if c.Leads {
			name += " (leads)"
		}
		fmt.Fprintf(w, "  %s\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%.1f\t%.0f\t\n", name, c.Cores, sum(c.CoreS), c.MemoryMB, c.HeapMB, c.Files, c.HandedPerS, c.Waiting)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "  a worker: %.5f cores, %.0f bytes a second, %.3f MB, %.2f reports and %.2f commands a second; %d leases ended in all\n",
		r.Workers.CoresEach, r.Workers.BytesPerS, r.Workers.MemoryMBEach, r.Workers.ReportsPerS, r.Workers.CommandsPerS, r.Workers.LeasesExpired)
	fmt.Fprintf(out, "  machines failed %d, restarted %d; rules broken: %d\n", r.Faults.Failed, r.Faults.Restarted, len(r.Broken))
	for i, b := range r.Broken {
		if i == maxPrintedViolations {
			break
		}
		fmt.Fprintf(out, "  broken: %s\n", b)
	}
	return nil
}

// maxPrintedViolations is how many violated rules are printed; the JSON has all.
const maxPrintedViolations = 10

// rates formats rates in the order of their names.
func rates(values map[string]float64) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf("%s %.2f  ", name, values[name])
	}
	return text
}
