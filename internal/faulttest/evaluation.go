package faulttest

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/quantile"
)

const (
	// maxPollFailure is how long all polls for a job may fail while polls for other jobs are answered.
	maxPollFailure = 90 * config.Second
	// maxPollFailureAfterFaults is how long all polls for a job may fail after the last fault has ended.
	maxPollFailureAfterFaults = 75 * config.Second
	// maxLoadSeconds bounds the length of the load series of a result, in seconds.
	maxLoadSeconds = 24 * 3600
)

// evaluation evaluates the history of a run that has ended. Its fields don't change after newEvaluation.
type evaluation struct {
	scenario *Scenario
	events   []invariants.Event
	runStart emulator.Micros // when the run began
	endS     float64         // when the run ended, in seconds since it began
	outcomes map[string]*jobOutcome
}

func newEvaluation(
	s *Scenario, jobs []plannedJob, events []invariants.Event, from, now emulator.Micros,
) *evaluation {
	end := inSeconds(now - from)
	return &evaluation{
		scenario: s,
		events:   events,
		runStart: from,
		endS:     end,
		outcomes: jobOutcomes(s, jobs, events, from, end),
	}
}

// violations returns the violations of the invariants in the history.
func (e *evaluation) violations() []invariants.Violation {
	return invariants.Check(e.rules(), e.events)
}

// rules returns the parameters of the invariants that the history must satisfy.
func (e *evaluation) rules() invariants.Rules {
	d := &e.scenario.Deploy
	rules := invariants.Rules{
		CancelTimeout:             config.FromSeconds(d.CancelS),
		MaxPollFailure:            maxPollFailure,
		FaultsEndedAt:             e.runStart + config.FromSeconds(e.scenario.lastFaultEndS()),
		MaxPollFailureAfterFaults: maxPollFailureAfterFaults,
		Teams:                     map[string]invariants.Limit{},
	}
	for _, name := range e.scenario.teams() {
		rules.Teams[name] = invariants.Limit{GPUs: d.TeamGPUs}
	}
	return rules
}

// classResult summarizes the jobs of a class: from the history, and from the statistics of its users.
func (e *evaluation) classResult(c *Class, stats userStats) ClassResult {
	out := ClassResult{Class: c.Name, Submitted: stats.Submitted, Accepted: stats.Accepted, Errors: stats.Errors}
	var submits, starts, ends []float64 // in seconds
	for _, latency := range stats.latencies {
		submits = append(submits, latency.Seconds())
	}
	for _, o := range e.outcomes {
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

// quantiles returns quantiles of values in seconds, converted to a unit of which there are perSecond in a
// second.
func quantiles(values []float64, perSecond float64) quantile.Times {
	const maxMicros = 24 * 3600 * 1_000_000
	h := hdrhistogram.New(1, maxMicros, 3)
	for _, v := range values {
		_ = h.RecordValue(min(max(int64(v*1e6), 1), maxMicros)) // never out of range
	}
	return quantile.Of(h, perSecond)
}

// load counts the events of each second of the run.
func (e *evaluation) load() []Second {
	var out []Second
	running := 0
	for i := range e.events {
		event := &e.events[i]
		second := int((event.At - e.runStart) / config.Second)
		if second < 0 || second > maxLoadSeconds {
			continue
		}
		for len(out) <= second {
			out = append(out, Second{Running: running})
		}
		switch event.Kind {
		case invariants.JobSubmitted:
			out[second].Submitted++
		case invariants.TaskStarted:
			out[second].Started++
			running++
		case invariants.TaskStopped:
			running--
		case invariants.TaskDone:
			out[second].Done++
		}
		out[second].Running = running
	}
	return out
}
