package emulator

import (
	"fmt"
	"maps"
	"slices"

	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Environment emulates the cloud and the workers on its machines. It checks the rules of the protocol
// and notes in Broken what violates them. It is not safe for concurrent use.
type Environment struct {
	Types    []wire.MachineType
	Lease    Micros // of workers: how long tasks go on without an answered heartbeat
	GangWait Micros // how long a task of a gang waits for the others
	CancelIn Micros // how long tasks may remain after a user was answered that their job is cancelled
	Boot     Micros
	Capacity map[string]int           // ordinary machines that can still be rented, by zone
	Jobs     map[string]*SubmittedJob // what users have submitted
	Machines map[string]*Machine
	Fails    map[string]Micros // machines on which every task fails that starts after that time
	// ReportEvery is the heartbeat interval of workers; 0 is a second.
	ReportEvery Micros
	// Unlisted is how long a new machine is missing from lists; it may be up before.
	Unlisted Micros
	// HangKeeps has a machine that hangs beyond its lease keep its tasks until it goes on, and end them
	// then: one reading of the protocol. Otherwise they end with the lease, and the machine may go on
	// within its lease alone.
	HangKeeps bool
	CloudOff  bool     // an outage: the cloud answers 503
	Broken    []string // the violations found
	Rented    int      // how many machines have been rented
	// Model has machines differ, boot late, fetch images and lose spot instances; with nil everything
	// takes as long as it is specified to.
	Model *Model
	// Watch is called with what happens on machines; it may be nil.
	Watch func(invariants.Event)

	nextMachine int                       // number of the next machine's name
	rentals     map[string][]string       // machines by the name of the request, which may be repeated
	done        map[string]map[int]bool   // completed tasks, by job
	saved       map[string]map[int]Micros // checkpointed progress, by job and task, see checkpointKey
	listed      []listing                 // the lists of the last seconds, see Model.list
}

// NewEnvironment returns an environment with one machine type and two zones, a and b.
func NewEnvironment() *Environment {
	return &Environment{
		Types: []wire.MachineType{{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 100, FetchGBs: 1,
			Price: 4, SpotPrice: 2, BootS: 2, Zones: []string{"a", "b"}}},
		Lease:    4 * Second,
		GangWait: 10 * Second,
		CancelIn: 20 * Second,
		Boot:     2 * Second,
		Capacity: map[string]int{"a": 8, "b": 8},
		Jobs:     map[string]*SubmittedJob{},
		Machines: map[string]*Machine{},
		Fails:    map[string]Micros{},
		rentals:  map[string][]string{},
		done:     map[string]map[int]bool{},
	}
}

// violated notes a violation of a rule.
func (e *Environment) violated(now Micros, format string, args ...any) {
	e.Broken = append(e.Broken, fmt.Sprintf("%.1fs ", float64(now)/1e6)+fmt.Sprintf(format, args...))
}

// emit passes an event to Watch.
func (e *Environment) emit(event invariants.Event) {
	if e.Watch != nil {
		e.Watch(event)
	}
}

// Rent rents machines and returns their names, which may be fewer than requested; nil if there is no
// capacity. A repeated request returns the same machines.
func (e *Environment) Rent(now Micros, r wire.RentalRequest) []string {
	if names, ok := e.rentals[r.Name]; ok {
		return names
	}
	var names []string
	for len(names) < r.Count && e.hasCapacity(r, len(names)) {
		names = append(names, e.rentOne(now, r))
	}
	if len(names) > 0 {
		e.rentals[r.Name] = names
	}
	return names
}

// rentOne rents a machine and returns its name.
func (e *Environment) rentOne(now Micros, r wire.RentalRequest) string {
	if !r.Spot {
		e.Capacity[r.Zone]--
	}
	name := fmt.Sprintf("m-%06d", e.nextMachine)
	e.nextMachine++
	e.Rented++
	m := &Machine{
		Machine:     wire.Machine{Name: name, Addr: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting},
		Up:          now + e.Boot,
		Incarnation: 1,
		leaseFrom:   now + e.Boot,
		rentedAt:    now,
		Speed:       1,
		images:      map[string]Micros{},
	}
	e.Machines[name] = m
	e.Model.rented(now, e, m)
	host := &invariants.Host{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	e.emit(invariants.Event{At: now, Kind: invariants.MachineAdded, Machine: name, Host: host})
	return name
}

// Release deletes machines with the tasks on them.
func (e *Environment) Release(now Micros, names []string) {
	for _, name := range names {
		m := e.Machines[name]
		if m == nil {
			continue
		}
		e.endTasks(now, m)
		e.emit(invariants.Event{At: now, Kind: invariants.MachineGone, Machine: name})
		if !m.Spot {
			e.Capacity[m.Zone]++
		}
		delete(e.Machines, name)
	}
}

// List lists the machines in the order of their names, as late as the model says.
func (e *Environment) List(now Micros) []wire.Machine {
	if e.Model != nil {
		return e.Model.list(now, e)
	}
	return e.listNow(now)
}

// listNow lists the machines as they are.
func (e *Environment) listNow(now Micros) []wire.Machine {
	var out []wire.Machine
	for _, name := range e.Names() {
		m := e.Machines[name]
		if now-m.rentedAt < e.Unlisted {
			continue
		}
		m.AgeS = float64(now-m.rentedAt) / 1e6
		out = append(out, m.Machine)
	}
	return out
}

// Names lists the names of the machines in order.
func (e *Environment) Names() []string {
	return slices.Sorted(maps.Keys(e.Machines))
}

// Tick advances the machines and their tasks to a time.
func (e *Environment) Tick(now Micros) {
	for _, name := range e.Names() {
		e.tickMachine(now, e.Machines[name])
	}
	e.advanceGangs(now)
	e.checkCancelled(now)
}

func (e *Environment) tickMachine(now Micros, m *Machine) {
	if now >= m.Up {
		m.State = wire.Running
	}
	if m.recallAt != 0 && now >= m.recallAt {
		e.Release(now, []string{m.Name})
		return
	}
	if now < m.Up {
		return
	}
	if now-m.leaseFrom > e.Lease && (!e.HangKeeps || !m.Hang) { // hanging or not: see HangKeeps
		e.endTasks(now, m)
		m.tasks = nil
		m.changed = true
		m.Incarnation++
		m.leaseFrom = now
	}
	if m.Hang {
		return
	}
	for _, t := range m.tasks {
		e.advance(now, m, t)
	}
}

// checkCancelled finds tasks that remain too long after a user was answered that their job is cancelled.
func (e *Environment) checkCancelled(now Micros) {
	for id := range e.Jobs {
		cancelledAt := e.CancelledAt(id)
		if cancelledAt == 0 || now-cancelledAt <= e.CancelIn {
			continue
		}
		for _, task := range e.On(id, true) {
			e.violated(now, "ran_cancelled %s", task)
		}
	}
}

// gpusOf is how many GPUs a machine has.
func (e *Environment) gpusOf(m *Machine) float64 {
	for i := range e.Types {
		if e.Types[i].Name == m.Type {
			return e.Types[i].GPUs
		}
	}
	return 0
}
