package emulator

import (
	"fmt"
	"maps"
	"slices"

	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Environment is the cloud and the workers on its machines. It keeps watch over the
// rules and notes in Broken what goes against them.
type Environment struct {
	Types    []wire.MachineType
	Lease    Micros // of workers
	GangWait Micros
	CancelIn Micros
	Boot     Micros
	Capacity map[string]int           // ordinary machines left, by zone
	Jobs     map[string]*SubmittedJob // what users have submitted
	Machines map[string]*Machine
	Fails    map[string]Micros // machines that fail every task that starts after that
	// ReportEvery is how often workers report; 0 is a second.
	ReportEvery Micros
	// Unlisted is how long a new machine is missing from lists; it may be up by then.
	Unlisted Micros
	// HangKeeps reads the protocol so that a machine which hangs beyond its lease has its tasks until it
	// goes on, and ends them then. Otherwise they are over with the lease: it may go on within its lease alone.
	HangKeeps bool
	CloudOff  bool
	Broken    []string
	Rented    int
	// Model has machines differ, boot late, fetch images and lose spot machines; nil:
	// everything takes as long as it is said to.
	Model *Model
	// Watch hears what happens on machines; nil: nobody does.
	Watch func(invariants.Event)

	seq    int
	asked  map[string][]string
	done   map[string]map[int]bool
	saved  map[string]map[int]Micros // progress outside of machines; task -1 for a gang
	listed []listing                 // lists of the last seconds, see List
}

// SubmittedJob is a submission as its user sees it.
type SubmittedJob struct {
	wire.Job
	Cancelled Micros  // when the user was told; 0: not
	Asked     bool    // the user has asked to cancel it
	Run       Micros  // how long a task runs
	Steps     Micros  // how much longer each task of an array runs than the one before
	Mistaken  bool    // fails wherever it runs
	FetchGBs  float64 // of its image; 0: 0.4
	Starts    int     // how often its tasks have been started
}

// Machine is a rented machine and its worker.
type Machine struct {
	wire.Machine
	Up           Micros // when the worker starts
	Hang         bool
	Incarnation  uint64
	Sequence     uint64
	FencingToken uint64
	alive        Micros // when the last answered report was sent
	tasks        []*task
	born         Micros
	Node         int // which node it reports to
	NextAt       Micros
	sentAt       Micros
	changed      bool
	busy         bool              // a report is on its way
	Speed        float64           // how many times as fast as usual it runs
	images       map[string]Micros // from when on it has them
	recall       Micros            // when the cloud takes it back; 0: not
	silent       bool              // and it gives no notice
	Fails        bool              // every task that starts from now on fails
	// Deaf has its reports arrive while answers and commands don't reach it: "drop" loses
	// them, "hold" has direct commands arrive once it is over.
	InboundLost string
	// Mute has none of its reports reach anybody, while commands reach it.
	OutboundLost bool
}

type task struct {
	wire.TaskStatus
	began Micros
	from  Micros // progress that it started from
	on    bool   // it has its image and has not left
}

// NewEnvironment returns a world with one machine type and two zones, a and b.
func NewEnvironment() *Environment {
	return &Environment{
		Types: []wire.MachineType{{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 100, FetchGBs: 1,
			Price: 4, SpotPrice: 2, BootS: 2, Zones: []string{"a", "b"}}},
		Lease: 4 * Second, GangWait: 10 * Second, CancelIn: 20 * Second, Boot: 2 * Second,
		Capacity: map[string]int{"a": 8, "b": 8}, Jobs: map[string]*SubmittedJob{}, Machines: map[string]*Machine{},
		Fails: map[string]Micros{}, asked: map[string][]string{}, done: map[string]map[int]bool{},
	}
}

func (w *Environment) broken(now Micros, format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%.1fs ", float64(now)/1e6)+fmt.Sprintf(format, args...))
}

// Rent rents machines; it returns nil if there is no capacity.
func (w *Environment) Rent(now Micros, r wire.RentalRequest) []string {
	if names, ok := w.asked[r.Name]; ok {
		return names
	}
	var names []string
	for len(names) < r.Count && w.free(r, len(names)) {
		if !r.Spot {
			w.Capacity[r.Zone]--
		}
		name := fmt.Sprintf("m-%06d", w.seq)
		w.seq++
		w.Rented++
		w.Machines[name] = &Machine{Machine: wire.Machine{Name: name, Addr: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting},
			Up: now + w.Boot, Incarnation: 1, alive: now + w.Boot, born: now, Speed: 1, images: map[string]Micros{}}
		w.Model.rented(now, w, w.Machines[name])
		w.tell(invariants.Event{At: now, Kind: invariants.MachineAdded, Machine: name, Host: &invariants.Host{Type: r.Type, Zone: r.Zone, Spot: r.Spot}})
		names = append(names, name)
	}
	if len(names) > 0 {
		w.asked[r.Name] = names
	}
	return names
}

// Release deletes machines.
func (w *Environment) Release(now Micros, names []string) {
	for _, n := range names {
		if m := w.Machines[n]; m != nil {
			w.lose(now, m)
			w.tell(invariants.Event{At: now, Kind: invariants.MachineGone, Machine: n})
			if !m.Spot {
				w.Capacity[m.Zone]++
			}
			delete(w.Machines, n)
		}
	}
}

// List lists the machines.
func (w *Environment) List(now Micros) []wire.Machine {
	if w.Model != nil {
		return w.Model.list(now, w)
	}
	return w.listNow(now)
}

func (w *Environment) listNow(now Micros) []wire.Machine {
	var out []wire.Machine
	for _, n := range w.Names() {
		m := w.Machines[n]
		if now-m.born < w.Unlisted {
			continue
		}
		m.AgeS = float64(now-m.born) / 1e6
		out = append(out, m.Machine)
	}
	return out
}

// Names lists the machines' names in order.
func (w *Environment) Names() []string {
	return slices.Sorted(maps.Keys(w.Machines))
}

// Tick lets time pass on the machines.
func (w *Environment) Tick(now Micros) {
	for _, n := range w.Names() {
		m := w.Machines[n]
		if now >= m.Up {
			m.State = wire.Running
		}
		if m.recall != 0 && now >= m.recall {
			w.Release(now, []string{n})
			continue
		}
		if now < m.Up {
			continue
		}
		if now-m.alive > w.Lease && (!w.HangKeeps || !m.Hang) { // whether it hangs or not: it may go on within its lease alone
			w.lose(now, m)
			m.tasks, m.changed = nil, true
			m.Incarnation++
			m.alive = now
		}
		if m.Hang {
			continue
		}
		for _, t := range m.tasks {
			w.advance(now, m, t)
		}
	}
	w.gangs(now)
	for id := range w.Jobs {
		if told := w.CancelledAt(id); told != 0 && now-told > w.CancelIn {
			for _, n := range w.On(id, true) {
				w.broken(now, "ran_cancelled %s", n)
			}
		}
	}
}

func (w *Environment) advance(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	j := w.Jobs[id]
	if j == nil {
		return
	}
	switch t.State {
	case wire.Fetching:
		if w.Model != nil && !m.has(now, j) {
			return
		}
		if w.done[id][n] {
			w.exit(now, m, t, wire.Done)
			return
		}
		t.on = true
		w.tell(invariants.Event{At: now, Kind: invariants.TaskStarted, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name})
		t.State, t.began, t.from, m.changed = wire.Running, now, w.progressOf(j, n), true
		if j.Shape == wire.Gang {
			t.State = wire.Waiting
		}
	case wire.Waiting:
		if now-t.began > w.GangWait {
			w.exit(now, m, t, wire.CauseIncomplete)
		}
	case wire.Running:
		if since, bad := w.Fails[m.Name]; bad && t.began > since || j.Mistaken {
			w.exit(now, m, t, wire.CauseError)
		} else if j.Shape == wire.Array && w.progress(now, m, t) >= j.RunOf(n) {
			w.complete(now, m, t)
		}
	case wire.Saving:
		if now-t.began >= Second {
			t.Saved = true
			w.keep(j, n, t.from)
			w.exit(now, m, t, wire.CauseStopped)
		}
	}
}

func (w *Environment) complete(now Micros, m *Machine, t *task) {
	id, n, _ := wire.ParseTaskName(t.Task)
	if w.done[id] == nil {
		w.done[id] = map[int]bool{}
	}
	w.done[id][n] = true
	w.tell(invariants.Event{At: now, Kind: invariants.TaskDone, Job: id, Task: n})
	w.exit(now, m, t, wire.Done)
}

func (w *Environment) exit(now Micros, m *Machine, t *task, cause string) {
	w.leave(now, m, t)
	t.State, t.Cause, m.changed = wire.Exited, cause, true
}

// gangs starts gangs that are complete, and ends those that are through or have
// lost a task, be it only to a machine that hangs.
func (w *Environment) gangs(now Micros) {
	type member struct {
		m *Machine
		t *task
	}
	all := map[string][]member{}
	for _, n := range w.Names() {
		m := w.Machines[n]
		for _, t := range m.tasks {
			id, _, _ := wire.ParseTaskName(t.Task)
			if j := w.Jobs[id]; j != nil && j.Shape == wire.Gang && t.State != wire.Exited {
				key := fmt.Sprint(id, " ", t.Attempt)
				all[key] = append(all[key], member{m, t})
			}
		}
	}
	for _, ms := range all {
		id, _, _ := wire.ParseTaskName(ms[0].t.Task)
		waiting, running, ran := 0, 0, Micros(0)
		for _, x := range ms {
			switch {
			case x.m.Hang:
			case x.t.State == wire.Waiting:
				waiting++
			case x.t.State == wire.Running:
				running++
				ran = w.slowest(ran, running, w.progress(now, x.m, x.t))
			}
		}
		size := w.Jobs[id].Tasks
		for _, x := range ms {
			switch {
			case x.m.Hang:
			case waiting == size:
				x.t.State, x.t.began, x.t.from, x.m.changed = wire.Running, now, w.progressOf(w.Jobs[id], 0), true
			case running == size && ran >= w.Jobs[id].Run:
				w.complete(now, x.m, x.t)
			case running > 0 && running < size && x.t.State == wire.Running:
				w.exit(now, x.m, x.t, wire.CausePeersGone)
			}
		}
	}
}

// Status is a machine's report.
func (m *Machine) Status() wire.Heartbeat {
	m.Sequence++
	r := wire.Heartbeat{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.Incarnation, Sequence: m.Sequence, FencingToken: m.FencingToken}
	if m.recall != 0 && !m.silent {
		left := 0.5
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// Restart has a machine stop with all that is on it and come back after so long. Its worker
// goes on with the next session; or it begins anew, remembering nothing, not even its session.
func (w *Environment) Restart(now, after Micros, m *Machine, anew bool) {
	w.lose(now, m)
	m.tasks, m.changed, m.busy = nil, true, false
	m.Incarnation++
	if anew {
		m.Incarnation, m.Sequence, m.FencingToken = 1, 0, 0
	}
	m.Up, m.alive = now+after, now+after
}

// Due tells whether the worker wants to report.
func (m *Machine) Due(now Micros) bool {
	return !m.Hang && !m.busy && now >= m.Up && (now >= m.NextAt || m.changed && now >= m.sentAt+Second/2)
}

// Wait notes whether a report is on its way: until it is answered or given up, none follows.
func (m *Machine) Wait(busy bool) { m.busy = busy }

// Waits tells whether one is.
func (m *Machine) Waits() bool { return m.busy }

// Reported notes that a report goes out.
func (m *Machine) Reported(now, every Micros) {
	if every == 0 {
		every = Second
	}
	m.NextAt, m.sentAt, m.changed = now+every, now, false
}

// Answered takes the 200 to a report.
func (w *Environment) Answered(now, sent Micros, session uint64, m *Machine, a wire.HeartbeatResponse) {
	if a.FencingToken < m.FencingToken || session != m.Incarnation || now-sent > 4*Second {
		return
	}
	if a.FencingToken > m.FencingToken {
		m.FencingToken, m.changed = a.FencingToken, true
	}
	m.alive = sent
	w.execute(now, m, a.Commands)
}

// Commands takes a direct call and returns the HTTP status.
func (w *Environment) Commands(now Micros, m *Machine, c wire.CommandRequest) (int, wire.Heartbeat) {
	status := 200
	if c.FencingToken > m.FencingToken {
		m.FencingToken, m.changed = c.FencingToken, true
	}
	if c.FencingToken < m.FencingToken || c.Incarnation != m.Incarnation {
		status = 409
	} else {
		w.execute(now, m, c.Commands)
	}
	return status, m.Status()
}

func (w *Environment) execute(now Micros, m *Machine, orders []wire.Command) {
	for _, o := range orders {
		var found *task
		for _, t := range m.tasks {
			if t.Task == o.Task && t.Attempt == o.Attempt {
				found = t
			}
		}
		switch {
		case o.Verb == wire.CommandStart && found == nil:
			w.start(now, m, o)
		case o.Verb == wire.CommandStop && found != nil && found.State != wire.Exited:
			id, _, _ := wire.ParseTaskName(o.Task)
			j := w.Jobs[id]
			if found.State == wire.Running && j.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= j.SaveS {
				found.from = w.progress(now, m, found)
				found.State, found.began, m.changed = wire.Saving, now, true
			} else if found.State != wire.Saving || o.GraceS == nil || *o.GraceS == 0 {
				w.exit(now, m, found, wire.CauseStopped)
			}
		case o.Verb == wire.CommandForget && found != nil && found.State == wire.Exited:
			for i, t := range m.tasks {
				if t == found {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

func (w *Environment) start(now Micros, m *Machine, o wire.Command) {
	m.changed = true
	t := &task{TaskStatus: wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.Fetching}, began: now}
	m.tasks = append(m.tasks, t)
	id, n, ok := wire.ParseTaskName(o.Task)
	j := w.Jobs[id]
	if !ok || j == nil || n >= j.Tasks {
		w.exit(now, m, t, wire.CauseUnknown)
		return
	}
	used := 0.0
	for _, other := range m.tasks {
		oid, _, _ := wire.ParseTaskName(other.Task)
		if oj := w.Jobs[oid]; oj != nil && other.State != wire.Exited {
			used += oj.GPUs
		}
	}
	if used > w.gpusOf(m) {
		w.exit(now, m, t, wire.CauseNoCapacity)
		return
	}
	j.Starts++
	for _, need := range j.Needs {
		if !w.Done(need) {
			w.broken(now, "too_early %s before %s", o.Task, need)
		}
	}
	if j.Cancelled != 0 { // no rule yet, but the protocol's word: no task may be started from then on
		w.broken(now, "started_cancelled %s on %s, %d ms after its user was told", o.Task, m.Name, (now-j.Cancelled)/1000)
	}
	zones := map[string]int{}
	for _, name := range w.Names() {
		for _, other := range w.Machines[name].tasks {
			oid, on, _ := wire.ParseTaskName(other.Task)
			if other == t || oid != id || other.State == wire.Exited {
				continue
			}
			zones[w.Machines[name].Zone]++
			if on == n {
				w.broken(now, "ran_twice %s on %s and %s", o.Task, m.Name, name)
			}
		}
	}
	if j.OneZone && len(zones) > 0 && zones[m.Zone] == 0 || j.Spread && zones[m.Zone] >= (j.Tasks+1)/2 ||
		j.Zone != "" && j.Zone != m.Zone || m.Spot && !j.Spot {
		w.broken(now, "wrong_place %s on %s", o.Task, m.Name)
	}
}

// CancelledAt tells when a user was told that a job, or one that it needs,
// directly or not, is cancelled; 0: nobody was.
func (w *Environment) CancelledAt(id string) Micros {
	first := Micros(0)
	w.eachBefore(id, func(j *SubmittedJob) {
		if j.Cancelled != 0 && (first == 0 || j.Cancelled < first) {
			first = j.Cancelled
		}
	})
	return first
}

// MayBeCancelled tells whether a user has asked to cancel a job or one before it.
func (w *Environment) MayBeCancelled(id string) bool {
	asked := false
	w.eachBefore(id, func(j *SubmittedJob) { asked = asked || j.Asked })
	return asked
}

// eachBefore calls f for a job and all that it needs, directly or not.
func (w *Environment) eachBefore(id string, f func(*SubmittedJob)) {
	seen := map[string]bool{}
	for todo := []string{id}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if j := w.Jobs[x]; j != nil && !seen[x] {
			seen[x] = true
			f(j)
			todo = append(todo, j.Needs...)
		}
	}
}

// On lists where a job's tasks are; all includes those on hanging machines.
func (w *Environment) On(id string, all bool) []string {
	var out []string
	for _, name := range w.Names() {
		m := w.Machines[name]
		if m.Hang && !all {
			continue
		}
		for _, t := range m.tasks {
			if tid, _, _ := wire.ParseTaskName(t.Task); tid == id && t.State != wire.Exited {
				out = append(out, fmt.Sprintf("%s.%d %s %s", t.Task, t.Attempt, name, t.State))
			}
		}
	}
	return out
}

// Used adds up the GPUs of a team's tasks.
func (w *Environment) Used(team string) float64 {
	used := 0.0
	for id, j := range w.Jobs {
		if j.Team == team {
			used += j.GPUs * float64(len(w.On(id, true)))
		}
	}
	return used
}

// DoneTasks counts the tasks of a job that have completed.
func (w *Environment) DoneTasks(id string) int { return len(w.done[id]) }

// Done tells whether every task of a job has completed.
func (w *Environment) Done(id string) bool {
	j := w.Jobs[id]
	return j != nil && (len(w.done[id]) == j.Tasks)
}
