package wire

// States of a task on its machine, besides Running, which is a job state too.
const (
	Fetching = "fetching"  // of the image
	Waiting  = "gathering" // for the other tasks of the gang
	Saving   = "flushing"  // a checkpoint
	Exited   = "exited"
)

// Causes of a task's exit, besides Done, which is a job state too.
const (
	CauseStopped        = "stopped"
	CausePeerStopped    = "mates_gone"
	CauseGangIncomplete = "incomplete"
	CauseError          = "error"
	CauseNoCapacity     = "full"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
)

// Commands to workers.
const (
	CommandStart  = "launch"
	CommandStop   = "kill"
	CommandForget = "reap"
)

// TaskStatus is the status of a task in a heartbeat.
type TaskStatus struct {
	Task    string `msgpack:"lot"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"cause"`
	Saved   bool   `msgpack:"kept"`
}

// Heartbeat is the periodic report of a worker on itself and all its tasks, POST /v1/report. Of two heartbeats, the one
// with the larger pair (Incarnation, Sequence) is newer.
type Heartbeat struct {
	Machine      string       `msgpack:"berth"`
	Addr         string       `msgpack:"addr"`
	Type         string       `msgpack:"rig"`
	Zone         string       `msgpack:"yard"`
	Spot         bool         `msgpack:"loaners"`
	Incarnation  uint64       `msgpack:"shift"` // starts at 1; increases when the lease expires or the worker restarts
	Sequence     uint64       `msgpack:"tally"`
	FencingToken uint64       `msgpack:"baton"`    // the highest that the worker has received
	NoticeS      *float64     `msgpack:"recall_s"` // time until the cloud reclaims the machine; nil without a notice
	Tasks        []TaskStatus `msgpack:"lots"`
}

// Command instructs a worker to start or stop an attempt of a task, or to drop its record of one that has exited.
type Command struct {
	Verb    string   `msgpack:"verb"`
	Task    string   `msgpack:"lot"`
	Attempt uint64   `msgpack:"try"`
	GraceS  *float64 `msgpack:"wind_down_s,omitempty"`
}

// HeartbeatResponse is the body of a 200 to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"baton"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect is the body of a 421 to a heartbeat. Node is the node to send heartbeats to; it is empty if none is named.
type Redirect struct {
	Node string `msgpack:"answer_to,omitempty"`
}

// CommandRequest is the body of a call that sends commands directly to a worker, POST /commands.
type CommandRequest struct {
	FencingToken uint64    `msgpack:"baton"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}
