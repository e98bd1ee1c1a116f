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

// urgentWithin is by when urgent work is to have begun.
const urgentWithin = 2500 * time.Millisecond

// Result is what was measured.
type Result struct {
	Settings  Settings       `json:"settings"`
	Cores     int            `json:"cores"`     // of the machine
	MemoryMB  float64        `json:"memory_mb"` // of the machine
	Processes int            `json:"processes"`
	HeldMB    float64        `json:"held_mb"` // by all processes at the end
	TookS     float64        `json:"took_s"`
	Regions   []RegionResult `json:"regions"`
}

// RegionResult is a region's. What is a second is of the measured time, and so are starts.
type RegionResult struct {
	Region          string                 `json:"region"`
	AskedPerS       float64                `json:"asked_per_s"`  // task starts
	StartsPerS      float64                `json:"starts_per_s"` // that came
	EndsPerS        float64                `json:"ends_per_s"`
	Jobs            Jobs                   `json:"jobs"`
	UrgentS         quantile.Times         `json:"urgent_start_s"` // from a job's submission to a task's start
	UrgentInTime    float64                `json:"urgent_in_time"` // part of the urgent tasks that came that began in time
	OtherS          quantile.Times         `json:"other_start_s"`
	SubmitS         quantile.Times         `json:"submit_s"`
	RequestsPerS    map[string]float64     `json:"requests_per_s"` // of the state service, as controllers count them, by purpose
	ChangesPerS     map[string]float64     `json:"changes_per_s"`
	RefusedPerS     float64                `json:"refused_per_s"`
	ChangesPerStart float64                `json:"changes_per_start"`
	Controllers     []ControllerResult     `json:"controllers"`
	Workers         WorkerResult           `json:"workers"`
	Faults          faultCounts            `json:"troubles"`
	Errors          map[string]int         `json:"errors,omitempty"` // what users met, by request and status
	Broken          []invariants.Violation `json:"rules_broken"`
}

// Jobs counts jobs of the whole run.
type Jobs struct {
	Submitted int `json:"submitted"`
	Accepted  int `json:"accepted"`
	Over      int `json:"over"`
}

// ControllerResult is a controller's.
type ControllerResult struct {
	Name       string             `json:"name"`
	Leads      bool               `json:"leads"`
	Cores      float64            `json:"cores"` // processor time a second
	MemoryMB   float64            `json:"memory_mb"`
	HeapMB     float64            `json:"heap_mb"`
	Files      int                `json:"files"`
	HandedPerS float64            `json:"handed_per_s"`       // reports handed to the leader
	CoreS      map[string]float64 `json:"core_seconds_per_s"` // of the state machine, by input
	InputsPerS map[string]float64 `json:"inputs_per_s"`       // to the state machine
	Machines   map[string]float64 `json:"machines_by_state"`  // as the leader sees them
	Waiting    float64            `json:"waiting_jobs"`
	Restarted  bool               `json:"restarted,omitempty"` // it ended during the run
}

// WorkerResult is of the mean worker.
type WorkerResult struct {
	Workers       int     `json:"workers"`
	CoresEach     float64 `json:"cores_each"`
	MemoryMBEach  float64 `json:"memory_mb_each"` // of the hosting processes
	BytesPerS     float64 `json:"bytes_per_s"`    // in and out, with all that HTTP adds
	ReportsPerS   float64 `json:"reports_per_s"`
	CommandsPerS  float64 `json:"commands_per_s"`
	LeasesExpired int64   `json:"leases_expired"`
}

func newResult(s *Settings, regions []*region, results []RegionResult, took time.Duration) *Result {
	return &Result{Settings: *s, Cores: runtime.NumCPU(), MemoryMB: process.TotalMB(), HeldMB: memoryInUse(regions), TookS: took.Seconds(),
		Processes: 1 + s.Regions*s.Controllers + s.Regions*len(regions[0].hosts), Regions: results}
}

// result draws the conclusions from two samples and what was recorded.
func (r *region) result(u *users, first, last *sample) *RegionResult {
	over := last.at.Sub(first.at).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &RegionResult{Region: r.name, AskedPerS: r.settings.StartsPerS, RefusedPerS: float64(last.refused-first.refused) / over,
		RequestsPerS: map[string]float64{}, ChangesPerS: map[string]float64{}, Faults: r.faults, Broken: []invariants.Violation{}}
	jobs := u.submissions()
	for _, s := range jobs {
		res.Jobs.Submitted++
		if s.acceptedAt != 0 {
			res.Jobs.Accepted++
		}
		if s.ended {
			res.Jobs.Over++
		}
	}
	r.addStarts(res, jobs, first.at.UnixMicro(), last.at.UnixMicro())
	for i := range last.controllers {
		a, b := &first.controllers[i], &last.controllers[i]
		addRates(res.RequestsPerS, a.requests, b.requests, over)
		addRates(res.ChangesPerS, a.changes, b.changes, over)
		res.Controllers = append(res.Controllers, controllerResult(r.controllers[i].name, a, b, over))
	}
	if res.StartsPerS > 0 {
		res.ChangesPerStart = sum(res.ChangesPerS) / res.StartsPerS
	}
	res.Workers = workerResult(r.settings.Workers, first.hosts, last.hosts, over)
	u.mu.Lock()
	res.Errors = maps.Clone(u.errors)
	u.mu.Unlock()
	res.Broken = append(res.Broken, invariants.Check(r.rules(), r.events)...)
	return res
}

