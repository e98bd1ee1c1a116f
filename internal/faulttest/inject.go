package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/emulator"
	"coralhub/internal/wait"
)

// The kinds of faults: values of Fault.Kind in scenario files.
const (
	faultNodeKill           = "node_kill"
	faultNodeStop           = "node_stop"
	faultNodeFromState      = "node_from_state"
	faultNodeFromPeers      = "node_from_peers"
	faultNodeFromUsers      = "node_from_users"
	faultNodeFromWorkers    = "node_from_workers"
	faultZoneCut            = "zone_cut"
	faultStateOut           = "state_out"
	faultStateSlow          = "state_slow"
	faultStateRefuses       = "state_refuses"
	faultCloudOut           = "cloud_out"
	faultCloudFull          = "cloud_full"
	faultBootsLate          = "boots_late"
	faultMachineHang        = "machine_hang"
	faultMachineInboundLost = "machine_deaf"
	faultMachineRestart     = "machine_restart"
	faultMachineFailsTasks  = "machine_sick"
	faultMachineSlow        = "machine_slow"
	faultMachineDie         = "machine_die"
	faultHeartbeatsRepeated = "reports_again"
	faultCallsRepeated      = "calls_again"
	faultWritesRepeated     = "writes_again"
	faultSpotWave           = "spot_wave"
	faultMachineRecall      = "drain"
)

// undoFault ends a fault. It is nil for a fault that can't be undone.
type undoFault func()

// applyFault applies a fault and returns the function that ends it.
type applyFault func(f *Fault) undoFault

// injectors maps the kind of a fault to the function that applies it.
func injectors(nodes *nodeFaults, services *serviceFaults, machines *machineFaults) map[string]applyFault {
	return map[string]applyFault{
		faultNodeKill:           nodes.killNodes,
		faultNodeStop:           nodes.stopNodes,
		faultNodeFromState:      nodes.cutNodesFromState,
		faultNodeFromPeers:      nodes.cutNodesFromPeers,
		faultNodeFromUsers:      nodes.cutNodesFromUsers,
		faultNodeFromWorkers:    nodes.cutNodesFromWorkers,
		faultZoneCut:            nodes.cutZone,
		faultStateOut:           services.takeStateDown,
		faultStateSlow:          services.slowState,
		faultStateRefuses:       services.lowerStateQuotas,
		faultCloudOut:           services.takeCloudDown,
		faultCloudFull:          services.exhaustCloud,
		faultBootsLate:          services.delayBoots,
		faultMachineHang:        machines.hangMachines,
		faultMachineInboundLost: machines.cutMachinesInbound,
		faultMachineRestart:     machines.restartMachines,
		faultMachineFailsTasks:  machines.failTasksOnMachines,
		faultMachineSlow:        machines.slowMachines,
		faultMachineDie:         machines.killMachines,
		faultHeartbeatsRepeated: machines.repeatHeartbeats,
		faultCallsRepeated:      machines.repeatCalls,
		faultWritesRepeated:     services.repeatWrites,
		faultSpotWave:           machines.recallSpotMachines,
		faultMachineRecall:      machines.recallMachines,
	}
}

// faultInjector applies the faults of a scenario at their times and records them in the history.
type faultInjector struct {
	faults   []Fault
	apply    map[string]applyFault // by kind
	history  *history
	now      func() emulator.Micros // clock of the emulated services
	progress progress
}

func newFaultInjector(c *cluster.Cluster, s *Scenario, h *history, failures *harness, p progress) *faultInjector {
	nodes := &nodeFaults{cluster: c, harness: failures}
	services := &serviceFaults{servers: c.Servers, quotas: s.deployment()}
	machines := &machineFaults{servers: c.Servers, leaseS: s.Deploy.LeaseS, progress: p}
	return &faultInjector{
		faults:   s.Faults,
		apply:    injectors(nodes, services, machines),
		history:  h,
		now:      c.Servers.Now,
		progress: p,
	}
}

// inject applies a fault and returns the function that undoes it. It returns nil if the kind is unknown or
// the fault can't be undone.
func (i *faultInjector) inject(f *Fault) undoFault {
	apply := i.apply[f.Kind]
	if apply == nil {
		return nil
	}
	return apply(f)
}

// scheduledAction is the beginning or the end of a fault.
type scheduledAction struct {
	at time.Duration // time since the run began
	do func()
}

// injectAll applies and undoes the faults of the scenario at their times. It returns when all are done or
// ctx ends.
func (i *faultInjector) injectAll(ctx context.Context, began time.Time) {
	for _, action := range i.schedule() {
		if !wait.For(ctx, time.Until(began.Add(action.at))) {
			return
		}
		action.do()
	}
}

// schedule returns the beginnings and ends of all faults in order of time. Actions at the same time keep
// the order of the scenario.
func (i *faultInjector) schedule() []scheduledAction {
	var schedule []scheduledAction
	for n := range i.faults {
		f := &i.faults[n]
		if f.EveryS <= 0 {
			schedule = append(schedule, i.scheduleFault(f, f.AtS, f.ForS)...)
			continue
		}
		for at := f.AtS; at <= f.AtS+f.ForS; at += f.EveryS {
			schedule = append(schedule, i.scheduleFault(f, at, 0)...)
		}
	}
	slices.SortStableFunc(schedule, func(a, b scheduledAction) int { return int(a.at - b.at) })
	return schedule
}

// scheduleFault returns the beginning of a fault and, if its duration is above 0, its end. at and lasts are
// in seconds.
func (i *faultInjector) scheduleFault(f *Fault, at, lasts float64) []scheduledAction {
	var undo undoFault
	begin := scheduledAction{wait.Seconds(at), func() {
		i.recordMark(f, "begins")
		undo = i.inject(f)
	}}
	if lasts <= 0 {
		return []scheduledAction{begin}
	}
	end := scheduledAction{wait.Seconds(at + lasts), func() {
		if undo != nil {
			i.recordMark(f, "ends")
			undo()
		}
	}}
	return []scheduledAction{begin, end}
}

// recordMark reports the beginning or the end of a fault to the progress output and records it in the
// history.
func (i *faultInjector) recordMark(f *Fault, what string) {
	text := f.Kind
	if f.Target != "" {
		text += " " + f.Target
	}
	i.progress.logf("%s %s", text, what)
	i.history.addMark(Mark{At: inSeconds(i.now()), What: fmt.Sprint(text, " ", what)})
}

// inSeconds converts microseconds to seconds.
func inSeconds(micros int64) float64 { return float64(micros) / 1e6 }
