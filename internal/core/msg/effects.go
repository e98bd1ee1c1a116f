package msg

import "coralhub/wire"

// Commit requests a transaction of the state service.
type Commit struct {
	ID          uint64
	Transaction wire.Transaction
	Priority    WritePriority
	Purpose     Purpose `json:"-"`
}

// Read requests the value of a key.
type Read struct {
	ID  uint64
	Key string
}

// GrantLease requests a new lease.
type GrantLease struct{ TTL Micros }

// RenewLease requests the renewal of a lease. The node also continues to renew it for a limited time,
// in case the core is too busy to request the next renewal in time.
type RenewLease struct {
	Lease uint64
	TTL   Micros
}

// ReleaseLease makes the node stop renewing a lease.
type ReleaseLease struct{ Lease uint64 }

// PollWatchFast makes the node poll the watch at short intervals for some seconds, even if nothing changes.
type PollWatchFast struct{}

// Relist requests a new Snapshot.
type Relist struct{}

// Respond answers a request of a user or worker. RetryAfter is in seconds, or 0 if the response has
// none. Busy is set if the node was too busy to handle the request in time.
type Respond struct {
	RequestID  uint64
	Status     int
	Body       any
	RetryAfter int
	Busy       bool
}

// Command sends commands to a worker by a direct call.
type Command struct {
	ID            uint64
	Machine, Addr string
	Commands      wire.CommandRequest
}

// FetchCatalog requests the machine types from the cloud.
type FetchCatalog struct{}

// ListMachines requests a list of all machines from the cloud.
type ListMachines struct{}

// ScaleOut requests machines from the cloud.
type ScaleOut struct{ Request wire.RentalRequest }

// ScaleIn requests the deletion of machines from the cloud.
type ScaleIn struct{ Machines []string }

// SendPeerUpdate sends the leader a change that this node has just committed.
type SendPeerUpdate struct {
	Node   string
	Change wire.Change
}

// Forward forwards a worker's heartbeat to the leader.
type Forward struct {
	RequestID uint64
	Node      string
	Heartbeat wire.Heartbeat
}

// HeartbeatBatch reports to the leader the heartbeats that this node has answered on its behalf.
type HeartbeatBatch struct {
	Node     string // the leader
	Term     uint64 // version of the leader key that the sender last observed
	SentAt   Micros
	Revision uint64 // this node's replica holds all changes up to this revision
	Acks     []HeartbeatAck
}

// StopServing reports that this node cannot serve, because the stored format is newer than it can read.
type StopServing struct{}

// Log writes a log line, at level debug if Debug is set and at level info otherwise.
type Log struct {
	Debug   bool
	Message string
	Args    []any // alternating keys and values
}

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
func (Forward) effect()        {}
func (HeartbeatBatch) effect() {}
func (StopServing) effect()    {}
func (Log) effect()            {}
