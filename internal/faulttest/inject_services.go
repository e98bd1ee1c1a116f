package faulttest

import (
	"time"

	"coralhub/internal/emulator"
)

// stateDelayUnit is the delay of each answer of the state service at a factor of 1.
const stateDelayUnit = 100 * time.Millisecond

func (r *run) takeStateDown(*Fault) func() {
	s := r.cluster.Servers
	setDown := func(down bool) {
		s.With(func() { s.State.SetDown(s.Now(), down) })
	}
	setDown(true)
	return func() { setDown(false) }
}

func (r *run) slowState(f *Fault) func() {
	s := r.cluster.Servers
	s.Delay(time.Duration(f.Factor * float64(stateDelayUnit)))
	return func() { s.Delay(0) }
}

func (r *run) lowerStateQuotas(f *Fault) func() {
	s := r.cluster.Servers
	quotas := r.deployment()
	s.SetQuotas(quotas.State.RPS*f.Factor, quotas.State.WriteRPS*f.Factor, quotas.Cloud.RPS)
	return func() { s.SetQuotas(quotas.State.RPS, quotas.State.WriteRPS, quotas.Cloud.RPS) }
}

func (r *run) takeCloudDown(*Fault) func() {
	r.withEnvironment(func(e *emulator.Environment) { e.CloudOff = true })
	return func() {
		r.withEnvironment(func(e *emulator.Environment) { e.CloudOff = false })
	}
}

// exhaustCloud has the cloud rent no more ordinary machines. What is released meanwhile is
// available again at once.
func (r *run) exhaustCloud(*Fault) func() {
	withheld := map[string]int{}
	r.withEnvironment(func(e *emulator.Environment) {
		for zone, n := range e.Capacity {
			withheld[zone] = n
			e.Capacity[zone] = 0
		}
	})
	return func() {
		r.withEnvironment(func(e *emulator.Environment) {
			for zone, n := range withheld {
				e.Capacity[zone] += n
			}
		})
	}
}

func (r *run) delayBoots(f *Fault) func() {
	r.withEnvironment(func(e *emulator.Environment) { e.Model.BootTimes = f.Factor })
	return func() {
		r.withEnvironment(func(e *emulator.Environment) { e.Model.BootTimes = 1 })
	}
}

// withEnvironment calls f while nothing else happens to the emulated environment.
func (r *run) withEnvironment(f func(*emulator.Environment)) {
	s := r.cluster.Servers
	s.With(func() { f(s.Environment) })
}