// rules are the rules that the history is held against.
func (r *region) rules() invariants.Rules {
	s := r.settings
	terms := invariants.Rules{CancelIn: config.FromSeconds(s.Protocol.CancelS), Silence: 90 * config.Second, Unanswered: 75 * config.Second,
		Teams: map[string]invariants.Limit{}}
	for i := range s.Teams {
		terms.Teams[teamName(i)] = invariants.Limit{GPUs: s.teamLimit()}
	}
	return terms
}

// maxRecordedS bounds the times in histograms, in seconds.
const maxRecordedS = 3600

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedS*config.Second, 3)
}

func recordMicros(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(min(max(micros, 1), maxRecordedS*config.Second)) // within its bounds
}

// addStarts fills in what began between two moments. The lock is held.
func (r *region) addStarts(res *RegionResult, jobs map[string]submission, from, to int64) {
	type taskOf struct {
		job  string
		task int
	}
	urgent, other, submit := newHistogram(), newHistogram(), newHistogram()
	seen := map[taskOf]bool{}
	starts, ends, inTime := 0, 0, 0
	for i := range r.events {
		e := &r.events[i]
		job, known := jobs[e.Job]
		inside := e.At >= from && e.At < to
		switch {
		case !known:
		case e.Kind == invariants.TaskDone && inside:
			ends++
		case e.Kind == invariants.TaskStarted:
			if inside {
				starts++
			}
			key := taskOf{e.Job, e.Task}
			if seen[key] {
				continue // started again
			}
			seen[key] = true
			if job.submittedAt < from || job.submittedAt >= to {
				continue
			}
			waited := e.At - job.submittedAt
			if !job.class.Urgent {
				recordMicros(other, waited)
				continue
			}
			recordMicros(urgent, waited)
			if waited <= urgentWithin.Microseconds() {
				inTime++
			}
		}
	}
	came := 0
	for _, job := range jobs {
		if job.submittedAt < from || job.submittedAt >= to {
			continue
		}
		if job.class.Urgent {
			came += job.tasks
		}
		if job.acceptedAt != 0 {
			recordMicros(submit, job.acceptedAt-job.submittedAt)
		}
	}
	over := float64(to-from) / 1e6
	res.StartsPerS, res.EndsPerS = float64(starts)/over, float64(ends)/over
	res.UrgentS, res.OtherS, res.SubmitS = quantile.Of(urgent, 1), quantile.Of(other, 1), quantile.Of(submit, 1)
	if came > 0 {
		res.UrgentInTime = float64(inTime) / float64(came)
	}
}

func controllerResult(name string, first, last *controllerSample, over float64) ControllerResult {
	c := ControllerResult{Name: name, Leads: last.leads, Cores: (last.cpu - first.cpu).Seconds() / over, MemoryMB: last.memoryMB, HeapMB: last.heapMB,
		Files: last.files, HandedPerS: (last.forwarded - first.forwarded) / over, CoreS: map[string]float64{}, InputsPerS: map[string]float64{},
		Machines: last.machines, Waiting: last.waiting, Restarted: last.cpu < first.cpu}
	addRates(c.CoreS, first.steps, last.steps, over)
	addRates(c.InputsPerS, first.inputs, last.inputs, over)
	return c
}

func workerResult(workers int, first, last []hostSample, over float64) WorkerResult {
	w := WorkerResult{Workers: workers}
	n := float64(workers)
	for i := range last {
		a, b := &first[i], &last[i]
		w.CoresEach += (b.cpu - a.cpu).Seconds() / over / n
		w.MemoryMBEach += b.memoryMB / n
		w.BytesPerS += float64(b.usage.BytesIn+b.usage.BytesOut-a.usage.BytesIn-a.usage.BytesOut) / over / n
		w.ReportsPerS += float64(b.usage.Reports-a.usage.Reports) / over / n
		w.CommandsPerS += float64(b.usage.Commands-a.usage.Commands) / over / n
		w.LeasesExpired += b.usage.LeasesExpired
	}
	return w
}

// addRates adds what counters have grown by a second, leaving out those that have not.
func addRates(to, first, last map[string]float64, over float64) {
	for name, v := range last {
		if grown := v - first[name]; grown > 0 {
			to[name] += grown / over
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

// Print writes the result for people.
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

// maxPrintedViolations is how many broken rules are printed; the JSON has all.
const maxPrintedViolations = 10

// rates lists what came a second, by name.
func rates(values map[string]float64) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf("%s %.2f  ", name, values[name])
	}
	return text
}
