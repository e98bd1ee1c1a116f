package kvstore

import (
	"math"
	"sync"
	"time"
)

// demandWindow is the time constant, in seconds, of the mean that demand keeps.
const demandWindow = 3

// demand is an exponentially weighted mean of how often something is asked for. It may be used from any
// goroutine.
type demand struct {
	mu        sync.Mutex
	decayedAt time.Time
	perSecond float64
}

func (d *demand) add(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.perSecond += 1.0 / demandWindow
}

// rate is the mean in events a second.
func (d *demand) rate(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.perSecond
}

func (d *demand) decay(now time.Time) {
	if passed := now.Sub(d.decayedAt).Seconds(); passed > 0 {
		d.perSecond *= math.Exp(-passed / demandWindow)
		d.decayedAt = now
	}
}
