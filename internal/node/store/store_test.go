package store

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

// A pace that was refused down to its floor is whole again in the stated time though
// nothing is sent, and never leaves its bounds whatever happens.
func TestPaceRecoversWithTime(t *testing.T) {
	p := newPaced(&config.State{RPS: 120, WriteRPS: 25, TxnOps: 8})
	now := time.Unix(100, 0)
	for range 50 {
		p.took(now, true)
	}
	if got := p.limiter.Limit(); got != p.least {
		t.Fatalf("refused fifty times: %v, not the floor %v", got, p.least)
	}
	p.recover(now.Add(paceRecovery / 2))
	if got := p.limiter.Limit(); got < p.top/2 || got >= p.top {
		t.Errorf("after half the time: %v of %v", got, p.top)
	}
	p.recover(now.Add(paceRecovery))
	if got := p.limiter.Limit(); got < p.top*0.99 {
		t.Errorf("after the whole time: %v of %v", got, p.top)
	}
}

func TestPaceStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &config.State{RPS: 120, WriteRPS: 40, TxnOps: 8}
		s.Next.WriteRPS = rapid.SampledFrom([]float64{0, 18}).Draw(t, "coming")
		p := newPaced(s)
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 3000).Draw(t, "ms")) * time.Millisecond)
			p.took(now, rapid.Bool().Draw(t, "refused"))
			if got := p.limiter.Limit(); got < min(p.least, p.low)-1e-9 || got > p.top+rate.Limit(1e-9) {
				t.Fatalf("%v outside of %v to %v", got, p.least, p.top)
			}
		}
	})
}
