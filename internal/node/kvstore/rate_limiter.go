package kvstore

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
)

// rateLimiter is a limiter that slows down when the service refuses, to no less than a part that
// is its own, and recovers with each time that it doesn't and with time: whole within
// paceRecovery of the last refusal, however little is sent. By successes alone it would
// stay down on a node that sends nothing: one that has only accepted jobs during a flood
// kept an eighth of the rate for minutes, and began with it when it came to lead. What it
// recovers to follows the quota down, when that falls from some moment on: refusals are then
// frequent, and those who wait for answers would be refused as well.
type rateLimiter struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	aimdParameters
	minRate          rate.Limit // however often it is refused
	lowRate, maxRate rate.Limit // between these goes what it recovers to
	maxBurst         rate.Limit // what it recovers to
	recoveredAt      time.Time  // when it was last changed
	decreasedAt      time.Time  // when it was last cut
}

// aimdParameters is how a pace answers.
type aimdParameters struct {
	decreaseFactor   rate.Limit    // what a refusal leaves of it
	increase         rate.Limit    // what is added for each time that it isn't refused, in parts of the whole
	fullRecovery     time.Duration // how long after a refusal it is back, if no other comes
	decreaseInterval time.Duration // refusals within so long are one: what was sent together is refused together
}

var (
	// A leader's part is used by one node: it takes what it finds.
	fastRecovery = aimdParameters{decreaseFactor: 0.7, increase: 0.03, fullRecovery: recoveryTime}
	// All nodes accept. What one of them finds idle the others find too, so they are slower to
	// take it. A day begins with hundreds of jobs at once: with each refusal cutting the pace
	// and 30 s to recover, a third of the quota was left idle for 20 s.
	slowRecovery = aimdParameters{decreaseFactor: 0.6, increase: 0.03, fullRecovery: 1 * recoveryTime, decreaseInterval: 200 * time.Millisecond}
)

// recoveryTime is how long after a refusal a leader's pace is back, if no other comes.
const recoveryTime = 5 * time.Second

// The quotas are for all nodes together, and nobody deals them out. Each purpose borrows
// what is idle, up to its top, and is left with its part once the service refuses: the parts
// add up to less than the whole, so that in a flood nothing is refused for long, and neither
// do accepts take the changes that placements need, nor the other way round. Transactions
// that are neither, such as claims and cancellations, are few and have no pace.
const (
	maxAdmissionShare = 0.7 // of one node, in parts of the quota of changes
	admissionShare    = 0.5 // of all nodes together
	maxLeaderShare    = 0.9 // of what a leader writes that can wait
	leaderShare       = 0.4
	maxRequestShare   = 0.5 // of one node, in parts of the quota of requests
	requestShare      = 0.9 // of all nodes together
)

func newRateLimiter(top, least, low rate.Limit, burst int, t aimdParameters) *rateLimiter {
	return &rateLimiter{limiter: rate.NewLimiter(top, burst), aimdParameters: t, minRate: min(least, top), lowRate: min(low, top), maxRate: top, maxBurst: top}
}

// newLeaderLimiter is for what a leader writes that can wait.
func newLeaderLimiter(s *config.State) *rateLimiter {
	top := rate.Limit(s.WriteRPS * maxLeaderShare)
	low := top
	if s.LeastWriteRPS() < s.WriteRPS {
		low = rate.Limit(s.LeastWriteRPS() * 0.8)
	}
	return newRateLimiter(top, rate.Limit(s.LeastWriteRPS()*leaderShare), low, max(1, int(s.LeastWriteRPS()*0.2), s.Ops()), fastRecovery)
}

// newAdmissionLimiter is for the jobs that one of so many nodes accepts.
func newAdmissionLimiter(s *config.State, nodes int) *rateLimiter {
	part := rate.Limit(s.LeastWriteRPS() * admissionShare / float64(nodes))
	return newRateLimiter(rate.Limit(s.WriteRPS*maxAdmissionShare), part, part, max(1, int(s.LeastWriteRPS()*maxAdmissionShare), s.Ops()), slowRecovery)
}

// newRequestLimiter is for all requests of one of so many nodes, but for those that keep it alive.
func newRequestLimiter(s *config.State, nodes int) *rateLimiter {
	part := rate.Limit(s.RPS * requestShare / float64(nodes))
	return newRateLimiter(rate.Limit(s.RPS*maxRequestShare), part, part, max(1, int(s.RPS*maxRequestShare)), slowRecovery)
}

// setMinRate gives it another part.
func (p *rateLimiter) setMinRate(now time.Time, least float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minRate = min(rate.Limit(least), p.maxRate)
	p.lowRate = p.minRate
	if p.maxBurst = max(p.maxBurst, p.lowRate); p.limiter.Limit() < p.minRate {
		p.limiter.SetLimitAt(now, p.minRate)
	}
}

// demand is a mean over the last seconds of how often something is wanted.
type demand struct {
	mu       sync.Mutex
	fadedAt  time.Time
	meanRate float64 // a second
}

// demandWindow is how many seconds it is the mean of.
const demandWindow = 3

func (w *demand) add(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fade(now)
	w.meanRate += 1.0 / demandWindow
}

func (w *demand) rate(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fade(now)
	return w.meanRate
}

func (w *demand) fade(now time.Time) {
	if passed := now.Sub(w.fadedAt).Seconds(); passed > 0 {
		w.meanRate *= math.Exp(-passed / demandWindow)
		w.fadedAt = now
	}
}

// observe is told whether the service has refused a request for its quota.
func (p *rateLimiter) observe(now time.Time, refused bool) {
	p.recover(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limiter.Limit()
	if refused {
		if now.Sub(p.decreasedAt) < p.decreaseInterval {
			return
		}
		p.decreasedAt = now
		p.maxBurst = max(p.lowRate, p.maxBurst*0.96)
		p.limiter.SetLimitAt(now, max(p.minRate, min(limit, p.maxBurst)*p.decreaseFactor))
		return
	}
	p.maxBurst = min(p.maxRate, p.maxBurst+p.maxRate*0.001)
	p.limiter.SetLimitAt(now, min(p.maxBurst, limit+p.maxBurst*p.increase))
}

// recover gives back what time has brought since the last change.
func (p *rateLimiter) recover(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recoveredAt.IsZero() {
		p.recoveredAt = now
	}
	passed := now.Sub(p.recoveredAt)
	if passed <= 0 {
		return
	}
	p.recoveredAt = now
	gained := p.maxBurst * rate.Limit(passed.Seconds()/p.fullRecovery.Seconds())
	if limit := p.limiter.Limit(); limit < p.maxBurst {
		p.limiter.SetLimitAt(now, min(p.maxBurst, limit+gained))
	}
}
