package emulator

import (
	"math"
	"math/rand/v2"

	"coralhub/wire"
)

// listInterval is how often the model takes a list of the machines.
const listInterval = Second / 2

// neverUp is the time at which a machine starts that never does.
const neverUp = math.MaxInt64 / 2

// Model is how real machines and a real cloud differ from their specification. A nil Model changes
// nothing.
type Model struct {
	Rand       *rand.Rand
	BootSpread float64 // boots take between 1-BootSpread and 1+BootSpread of the usual time
	BootNever  float64 // the share of the machines that never start
	ListLag    Micros  // lists are so old, sometimes up to half as much more or less, and may go back in time
	Speed      float64 // machines are faster or slower by up to this share
	// SpotCapacity is how many spot instances there are in a zone.
	SpotCapacity map[string]int
	// BootTimes multiplies the boot time of machines rented from now on; 0 is 1.
	BootTimes float64
}

// listing is a list of the machines at a time.
type listing struct {
	at       Micros
	machines []wire.Machine
}

// rented draws the boot time and the speed of a new machine.
func (m *Model) rented(now Micros, c *Cloud, machine *Machine) {
	if m == nil {
		return
	}
	boot := float64(c.Boot) * (1 + m.BootSpread*(2*m.Rand.Float64()-1))
	if m.BootTimes > 0 {
		boot *= m.BootTimes
	}
	machine.Up = now + Micros(boot)
	if m.Rand.Float64() < m.BootNever {
		machine.Up = neverUp
	}
	machine.leaseFrom = machine.Up
	machine.Speed = 1 + m.Speed*(2*m.Rand.Float64()-1)
}

// list returns a list of the machines that lags behind.
func (m *Model) list(now Micros, c *Cloud) []wire.Machine {
	if n := len(c.listed); n == 0 || now-c.listed[n-1].at >= listInterval {
		c.listed = append(c.listed, listing{now, c.listNow(now)})
	}
	lag := Micros(float64(m.ListLag) * (0.5 + m.Rand.Float64()))
	for len(c.listed) > 2 && now-c.listed[1].at > 2*m.ListLag {
		c.listed = c.listed[1:]
	}
	latest := c.listed[0]
	for _, l := range c.listed {
		if now-l.at >= lag {
			latest = l
		}
	}
	return latest.machines
}
