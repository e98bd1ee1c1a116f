package faulttest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"coralhub/internal/cluster"
	"coralhub/internal/invariants"
	"coralhub/internal/quantile"
)

// ClassResult summarizes the jobs of a class.
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
	Errors    map[string]int `json:"errors,omitempty"` // counts by HTTP status, as text; 0 if there was no answer
}

// Result is the result of a run.
type Result struct {
	Scenario      string                 `json:"scenario"`
	Description   string                 `json:"about"`
	Seed          uint64                 `json:"seed"`
	Passed        bool                   `json:"passed"`
	FailureReason string                 `json:"why,omitempty"` // first reason for not passing; empty if Passed
	ElapsedS      float64                `json:"took_s"`
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

// Second counts the events in one second of a run.
type Second struct {
	Submitted int `json:"submitted"`
	Started   int `json:"started"` // tasks
	Done      int `json:"done"`    // tasks
	Running   int `json:"on"`      // tasks on machines at the end of the second
}

// Names of the files of a run in Options.Dir.
const (
	resultFile  = "result.json"
	historyFile = "events.jsonl"
)

// result evaluates the run.
func (r *run) result() (*Result, error) {
	res := &Result{
		Scenario:    r.scenario.Name,
		Description: r.scenario.Description,
		Seed:        r.opt.Seed,
		Nodes:       r.cluster.Usage(),
		Violations:  []invariants.Violation{},
	}
	r.cluster.Servers.WithLock(func() {
		s := r.cluster.Servers
		res.Machines = s.Environment.Rented
		res.Requests = s.Requests
		res.Refused = s.Refused
		res.Changes = s.State.Revision()
	})
	e := newEvaluation(r.scenario, r.jobs, r.history.eventsFrom(0), r.startedAt, r.cluster.Servers.Now())
	harnessErr, outOfFiles := r.harness.firstError()
	if !outOfFiles {
		res.Violations = append(res.Violations, e.violations()...)
	}
	for i := range r.scenario.Expectations {
		finding, err := e.evaluate(&r.scenario.Expectations[i])
		if err != nil {
			return nil, err
		}
		res.Findings = append(res.Findings, finding)
	}
	for i := range r.scenario.Classes {
		c := &r.scenario.Classes[i]
		res.Classes = append(res.Classes, e.classResult(c, r.users.statsOf(c.Name)))
	}
	res.StartedInTime, _ = e.startedInTime(defaultStartWithinS)
	res.Load = e.load()
	res.Marks = r.history.copyOfMarks()
	for i := range res.Marks {
		res.Marks[i].At -= inSeconds(r.startedAt)
	}
	res.FailureReason = res.failureReason(harnessErr)
	res.Passed = res.FailureReason == ""
	return res, nil
}

// failureReason returns why a run did not pass: a failure of the harness, violations of invariants, or else
// the first expectation that was missed. It returns "" if the run passed.
func (r *Result) failureReason(harnessErr error) string {
	switch {
	case harnessErr != nil:
		return "test harness: " + harnessErr.Error()
	case len(r.Violations) > 0:
		return fmt.Sprintf("%d invariant violations, first: %s", len(r.Violations), r.Violations[0])
	}
	for _, f := range r.Findings {
		if !f.Met {
			return fmt.Sprintf("expectation missed: %s; found %.3f of %d jobs", f.Expect, f.Share, f.Jobs)
		}
	}
	return ""
}

// save writes the result and the history of a run to the directory dir.
func save(dir string, res *Result, events []invariants.Event) (err error) {
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resultFile), raw, 0o600); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, historyFile))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	enc := json.NewEncoder(f)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return nil
}

// ReadResult reads the result of the run in the directory dir.
func ReadResult(dir string) (*Result, error) {
	raw, err := os.ReadFile(filepath.Join(dir, resultFile))
	if err != nil {
		return nil, err
	}
	res := &Result{}
	if err := json.Unmarshal(raw, res); err != nil {
		return nil, fmt.Errorf("decode %s: %w", filepath.Join(dir, resultFile), err)
	}
	return res, nil
}
