package faulttest

import "fmt"

// The kinds of expectations, as scenario files name them in Expect.Kind.
const (
	expectAccepted = "accepted"
	expectStarted  = "started"
	expectDone     = "done"
	expectDeadline = "deadline"
	expectEnded    = "ended"
	expectUp       = "up"
	expectServed   = "served" // see StartedInTime
)

// tolerance is how far below its share an expectation is still met, for rounding.
const tolerance = 1e-9

// Finding is an expectation and how far it was met.
type Finding struct {
	Expect string  `json:"expect"`
	Found  float64 `json:"found"` // the share found
	Of     int     `json:"of"`    // jobs that count
	Met    bool    `json:"met"`
}

// String describes an expectation, as results name it.
func (e *Expect) String() string {
	text := e.Kind
	if e.Class != "" {
		text = e.Class + " " + e.Kind
	}
	if e.WithinS > 0 {
		text += fmt.Sprintf(" within %g s", e.WithinS)
	}
	return fmt.Sprintf("%s at least %g", text, e.Share)
}

// inTime reports whether something happened at all, and within the time of the expectation if it
// has one. Times are in seconds.
func (e *Expect) inTime(at, since float64) bool {
	return at >= 0 && (e.WithinS == 0 || at-since <= e.WithinS)
}

// score is how much a job counts for an expectation, and how much of that is met.
type score struct {
	applies     bool // the job counts at all
	met, weight float64
}

// notCounted is the score of a job that an expectation doesn't apply to.
var notCounted = score{}

// wholeJob is the score of a job that counts once and either meets the expectation or doesn't.
func wholeJob(met bool) score {
	if met {
		return score{applies: true, met: 1, weight: 1}
	}
	return score{applies: true, weight: 1}
}

// scorers holds how a job scores for each kind of expectation; end is when the run ended, in
// seconds.
var scorers = map[string]func(e *Expect, o *jobOutcome, end float64) score{
	expectAccepted: scoreAccepted,
	expectStarted:  scoreStarted,
	expectDone:     scoreDone,
	expectDeadline: scoreDeadline,
	expectEnded:    scoreEnded,
	expectUp:       scoreUp,
}

func scoreAccepted(e *Expect, o *jobOutcome, _ float64) score {
	return wholeJob(e.inTime(o.accepted, o.plannedAt()))
}

func scoreStarted(e *Expect, o *jobOutcome, end float64) score {
	cancelledBefore := o.cancelled && o.started < 0
	if cancelledBefore || end-o.plannedAt() < e.WithinS {
		return notCounted
	}
	return wholeJob(e.inTime(o.started, o.plannedAt()))
}

func scoreDone(e *Expect, o *jobOutcome, end float64) score {
	if o.cancelled || o.planned.class.isService() || end-o.plannedAt() < e.WithinS {
		return notCounted
	}
	return wholeJob(e.inTime(o.done, o.plannedAt()))
}

func scoreDeadline(_ *Expect, o *jobOutcome, _ float64) score {
	deadline := o.planned.job.DeadlineS
	if o.cancelled || deadline == nil {
		return notCounted
	}
	return wholeJob(o.done >= 0 && o.done-o.plannedAt() <= *deadline)
}

func scoreEnded(_ *Expect, o *jobOutcome, _ float64) score {
	if o.planned.class.isService() {
		return notCounted
	}
	return wholeJob(o.done >= 0 || o.cancelled)
}

// scoreUp weighs a service by the replica seconds that it should have had since its time to start
// was over.
func scoreUp(e *Expect, o *jobOutcome, end float64) score {
	if !o.planned.class.isService() || o.cancelled {
		return notCounted
	}
	weight := float64(o.planned.job.Tasks) * max(end-o.plannedAt()-e.WithinS, 0)
	return score{applies: true, met: min(o.replicaSeconds, weight), weight: weight}
}

// plannedAt is when the job was to be submitted, in seconds since the run began.
func (o *jobOutcome) plannedAt() float64 { return o.planned.at.Seconds() }

// unknownExpectationError is the error of an expectation of a kind that there isn't.
type unknownExpectationError struct{ kind string }

func (e *unknownExpectationError) Error() string { return fmt.Sprintf("no expectation %q", e.kind) }

// evaluate compares an expectation with the outcomes of the jobs. It returns an unknownExpectationError
// for an unknown kind.
func (e *evaluation) evaluate(expect *Expect) (Finding, error) {
	if expect.Kind == expectServed {
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
		s := scoreOf(expect, o, e.end)
		if !s.applies {
			continue
		}
		f.Of++
		met += s.met
		weight += s.weight
	}
	if weight == 0 {
		f.Met = expect.Share == 0
		return f, nil
	}
	f.Found = met / weight
	f.Met = f.Found >= expect.Share-tolerance
	return f, nil
}

func (e *evaluation) evaluateStartedInTime(expect *Expect) Finding {
	within := expect.WithinS
	if within == 0 {
		within = startWithin
	}
	shares, jobs := e.startedInTime(within)
	f := Finding{Expect: expect.String(), Found: shares.least(expect.Class), Of: jobs}
	f.Met = f.Found >= expect.Share-tolerance
	return f
}
