package kvstore

import (
	"flag"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"coralhub/internal/config"
)

// Fixes the seed, so that every run checks the same cases; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

// A limiter that refusals have reduced to its minimum rate recovers its full rate within recoveryTime, even if
// nothing is sent.
func TestRateRecoversWithTime(t *testing.T) {
	l := newLeaderLimiter(&config.State{RPS: 120, WriteRPS: 25, TxnOps: 8})
	now := time.Unix(100, 0)
	for range 50 {
		l.observe(now, true)
	}
	if got := l.limiter.Limit(); got != l.minRate {
		t.Fatalf("rate after 50 refusals: %v, want the minimum %v", got, l.minRate)
	}
	l.recover(now.Add(recoveryTime / 2))
	if got := l.limiter.Limit(); got < l.maxRate/2 || got >= l.maxRate {
		t.Errorf("rate after half of the recovery time: %v, want at least half of %v but less than it", got, l.maxRate)
	}
	l.recover(now.Add(recoveryTime))
	if got := l.limiter.Limit(); got < l.maxRate*0.99 {
		t.Errorf("rate after the recovery time: %v, want %v", got, l.maxRate)
	}
}

// The rate stays between the limiter's minimum and maximum for any sequence of results.
func TestRateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &config.State{RPS: 120, WriteRPS: 40, TxnOps: 8}
		s.Next.WriteRPS = rapid.SampledFrom([]float64{0, 18}).Draw(t, "coming")
		l := newLeaderLimiter(s)
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 3000).Draw(t, "ms")) * time.Millisecond)
			l.observe(now, rapid.Bool().Draw(t, "refused"))
			if got := l.limiter.Limit(); got < min(l.minRate, l.minCeiling)-1e-9 || got > l.maxRate+rate.Limit(1e-9) {
				t.Fatalf("rate %v is not between %v and %v", got, l.minRate, l.maxRate)
			}
		}
	})
}

// Under overload, every node accepts as many jobs as it can and the leader has placements to write. The
// guaranteed shares add up to less than the quota. So for any number of nodes the quota is used, little is
// refused, and neither purpose takes the other's share.
func TestSharesAddUpUnderOverload(t *testing.T) {
	for _, nodes := range []int{3, 9} {
		s := &config.State{RPS: 250, WriteRPS: 60, TxnOps: 8}
		var admission []*rateLimiter
		for range nodes {
			admission = append(admission, newAdmissionLimiter(s, nodes))
		}
		deferrable := newLeaderLimiter(s)
		quota := rate.NewLimiter(rate.Limit(s.WriteRPS), int(s.WriteRPS))
		now := time.Unix(100, 0)
		accepted, refused, placed := 0, 0, 0
		try := func(l *rateLimiter) bool {
			l.recover(now)
			if !l.limiter.AllowN(now, 1) {
				return false
			}
			ok := quota.AllowN(now, 1)
			l.observe(now, !ok)
			if !ok && l != deferrable {
				deferrable.observe(now, true) // the leader's limiter slows down on any node's refusals
			}
			if now.Unix() < 120 {
				return ok // not counted: the quota allows an initial burst
			}
			if ok {
				accepted++
			} else {
				refused++
			}
			return ok
		}
		const until = 180
		for ; now.Unix() < until; now = now.Add(5 * time.Millisecond) {
			for _, l := range admission {
				try(l)
			}
			if try(deferrable) && now.Unix() >= 120 {
				placed++
			}
		}
		all := s.WriteRPS * (until - 120)
		if used := float64(accepted) / all; used < 0.85 {
			t.Errorf("%d nodes: %.2f of the quota used, want at least 0.85", nodes, used)
		}
		if share := float64(refused) / float64(accepted); share > 0.25 {
			t.Errorf("%d nodes: %.2f refused per accepted change, want at most 0.25", nodes, share)
		}
		if share := float64(placed) / all; share < leaderShare*0.9 {
			t.Errorf("%d nodes: the leader uses %.2f of the quota, want at least %.2f", nodes, share, leaderShare*0.9)
		}
		t.Logf("%d nodes: used %.2f, refused %.2f, leader %.2f",
			nodes, float64(accepted)/all, float64(refused)/float64(accepted), float64(placed)/all)
	}
}
