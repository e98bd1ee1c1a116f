package faulttest

import (
	"time"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
)

// stateDelayUnit is the delay of each answer of the state service for the fault state_slow with a factor of
// 1.
const stateDelayUnit = 100 * time.Millisecond

// serviceFaults applies the faults of the state service and the cloud.
type serviceFaults struct {
	servers *emulator.Servers
	quotas  config.Cluster // the deployment with the regular quotas
}

func (sf *serviceFaults) takeStateDown(*Fault) undoFault {
	setDown := func(down bool) {
		sf.servers.WithLock(func() { sf.servers.State.SetDown(sf.servers.Now(), down) })
	}
	setDown(true)
	return func() { setDown(false) }
}

func (sf *serviceFaults) slowState(f *Fault) undoFault {
	sf.servers.SetStateDelay(time.Duration(f.Factor * float64(stateDelayUnit)))
	return func() { sf.servers.SetStateDelay(0) }
}

func (sf *serviceFaults) lowerStateQuotas(f *Fault) undoFault {
	sf.servers.SetQuotas(sf.quotas.State.RPS*f.Factor, sf.quotas.State.WriteRPS*f.Factor, sf.quotas.Cloud.RPS)
	return func() { sf.servers.SetQuotas(sf.quotas.State.RPS, sf.quotas.State.WriteRPS, sf.quotas.Cloud.RPS) }
}

// repeatWrites executes Count copies of a share Factor of the executed transactions.
func (sf *serviceFaults) repeatWrites(f *Fault) undoFault {
	sf.servers.RepeatWrites(repeatsOf(f))
	return func() { sf.servers.RepeatWrites(emulator.Repeats{}) }
}

func (sf *serviceFaults) takeCloudDown(*Fault) undoFault {
	sf.withEnvironment(func(e *emulator.Environment) { e.CloudDown = true })
	return func() {
		sf.withEnvironment(func(e *emulator.Environment) { e.CloudDown = false })
	}
}

// exhaustCloud sets the capacity of the cloud for on-demand machines to 0. Capacity that is released during
// the fault can be rented again at once.
func (sf *serviceFaults) exhaustCloud(*Fault) undoFault {
	withheld := map[string]int{}
	sf.withEnvironment(func(e *emulator.Environment) {
		for zone, n := range e.Capacity {
			withheld[zone] = n
			e.Capacity[zone] = 0
		}
	})
	return func() {
		sf.withEnvironment(func(e *emulator.Environment) {
			for zone, n := range withheld {
				e.Capacity[zone] += n
			}
		})
	}
}

func (sf *serviceFaults) delayBoots(f *Fault) undoFault {
	sf.withEnvironment(func(e *emulator.Environment) { e.Model.BootTimeFactor = f.Factor })
	return func() {
		sf.withEnvironment(func(e *emulator.Environment) { e.Model.BootTimeFactor = 1 })
	}
}

// withEnvironment calls f with exclusive access to the emulated environment.
func (sf *serviceFaults) withEnvironment(f func(*emulator.Environment)) {
	sf.servers.WithLock(func() { f(sf.servers.Environment) })
}
