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

// Turn is what a transaction is for, and with that whose changes of the state service it takes.
type Turn int

// The turns.
const (
	First  Turn = iota // somebody is to be answered, or a claim hangs on it
	Accept             // a job is accepted
	Later              // it gives way to the others
	Turns              // how many there are
)

// Input is what a core takes: one of the types below.
type Input interface{ input() }

// Effect is what it asks for: one of the types below.
type Effect interface{ effect() }

// Inputs.
type (
	// Tick tells that time has passed, and the time of day.
	Tick struct{ Wall Micros }
	// Snapshot is a listing of every key, with the revision before it began.
	Snapshot struct {
		Items    []wire.Item
		Revision uint64
	}
	// Changed tells of puts and deletes, in the order of their revisions. AsOf is
	// when the watch was asked, or a little earlier: everything before that has come.
	Changed struct {
		Events []wire.Change
		AsOf   Micros
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
		Item    wire.Item
	}
	// LeaseDone answers GrantLease and RenewLease, and tells of renewals that were made
	// for the core between two of its own. Age is how long ago it was asked for.
	LeaseDone struct {
		Outcome Outcome
		Lease   uint64
		Renewal bool
		Age     Micros
	}
	// ReportIn is a worker's report that waits for an answer.
	ReportIn struct {
		Req       uint64
		Report    wire.Report
		Forwarded bool // by the worker's home
	}
	// CommandDone answers Command. Report is nil unless the worker answered.
	CommandDone struct {
		ID      uint64
		Machine string
		Outcome Outcome
		Report  *wire.Report
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
	// RentDone answers Rent; Conflict stands for a lack of capacity.
	RentDone struct {
		Name     string
		Outcome  Outcome
		Machines []string
	}
	// ReleaseDone answers Release.
	ReleaseDone struct {
		Machines []string
		Outcome  Outcome
	}
	// SubmitIn is a submission that waits for an answer.
	SubmitIn struct {
		Req  uint64
		Wall Micros
		Body []byte
	}
	// PollIn is a query that waits for an answer.
	PollIn struct {
		Req uint64
		ID  string
	}
	// CancelIn is a cancellation that waits for an answer.
	CancelIn struct {
		Req uint64
		ID  string
	}
	// ForwardDone answers Forward. Answer is nil unless the leader gave one. Busy means that
	// it is there and had no time for it.
	ForwardDone struct {
		Req    uint64
		Report wire.Report
		Answer *wire.ReportAnswer
		Busy   bool
	}
	// Heard is a worker's report that its home has answered for the leader.
	Heard struct {
		Machine      string
		Session, Seq uint64
	}
	// BeatIn tells the leader of workers that their homes have answered; its
	// answer's body is a BeatAnswer.
	BeatIn struct {
		Req      uint64
		Node     string // who sends it; "": a version that didn't say
		Revision uint64 // its copy of the records holds all changes up to this one
		Heard    []Heard
	}
	// BeatDone answers Beat.
	BeatDone struct {
		Beat Beat
		BeatAnswer
	}
	// BeatAnswer is what the leader says to a Beat.
	BeatAnswer struct {
		Wanted  []string // workers whose next report it wants
		StandIn Micros   // how long the sender may stand in for it, from when it sent the Beat
	}
	// PeerHeard tells that a peer has answered.
	PeerHeard struct{ Node string }
	// Hint is a peer's copy of a key that it has just written.
	Hint struct{ Event wire.Change }
)

func (Tick) input()        {}
func (Snapshot) input()    {}
func (Changed) input()     {}
func (CommitDone) input()  {}
func (ReadDone) input()    {}
func (LeaseDone) input()   {}
func (ReportIn) input()    {}
func (CommandDone) input() {}
func (CatalogDone) input() {}
func (ListDone) input()    {}
func (RentDone) input()    {}
func (ReleaseDone) input() {}
func (SubmitIn) input()    {}
func (PollIn) input()      {}
func (CancelIn) input()    {}
func (Hint) input()        {}
func (PeerHeard) input()   {}
func (BeatIn) input()      {}
func (BeatDone) input()    {}
func (ForwardDone) input() {}

// Effects.
type (
	// Commit is a transaction for the state service.
	Commit struct {
		ID   uint64
		Txn  wire.Commit
		Turn Turn
		For  Purpose `json:"-"`
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
	// DropLease has a lease kept no longer.
	DropLease struct{ Lease uint64 }
	// FollowClosely has the watch answer often for some seconds, though nothing changes.
	FollowClosely struct{}
	// Relist asks for a new Snapshot.
	Relist struct{}
	// Answer answers a request of a user or worker. RetryAfter is in seconds,
	// 0 for none. Busy: the node had no time to ask its core.
	Answer struct {
		Req        uint64
		Status     int
		Body       any
		RetryAfter int
		Busy       bool
	}
	// Command is a direct call to a worker.
	Command struct {
		ID            uint64
		Machine, Addr string
		Commands      wire.Commands
	}
	// FetchCatalog asks the cloud for its machine types.
	FetchCatalog struct{}
	// ListMachines asks the cloud for all machines.
	ListMachines struct{}
	// Rent asks the cloud for machines.
	Rent struct{ Request wire.Rent }
	// Release deletes machines.
	Release struct{ Machines []string }
	// Tell gives the leader a copy of a key just written.
	Tell struct {
		Node  string
		Event wire.Change
	}
	// Forward hands a worker's report to the leader.
	Forward struct {
		Req    uint64
		Node   string
		Report wire.Report
	}
	// Beat tells the leader of workers that this node has answered for it.
	Beat struct {
		Node     string
		Claim    uint64 // the version that it is sent under
		Sent     Micros
		Revision uint64
		Heard    []Heard
	}
	// Retire tells that this node can't serve: the records are of a later version.
	Retire struct{}
	// Log is a line for the operator.
	Log struct {
		Debug bool
		Text  string
		Args  []any
	}
)

func (Commit) effect()        {}
func (Read) effect()          {}
func (GrantLease) effect()    {}
func (RenewLease) effect()    {}
func (DropLease) effect()     {}
func (FollowClosely) effect() {}
func (Relist) effect()        {}
func (Answer) effect()        {}
func (Command) effect()       {}
func (FetchCatalog) effect()  {}
func (ListMachines) effect()  {}
func (Rent) effect()          {}
func (Release) effect()       {}
func (Tell) effect()          {}
func (Retire) effect()        {}
func (Log) effect()           {}
func (Forward) effect()       {}
func (Beat) effect()          {}

// AdminIn is a question of an operator. What is learnt is the leader's: another node
// says who that is.
type AdminIn struct {
	Req  uint64
	What AdminQuery
	ID   string
	From uint64
	Most int
}

func (AdminIn) input() {}

// AdminQuery names what an operator asks for.
type AdminQuery int

// The queries.
const (
	AskEstimates AdminQuery = iota
	AskJob
	AskRuns
	AskAccounts // of any node
	AskStanding
	AskWaits
	// AskGauges is answered by every node.
	AskGauges
)
