// Package hollow implements workers that speak the whole worker protocol and do no work.
// Thousands of them share a process, so that the control plane can be measured at a size for
// which there are no machines.
//
// Each worker has an address and a socket of its own, sends heartbeats at the protocol's
// intervals, keeps its lease, incarnation and fencing token, and executes commands. A task
// takes its place, runs for as long as its job says and exits. What no process can know alone,
// whether all tasks of a gang are placed, is decided by whoever started the processes. Not
// simulated are images, which every machine has, and checkpoints: a task that is stopped starts
// from the beginning.
package hollow

import "coralhub/wire"

// Config is what a process of hollow workers reads first, as a line of JSON.
type Config struct {
	// Network is the second number of the loopback addresses that workers listen on, 0 to 255. Each
	// worker has an address of its own: one address has too few ports for all of a large run.
	Network int    `json:"network"`
	Nodes   []Node `json:"nodes"`
	// Times of the protocol, in seconds.
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
}

// Node is a node that workers may send heartbeats to.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"` // HOST:PORT
}

// Command is a command to the process, a line of JSON. One field is set.
type Command struct {
	Start   *Machine `json:"start,omitempty"`   // start the worker of a machine that is up
	Remove  string   `json:"remove,omitempty"`  // remove the worker of a machine that is gone
	Restart *Restart `json:"restart,omitempty"` // a machine restarts and loses its tasks
	Job     *Job     `json:"job,omitempty"`     // a job that tasks may belong to
	Run     *Attempt `json:"run,omitempty"`     // all tasks of a gang are placed
	Break   *Attempt `json:"break,omitempty"`   // a task of a running gang has stopped
	Usage   bool     `json:"usage,omitempty"`   // report the usage
}

// Machine is a machine as its worker describes it.
type Machine struct {
	Name string  `json:"name"`
	Type string  `json:"type"`
	Zone string  `json:"zone"`
	Spot bool    `json:"spot"`
	GPUs float64 `json:"gpus"`
}

// Restart is a restart of a machine, and how long it is down.
type Restart struct {
	Machine string  `json:"machine"`
	AwayS   float64 `json:"away_s"`
}

// Job is what a worker knows of a job.
type Job struct {
	ID    string  `json:"id"`
	Tasks int     `json:"tasks"`
	GPUs  float64 `json:"gpus"` // of each task
	Gang  bool    `json:"gang,omitempty"`
	RunS  float64 `json:"run_s"`
}

// Attempt identifies an attempt of a gang.
type Attempt struct {
	Job     string `json:"job"`
	Attempt uint64 `json:"attempt"`
}

// Event is an event in the process, a line of JSON. One of the fields after At is set.
type Event struct {
	At    int64  `json:"at"` // Unix time in microseconds
	Up    *Up    `json:"up,omitempty"`
	Task  *Task  `json:"task,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
}

// Up means that a machine's worker listens, or why it doesn't.
type Up struct {
	Machine string `json:"machine"`
	Address string `json:"address"`
	Why     string `json:"why,omitempty"` // why it doesn't listen; empty if it does
}

// The kinds of task events.
const (
	TaskOn   = "on"   // the task is on its machine: it waits for the other tasks of its gang, or runs
	TaskOff  = "off"  // the task is no longer on its machine
	TaskDone = "done" // the task has completed
)

// Task is an event of a task.
type Task struct {
	Kind    string `json:"kind"`
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Machine string `json:"machine"`
}

// Usage adds up what the workers of a process have sent and received since it started, with the
// overhead of HTTP.
type Usage struct {
	Workers       int   `json:"workers"`
	BytesIn       int64 `json:"bytes_in"`
	BytesOut      int64 `json:"bytes_out"`
	Reports       int64 `json:"reports"`
	Answered      int64 `json:"answered"` // heartbeats that were answered with 200
	Commands      int64 `json:"commands"` // requests with direct commands
	LeasesExpired int64 `json:"leases_expired"`
}

// isTerminal reports whether a task has ended.
func isTerminal(t *wire.TaskStatus) bool { return t.State == wire.Exited }
