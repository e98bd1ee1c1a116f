package faulttest

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/quantile"
)

const (
	// maxSilence is how long every poll for a job may fail while others are answered.
	maxSilence = 90 * config.Second
	// maxUnanswered is how long every poll for a job may fail once the last fault is over.
	maxUnanswered = 75 * config.Second
	// longestRun bounds the seconds that a result counts the load of.
	longestRun = 24 * 3600
)

// evaluation evaluates the history of a run that has ended. It changes none of its fields once it is made.
type evaluation struct {
	scenario *Scenario
	events   []invariants.Event
	from     emulator.Micros // when the run began
	end      float64         // when it ended, in seconds since it began
	outcomes map[string]*jobOutcome
}

func newEvaluation(
	s *Scenario, jobs []plannedJob, events []invariants.Event, from, now emulator.Micros,
) *evaluation {
	end := inSeconds(now - from)
	return &evaluation{
		scenario: s,
		events:   events,
		from:     from,
		end:      end,
		outcomes: jobOutcomes(s, jobs, events, from, end),
	}
}

// violations are the violations of the rules in the history.
func (e *evaluation) violations() []invariants.Violation {
	return invariants.Check(e.rules(), e.events)
}

// rules are the parameters of the rules that the history must keep.
func (e *evaluation) rules() invariants.Rules {
	d := &e.scenario.Deploy
	rules := invariants.Rules{
		CancelIn:   config.FromSeconds(d.CancelS),
		Silence:    maxSilence,
		Settled:    e.from + config.FromSeconds(e.scenario.settled()),
		Unanswered: maxUnanswered,
		Teams:      map[string]invariants.Limit{},
	}
	for _, name := range e.scenario.teams() {
		rules.Teams[name] = invariants.Limit{GPUs: d.TeamGPUs}
	}
	return rules
}

// classResult is what became of the jobs of a class, by the history and by what its users experienced.
func (e *evaluation) classResult(c *Class, stats userStats) ClassResult {
	out := ClassResult{Class: c.Name, Submitted: stats.Submitted, Accepted: stats.Accepted, Errors: stats.Errors}
	var submits, starts, ends []float64 // seconds
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

// quantiles reads quantiles of values in seconds from a histogram, in units of so many to a second.
func quantiles(values []float64, perSecond float64) quantile.Times {
	const most = 24 * 3600 * 1_000_000 // microseconds
	h := hdrhistogram.New(1, most, 3)
	for _, v := range values {
		_ = h.RecordValue(min(max(int64(v*1e6), 1), most)) // is within the histogram's bounds
	}
	return quantile.Of(h, perSecond)
}

// load counts what happened in each second.
func (e *evaluation) load() []Second {
	var out []Second
	on := 0
	for i := range e.events {
		event := &e.events[i]
		second := int((event.At - e.from) / config.Second)
		if second < 0 || second > longestRun {
			continue
		}
		for len(out) <= second {
			out = append(out, Second{On: on})
		}
		switch event.Kind {
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
