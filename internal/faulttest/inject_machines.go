package faulttest

import (
	"math/rand/v2"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
)

const (
	// restartAtLeast and restartSpread bound how long a machine that restarts is away, in
	// microseconds: at least the first, and less than both together.
	restartAtLeast = 100_000
	restartSpread  = 800_000

	// spotNotice is how long before a spot machine of a wave is taken back, and silentOneIn the
	// share of these machines that get no notice: one in so many.
	spotNotice  = 2 * config.Second
	silentOneIn = 3

	// recallNotice is the notice of an announced recall.
	recallNotice = 4 * config.Second
)

// machineEffect changes a machine at a time.
type machineEffect func(m *emulator.Machine, now emulator.Micros)

func (r *run) hangMachines(f *Fault) func() {
	return r.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.Hang = true },
		func(m *emulator.Machine) { m.Hang = false })
}

// cutMachinesInbound has nothing reach the machines while their heartbeats still arrive.
func (r *run) cutMachinesInbound(f *Fault) func() {
	mode := string(f.proxyMode())
	return r.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.InboundLost = mode },
		func(m *emulator.Machine) { m.InboundLost = "" })
}

func (r *run) restartMachines(f *Fault) func() {
	environment := r.cluster.Servers.Environment
	return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
		environment.Restart(now, restartAtLeast+rand.Int64N(restartSpread), m, false)
	}, nil)
}

// failTasksOnMachines has every task fail that starts on the machines from now on.
func (r *run) failTasksOnMachines(f *Fault) func() {
	environment := r.cluster.Servers.Environment
	return r.affectMachines(f,
		func(m *emulator.Machine, now emulator.Micros) { environment.Fails[m.Name] = now },
		func(m *emulator.Machine) { delete(environment.Fails, m.Name) })
}

func (r *run) slowMachines(f *Fault) func() {
	return r.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.Speed /= f.Factor },
		func(m *emulator.Machine) { m.Speed *= f.Factor })
}

func (r *run) killMachines(f *Fault) func() {
	return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now, true) }, nil)
}

// repeatHeartbeats has copies of heartbeats arrive, up to so many leases late, at any node.
func (r *run) repeatHeartbeats(f *Fault) func() {
	s := r.cluster.Servers
	s.Repeat(f.Factor * r.scenario.Deploy.LeaseS)
	return func() { s.Repeat(0) }
}

func (r *run) recallSpotMachines(f *Fault) func() {
	return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
		if m.Spot {
			m.Recall(now+spotNotice, rand.IntN(silentOneIn) == 0)
		}
	}, nil)
}

func (r *run) recallMachines(f *Fault) func() {
	return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now+recallNotice, false) }, nil)
}

// affectMachines applies an effect to as many busy machines as the fault says, to all machines if
// it gives no number, and returns the function that undoes it; nil if undo is.
func (r *run) affectMachines(f *Fault, apply machineEffect, undo func(*emulator.Machine)) func() {
	var affected []string
	s := r.cluster.Servers
	s.With(func() {
		for _, name := range s.Environment.Names() {
			m := s.Environment.Machines[name]
			wanted := f.Count == 0 || len(affected) < f.Count
			inTarget := f.Target == "" || f.Target == m.Zone
			if wanted && inTarget && s.Now() >= m.Up && (m.Tasks() > 0 || f.Count == 0) {
				affected = append(affected, name)
				apply(m, s.Now())
			}
		}
	})
	r.logf("%s: %d machines", f.Kind, len(affected))
	if undo == nil {
		return nil
	}
	return func() {
		s.With(func() {
			for _, name := range affected {
				if m := s.Environment.Machines[name]; m != nil {
					undo(m)
				}
			}
		})
	}
}
