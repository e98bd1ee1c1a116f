package faulttest

import (
	"context"
	"time"

	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/wait"
)

// Status is how a run stands at a moment.
type Status struct {
	ElapsedS, DurationS float64
	Leader              string
	Nodes               []NodeStatus
	Classes             []ClassStatus
	Machines            map[string]int // up, booting, hanging
	OnMachines          int            // tasks
	Marks               []Mark
}

// NodeStatus is how a node stands.
type NodeStatus struct {
	Name, Zone string
	Ready      bool
	CPUS       float64
	PeakMB     float64
	Restarts   int
}

// ClassStatus counts the jobs of a class.
type ClassStatus struct {
	Class                                   string
	Submitted, Accepted, Started, Done, Off int // Off: cancelled
}

// statusEvery is how often a run tells how it stands.
const statusEvery = 500 * time.Millisecond

// watch tells how the run stands until ctx ends.
func (r *run) watch(ctx context.Context, began time.Time) {
	w := newWatcher(r)
	wait.Every(ctx, statusEvery, func() { r.opt.Watch(w.status(time.Since(began))) })
}

// watcher follows the history as it grows.
type watcher struct {
	r       *run
	seen    int
	jobs    map[string]*planned
	counts  map[string]*ClassStatus
	on      int
	started map[string]map[int]bool
	ended   map[string]map[int]bool
	over    map[string]bool
}

func newWatcher(r *run) *watcher {
	w := &watcher{r: r, jobs: map[string]*planned{}, counts: map[string]*ClassStatus{}, started: map[string]map[int]bool{},
		ended: map[string]map[int]bool{}, over: map[string]bool{}}
	for i := range r.jobs {
		w.jobs[r.jobs[i].job.ID] = &r.jobs[i]
	}
	for i := range r.scenario.Classes {
		name := r.scenario.Classes[i].Name
		w.counts[name] = &ClassStatus{Class: name}
	}
	return w
}

func (w *watcher) take(e *invariants.Event) {
	p := w.jobs[e.Job]
	if p == nil {
		return
	}
	c, tasks := w.counts[p.class.Name], p.job.Tasks
	add := func(m map[string]map[int]bool) (whole bool) {
		if m[e.Job] == nil {
			m[e.Job] = map[int]bool{}
		}
		had := len(m[e.Job])
		m[e.Job][e.Task] = true
		return had < tasks && len(m[e.Job]) == tasks
	}
	switch e.Kind {
	case invariants.JobSubmitted:
		c.Submitted++
	case invariants.TaskStarted:
		w.on++
		if add(w.started) {
			c.Started++
		}
	case invariants.TaskStopped:
		w.on--
	case invariants.TaskDone:
		if add(w.ended) {
			c.Done++
		}
	case invariants.Answered:
		if e.Via == invariants.BySubmit && (e.Status == 200 || e.Status == 201) {
			c.Accepted++
		}
		if e.Said == "cancelled" && !w.over[e.Job] {
			w.over[e.Job] = true
			c.Off++
		}
	}
}

func (w *watcher) status(elapsed time.Duration) Status {
	r := w.r
	s := Status{ElapsedS: elapsed.Seconds(), DurationS: r.scenario.DurationS, Leader: r.leader(), Machines: map[string]int{}}
	r.mu.Lock()
	for ; w.seen < len(r.events); w.seen++ {
		w.take(&r.events[w.seen])
	}
	s.Marks = append(s.Marks, r.marks...)
	r.mu.Unlock()
	s.OnMachines = w.on
	for i := range r.scenario.Classes {
		s.Classes = append(s.Classes, *w.counts[r.scenario.Classes[i].Name])
	}
	use := r.cluster.Use()
	for i, n := range r.cluster.Nodes {
		s.Nodes = append(s.Nodes, NodeStatus{Name: n.Name, Zone: n.Zone, Ready: r.users.isHealthy(i), CPUS: use[i].CPUS, PeakMB: use[i].PeakMB, Restarts: use[i].Restarts})
	}
	srv := r.cluster.Servers
	srv.With(func() {
		for _, m := range srv.Environment.Machines {
			s.Machines[stateOf(m, srv.Now())]++
		}
	})
	return s
}

func stateOf(m *emulator.Machine, now emulator.Micros) string {
	switch {
	case m.Hang:
		return "hanging"
	case now < m.Up:
		return "booting"
	}
	return "up"
}
