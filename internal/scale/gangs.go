package scale

import (
	"sync"

	"coralhub/internal/hollow"
)

// gangChange is what a change of a task means for its gang.
type gangChange int

const (
	gangUnchanged gangChange = iota
	gangComplete             // the last task has its place: the gang runs
	gangBroken               // a task of a running gang is gone
)

// gangs follows which tasks of each attempt of a gang are on machines.
type gangs struct {
	mu       sync.Mutex
	sizes    map[string]int // of jobs that are gangs
	attempts map[hollow.Attempt]*gang
}

type gang struct {
	placed  map[int]bool
	running bool
	ended   bool // one of its tasks has completed, so all do; or it is broken
}

func newGangs() gangs {
	return gangs{sizes: map[string]int{}, attempts: map[hollow.Attempt]*gang{}}
}

// add tells that a job is a gang of so many tasks.
func (g *gangs) add(job string, tasks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[job] = tasks
}

// taskChanged takes a change of a task and tells what it means.
func (g *gangs) taskChanged(t *hollow.Task) gangChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	size, isGang := g.sizes[t.Job]
	if !isGang {
		return gangUnchanged
	}
	key := hollow.Attempt{Job: t.Job, Attempt: t.Attempt}
	a := g.attempts[key]
	if a == nil {
		a = &gang{placed: map[int]bool{}}
		g.attempts[key] = a
	}
	switch t.Kind {
	case hollow.TaskOn:
		a.placed[t.Task] = true
		if len(a.placed) == size && !a.running && !a.ended {
			a.running = true
			return gangComplete
		}
	case hollow.TaskDone:
		a.ended = true
	case hollow.TaskOff:
		delete(a.placed, t.Task)
		broken := a.running && !a.ended
		if len(a.placed) == 0 {
			delete(g.attempts, key)
		}
		if broken {
			a.ended = true
			return gangBroken
		}
	}
	return gangUnchanged
}
