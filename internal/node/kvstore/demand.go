package kvstore

import (
	"math"
	"sync"
	"time"
)

// demandWindow is the time constant of demand's moving average, in seconds.
const demandWindow = 3

// demand is an exponentially weighted moving average of an event rate. It is safe for concurrent use.
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

// rate returns the average in events per second.
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
