package emulator

import (
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Environment emulates the cloud and the workers on its machines. It checks the rules of the protocol
// and records violations in Violations. It is not safe for concurrent use.
type Environment struct {
	*Protocol
	*Cloud
	*JobRegistry
	*Checker
	*Workers
	*TaskRunner
	*EventSink
	gangs *gangs
}

// Protocol holds the timing parameters of the worker protocol, and which interpretation is used where the
// protocol is ambiguous.
type Protocol struct {
	Lease         Micros // of workers: how long tasks continue without an answered heartbeat
	GangWait      Micros // how long a task of a gang waits for the other tasks
	CancelTimeout Micros // how long tasks may continue after a user received the answer that their job is cancelled
	// HeartbeatInterval applies to all workers; 0 is treated as one second.
	HeartbeatInterval Micros
	// KeepTasksOnHang makes a machine that hangs beyond its lease keep its tasks until it resumes, and end them
	// then. Otherwise they end when the lease expires, and only a machine that resumes within its lease
	// continues its tasks. The protocol can be read either way.
	KeepTasksOnHang bool
}

// EventSink passes events to a callback.
type EventSink struct {
	// OnEvent is called with each event on a machine; it may be nil.
	OnEvent func(invariants.Event)
}

func (s *EventSink) emit(event invariants.Event) {
	if s.OnEvent != nil {
		s.OnEvent(event)
	}
}

// NewEnvironment returns an environment with one machine type and two zones, a and b.
func NewEnvironment() *Environment {
	protocol := &Protocol{Lease: 4 * Second, GangWait: 10 * Second, CancelTimeout: 20 * Second}
	events := &EventSink{}
	jobs := newJobRegistry()
	cloud := newCloud(events)
	checker := &Checker{protocol: protocol, cloud: cloud, jobs: jobs}
	progress := &progress{cloud: cloud}
	tasks := &TaskRunner{
		FailingSince: map[string]Micros{},
		protocol:     protocol,
		cloud:        cloud,
		jobs:         jobs,
		progress:     progress,
		events:       events,
	}
	return &Environment{
		Protocol:    protocol,
		Cloud:       cloud,
		JobRegistry: jobs,
		Checker:     checker,
		Workers:     &Workers{protocol: protocol, cloud: cloud, jobs: jobs, checker: checker, tasks: tasks},
		TaskRunner:  tasks,
		EventSink:   events,
		gangs:       &gangs{cloud: cloud, jobs: jobs, tasks: tasks, progress: progress},
	}
}

// Release ends all tasks on machines and deletes the machines. Unknown names are ignored.
func (e *Environment) Release(now Micros, names []string) {
	for _, name := range names {
		if m := e.Machines[name]; m != nil {
			e.endAll(now, m)
			e.remove(now, m)
		}
	}
}

// Tick advances the machines and their tasks to the time now.
func (e *Environment) Tick(now Micros) {
	for _, name := range e.MachineNames() {
		e.tickMachine(now, e.Machines[name])
	}
	e.gangs.advance(now)
	e.checkCancelled(now)
}

func (e *Environment) tickMachine(now Micros, m *Machine) {
	if now >= m.StartsAt {
		m.State = wire.Running
	}
	if m.recallAt != 0 && now >= m.recallAt {
		e.Release(now, []string{m.Name})
		return
	}
	if now >= m.StartsAt {
		e.tickWorker(now, m)
	}
}
