package faulttest

import (
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Status is a snapshot of the progress of a run.
type Status struct {
	ElapsedS, DurationS float64
	Leader              string // name of the node; "" if there is no leader
	Nodes               []NodeStatus
	Classes             []ClassStatus
	Machines            map[string]int // counts by state: up, booting or hanging
	RunningTasks        int            // on machines
	Marks               []Mark
}

// NodeStatus is the state of a node and its resource usage so far.
type NodeStatus struct {
	Name, Zone string
	Ready      bool
	CPUS       float64 // CPU time used, in seconds
	PeakMB     float64
	Restarts   int
}

// ClassStatus counts the jobs of a class.
type ClassStatus struct {
	Class                                         string
	Submitted, Accepted, Started, Done, Cancelled int
}

// statusInterval is the interval between calls of Options.OnStatus.
const statusInterval = 500 * time.Millisecond

// taskSet holds sets of task indices by job ID.
type taskSet map[string]map[int]bool

// add adds a task of a job that has the given number of tasks. It reports whether this was the last task
// missing.
func (s taskSet) add(job string, task, tasks int) (completes bool) {
	if s[job] == nil {
		s[job] = map[int]bool{}
	}
	before := len(s[job])
	s[job][task] = true
	return before < tasks && len(s[job]) == tasks
}

// watcher counts the jobs of each class from the history of a run in progress.
type watcher struct {
	scenario       *Scenario
	history        *history
	cluster        *cluster.Cluster
	users          *users
	observedEvents int // number of events of the history already counted
	jobs           map[string]*plannedJob
	counts         map[string]*ClassStatus // counts by class
	runningTasks   int                     // number of tasks on machines
	started        taskSet
	done           taskSet
	cancelled      map[string]bool // IDs of jobs
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
		w.runningTasks++
		if w.started.add(e.Job, e.Task, p.job.Tasks) {
			counts.Started++
		}
	case invariants.TaskStopped:
		w.runningTasks--
	case invariants.TaskDone:
		if w.done.add(e.Job, e.Task, p.job.Tasks) {
			counts.Done++
		}
	case invariants.Answered:
		if e.Via == invariants.BySubmit && isSuccess(e.Status) {
			counts.Accepted++
		}
		if e.JobStatus == wire.Cancelled && !w.cancelled[e.Job] {
			w.cancelled[e.Job] = true
			counts.Cancelled++
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
	events := w.history.eventsFrom(w.observedEvents)
	w.observedEvents += len(events)
	for i := range events {
		w.observe(&events[i])
	}
	s.Marks = w.history.copyOfMarks()
	s.RunningTasks = w.runningTasks
	for i := range w.scenario.Classes {
		s.Classes = append(s.Classes, *w.counts[w.scenario.Classes[i].Name])
	}
	usage := w.cluster.Usage()
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
	servers.WithLock(func() {
		for _, m := range servers.Environment.Machines {
			s.Machines[machineState(m, servers.Now())]++
		}
	})
	return s
}

// machineState returns the state of a machine, a key of Status.Machines.
func machineState(m *emulator.Machine, now emulator.Micros) string {
	switch {
	case m.Hanging:
		return "hanging"
	case now < m.StartsAt:
		return "booting"
	}
	return "up"
}
