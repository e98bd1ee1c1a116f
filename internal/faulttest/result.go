package faulttest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/invariants"
	"coralhub/internal/quantile"
)

// ClassResult is what became of the jobs of a class.
type ClassResult struct {
	Class     string         `json:"class"`
	Submitted int            `json:"submitted"`
	Accepted  int            `json:"accepted"`
	Started   int            `json:"started"`
	Done      int            `json:"done"`
	Cancelled int            `json:"cancelled"`
	SubmitMS  quantile.Times `json:"submit_ms"`
	StartS    quantile.Times `json:"start_s"`
	DoneS     quantile.Times `json:"done_s"`
	Errors    map[string]int `json:"errors,omitempty"` // by the HTTP status of the answer
}

// Result is the result of a run.
type Result struct {
	Scenario      string                 `json:"scenario"`
	About         string                 `json:"about"`
	Seed          uint64                 `json:"seed"`
	Passed        bool                   `json:"passed"`
	Why           string                 `json:"why,omitempty"` // the first reason for which it didn't pass
	TookS         float64                `json:"took_s"`
	Machines      int                    `json:"machines_rented"`
	Violations    []invariants.Violation `json:"rules_broken"`
	Findings      []Finding              `json:"findings"`
	Classes       []ClassResult          `json:"classes"`
	StartedInTime StartedInTime          `json:"served"`
	Nodes         []cluster.NodeUsage    `json:"nodes"`
	Requests      int                    `json:"state_requests"`
	Refused       int                    `json:"state_refused"`
	Changes       uint64                 `json:"state_changes"`
	Marks         []Mark                 `json:"faults"`
	Load          []Second               `json:"load"`
}

// Second is what happened in one second of a run.
type Second struct {
	Submitted int `json:"submitted"`
	Started   int `json:"started"` // tasks
	Done      int `json:"done"`    // tasks
	On        int `json:"on"`      // tasks on machines at its end
}

// Files of a run, in Options.Dir.
const (
	resultFile  = "result.json"
	historyFile = "events.jsonl"
)

const (
	// maxSilence is how long every poll for a job may fail while others are answered.
	maxSilence = 90 * config.Second
	// maxUnanswered is how long every poll for a job may fail once the last fault is over.
	maxUnanswered = 75 * config.Second
	// longestRun bounds the seconds that a result counts the load of.
	longestRun = 24 * 3600
)

// result evaluates the run.
func (r *run) result() *Result {
	res := &Result{
		Scenario:   r.scenario.Name,
		About:      r.scenario.About,
		Seed:       r.opt.Seed,
		Nodes:      r.cluster.Use(),
		Violations: []invariants.Violation{},
	}
	r.cluster.Servers.With(func() {
		s := r.cluster.Servers
		res.Machines = s.Environment.Rented
		res.Requests = s.Requests
		res.Refused = s.Refused
		res.Changes = s.State.Revision()
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.outOfFiles.Load() {
		res.Violations = append(res.Violations, invariants.Check(r.rules(), r.events)...)
	}
	outcomes := r.jobOutcomes()
	end := r.elapsed()
	for i := range r.scenario.Expect {
		res.Findings = append(res.Findings, r.evaluate(&r.scenario.Expect[i], outcomes, end))
	}
	for i := range r.scenario.Classes {
		res.Classes = append(res.Classes, r.classResult(&r.scenario.Classes[i], outcomes))
	}
	res.StartedInTime, _ = r.startedInTime(outcomes, end, startWithin)
	res.Marks = r.marks
	res.Load = r.load()
	for i := range res.Marks {
		res.Marks[i].At -= inSeconds(r.from)
	}
	res.Why = r.failure(res)
	res.Passed = res.Why == ""
	return res
}

// rules are the parameters of the rules that the history must keep.
func (r *run) rules() invariants.Rules {
	d := &r.scenario.Deploy
	rules := invariants.Rules{
		CancelIn:   config.FromSeconds(d.CancelS),
		Silence:    maxSilence,
		Settled:    r.from + config.FromSeconds(r.scenario.settled()),
		Unanswered: maxUnanswered,
		Teams:      map[string]invariants.Limit{},
	}
	for _, name := range r.scenario.teams() {
		rules.Teams[name] = invariants.Limit{GPUs: d.TeamGPUs}
	}
	return rules
}

// failure says why a run did not pass: because the harness failed, rules were broken, or else by
// the first expectation that was missed. It returns "" if the run passed.
func (r *run) failure(res *Result) string {
	switch {
	case r.harnessErr != nil:
		return "the fault test itself: " + r.harnessErr.Error()
	case len(res.Violations) > 0:
		return fmt.Sprintf("%d rules broken, first %s", len(res.Violations), res.Violations[0])
	}
	for _, f := range res.Findings {
		if !f.Met {
			return fmt.Sprintf("%s: %.3f of %d", f.Expect, f.Found, f.Of)
		}
	}
	return ""
}

func (r *run) classResult(c *Class, outcomes map[string]*jobOutcome) ClassResult {
	out := ClassResult{Class: c.Name}
	var submits, starts, ends []float64 // seconds
	r.users.updateStats(c.Name, func(s *userStats) {
		out.Submitted = s.Submitted
		out.Accepted = s.Accepted
		out.Errors = s.Errors
		for _, latency := range s.latencies {
			submits = append(submits, latency.Seconds())
		}
	})
	for _, o := range outcomes {
		if o.planned.class != c {
			continue
		}
		if o.started >= 0 {
			out.Started++
			starts = append(starts, o.started-o.plannedAt())
		}
		if o.done >= 0 {
			out.Done++
			ends = append(ends, o.done-o.plannedAt())
		}
		if o.cancelled {
			out.Cancelled++
		}
	}
	out.SubmitMS = quantiles(submits, 1000)
	out.StartS = quantiles(starts, 1)
	out.DoneS = quantiles(ends, 1)
	return out
}

// quantiles reads quantiles of values in seconds from a histogram, in units of so many to a second.
func quantiles(values []float64, perSecond float64) quantile.Times {
	const most = 24 * 3600 * 1_000_000 // microseconds
	h := hdrhistogram.New(1, most, 3)
	for _, v := range values {
		_ = h.RecordValue(min(max(int64(v*1e6), 1), most)) // is within the histogram's bounds
	}
	return quantile.Of(h, perSecond)
}

// load counts what happened in each second. r.mu is held.
func (r *run) load() []Second {
	var out []Second
	on := 0
	for i := range r.events {
		e := &r.events[i]
		second := int((e.At - r.from) / config.Second)
		if second < 0 || second > longestRun {
			continue
		}
		for len(out) <= second {
			out = append(out, Second{On: on})
		}
		switch e.Kind {
		case invariants.JobSubmitted:
			out[second].Submitted++
		case invariants.TaskStarted:
			out[second].Started++
			on++
		case invariants.TaskStopped:
			on--
		case invariants.TaskDone:
			out[second].Done++
		}
		out[second].On = on
	}
	return out
}

// save writes the result and the history that it was judged by.
func (r *run) save(res *Result) (err error) {
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.opt.Dir, resultFile), raw, 0o600); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(r.opt.Dir, historyFile))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	enc := json.NewEncoder(f)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.events {
		if err := enc.Encode(&r.events[i]); err != nil {
			return err
		}
	}
	return nil
}

// Open reads the result of a run from its directory.
func Open(dir string) (*Result, error) {
	raw, err := os.ReadFile(filepath.Join(dir, resultFile))
	if err != nil {
		return nil, err
	}
	res := &Result{}
	if err := json.Unmarshal(raw, res); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return res, nil
}
