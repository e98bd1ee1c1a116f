package kvstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
)

// The quotas are for all nodes together, and nobody divides them. Each purpose borrows what is idle,
// up to its maximum share, and is left with its guaranteed share once the service refuses. The
// guaranteed shares add up to less than the whole: under overload nothing is refused for long, and
// neither do admissions take the changes that placements need, nor the other way round.
// Transactions that are neither, such as elections and cancellations, are few and not adapted.
const (
	maxAdmissionShare = 0.7 // of one node, of the quota of changes
	admissionShare    = 0.5 // of all nodes together
	maxLeaderShare    = 0.9 // of the leader's deferrable changes
	leaderShare       = 0.4
	maxRequestShare   = 0.5 // of one node, of the quota of requests
	requestShare      = 0.9 // of all nodes together
)

const (
	// recoveryTime is how long after the last refusal a limiter has its full rate.
	recoveryTime = 5 * time.Second
	// ceilingDecrease and ceilingIncrease move the rate that a limiter recovers to: by a refusal,
	// and, as a part of the maximum, by a request that is not refused.
	ceilingDecrease = 0.96
	ceilingIncrease = 0.001
	// futureQuotaShare is the part of a quota that falls later which deferrable changes recover to
	// at the least.
	futureQuotaShare = 0.8
	// leaderBurstShare is how much of a second's quota deferrable changes may use at once.
	leaderBurstShare = 0.2
)

// aimdParameters are how a limiter adapts: additive increase, multiplicative decrease.
type aimdParameters struct {
	decreaseFactor   rate.Limit    // what a refusal leaves of the rate
	increase         rate.Limit    // what a request that is not refused adds, as a part of the ceiling
	fullRecovery     time.Duration // how long after a refusal the rate is back if no other comes
	decreaseInterval time.Duration // refusals within it count once: what was sent together is refused together
}

var (
	// fastRecovery is for a share that one node uses: it takes what it finds idle.
	fastRecovery = aimdParameters{decreaseFactor: 0.7, increase: 0.03, fullRecovery: recoveryTime}
	// slowRecovery is for a share that all nodes use. What one of them finds idle the others find
	// too, so they are slower to take it. When hundreds of jobs come at once, decreasing with every
	// refusal left a third of the quota idle for 20 s.
	slowRecovery = aimdParameters{
		decreaseFactor:   0.6,
		increase:         0.03,
		fullRecovery:     recoveryTime,
		decreaseInterval: 200 * time.Millisecond,
	}
)

// rateLimiter is a limiter that slows down when the service refuses, to no less than a share of its
// own, and recovers with every request that is not refused and with time: fully within
// fullRecovery of the last refusal, however little is sent. By successes alone it would stay slow on
// a node that sends nothing, which then has an eighth of the rate when it is elected. The ceiling
// that it recovers to follows the quota down when that falls at some moment: refusals are frequent then.
type rateLimiter struct {
	aimdParameters
	limiter *rate.Limiter

	mu          sync.Mutex
	minRate     rate.Limit // however often it is refused
	lowRate     rate.Limit // the least that the ceiling falls to
	maxRate     rate.Limit // the most that the ceiling rises to
	ceiling     rate.Limit // what it recovers to
	recoveredAt time.Time
	decreasedAt time.Time
}

func newRateLimiter(maxRate, minRate, lowRate rate.Limit, burst int, parameters aimdParameters) *rateLimiter {
	return &rateLimiter{
		aimdParameters: parameters,
		limiter:        rate.NewLimiter(maxRate, burst),
		minRate:        min(minRate, maxRate),
		lowRate:        min(lowRate, maxRate),
		maxRate:        maxRate,
		ceiling:        maxRate,
	}
}

// newLeaderLimiter is for a leader's deferrable changes.
func newLeaderLimiter(s *config.State) *rateLimiter {
	maxRate := rate.Limit(s.WriteRPS * maxLeaderShare)
	lowRate := maxRate
	if s.LeastWriteRPS() < s.WriteRPS {
		lowRate = rate.Limit(s.LeastWriteRPS() * futureQuotaShare)
	}
	burst := max(1, int(s.LeastWriteRPS()*leaderBurstShare), s.Ops())
	return newRateLimiter(maxRate, rate.Limit(s.LeastWriteRPS()*leaderShare), lowRate, burst, fastRecovery)
}

// newAdmissionLimiter is for the jobs that one of so many nodes accepts.
func newAdmissionLimiter(s *config.State, nodes int) *rateLimiter {
	share := rate.Limit(s.LeastWriteRPS() * admissionShare / float64(nodes))
	burst := max(1, int(s.LeastWriteRPS()*maxAdmissionShare), s.Ops())
	return newRateLimiter(rate.Limit(s.WriteRPS*maxAdmissionShare), share, share, burst, slowRecovery)
}

// newRequestLimiter is for all requests of one of so many nodes, but for leases and the watch.
func newRequestLimiter(s *config.State, nodes int) *rateLimiter {
	share := rate.Limit(s.RPS * requestShare / float64(nodes))
	burst := max(1, int(s.RPS*maxRequestShare))
	return newRateLimiter(rate.Limit(s.RPS*maxRequestShare), share, share, burst, slowRecovery)
}

// setMinRate changes the share that the limiter keeps however often it is refused, in events a second.
func (l *rateLimiter) setMinRate(now time.Time, minRate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minRate = min(rate.Limit(minRate), l.maxRate)
	l.lowRate = l.minRate
	l.ceiling = max(l.ceiling, l.lowRate)
	if l.limiter.Limit() < l.minRate {
		l.limiter.SetLimitAt(now, l.minRate)
	}
}

// observe adapts the rate to whether the service has refused a request for its quota.
func (l *rateLimiter) observe(now time.Time, refused bool) {
	l.recover(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limiter.Limit()
	if !refused {
		l.ceiling = min(l.maxRate, l.ceiling+l.maxRate*ceilingIncrease)
		l.limiter.SetLimitAt(now, min(l.ceiling, limit+l.ceiling*l.increase))
		return
	}
	if now.Sub(l.decreasedAt) < l.decreaseInterval {
		return
	}
	l.decreasedAt = now
	l.ceiling = max(l.lowRate, l.ceiling*ceilingDecrease)
	l.limiter.SetLimitAt(now, max(l.minRate, min(limit, l.ceiling)*l.decreaseFactor))
}

// recover raises the rate by the time since it was last called.
func (l *rateLimiter) recover(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recoveredAt.IsZero() {
		l.recoveredAt = now
	}
	passed := now.Sub(l.recoveredAt)
	if passed <= 0 {
		return
	}
	l.recoveredAt = now
	gained := l.ceiling * rate.Limit(passed.Seconds()/l.fullRecovery.Seconds())
	if limit := l.limiter.Limit(); limit < l.ceiling {
		l.limiter.SetLimitAt(now, min(l.ceiling, limit+gained))
	}
}
