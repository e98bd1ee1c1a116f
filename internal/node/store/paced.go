package store

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
)

// paced is a limiter that slows down when the service refuses, to no less than a part that
// is its own, and recovers with each time that it doesn't and with time: whole within
// paceRecovery of the last refusal, however little is sent. By successes alone it would
// stay down on a node that sends nothing: one that has only accepted jobs during a flood
// kept an eighth of the rate for minutes, and began with it when it came to lead. What it
// recovers to follows the quota down, when that falls from some moment on: refusals are then
// frequent, and those who wait for answers would be refused as well.
type paced struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	temper
	least    rate.Limit // however often it is refused
	low, top rate.Limit // between these goes what it recovers to
	most     rate.Limit // what it recovers to
	at       time.Time  // when it was last changed
	cutAt    time.Time  // when it was last cut
}

// temper is how a pace answers.
type temper struct {
	cut   rate.Limit    // what a refusal leaves of it
	gain  rate.Limit    // what is added for each time that it isn't refused, in parts of the whole
	whole time.Duration // how long after a refusal it is back, if no other comes
	pause time.Duration // refusals within so long are one: what was sent together is refused together
}

var (
	// A leader's part is used by one node: it takes what it finds.
	quick = temper{cut: 0.7, gain: 0.03, whole: paceRecovery}
	// All nodes accept. What one of them finds idle the others find too, so they are slower to
	// take it. A day begins with hundreds of jobs at once: with each refusal cutting the pace
	// and 30 s to recover, a third of the quota was left idle for 20 s.
	gentle = temper{cut: 0.6, gain: 0.03, whole: 1 * paceRecovery, pause: 200 * time.Millisecond}
)

// paceRecovery is how long after a refusal a leader's pace is back, if no other comes.
const paceRecovery = 5 * time.Second

// The quotas are for all nodes together, and nobody deals them out. Each purpose borrows
// what is idle, up to its top, and is left with its part once the service refuses: the parts
// add up to less than the whole, so that in a flood nothing is refused for long, and neither
// do accepts take the changes that placements need, nor the other way round. Transactions
// that are neither, such as claims and cancellations, are few and have no pace.
const (
	acceptsTop  = 0.7 // of one node, in parts of the quota of changes
	acceptsPart = 0.5 // of all nodes together
	leaderTop   = 0.9 // of what a leader writes that can wait
	leaderPart  = 0.4
	callsTop    = 0.5 // of one node, in parts of the quota of requests
	callsPart   = 0.9 // of all nodes together
)

func newPaced(top, least, low rate.Limit, burst int, t temper) *paced {
	return &paced{limiter: rate.NewLimiter(top, burst), temper: t, least: min(least, top), low: min(low, top), top: top, most: top}
}

// newLeaderPace is for what a leader writes that can wait.
func newLeaderPace(s *config.State) *paced {
	top := rate.Limit(s.WriteRPS * leaderTop)
	low := top
	if s.LeastWriteRPS() < s.WriteRPS {
		low = rate.Limit(s.LeastWriteRPS() * 0.8)
	}
	return newPaced(top, rate.Limit(s.LeastWriteRPS()*leaderPart), low, max(1, int(s.LeastWriteRPS()*0.2), s.Ops()), quick)
}

// newAcceptPace is for the jobs that one of so many nodes accepts.
func newAcceptPace(s *config.State, nodes int) *paced {
	part := rate.Limit(s.LeastWriteRPS() * acceptsPart / float64(nodes))
	return newPaced(rate.Limit(s.WriteRPS*acceptsTop), part, part, max(1, int(s.LeastWriteRPS()*acceptsTop), s.Ops()), gentle)
}

// newCallPace is for all requests of one of so many nodes, but for those that keep it alive.
func newCallPace(s *config.State, nodes int) *paced {
	part := rate.Limit(s.RPS * callsPart / float64(nodes))
	return newPaced(rate.Limit(s.RPS*callsTop), part, part, max(1, int(s.RPS*callsTop)), gentle)
}

// setLeast gives it another part.
func (p *paced) setLeast(now time.Time, least float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.least = min(rate.Limit(least), p.top)
	p.low = p.least
	if p.most = max(p.most, p.low); p.limiter.Limit() < p.least {
		p.limiter.SetLimitAt(now, p.least)
	}
}

// wants is a mean over the last seconds of how often something is wanted.
type wants struct {
	mu   sync.Mutex
	at   time.Time
	mean float64 // a second
}

// wantsOver is how many seconds it is the mean of.
const wantsOver = 3

func (w *wants) one(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fade(now)
	w.mean += 1.0 / wantsOver
}

func (w *wants) rate(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fade(now)
	return w.mean
}

func (w *wants) fade(now time.Time) {
	if passed := now.Sub(w.at).Seconds(); passed > 0 {
		w.mean *= math.Exp(-passed / wantsOver)
		w.at = now
	}
}

// took is told whether the service has refused a request for its quota.
func (p *paced) took(now time.Time, refused bool) {
	p.recover(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limiter.Limit()
	if refused {
		if now.Sub(p.cutAt) < p.pause {
			return
		}
		p.cutAt = now
		p.most = max(p.low, p.most*0.96)
		p.limiter.SetLimitAt(now, max(p.least, min(limit, p.most)*p.cut))
		return
	}
	p.most = min(p.top, p.most+p.top*0.001)
	p.limiter.SetLimitAt(now, min(p.most, limit+p.most*p.gain))
}

// recover gives back what time has brought since the last change.
func (p *paced) recover(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		p.at = now
	}
	passed := now.Sub(p.at)
	if passed <= 0 {
		return
	}
	p.at = now
	gained := p.most * rate.Limit(passed.Seconds()/p.whole.Seconds())
	if limit := p.limiter.Limit(); limit < p.most {
		p.limiter.SetLimitAt(now, min(p.most, limit+gained))
	}
}
