// Package msg is what goes into a node's core and what comes out of it.
package msg

import (
	"coralhub/internal/config"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds. Times given to a core
// come from a steady clock; Wall is the time of day.
type Micros = config.Micros

// Outcome tells how a call to another system went.
type Outcome int

// The outcomes. Refused means certainly not executed, Invalid that besides the
// same request never will be, Unknown may have been executed or may still be.
const (
	OK Outcome = iota
	Conflict
	Gone
	Refused
	Invalid
	Unknown
)

// WritePriority is what a transaction is for, and with that whose changes of the state service it takes.
type WritePriority int

// The turns.
const (
	Critical        WritePriority = iota // somebody is to be answered, or a claim hangs on it
	Admission                            // a job is accepted
	Deferrable                           // it gives way to the others
	WritePriorities                      // how many there are
)

// Input is what a core takes: one of the types below.
type Input interface{ input() }

// Effect is what it asks for: one of the types below.
type Effect interface{ effect() }

// Inputs.
type (
	// Tick tells that time has passed, and the time of day.
	Tick struct{ WallClock Micros }
	// Snapshot is a listing of every key, with the revision before it began.
	Snapshot struct {
		Items    []wire.KeyValue
		Revision uint64
	}
	// Changed tells of puts and deletes, in the order of their revisions. AsOf is
	// when the watch was asked, or a little earlier: everything before that has come.
	Changed struct {
		Events    []wire.Change
		CurrentAt Micros
	}
	// CommitDone answers Commit.
	CommitDone struct {
		ID       uint64
		Outcome  Outcome
		Revision uint64
		Failed   []string
	}
	// ReadDone answers Read. Item is empty if there is no such key.
	ReadDone struct {
		ID      uint64
		Outcome Outcome
		Key     string
		Item    wire.KeyValue
	}
	// LeaseDone answers GrantLease and RenewLease, and tells of renewals that were made
	// for the core between two of its own. Age is how long ago it was asked for.
	LeaseDone struct {
		Outcome   Outcome
		Lease     uint64
		IsRenewal bool
		Age       Micros
	}
	// HeartbeatIn is a worker's report that waits for an answer.
	HeartbeatIn struct {
		RequestID uint64
		Heartbeat wire.Heartbeat
		Forwarded bool // by the worker's home
	}
	// CommandDone answers Command. Report is nil unless the worker answered.
	CommandDone struct {
		ID        uint64
		Machine   string
		Outcome   Outcome
		Heartbeat *wire.Heartbeat
	}
	// CatalogDone answers FetchCatalog.
	CatalogDone struct {
		Outcome Outcome
		Catalog wire.Catalog
	}
	// ListDone answers ListMachines.
	ListDone struct {
		Outcome  Outcome
		Machines []wire.Machine
	}
	// ScaleOutDone answers Rent; Conflict stands for a lack of capacity.
	ScaleOutDone struct {
		Name     string
		Outcome  Outcome
		Machines []string
	}
	// ScaleInDone answers Release.
	ScaleInDone struct {
		Machines []string
		Outcome  Outcome
	}
	// SubmitIn is a submission that waits for an answer.
	SubmitIn struct {
		RequestID uint64
		WallClock Micros
		Body      []byte
	}
	// PollIn is a query that waits for an answer.
	PollIn struct {
		RequestID uint64
		JobID     string
	}
	// CancelIn is a cancellation that waits for an answer.
	CancelIn struct {
		RequestID uint64
		JobID     string
	}
	// ForwardDone answers Forward. Answer is nil unless the leader gave one. Busy means that
	// it is there and had no time for it.
	ForwardDone struct {
		RequestID uint64
		Heartbeat wire.Heartbeat
		Response  *wire.HeartbeatResponse
		Busy      bool
	}
	// HeartbeatAck is a worker's report that its home has answered for the leader.
	HeartbeatAck struct {
		Machine               string
		Incarnation, Sequence uint64
	}
	// HeartbeatBatchIn tells the leader of workers that their homes have answered; its
	// answer's body is a BeatAnswer.
	HeartbeatBatchIn struct {
		RequestID uint64
		Node      string // who sends it; "": a version that didn't say
		Revision  uint64 // its copy of the records holds all changes up to this one
		Acks      []HeartbeatAck
	}
	// HeartbeatBatchDone answers Beat.
	HeartbeatBatchDone struct {
		Batch HeartbeatBatch
		HeartbeatBatchResponse
	}
	// HeartbeatBatchResponse is what the leader says to a Beat.
	HeartbeatBatchResponse struct {
		ResendMachines []string // workers whose next report it wants
		Delegation     Micros   // how long the sender may stand in for it, from when it sent the Beat
	}
	// PeerAlive tells that a peer has answered.
	PeerAlive struct{ Node string }
	// PeerUpdate is a peer's copy of a key that it has just written.
	PeerUpdate struct{ Change wire.Change }
)

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
func (PeerUpdate) input()         {}
func (PeerAlive) input()          {}
func (HeartbeatBatchIn) input()   {}
func (HeartbeatBatchDone) input() {}
func (ForwardDone) input()        {}

// Effects.
type (
	// Commit is a transaction for the state service.
	Commit struct {
		ID          uint64
		Transaction wire.Transaction
		Priority    WritePriority
		Purpose     Purpose `json:"-"`
	}
	// Read asks for a key.
	Read struct {
		ID  uint64
		Key string
	}
	// GrantLease asks for a lease.
	GrantLease struct{ TTL Micros }
	// RenewLease extends a lease, and has it kept for a while after that, in case the core
	// is too busy to say it again in time.
	RenewLease struct {
		Lease uint64
		TTL   Micros
	}
	// ReleaseLease has a lease kept no longer.
	ReleaseLease struct{ Lease uint64 }
	// PollWatchFast has the watch answer often for some seconds, though nothing changes.
	PollWatchFast struct{}
	// Relist asks for a new Snapshot.
	Relist struct{}
	// Respond answers a request of a user or worker. RetryAfter is in seconds,
	// 0 for none. Busy: the node had no time to ask its core.
	Respond struct {
		RequestID  uint64
		Status     int
		Body       any
		RetryAfter int
		Busy       bool
	}
	// Command is a direct call to a worker.
	Command struct {
		ID            uint64
		Machine, Addr string
		Commands      wire.CommandRequest
	}
	// FetchCatalog asks the cloud for its machine types.
	FetchCatalog struct{}
	// ListMachines asks the cloud for all machines.
	ListMachines struct{}
	// ScaleOut asks the cloud for machines.
	ScaleOut struct{ Request wire.RentalRequest }
	// ScaleIn deletes machines.
	ScaleIn struct{ Machines []string }
	// SendPeerUpdate gives the leader a copy of a key just written.
	SendPeerUpdate struct {
		Node   string
		Change wire.Change
	}
	// Forward hands a worker's report to the leader.
	Forward struct {
		RequestID uint64
		Node      string
		Heartbeat wire.Heartbeat
	}
	// HeartbeatBatch tells the leader of workers that this node has answered for it.
	HeartbeatBatch struct {
		Node     string
		Term     uint64 // the version that it is sent under
		SentAt   Micros
		Revision uint64
		Acks     []HeartbeatAck
	}
	// StopServing tells that this node can't serve: the records are of a later version.
	StopServing struct{}
	// Log is a line for the operator.
	Log struct {
		Debug   bool
		Message string
		Args    []any
	}
)

func (Commit) effect()         {}
func (Read) effect()           {}
func (GrantLease) effect()     {}
func (RenewLease) effect()     {}
func (ReleaseLease) effect()   {}
func (PollWatchFast) effect()  {}
func (Relist) effect()         {}
func (Respond) effect()        {}
func (Command) effect()        {}
func (FetchCatalog) effect()   {}
func (ListMachines) effect()   {}
func (ScaleOut) effect()       {}
func (ScaleIn) effect()        {}
func (SendPeerUpdate) effect() {}
func (StopServing) effect()    {}
func (Log) effect()            {}
func (Forward) effect()        {}
func (HeartbeatBatch) effect() {}

// AdminIn is a question of an operator. What is learnt is the leader's: another node
// says who that is.
type AdminIn struct {
	RequestID uint64
	Query     AdminQuery
	JobID     string
	From      uint64
	Limit     int
}

func (AdminIn) input() {}

// AdminQuery names what an operator asks for.
type AdminQuery int

// The queries.
const (
	QueryEstimates AdminQuery = iota
	QueryJob
	QueryRuns
	QueryAccounts // of any node
	QueryPreemptions
	QueryWaitReason
	// QueryGauges is answered by every node.
	QueryGauges
)
