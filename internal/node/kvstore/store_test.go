package kvstore

import (
	"flag"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"coralhub/internal/config"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

// A limiter that was refused down to its minimum has its full rate again in the stated time though nothing is
// sent.
func TestRateRecoversWithTime(t *testing.T) {
	p := newLeaderLimiter(&config.State{RPS: 120, WriteRPS: 25, TxnOps: 8})
	now := time.Unix(100, 0)
	for range 50 {
		p.observe(now, true)
	}
	if got := p.limiter.Limit(); got != p.minRate {
		t.Fatalf("refused fifty times: %v, not the minimum %v", got, p.minRate)
	}
	p.recover(now.Add(recoveryTime / 2))
	if got := p.limiter.Limit(); got < p.maxRate/2 || got >= p.maxRate {
		t.Errorf("after half the time: %v of %v", got, p.maxRate)
	}
	p.recover(now.Add(recoveryTime))
	if got := p.limiter.Limit(); got < p.maxRate*0.99 {
		t.Errorf("after the whole time: %v of %v", got, p.maxRate)
	}
}

// Whatever happens, the rate stays between the limiter's minimum and maximum.
func TestRateStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &config.State{RPS: 120, WriteRPS: 40, TxnOps: 8}
		s.Next.WriteRPS = rapid.SampledFrom([]float64{0, 18}).Draw(t, "coming")
		p := newLeaderLimiter(s)
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 3000).Draw(t, "ms")) * time.Millisecond)
			p.observe(now, rapid.Bool().Draw(t, "refused"))
			if got := p.limiter.Limit(); got < min(p.minRate, p.lowRate)-1e-9 || got > p.maxRate+rate.Limit(1e-9) {
				t.Fatalf("%v outside of %v to %v", got, p.minRate, p.maxRate)
			}
		}
	})
}

// Under overload every node accepts what it can and the leader has placements to write. The shares add up to
// less than the quota, so it is used and little is refused, however many nodes there are, and neither
// purpose takes the other's share.
func TestSharesAddUpUnderOverload(t *testing.T) {
	for _, nodes := range []int{3, 9} {
		s := &config.State{RPS: 250, WriteRPS: 60, TxnOps: 8}
		var accepts []*rateLimiter
		for range nodes {
			accepts = append(accepts, newAdmissionLimiter(s, nodes))
		}
		later := newLeaderLimiter(s)
		quota := rate.NewLimiter(rate.Limit(s.WriteRPS), int(s.WriteRPS))
		now := time.Unix(100, 0)
		taken, refused, placed := 0, 0, 0
		try := func(p *rateLimiter) bool {
			p.recover(now)
			if !p.limiter.AllowN(now, 1) {
				return false
			}
			ok := quota.AllowN(now, 1)
			p.observe(now, !ok)
			if !ok && p != later {
				later.observe(now, true) // each node's own, but the leader slows down by its refusals
			}
			if now.Unix() < 120 {
				return ok // the burst that the quota allows
			}
			if ok {
				taken++
			} else {
				refused++
			}
			return ok
		}
		const until = 180
		for ; now.Unix() < until; now = now.Add(5 * time.Millisecond) {
			for _, p := range accepts {
				try(p)
			}
			if try(later) && now.Unix() >= 120 {
				placed++
			}
		}
		all := s.WriteRPS * (until - 120)
		if used := float64(taken) / all; used < 0.85 {
			t.Errorf("%d nodes use %.2f of the quota", nodes, used)
		}
		if share := float64(refused) / float64(taken); share > 0.25 {
			t.Errorf("%d nodes: %.2f refused for one taken", nodes, share)
		}
		if share := float64(placed) / all; share < leaderShare*0.9 {
			t.Errorf("%d nodes: the leader has %.2f of the quota", nodes, share)
		}
		t.Logf("%d nodes: used %.2f, refused %.2f, leader %.2f", nodes, float64(taken)/all, float64(refused)/float64(taken), float64(placed)/all)
	}
}
