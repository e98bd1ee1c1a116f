package msg

import "coralhub/wire"

// Tick reports the passage of time and the time of day.
type Tick struct{ WallClock Micros }

// Snapshot is a listing of all keys, with the revision that the state service had before the
// listing began.
type Snapshot struct {
	Items    []wire.KeyValue
	Revision uint64
}

// Changed reports puts and deletes in the order of their revisions. CurrentAt is the time at which
// the watch was polled, or slightly earlier: with this input, all changes up to that time have been
// reported.
type Changed struct {
	Events    []wire.Change
	CurrentAt Micros
}

// CommitDone is the result of a Commit. Failed holds the keys of the conditions that failed.
type CommitDone struct {
	ID       uint64
	Outcome  Outcome
	Revision uint64
	Failed   []string
}

// ReadDone is the result of a Read. Item is empty if the key does not exist.
type ReadDone struct {
	ID      uint64
	Outcome Outcome
	Key     string
	Item    wire.KeyValue
}

// LeaseDone is the result of a GrantLease or RenewLease. It also reports renewals that the node made
// on behalf of the core between two requests of the core. Age is the time since the request was sent.
type LeaseDone struct {
	Outcome   Outcome
	Lease     uint64
	IsRenewal bool
	Age       Micros
}

// HeartbeatIn is a worker's heartbeat, to be answered by a Respond. Forwarded is set if another
// node, to which the worker reports, has forwarded it.
type HeartbeatIn struct {
	RequestID uint64
	Heartbeat wire.Heartbeat
	Forwarded bool
}

// CommandDone is the result of a Command. Heartbeat is nil unless the worker answered.
type CommandDone struct {
	ID        uint64
	Machine   string
	Outcome   Outcome
	Heartbeat *wire.Heartbeat
}

// CatalogDone is the result of a FetchCatalog.
type CatalogDone struct {
	Outcome Outcome
	Catalog wire.Catalog
}

// ListDone is the result of a ListMachines.
type ListDone struct {
	Outcome  Outcome
	Machines []wire.Machine
}

// ScaleOutDone is the result of a ScaleOut. The outcome Conflict means a lack of capacity.
type ScaleOutDone struct {
	Name     string
	Outcome  Outcome
	Machines []string
}

// ScaleInDone is the result of a ScaleIn.
type ScaleInDone struct {
	Machines []string
	Outcome  Outcome
}

// SubmitIn is the submission of a job, to be answered by a Respond.
type SubmitIn struct {
	RequestID uint64
	WallClock Micros
	Body      []byte
}

// PollIn is a query for a job's state, to be answered by a Respond.
type PollIn struct {
	RequestID uint64
	JobID     string
}

// CancelIn is the cancellation of a job, to be answered by a Respond.
type CancelIn struct {
	RequestID uint64
	JobID     string
}

// AdminIn is an operator's query, to be answered by a Respond. Most queries can be answered by the
// leader alone; other nodes respond with the leader's name.
type AdminIn struct {
	RequestID uint64
	Query     AdminQuery
	JobID     string
	From      uint64
	Limit     int
}

// ForwardDone is the result of a Forward. Response is nil unless the node responded as the leader.
// Busy is set if the leader was reached but was too busy to handle the heartbeat.
type ForwardDone struct {
	RequestID uint64
	Heartbeat wire.Heartbeat
	Response  *wire.HeartbeatResponse
	Busy      bool
}

// HeartbeatAck identifies a worker's heartbeat that a node has answered on behalf of the leader.
type HeartbeatAck struct {
	Machine               string
	Incarnation, Sequence uint64
}

// HeartbeatBatchIn reports to the leader the heartbeats that another node has answered on its behalf.
// The body of the response is a HeartbeatBatchResponse.
type HeartbeatBatchIn struct {
	RequestID uint64
	Node      string // the sender; empty if it is of a version that did not send this field
	Revision  uint64 // the sender's replica holds all changes up to this revision
	Acks      []HeartbeatAck
}

// HeartbeatBatchDone is the result of a HeartbeatBatch.
type HeartbeatBatchDone struct {
	Batch HeartbeatBatch
	HeartbeatBatchResponse
}

// HeartbeatBatchResponse is the leader's response to a HeartbeatBatch.
type HeartbeatBatchResponse struct {
	ResendMachines []string // workers whose next heartbeat must be forwarded to the leader
	Delegation     Micros   // time for which the sender may act as a delegate, counted from when it sent the batch
}

// PeerAlive reports that another node has responded.
type PeerAlive struct{ Node string }

// PeerUpdate is a change that another node has just committed, sent ahead of the watch.
type PeerUpdate struct{ Change wire.Change }

func (Tick) input()               {}
func (Snapshot) input()           {}
func (Changed) input()            {}
func (CommitDone) input()         {}
func (ReadDone) input()           {}
func (LeaseDone) input()          {}
func (HeartbeatIn) input()        {}
func (CommandDone) input()        {}
func (CatalogDone) input()        {}
func (ListDone) input()           {}
func (ScaleOutDone) input()       {}
func (ScaleInDone) input()        {}
func (SubmitIn) input()           {}
func (PollIn) input()             {}
func (CancelIn) input()           {}
func (AdminIn) input()            {}
func (ForwardDone) input()        {}
func (HeartbeatBatchIn) input()   {}
func (HeartbeatBatchDone) input() {}
func (PeerAlive) input()          {}
func (PeerUpdate) input()         {}
