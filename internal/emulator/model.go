package emulator

import (
	"math"
	"math/rand/v2"

	"coralhub/wire"
)

// defaultFetchGBs is the rate at which a machine fetches images, in GB a second.
const defaultFetchGBs = 0.4

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
func (m *Model) rented(now Micros, e *Environment, machine *Machine) {
	if m == nil {
		return
	}
	boot := float64(e.Boot) * (1 + m.BootSpread*(2*m.Rand.Float64()-1))
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
func (m *Model) list(now Micros, e *Environment) []wire.Machine {
	if n := len(e.listed); n == 0 || now-e.listed[n-1].at >= listInterval {
		e.listed = append(e.listed, listing{now, e.listNow(now)})
	}
	lag := Micros(float64(m.ListLag) * (0.5 + m.Rand.Float64()))
	for len(e.listed) > 2 && now-e.listed[1].at > 2*m.ListLag {
		e.listed = e.listed[1:]
	}
	latest := e.listed[0]
	for _, l := range e.listed {
		if now-l.at >= lag {
			latest = l
		}
	}
	return latest.machines
}

// hasCapacity reports whether one more machine can be rented, after so many in the same request.
func (e *Environment) hasCapacity(r wire.RentalRequest, rented int) bool {
	if !r.Spot {
		return e.Capacity[r.Zone] > 0
	}
	if e.Model == nil {
		return rented == 0
	}
	inZone := 0
	for _, m := range e.Machines {
		if m.Spot && m.Zone == r.Zone {
			inZone++
		}
	}
	return inZone < e.Model.SpotCapacity[r.Zone]
}

// hasImage reports whether a machine has the image of a job, which it fetches once for all tasks. The
// first call starts the fetch.
func (m *Machine) hasImage(now Micros, j *SubmittedJob) bool {
	ready, known := m.images[j.Image]
	if !known {
		rate := defaultFetchGBs
		if j.FetchGBs > 0 {
			rate = j.FetchGBs
		}
		ready = now + Micros(j.ImageGB/rate*float64(Second))
		m.images[j.Image] = ready
	}
	return now >= ready
}
