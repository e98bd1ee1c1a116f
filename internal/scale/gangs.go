package scale

import (
	"sync"

	"coralhub/internal/hollow"
)

// gangChange is what an event of a task means for its gang.
type gangChange int

const (
	gangUnchanged gangChange = iota
	gangComplete             // all tasks are placed: the gang runs
	gangBroken               // a task of a running gang has stopped
)

// gangs tracks which tasks of each attempt of a gang are placed.
type gangs struct {
	mu       sync.Mutex
	sizes    map[string]int // tasks, by job; only gangs
	attempts map[hollow.Attempt]*gang
}

// gang is an attempt of a gang.
type gang struct {
	placed  map[int]bool // tasks
	running bool
	ended   bool // one of its tasks has completed, so that all do; or it is broken
}

func newGangs() gangs {
	return gangs{sizes: map[string]int{}, attempts: map[hollow.Attempt]*gang{}}
}

// add adds a job that is a gang.
func (g *gangs) add(job string, tasks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[job] = tasks
}

// taskChanged takes an event of a task and returns what it means for its gang.
func (g *gangs) taskChanged(t *hollow.Task) gangChange {
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
	case hollow.TaskOn:
		attempt.placed[t.Task] = true
		if len(attempt.placed) == size && !attempt.running && !attempt.ended {
			attempt.running = true
			return gangComplete
		}
	case hollow.TaskDone:
		attempt.ended = true
	case hollow.TaskOff:
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
