package wire

// States of a task on its machine; Running is shared with users.
const (
	Fetching = "fetching"
	Waiting  = "gathering"
	Saving   = "flushing"
	Exited   = "exited"
)

// Causes of an exit; Done is shared with users.
const (
	CauseStopped    = "stopped"
	CausePeersGone  = "mates_gone"
	CauseIncomplete = "incomplete"
	CauseError      = "error"
	CauseNoCapacity = "full"
	CauseBusy       = "busy"
	CauseUnknown    = "unknown"
)

// Commands to workers.
const (
	CommandStart  = "launch"
	CommandStop   = "kill"
	CommandForget = "reap"
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    string `msgpack:"lot"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"cause"`
	Saved   bool   `msgpack:"kept"`
}

// Heartbeat is a worker's report of itself and all its tasks, POST /v1/report. Of two, the one with the larger
// (Incarnation, Sequence) is newer.
type Heartbeat struct {
	Machine      string       `msgpack:"berth"`
	Addr         string       `msgpack:"addr"`
	Type         string       `msgpack:"rig"`
	Zone         string       `msgpack:"yard"`
	Spot         bool         `msgpack:"loaners"`
	Incarnation  uint64       `msgpack:"shift"` // starts at 1, and increases when the worker's lease expires
	Sequence     uint64       `msgpack:"tally"`
	FencingToken uint64       `msgpack:"baton"`    // the highest that the worker has seen
	NoticeS      *float64     `msgpack:"recall_s"` // until the cloud reclaims the machine; nil: no notice
	Tasks        []TaskStatus `msgpack:"lots"`
}

// Command tells a worker to start, stop or forget an attempt of a task.
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

// Redirect is the body of a 421 to a heartbeat: the node to report to, if there is one.
type Redirect struct {
	Node string `msgpack:"answer_to,omitempty"`
}

// CommandRequest is a direct call to a worker, POST /commands.
type CommandRequest struct {
	FencingToken uint64    `msgpack:"baton"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}
