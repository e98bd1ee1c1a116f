package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"coralhub/internal/wait"
)

// The kinds of faults, as scenario files name them in Fault.Kind.
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
	faultSpotWave           = "spot_wave"
	faultMachineRecall      = "drain"
)

// injector applies a fault and returns the function that undoes it; nil if the fault can't be
// undone.
type injector func(r *run, f *Fault) (undo func())

// injectors holds the injector of each kind of fault.
var injectors = map[string]injector{
	faultNodeKill:           (*run).killNodes,
	faultNodeStop:           (*run).stopNodes,
	faultNodeFromState:      (*run).cutNodesFromState,
	faultNodeFromPeers:      (*run).cutNodesFromPeers,
	faultNodeFromUsers:      (*run).cutNodesFromUsers,
	faultNodeFromWorkers:    (*run).cutNodesFromWorkers,
	faultZoneCut:            (*run).cutZone,
	faultStateOut:           (*run).takeStateDown,
	faultStateSlow:          (*run).slowState,
	faultStateRefuses:       (*run).lowerStateQuotas,
	faultCloudOut:           (*run).takeCloudDown,
	faultCloudFull:          (*run).exhaustCloud,
	faultBootsLate:          (*run).delayBoots,
	faultMachineHang:        (*run).hangMachines,
	faultMachineInboundLost: (*run).cutMachinesInbound,
	faultMachineRestart:     (*run).restartMachines,
	faultMachineFailsTasks:  (*run).failTasksOnMachines,
	faultMachineSlow:        (*run).slowMachines,
	faultMachineDie:         (*run).killMachines,
	faultHeartbeatsRepeated: (*run).repeatHeartbeats,
	faultSpotWave:           (*run).recallSpotMachines,
	faultMachineRecall:      (*run).recallMachines,
}

// injectFault applies a fault and returns the function that undoes it; nil if there is none.
func (r *run) injectFault(f *Fault) (undo func()) {
	inject := injectors[f.Kind]
	if inject == nil {
		return nil
	}
	return inject(r, f)
}

// scheduledAction is the beginning or the end of a fault.
type scheduledAction struct {
	at time.Duration // since the run began
	do func()
}

// injectFaults applies and undoes the faults of the scenario at their times, until ctx ends.
func (r *run) injectFaults(ctx context.Context, began time.Time) {
	for _, action := range r.faultSchedule() {
		if !wait.For(ctx, time.Until(began.Add(action.at))) {
			return
		}
		action.do()
	}
}

// faultSchedule lists the beginnings and ends of all faults in the order of their times; those
// of the same time stay in the order of the scenario.
func (r *run) faultSchedule() []scheduledAction {
	var schedule []scheduledAction
	for i := range r.scenario.Faults {
		f := &r.scenario.Faults[i]
		if f.EveryS <= 0 {
			schedule = append(schedule, r.scheduleFault(f, f.AtS, f.ForS)...)
			continue
		}
		for at := f.AtS; at <= f.AtS+f.ForS; at += f.EveryS {
			schedule = append(schedule, r.scheduleFault(f, at, 0)...)
		}
	}
	slices.SortStableFunc(schedule, func(a, b scheduledAction) int { return int(a.at - b.at) })
	return schedule
}

// scheduleFault returns the beginning of a fault at a time, and its end if it lasts; both times
// are in seconds.
func (r *run) scheduleFault(f *Fault, at, lasts float64) []scheduledAction {
	var undo func()
	begin := scheduledAction{wait.Seconds(at), func() {
		r.mark(f, "begins")
		undo = r.injectFault(f)
	}}
	if lasts <= 0 {
		return []scheduledAction{begin}
	}
	end := scheduledAction{wait.Seconds(at + lasts), func() {
		if undo != nil {
			r.mark(f, "ends")
			undo()
		}
	}}
	return []scheduledAction{begin, end}
}

// mark notes in the result that a fault begins or ends.
func (r *run) mark(f *Fault, what string) {
	text := f.Kind
	if f.Target != "" {
		text += " " + f.Target
	}
	r.logf("%s %s", text, what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: inSeconds(r.now()), What: fmt.Sprint(text, " ", what)})
}

// inSeconds converts microseconds.
func inSeconds(micros int64) float64 { return float64(micros) / 1e6 }
