package emulator

import (
	"math"
	"math/rand/v2"

	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Model is how real machines and a real cloud differ from what they are said to be.
// A nil Model changes nothing.
type Model struct {
	Rand       *rand.Rand
	BootSpread float64 // boots take between 1-it and 1+it of the usual time
	BootNever  float64 // part of the machines that never come up
	ListLag    Micros  // lists are as old as that, sometimes twice, and may go back
	Speed      float64 // machines are faster or slower by up to this part
	// SpotCapacity is how many spot machines there are in a zone.
	SpotCapacity map[string]int
	// BootTimes multiplies the boot time of machines rented from now on; 0 is 1.
	BootTimes float64
}

type listing struct {
	at       Micros
	machines []wire.Machine
}

// rented gives a new machine what is its own.
func (m *Model) rented(now Micros, w *Environment, x *Machine) {
	if m == nil {
		return
	}
	boot := float64(w.Boot) * (1 + m.BootSpread*(2*m.Rand.Float64()-1))
	if m.BootTimes > 0 {
		boot *= m.BootTimes
	}
	x.Up = now + Micros(boot)
	if m.Rand.Float64() < m.BootNever {
		x.Up = math.MaxInt64 / 2
	}
	x.alive, x.Speed = x.Up, 1+m.Speed*(2*m.Rand.Float64()-1)
}

// list returns a list that lags.
func (m *Model) list(now Micros, w *Environment) []wire.Machine {
	if n := len(w.listed); n == 0 || now-w.listed[n-1].at >= Second/2 {
		w.listed = append(w.listed, listing{now, w.listNow(now)})
	}
	lag := Micros(float64(m.ListLag) * (0.5 + m.Rand.Float64()))
	for len(w.listed) > 2 && now-w.listed[1].at > 2*m.ListLag {
		w.listed = w.listed[1:]
	}
	best := w.listed[0]
	for _, l := range w.listed {
		if now-l.at >= lag {
			best = l
		}
	}
	return best.machines
}

// free tells whether one more machine can be rented, after so many in one request.
func (w *Environment) free(r wire.RentalRequest, got int) bool {
	if !r.Spot {
		return w.Capacity[r.Zone] > 0
	}
	if w.Model == nil {
		return got == 0
	}
	have := 0
	for _, m := range w.Machines {
		if m.Spot && m.Zone == r.Zone {
			have++
		}
	}
	return have < w.Model.SpotCapacity[r.Zone]
}

// has tells whether a machine has a job's image, which it fetches once for all.
func (m *Machine) has(now Micros, j *SubmittedJob) bool {
	ready, known := m.images[j.Image]
	if !known {
		ready = now + Micros(j.ImageGB/0.4*float64(Second))
		if j.FetchGBs > 0 {
			ready = now + Micros(j.ImageGB/j.FetchGBs*float64(Second))
		}
		m.images[j.Image] = ready
	}
	return now >= ready
}

func (w *Environment) tell(e invariants.Event) {
	if w.Watch != nil {
		w.Watch(e)
	}
}

// leave tells that a task is not on its machine any more.
func (w *Environment) leave(now Micros, m *Machine, t *task) {
	if !t.on {
		return
	}
	t.on = false
	id, n, _ := wire.ParseTaskName(t.Task)
	w.tell(invariants.Event{At: now, Kind: invariants.TaskStopped, Job: id, Task: n, Attempt: t.Attempt, Machine: m.Name})
}

// lose ends all tasks of a machine; what they saved by themselves stays.
func (w *Environment) lose(now Micros, m *Machine) {
	for _, t := range m.tasks {
		id, n, _ := wire.ParseTaskName(t.Task)
		if j := w.Jobs[id]; j != nil && t.State == wire.Running && j.CheckpointS > 0 {
			every := Micros(j.CheckpointS * float64(Second))
			w.keep(j, n, w.progress(now, m, t)/every*every)
		}
		w.leave(now, m, t)
	}
}

// progress is how far a running task has come. Without a model it counts from its
// start.
func (w *Environment) progress(now Micros, m *Machine, t *task) Micros {
	if w.Model == nil {
		return now - t.began
	}
	return t.from + Micros(float64(now-t.began)*m.Speed)
}

// progressOf is what a task starts from.
func (w *Environment) progressOf(j *SubmittedJob, n int) Micros {
	if w.Model == nil {
		return 0
	}
	return w.saved[j.ID][savedAs(j, n)]
}

func savedAs(j *SubmittedJob, n int) int {
	if j.Shape == wire.Gang {
		return -1
	}
	return n
}

// keep notes progress that is safe outside of the machines.
func (w *Environment) keep(j *SubmittedJob, n int, progress Micros) {
	if w.Model == nil || j.CheckpointS <= 0 {
		return
	}
	if w.saved == nil {
		w.saved = map[string]map[int]Micros{}
	}
	if w.saved[j.ID] == nil {
		w.saved[j.ID] = map[int]Micros{}
	}
	k := savedAs(j, n)
	w.saved[j.ID][k] = max(w.saved[j.ID][k], progress)
}

// slowest is the progress of a gang whose n-th running task has come so far.
func (w *Environment) slowest(so Micros, n int, far Micros) Micros {
	if n == 1 || far < so || w.Model == nil {
		return far
	}
	return so
}

func (w *Environment) gpusOf(m *Machine) float64 {
	for i := range w.Types {
		if w.Types[i].Name == m.Type {
			return w.Types[i].GPUs
		}
	}
	return 0
}

// RunOf is how long a task runs.
func (j *SubmittedJob) RunOf(n int) Micros { return j.Run + Micros(n)*j.Steps }

// Recall has the cloud take a machine back after so long, with or without notice.
func (m *Machine) Recall(at Micros, silent bool) {
	m.recall, m.silent, m.changed = at, silent, true
}

// Tasks counts the tasks that are on a machine.
func (m *Machine) Tasks() int {
	n := 0
	for _, t := range m.tasks {
		if t.on {
			n++
		}
	}
	return n
}
