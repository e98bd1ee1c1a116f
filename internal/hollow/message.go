// Package hollow is workers that speak the whole protocol and do no work. Thousands of them
// share a process, so that controllers can be measured at a size for which there are no machines.
//
// Each has an address and a socket of its own, reports by the protocol's times, keeps lease,
// session and token, and carries out commands. A task takes its place, runs for as long as its
// job says and exits. What no process can know alone, whether all tasks of a gang are there, is
// decided by whoever started the processes. Left out are images, which every machine has, and
// saved progress: a task that is stopped begins anew.
package hollow

import "coralhub/wire"

// Config is what a process of hollow workers reads first, as a line of JSON.
type Config struct {
	// Network is the second part of the loopback addresses that workers listen on, 0 to 255. Each worker has
	// an address of its own: one address has too few ports for all of a large run.
	Network int    `json:"network"`
	Nodes   []Node `json:"nodes"`
	// Times of the protocol, in seconds.
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
}

// Node is a controller node that workers may report to.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"` // HOST:PORT
}

// Command is what the process is told from then on, each a line of JSON. One field is set.
type Command struct {
	Start   *Machine `json:"start,omitempty"`   // a machine is up
	Remove  string   `json:"remove,omitempty"`  // a machine is gone
	Restart *Restart `json:"restart,omitempty"` // a machine loses what is on it and comes back
	Job     *Job     `json:"job,omitempty"`     // a job's description has been uploaded
	Run     *Attempt `json:"run,omitempty"`     // all tasks of a gang are there
	Break   *Attempt `json:"break,omitempty"`   // a task of a gang is gone
	Usage   bool     `json:"usage,omitempty"`   // tell what was sent and received
}

// Machine is a machine as its worker describes it.
type Machine struct {
	Name string  `json:"name"`
	Type string  `json:"type"`
	Zone string  `json:"zone"`
	Spot bool    `json:"spot"`
	GPUs float64 `json:"gpus"`
}

// Restart says how long a machine is away.
type Restart struct {
	Machine string  `json:"machine"`
	AwayS   float64 `json:"away_s"`
}

// Job is what a worker has to know of a job.
type Job struct {
	ID    string  `json:"id"`
	Tasks int     `json:"tasks"`
	GPUs  float64 `json:"gpus"` // of each task
	Gang  bool    `json:"gang,omitempty"`
	RunS  float64 `json:"run_s"`
}

// Attempt names an attempt of a gang.
type Attempt struct {
	Job     string `json:"job"`
	Attempt uint64 `json:"attempt"`
}

// Event is what the process tells, each a line of JSON. One of the fields behind At is set.
type Event struct {
	At    int64  `json:"at"` // time of day, in microseconds
	Up    *Up    `json:"up,omitempty"`
	Task  *Task  `json:"task,omitempty"`
	Usage *Usage `json:"usage,omitempty"`
}

// Up tells that a machine's worker listens.
type Up struct {
	Machine string `json:"machine"`
	Address string `json:"address"`
	Why     string `json:"why,omitempty"` // why it doesn't; empty if it does
}

// Kinds of what happens to a task.
const (
	TaskOn   = "on"   // it has its place: a task of a gang waits for the others, any other runs
	TaskOff  = "off"  // it is not there any more
	TaskDone = "done" // it has completed
)

// Task tells what has happened to a task.
type Task struct {
	Kind    string `json:"kind"`
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Machine string `json:"machine"`
}

// Usage adds up what the workers of a process have sent and received since it began, with all
// that HTTP adds.
type Usage struct {
	Workers       int   `json:"workers"`
	BytesIn       int64 `json:"bytes_in"`
	BytesOut      int64 `json:"bytes_out"`
	Reports       int64 `json:"reports"`
	Answered      int64 `json:"answered"` // reports that got a 200
	Commands      int64 `json:"commands"` // direct calls
	LeasesExpired int64 `json:"leases_expired"`
}

// terminal tells whether a task has ended.
func terminal(t *wire.TaskStatus) bool { return t.State == wire.Exited }
