package faulttest

import (
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Status is the status of a run at a moment.
type Status struct {
	ElapsedS, DurationS float64
	Leader              string // name of the node; "" if there is none
	Nodes               []NodeStatus
	Classes             []ClassStatus
	Machines            map[string]int // number by state: up, booting or hanging
	OnMachines          int            // tasks
	Marks               []Mark
}

// NodeStatus is the status of a node.
type NodeStatus struct {
	Name, Zone string
	Ready      bool
	CPUS       float64 // processor time taken, in seconds
	PeakMB     float64
	Restarts   int
}

// ClassStatus counts the jobs of a class.
type ClassStatus struct {
	Class                                   string
	Submitted, Accepted, Started, Done, Off int // Off: cancelled
}

// statusInterval is how often Options.Watch is called.
const statusInterval = 500 * time.Millisecond

// taskSet is a set of tasks by job.
type taskSet map[string]map[int]bool

// add adds a task of a job with so many tasks, and reports whether the job's tasks are complete with
// it for the first time.
func (s taskSet) add(job string, task, tasks int) (completes bool) {
	if s[job] == nil {
		s[job] = map[int]bool{}
	}
	before := len(s[job])
	s[job][task] = true
	return before < tasks && len(s[job]) == tasks
}

// watcher counts the jobs of each class from the history as it grows.
type watcher struct {
	scenario   *Scenario
	history    *history
	cluster    *cluster.Cluster
	users      *users
	seen       int // events
	jobs       map[string]*plannedJob
	counts     map[string]*ClassStatus // by class
	onMachines int                     // tasks
	started    taskSet
	done       taskSet
	cancelled  map[string]bool // jobs
}

func newWatcher(s *Scenario, jobs []plannedJob, h *history, c *cluster.Cluster, u *users) *watcher {
	w := &watcher{
		scenario:  s,
		history:   h,
		cluster:   c,
		users:     u,
		jobs:      map[string]*plannedJob{},
		counts:    map[string]*ClassStatus{},
		started:   taskSet{},
		done:      taskSet{},
		cancelled: map[string]bool{},
	}
	for i := range jobs {
		w.jobs[jobs[i].job.ID] = &jobs[i]
	}
	for i := range s.Classes {
		name := s.Classes[i].Name
		w.counts[name] = &ClassStatus{Class: name}
	}
	return w
}

func (w *watcher) observe(e *invariants.Event) {
	p := w.jobs[e.Job]
	if p == nil {
		return
	}
	counts := w.counts[p.class.Name]
	switch e.Kind {
	case invariants.JobSubmitted:
		counts.Submitted++
	case invariants.TaskStarted:
		w.onMachines++
		if w.started.add(e.Job, e.Task, p.job.Tasks) {
			counts.Started++
		}
	case invariants.TaskStopped:
		w.onMachines--
	case invariants.TaskDone:
		if w.done.add(e.Job, e.Task, p.job.Tasks) {
			counts.Done++
		}
	case invariants.Answered:
		if e.Via == invariants.BySubmit && isSuccess(e.Status) {
			counts.Accepted++
		}
		if e.Said == wire.Cancelled && !w.cancelled[e.Job] {
			w.cancelled[e.Job] = true
			counts.Off++
		}
	}
}

func (w *watcher) status(elapsed time.Duration) Status {
	servers := w.cluster.Servers
	s := Status{
		ElapsedS:  elapsed.Seconds(),
		DurationS: w.scenario.DurationS,
		Leader:    leaderOf(servers),
		Machines:  map[string]int{},
	}
	events := w.history.eventsFrom(w.seen)
	w.seen += len(events)
	for i := range events {
		w.observe(&events[i])
	}
	s.Marks = w.history.marksSoFar()
	s.OnMachines = w.onMachines
	for i := range w.scenario.Classes {
		s.Classes = append(s.Classes, *w.counts[w.scenario.Classes[i].Name])
	}
	usage := w.cluster.Use()
	for i, n := range w.cluster.Nodes {
		s.Nodes = append(s.Nodes, NodeStatus{
			Name:     n.Name,
			Zone:     n.Zone,
			Ready:    w.users.isHealthy(i),
			CPUS:     usage[i].CPUS,
			PeakMB:   usage[i].PeakMB,
			Restarts: usage[i].Restarts,
		})
	}
	servers.With(func() {
		for _, m := range servers.Environment.Machines {
			s.Machines[machineState(m, servers.Now())]++
		}
	})
	return s
}

// machineState names the state of a machine in Status.Machines.
func machineState(m *emulator.Machine, now emulator.Micros) string {
	switch {
	case m.Hang:
		return "hanging"
	case now < m.Up:
		return "booting"
	}
	return "up"
}
