package faulttest

import "fmt"

// The kinds of expectations: values of Expectation.Kind in scenario files.
const (
	expectAccepted      = "accepted"
	expectStarted       = "started"
	expectDone          = "done"
	expectDeadline      = "deadline"
	expectEnded         = "ended"
	expectUp            = "up"
	expectStartedInTime = "served" // see StartedInTime
)

// tolerance allows for rounding errors: an expectation is met if its share is missed by no more than this.
const tolerance = 1e-9

// Finding is the result of evaluating an expectation.
type Finding struct {
	Expect string  `json:"expect"`
	Share  float64 `json:"found"` // the share that met it
	Jobs   int     `json:"of"`    // number of jobs counted
	Met    bool    `json:"met"`
}

// String returns the description of the expectation in Finding.Expect.
func (e *Expectation) String() string {
	text := e.Kind
	if e.Class != "" {
		text = e.Class + " " + e.Kind
	}
	if e.WithinS > 0 {
		text += fmt.Sprintf(" within %g s", e.WithinS)
	}
	return fmt.Sprintf("%s at least %g", text, e.Share)
}

// inTime reports whether an event happened, and no later than WithinS after since if the expectation has
// such a limit. Times are in seconds; at is negative if the event did not happen.
func (e *Expectation) inTime(at, since float64) bool {
	return at >= 0 && (e.WithinS == 0 || at-since <= e.WithinS)
}

// score is the weight of a job in an expectation, and how much of that weight met it.
type score struct {
	applies     bool // whether the expectation applies to the job
	met, weight float64
}

// notCounted is the score of a job that an expectation doesn't apply to.
var notCounted = score{}

// jobScore is the score of a job with weight 1 that either meets the expectation or doesn't.
func jobScore(met bool) score {
	if met {
		return score{applies: true, met: 1, weight: 1}
	}
	return score{applies: true, weight: 1}
}

// scorers maps the kind of an expectation to the function that scores a job. end is when the run ended, in
// seconds since it began. expectStartedInTime is not evaluated job by job and has no scorer.
var scorers = map[string]func(e *Expectation, o *jobOutcome, end float64) score{
	expectAccepted: scoreAccepted,
	expectStarted:  scoreStarted,
	expectDone:     scoreDone,
	expectDeadline: scoreDeadline,
	expectEnded:    scoreEnded,
	expectUp:       scoreUp,
}

func scoreAccepted(e *Expectation, o *jobOutcome, _ float64) score {
	return jobScore(e.inTime(o.accepted, o.plannedAt()))
}

func scoreStarted(e *Expectation, o *jobOutcome, end float64) score {
	cancelledBefore := o.cancelled && o.started < 0
	if cancelledBefore || end-o.plannedAt() < e.WithinS {
		return notCounted
	}
	return jobScore(e.inTime(o.started, o.plannedAt()))
}

func scoreDone(e *Expectation, o *jobOutcome, end float64) score {
	if o.cancelled || o.planned.class.isService() || end-o.plannedAt() < e.WithinS {
		return notCounted
	}
	return jobScore(e.inTime(o.done, o.plannedAt()))
}

func scoreDeadline(_ *Expectation, o *jobOutcome, _ float64) score {
	deadline := o.planned.job.DeadlineS
	if o.cancelled || deadline == nil {
		return notCounted
	}
	return jobScore(o.done >= 0 && o.done-o.plannedAt() <= *deadline)
}

func scoreEnded(_ *Expectation, o *jobOutcome, _ float64) score {
	if o.planned.class.isService() {
		return notCounted
	}
	return jobScore(o.done >= 0 || o.cancelled)
}

// scoreUp weighs a service by the replica seconds that it should have run: from WithinS after its planned
// submission until the end of the run, with all replicas.
func scoreUp(e *Expectation, o *jobOutcome, end float64) score {
	if !o.planned.class.isService() || o.cancelled {
		return notCounted
	}
	weight := float64(o.planned.job.Tasks) * max(end-o.plannedAt()-e.WithinS, 0)
	return score{applies: true, met: min(o.replicaSeconds, weight), weight: weight}
}

// plannedAt returns the planned time of the submission, in seconds since the run began.
func (o *jobOutcome) plannedAt() float64 { return o.planned.at.Seconds() }

// unknownExpectationError reports an expectation of an unknown kind.
type unknownExpectationError struct{ kind string }

func (e *unknownExpectationError) Error() string {
	return fmt.Sprintf("unknown expectation kind %q", e.kind)
}

// evaluate evaluates an expectation over the outcomes of the jobs. It returns an unknownExpectationError
// for an unknown kind.
func (e *evaluation) evaluate(expect *Expectation) (Finding, error) {
	if expect.Kind == expectStartedInTime {
		return e.evaluateStartedInTime(expect), nil
	}
	scoreOf := scorers[expect.Kind]
	if scoreOf == nil {
		return Finding{}, &unknownExpectationError{expect.Kind}
	}
	f := Finding{Expect: expect.String()}
	met, weight := 0.0, 0.0
	for _, o := range e.outcomes {
		wrongClass := expect.Class != "" && o.planned.class.Name != expect.Class
		if wrongClass || o.submitted < 0 {
			continue
		}
		s := scoreOf(expect, o, e.endS)
		if !s.applies {
			continue
		}
		f.Jobs++
		met += s.met
		weight += s.weight
	}
	if weight == 0 {
		f.Met = expect.Share == 0
		return f, nil
	}
	f.Share = met / weight
	f.Met = f.Share >= expect.Share-tolerance
	return f, nil
}

func (e *evaluation) evaluateStartedInTime(expect *Expectation) Finding {
	within := expect.WithinS
	if within == 0 {
		within = defaultStartWithinS
	}
	shares, jobs := e.startedInTime(within)
	f := Finding{Expect: expect.String(), Share: shares.minShare(expect.Class), Jobs: jobs}
	f.Met = f.Share >= expect.Share-tolerance
	return f
}
