// Package hollow implements workers that speak the whole worker protocol and do no work.
// Thousands of them share a process, so that the control plane can be measured with more workers
// than there are machines.
//
// Each worker has its own address and socket, sends heartbeats at the protocol's intervals,
// maintains its lease, incarnation and fencing token, and executes commands. A task occupies GPUs
// for the run time of its job and then exits. The tasks of a gang may be spread over several
// processes, so the program that started the processes tracks which of them are placed, and sends the
// commands to run and to break a gang.
// Images and checkpoints are not simulated: every machine has every image, and a task that is
// stopped restarts from the beginning.
package hollow

import "coralhub/wire"

// Config is the configuration of a process of hollow workers. It is the first line of JSON that the
// process reads.
type Config struct {
	// Network is the second octet, 0 to 255, of the loopback addresses that workers listen on. Each worker has
	// its own address, because one address has too few ports for a large run.
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

// Command is a command to the process, sent as a line of JSON. Exactly one field is set.
type Command struct {
	Start   *Machine `json:"start,omitempty"`   // start the worker of a machine that is up
	Remove  string   `json:"remove,omitempty"`  // remove the worker of a machine that no longer exists
	Restart *Restart `json:"restart,omitempty"` // restart a machine, which loses its tasks
	Job     *Job     `json:"job,omitempty"`     // add a job that tasks may belong to
	Run     *Attempt `json:"run,omitempty"`     // run a gang: all its tasks are placed
	Break   *Attempt `json:"break,omitempty"`   // stop a running gang: one of its tasks has stopped
	Usage   bool     `json:"usage,omitempty"`   // report the usage
}

// Machine is a machine as its worker describes it in heartbeats, and its GPU capacity.
type Machine struct {
	Name string  `json:"name"`
	Type string  `json:"type"`
	Zone string  `json:"zone"`
	Spot bool    `json:"spot"`
	GPUs float64 `json:"gpus"`
}

// Restart is a restart of a machine.
type Restart struct {
	Machine   string  `json:"machine"`
	DowntimeS float64 `json:"away_s"` // how long the machine is down, in seconds
}

// Job describes a job to the workers.
type Job struct {
	ID    string  `json:"id"`
	Tasks int     `json:"tasks"`
	GPUs  float64 `json:"gpus"` // of each task
	Gang  bool    `json:"gang,omitempty"`
	RunS  float64 `json:"run_s"` // run time of each task, in seconds
}

// Attempt identifies an attempt of a gang.
type Attempt struct {
	Job     string `json:"job"`
	Attempt uint64 `json:"attempt"`
}

// Event is an event in the process, written as a line of JSON. Exactly one of the fields after At is
// set.
type Event struct {
	At          int64        `json:"at"` // Unix time in microseconds
	StartResult *StartResult `json:"up,omitempty"`
	Task        *TaskEvent   `json:"task,omitempty"`
	Usage       *Usage       `json:"usage,omitempty"`
}

// StartResult is the result of starting a machine's worker.
type StartResult struct {
	Machine string `json:"machine"`
	Address string `json:"address"`       // HOST:PORT that the worker listens on; empty on error
	Error   string `json:"why,omitempty"` // why the worker does not listen; empty if it does
}

// Kinds of task events.
const (
	TaskPlaced  = "on"   // the task is on its machine: it waits for the other tasks of its gang, or runs
	TaskRemoved = "off"  // the task is no longer on its machine
	TaskDone    = "done" // the task has completed
)

// TaskEvent is a change of a task on its machine. Kind is one of the kinds of task events.
type TaskEvent struct {
	Kind    string `json:"kind"`
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Machine string `json:"machine"`
}

// Usage holds the number of workers that a process runs, and counters of the network traffic and expired
// leases of all its workers since it started. Bytes include the overhead of HTTP.
type Usage struct {
	Workers       int   `json:"workers"`
	BytesIn       int64 `json:"bytes_in"`
	BytesOut      int64 `json:"bytes_out"`
	Heartbeats    int64 `json:"reports"`  // heartbeats sent
	Answered      int64 `json:"answered"` // heartbeats that were answered with 200
	Commands      int64 `json:"commands"` // requests received by workers, also status requests
	LeasesExpired int64 `json:"leases_expired"`
}

// isTerminal reports whether a task has exited.
func isTerminal(t *wire.TaskStatus) bool { return t.State == wire.Exited }
