package leader

import (
	"testing"
	"time"
)

// Guards against a setting for few moves that allows none at all, because the moves that may be made at once are
// rounded down to 0.
func TestFewMovesPerSecondAllowOne(t *testing.T) {
	for perSecond, want := range map[float64]int{1e-300: 1, 0.01: 1, 0.05: 1, 0.25: 3, 2: 24, 100: 1200} {
		limiter := newMoveLimiter(perSecond)
		if got := int(limiter.TokensAt(time.UnixMicro(1))); got != want {
			t.Errorf("%d moves at once with %v per second, want %d", got, perSecond, want)
		}
	}
}
