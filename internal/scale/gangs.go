package scale

import (
	"sync"

	"coralhub/internal/hollow"
)

// gangChange is the effect of a task event on the task's gang.
type gangChange int

const (
	gangUnchanged gangChange = iota
	gangComplete             // all tasks are placed, so that the gang runs
	gangBroken               // a task of a running gang has stopped
)

// gangs tracks which tasks of each gang attempt are placed.
type gangs struct {
	mu       sync.Mutex
	sizes    map[string]int // number of tasks, by job; only jobs that are gangs
	attempts map[hollow.Attempt]*gang
}

// gang is one attempt of a gang.
type gang struct {
	placed  map[int]bool // by task number
	running bool
	ended   bool // a task has completed, so that all tasks complete, or the gang is broken
}

func newGangs() gangs {
	return gangs{sizes: map[string]int{}, attempts: map[hollow.Attempt]*gang{}}
}

// add adds a gang job.
func (g *gangs) add(job string, tasks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[job] = tasks
}

// taskChanged applies a task event and returns its effect on the task's gang.
func (g *gangs) taskChanged(t *hollow.TaskEvent) gangChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	size, isGang := g.sizes[t.Job]
	if !isGang {
		return gangUnchanged
	}
	key := hollow.Attempt{Job: t.Job, Attempt: t.Attempt}
	attempt := g.attempts[key]
	if attempt == nil {
		attempt = &gang{placed: map[int]bool{}}
		g.attempts[key] = attempt
	}
	switch t.Kind {
	case hollow.TaskPlaced:
		attempt.placed[t.Task] = true
		if len(attempt.placed) == size && !attempt.running && !attempt.ended {
			attempt.running = true
			return gangComplete
		}
	case hollow.TaskDone:
		attempt.ended = true
	case hollow.TaskRemoved:
		delete(attempt.placed, t.Task)
		broken := attempt.running && !attempt.ended
		if len(attempt.placed) == 0 {
			delete(g.attempts, key)
		}
		if broken {
			attempt.ended = true
			return gangBroken
		}
	}
	return gangUnchanged
}
