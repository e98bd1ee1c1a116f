package kvstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
)

// The quotas of the state service apply to all nodes together, and no component divides them among the
// nodes. Each purpose may use idle quota up to its maximum share, and is reduced to its guaranteed share
// while the service refuses requests. The guaranteed shares add up to less than the quota, so that
// refusals don't last under overload, and neither admissions nor placements can use up the changes that
// the other needs. Other transactions, such as elections and cancellations, are few, and their rate limit
// is not adapted.
const (
	maxAdmissionShare = 0.7 // maximum for admissions of one node, as a share of the quota of changes
	admissionShare    = 0.5 // guaranteed for admissions of all nodes together
	maxLeaderShare    = 0.9 // maximum for the leader's deferrable changes
	leaderShare       = 0.4 // guaranteed for the leader's deferrable changes
	maxRequestShare   = 0.5 // maximum for requests of one node, as a share of the quota of requests
	requestShare      = 0.9 // guaranteed for requests of all nodes together
)

const (
	// recoveryTime is the time after the last refusal within which a limiter recovers its full rate.
	recoveryTime = 5 * time.Second
	// ceilingDecrease is the factor that a refusal applies to the ceiling, the rate that a limiter recovers to.
	ceilingDecrease = 0.96
	// ceilingIncrease is what a request that is not refused adds to the ceiling, as a share of the maximum rate.
	ceilingIncrease = 0.001
	// futureQuotaShare applies if the quota will be lowered: the ceiling of deferrable changes never falls
	// below this share of the future quota.
	futureQuotaShare = 0.8
	// leaderBurstShare is the share of one second's quota that deferrable changes may use at once.
	leaderBurstShare = 0.2
)

// aimdParameters control how a limiter adapts its rate by additive increase and multiplicative decrease.
type aimdParameters struct {
	decreaseFactor rate.Limit    // factor that a refusal applies to the rate
	increase       rate.Limit    // added by each request that is not refused, as a share of the ceiling
	fullRecovery   time.Duration // time after which the rate is back at the ceiling if no further refusal occurs
	// decreaseInterval is the interval within which several refusals decrease the rate only once, since
	// requests sent together are refused together.
	decreaseInterval time.Duration
}

var (
	// fastRecovery is for a share that only one node uses, which may use all of the idle quota.
	fastRecovery = aimdParameters{decreaseFactor: 0.7, increase: 0.03, fullRecovery: recoveryTime}
	// slowRecovery is for a share that all nodes use. The same idle quota is available to all of them,
	// so a refusal lowers the rate of each further than with fastRecovery. If every refusal decreased
	// the rate, a third of the quota would be idle for 20 s when hundreds of jobs arrive at once.
	slowRecovery = aimdParameters{
		decreaseFactor:   0.6,
		increase:         0.03,
		fullRecovery:     recoveryTime,
		decreaseInterval: 200 * time.Millisecond,
	}
)

// rateLimiter decreases its rate when the service refuses requests, but not below minRate. The rate
// recovers with every request that is not refused, and with time: fully within fullRecovery of the last
// refusal, even if few requests are sent. With recovery by successes alone, the rate would stay low on a
// node that sends nothing, and such a node would have an eighth of the rate when it is elected. The
// ceiling, to which the rate recovers, falls with the frequent refusals that follow when the quota is
// lowered.
type rateLimiter struct {
	aimdParameters
	limiter *rate.Limiter

	mu          sync.Mutex
	minRate     rate.Limit // lower bound of the rate, however many requests are refused
	minCeiling  rate.Limit // lower bound of the ceiling
	maxRate     rate.Limit // upper bound of the ceiling
	ceiling     rate.Limit // the rate that the limiter recovers to
	recoveredAt time.Time
	decreasedAt time.Time
}

func newRateLimiter(maxRate, minRate, minCeiling rate.Limit, burst int, parameters aimdParameters) *rateLimiter {
	return &rateLimiter{
		aimdParameters: parameters,
		limiter:        rate.NewLimiter(maxRate, burst),
		minRate:        min(minRate, maxRate),
		minCeiling:     min(minCeiling, maxRate),
		maxRate:        maxRate,
		ceiling:        maxRate,
	}
}

// newLeaderLimiter returns the limiter for a leader's deferrable changes.
func newLeaderLimiter(s *config.State) *rateLimiter {
	maxRate := rate.Limit(s.WriteRPS * maxLeaderShare)
	minCeiling := maxRate
	if s.MinWriteRPS() < s.WriteRPS {
		minCeiling = rate.Limit(s.MinWriteRPS() * futureQuotaShare)
	}
	burst := max(1, int(s.MinWriteRPS()*leaderBurstShare), s.MaxTxnOps())
	return newRateLimiter(maxRate, rate.Limit(s.MinWriteRPS()*leaderShare), minCeiling, burst, fastRecovery)
}

// newAdmissionLimiter returns the limiter for the admissions of one node out of the given number of nodes.
func newAdmissionLimiter(s *config.State, nodes int) *rateLimiter {
	share := rate.Limit(s.MinWriteRPS() * admissionShare / float64(nodes))
	burst := max(1, int(s.MinWriteRPS()*maxAdmissionShare), s.MaxTxnOps())
	return newRateLimiter(rate.Limit(s.WriteRPS*maxAdmissionShare), share, share, burst, slowRecovery)
}

// newRequestLimiter returns the limiter for all requests of one node out of the given number of nodes,
// except those for leases and the watch.
func newRequestLimiter(s *config.State, nodes int) *rateLimiter {
	share := rate.Limit(s.RPS * requestShare / float64(nodes))
	burst := max(1, int(s.RPS*maxRequestShare))
	return newRateLimiter(rate.Limit(s.RPS*maxRequestShare), share, share, burst, slowRecovery)
}

// setMinRate sets the lower bound of the rate and of the ceiling, in events per second.
func (l *rateLimiter) setMinRate(now time.Time, minRate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minRate = min(rate.Limit(minRate), l.maxRate)
	l.minCeiling = l.minRate
	l.ceiling = max(l.ceiling, l.minCeiling)
	if l.limiter.Limit() < l.minRate {
		l.limiter.SetLimitAt(now, l.minRate)
	}
}

// observe adapts the rate to the result of a request: refused is set if the service refused it for its quota.
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
	l.ceiling = max(l.minCeiling, l.ceiling*ceilingDecrease)
	l.limiter.SetLimitAt(now, max(l.minRate, min(limit, l.ceiling)*l.decreaseFactor))
}

// recover raises the rate in proportion to the time since the last call.
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
