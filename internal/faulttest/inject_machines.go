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

// machineFaults are the faults of machines and their workers.
type machineFaults struct {
	servers  *emulator.Servers
	leaseS   float64 // of workers
	progress progress
}

func (mf *machineFaults) hangMachines(f *Fault) undoFault {
	return mf.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.Hang = true },
		func(m *emulator.Machine) { m.Hang = false })
}

// cutMachinesInbound has nothing reach the machines while their heartbeats still arrive.
func (mf *machineFaults) cutMachinesInbound(f *Fault) undoFault {
	mode := string(f.proxyMode())
	return mf.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.InboundLost = mode },
		func(m *emulator.Machine) { m.InboundLost = "" })
}

func (mf *machineFaults) restartMachines(f *Fault) undoFault {
	environment := mf.servers.Environment
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
		environment.Restart(now, restartAtLeast+rand.Int64N(restartSpread), m, false)
	}, nil)
}

// failTasksOnMachines has every task fail that starts on the machines from now on.
func (mf *machineFaults) failTasksOnMachines(f *Fault) undoFault {
	environment := mf.servers.Environment
	return mf.affectMachines(f,
		func(m *emulator.Machine, now emulator.Micros) { environment.Fails[m.Name] = now },
		func(m *emulator.Machine) { delete(environment.Fails, m.Name) })
}

func (mf *machineFaults) slowMachines(f *Fault) undoFault {
	return mf.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.Speed /= f.Factor },
		func(m *emulator.Machine) { m.Speed *= f.Factor })
}

func (mf *machineFaults) killMachines(f *Fault) undoFault {
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now, true) }, nil)
}

// repeatHeartbeats has copies of heartbeats arrive, up to so many leases late, at any node.
func (mf *machineFaults) repeatHeartbeats(f *Fault) undoFault {
	mf.servers.Repeat(f.Factor * mf.leaseS)
	return func() { mf.servers.Repeat(0) }
}

func (mf *machineFaults) recallSpotMachines(f *Fault) undoFault {
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
		if m.Spot {
			m.Recall(now+spotNotice, rand.IntN(silentOneIn) == 0)
		}
	}, nil)
}

func (mf *machineFaults) recallMachines(f *Fault) undoFault {
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now+recallNotice, false) }, nil)
}

// affectMachines applies an effect to as many busy machines as the fault says, to all machines if
// it gives no number, and returns the function that undoes it; nil if undo is.
func (mf *machineFaults) affectMachines(f *Fault, apply machineEffect, undo func(*emulator.Machine)) undoFault {
	var affected []string
	mf.servers.With(func() {
		for _, name := range mf.servers.Environment.Names() {
			m := mf.servers.Environment.Machines[name]
			wanted := f.Count == 0 || len(affected) < f.Count
			inTarget := f.Target == "" || f.Target == m.Zone
			if wanted && inTarget && mf.servers.Now() >= m.Up && (m.Tasks() > 0 || f.Count == 0) {
				affected = append(affected, name)
				apply(m, mf.servers.Now())
			}
		}
	})
	mf.progress.logf("%s: %d machines", f.Kind, len(affected))
	if undo == nil {
		return nil
	}
	return func() {
		mf.servers.With(func() {
			for _, name := range affected {
				if m := mf.servers.Environment.Machines[name]; m != nil {
					undo(m)
				}
			}
		})
	}
}
