package faulttest

import (
	"math/rand/v2"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
)

const (
	// minDowntime and downtimeRange bound how long a machine that restarts is down, in microseconds: at
	// least minDowntime, and less than the sum of both.
	minDowntime   = 100_000
	downtimeRange = 800_000

	// spotNotice is the time between the fault spot_wave and the recall of the machines. On average one in
	// noNoticeOneIn of them gets no notice.
	spotNotice    = 2 * config.Second
	noNoticeOneIn = 3

	// recallNotice is the time between the fault drain and the recall of the machines, which get notice.
	recallNotice = 4 * config.Second
)

// machineEffect changes a machine at the time now.
type machineEffect func(m *emulator.Machine, now emulator.Micros)

// machineFaults applies the faults of machines and their workers.
type machineFaults struct {
	servers  *emulator.Servers
	leaseS   float64 // lease of the workers, in seconds
	progress progress
}

func (mf *machineFaults) hangMachines(f *Fault) undoFault {
	return mf.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.Hanging = true },
		func(m *emulator.Machine) { m.Hanging = false })
}

// cutMachinesInbound blocks all data to the machines, while their heartbeats still reach the nodes.
func (mf *machineFaults) cutMachinesInbound(f *Fault) undoFault {
	mode := string(f.proxyMode())
	return mf.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.InboundLost = mode },
		func(m *emulator.Machine) { m.InboundLost = "" })
}

func (mf *machineFaults) restartMachines(f *Fault) undoFault {
	environment := mf.servers.Environment
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
		environment.Restart(now, minDowntime+rand.Int64N(downtimeRange), m, false)
	}, nil)
}

// failTasksOnMachines makes every task fail that starts on the machines after the fault begins.
func (mf *machineFaults) failTasksOnMachines(f *Fault) undoFault {
	environment := mf.servers.Environment
	return mf.affectMachines(f,
		func(m *emulator.Machine, now emulator.Micros) { environment.FailingSince[m.Name] = now },
		func(m *emulator.Machine) { delete(environment.FailingSince, m.Name) })
}

func (mf *machineFaults) slowMachines(f *Fault) undoFault {
	return mf.affectMachines(f,
		func(m *emulator.Machine, _ emulator.Micros) { m.Speed /= f.Factor },
		func(m *emulator.Machine) { m.Speed *= f.Factor })
}

func (mf *machineFaults) killMachines(f *Fault) undoFault {
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now, true) }, nil)
}

// repeatHeartbeats delivers copies of heartbeats to any node, up to Factor leases late.
func (mf *machineFaults) repeatHeartbeats(f *Fault) undoFault {
	mf.servers.RepeatHeartbeats(f.Factor * mf.leaseS)
	return func() { mf.servers.RepeatHeartbeats(0) }
}

// repeatCalls delivers Count copies of a share Factor of the executed direct calls.
func (mf *machineFaults) repeatCalls(f *Fault) undoFault {
	mf.servers.RepeatCalls(repeatsOf(f))
	return func() { mf.servers.RepeatCalls(emulator.Repeats{}) }
}

// repeatsOf returns the repeats that a fault describes.
func repeatsOf(f *Fault) emulator.Repeats {
	return emulator.Repeats{Share: f.Factor, Copies: max(f.Count, 1)}
}

func (mf *machineFaults) recallSpotMachines(f *Fault) undoFault {
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
		if m.Spot {
			m.Recall(now+spotNotice, rand.IntN(noNoticeOneIn) == 0)
		}
	}, nil)
}

func (mf *machineFaults) recallMachines(f *Fault) undoFault {
	return mf.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now+recallNotice, false) }, nil)
}

// affectMachines applies an effect to the first Count machines of the target that have tasks, or to all
// machines of the target if Count is 0. Machines that are still booting are skipped. It returns the
// function that undoes the effect, or nil if undo is nil.
func (mf *machineFaults) affectMachines(f *Fault, apply machineEffect, undo func(*emulator.Machine)) undoFault {
	var affected []string
	mf.servers.WithLock(func() {
		for _, name := range mf.servers.Environment.MachineNames() {
			m := mf.servers.Environment.Machines[name]
			wanted := f.Count == 0 || len(affected) < f.Count
			inTarget := f.Target == "" || f.Target == m.Zone
			if wanted && inTarget && mf.servers.Now() >= m.StartsAt && (m.Tasks() > 0 || f.Count == 0) {
				affected = append(affected, name)
				apply(m, mf.servers.Now())
			}
		}
	})
	mf.progress.logf("%s: %d machines affected", f.Kind, len(affected))
	if undo == nil {
		return nil
	}
	return func() {
		mf.servers.WithLock(func() {
			for _, name := range affected {
				if m := mf.servers.Environment.Machines[name]; m != nil {
					undo(m)
				}
			}
		})
	}
}
