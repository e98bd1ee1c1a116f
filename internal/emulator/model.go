package emulator

import (
	"math"
	"math/rand/v2"

	"coralhub/wire"
)

// snapshotInterval is the minimum time between two snapshots of the list of machines.
const snapshotInterval = Second / 2

// neverStarts is the start time of a machine that never starts.
const neverStarts = math.MaxInt64 / 2

// Model makes machines and the cloud deviate from their specification as real ones do. A nil Model
// changes nothing.
type Model struct {
	Rand            *rand.Rand
	BootSpread      float64 // boots take between 1-BootSpread and 1+BootSpread times the usual time
	BootFailureRate float64 // fraction of the machines that never start
	ListLag         Micros  // lag of lists, which varies by up to half of it; a list may be older than the one before
	SpeedSpread     float64 // maximum fraction by which a machine is faster or slower than usual
	// SpotCapacity is the maximum number of spot instances rented at a time, by zone.
	SpotCapacity map[string]int
	// BootTimeFactor is a factor on the boot time of machines rented from now on; 0 is treated as 1.
	BootTimeFactor float64
}

// listSnapshot is the list of the machines at an earlier time.
type listSnapshot struct {
	at       Micros
	machines []wire.Machine
}

// rented draws the boot time and the speed of a newly rented machine.
func (m *Model) rented(now Micros, c *Cloud, machine *Machine) {
	if m == nil {
		return
	}
	boot := float64(c.BootTime) * (1 + m.BootSpread*(2*m.Rand.Float64()-1))
	if m.BootTimeFactor > 0 {
		boot *= m.BootTimeFactor
	}
	machine.StartsAt = now + Micros(boot)
	if m.Rand.Float64() < m.BootFailureRate {
		machine.StartsAt = neverStarts
	}
	machine.leaseStart = machine.StartsAt
	machine.Speed = 1 + m.SpeedSpread*(2*m.Rand.Float64()-1)
}

// list returns the list of the machines as of an earlier time, which is drawn from ListLag.
func (m *Model) list(now Micros, c *Cloud) []wire.Machine {
	if n := len(c.listSnapshots); n == 0 || now-c.listSnapshots[n-1].at >= snapshotInterval {
		c.listSnapshots = append(c.listSnapshots, listSnapshot{now, c.listNow(now)})
	}
	lag := Micros(float64(m.ListLag) * (0.5 + m.Rand.Float64()))
	for len(c.listSnapshots) > 2 && now-c.listSnapshots[1].at > 2*m.ListLag {
		c.listSnapshots = c.listSnapshots[1:]
	}
	latest := c.listSnapshots[0]
	for _, l := range c.listSnapshots {
		if now-l.at >= lag {
			latest = l
		}
	}
	return latest.machines
}
