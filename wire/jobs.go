package wire

// Shapes of jobs: job arrays, gangs (all tasks run at the same time or none does) and services.
const (
	Array   = "sweep"
	Gang    = "group"
	Service = "service"
)

// Priorities, highest first.
const (
	Production = "critical"
	High       = "high"
	Normal     = "standard"
	Low        = "idle"
)

// States of a job in responses to users.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Job is a submission, POST /v1/jobs.
type Job struct {
	ID           string   `msgpack:"ref"`
	Class        string   `msgpack:"docket"` // objectives are set by class
	Team         string   `msgpack:"desk"`
	Shape        string   `msgpack:"shape"`
	Priority     string   `msgpack:"rank"`
	Tasks        int      `msgpack:"lots"`
	CPUs         float64  `msgpack:"cores"`
	GPUs         float64  `msgpack:"gpus"` // of each task, like CPUs and MemoryGB
	MemoryGB     float64  `msgpack:"ram_gb"`
	Image        string   `msgpack:"build"`
	ImageGB      float64  `msgpack:"pull_gb"`
	Types        []string `msgpack:"rigs,omitempty"` // allowed machine types; all if empty
	Zone         string   `msgpack:"yard,omitempty"` // the only allowed zone; all are allowed if empty
	OneZone      bool     `msgpack:"one_zone"`
	Spread       bool     `msgpack:"spread"`     // at most half of the tasks, rounded up, in one zone
	Spot         bool     `msgpack:"loaners"`    // may use spot instances
	EstimateS    float64  `msgpack:"expect_s"`   // the user's estimate of a task's run time
	CheckpointS  float64  `msgpack:"bookmark_s"` // checkpoint interval; 0 if tasks can't save checkpoints
	SaveS        float64  `msgpack:"stash_s"`    // time that a task takes to save a checkpoint when stopped
	DeadlineS    *float64 `msgpack:"due_s,omitempty"`
	Dependencies []string `msgpack:"awaits,omitempty"` // IDs of jobs that must be done before any task starts
}

// ShapeName returns the name of a shape outside of the protocol: array, gang or service. It returns an unknown shape
// unchanged.
func ShapeName(shape string) string {
	switch shape {
	case Array:
		return "array"
	case Gang:
		return "gang"
	case Service:
		return "service"
	}
	return shape
}

// ParseShape returns the shape with the given name, as returned by ShapeName, or false if the name is unknown.
func ParseShape(name string) (string, bool) {
	for _, shape := range []string{Array, Gang, Service} {
		if ShapeName(shape) == name {
			return shape, true
		}
	}
	return "", false
}

// ParsePriority returns the priority with the name production, high, normal or low, or false for any other name.
func ParsePriority(name string) (string, bool) {
	priority, ok := map[string]string{"production": Production, "high": High, "normal": Normal, "low": Low}[name]
	return priority, ok
}

// ShapeOrArray is like ParseShape, but returns Array if the name is unknown.
func ShapeOrArray(name string) string {
	if shape, ok := ParseShape(name); ok {
		return shape
	}
	return Array
}

// PriorityOrNormal is like ParsePriority, but returns Normal if the name is unknown.
func PriorityOrNormal(name string) string {
	if priority, ok := ParsePriority(name); ok {
		return priority
	}
	return Normal
}

// JobStatus is the response to submissions, polls and cancellations.
type JobStatus struct {
	ID      string `msgpack:"ref"`
	Status  string `msgpack:"status"`
	Done    *int   `msgpack:"done,omitempty"`
	Running *int   `msgpack:"running,omitempty"`
}
