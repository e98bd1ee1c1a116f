package peer

import "coralhub/internal/core/msg"

// The messages below are sent by net/rpc in gob encoding, which matches fields by name, between nodes of different
// versions that run side by side during an upgrade. Their fields and the methods of Service therefore keep the
// names under which they were first released. This package converts them from and to the types of msg.

// Event is a change that a peer has just committed, see msg.SendPeerUpdate.
type Event struct {
	Key     string
	Value   []byte
	Version uint64
}

// Report is a worker's heartbeat that its relay forwards to the leader. Body is encoded by package wire.
type Report struct{ Body []byte }

// ReportAnswer is the leader's response to a forwarded heartbeat. Body is empty unless the status is 200. Busy
// is set if the leader was overloaded and did not process it.
type ReportAnswer struct {
	Body []byte
	Busy bool
}

// Heard is the acknowledgement of a heartbeat, see msg.HeartbeatAck.
type Heard struct {
	Machine      string
	Session, Seq uint64
}

// Beat is a batch of heartbeat acknowledgements, see msg.HeartbeatBatch.
type Beat struct {
	Node     string
	Revision uint64
	Heard    []Heard
}

// BeatAnswer is the leader's response to a Beat, see msg.HeartbeatBatchResponse. StandIn is in microseconds.
type BeatAnswer struct {
	Wanted  []string
	StandIn int64
}

// Status is a node's status. StateOK reports whether the node reaches the state service. Accepts is how many jobs
// per second the node is asked to accept. Says is set if Accepts is reported, which earlier versions don't do.
type Status struct {
	StateOK bool
	Says    bool
	Accepts float64
}

func encodeAcks(acks []msg.HeartbeatAck) []Heard {
	out := make([]Heard, len(acks))
	for i, a := range acks {
		out[i] = Heard{Machine: a.Machine, Session: a.Incarnation, Seq: a.Sequence}
	}
	return out
}

func decodeAcks(heard []Heard) []msg.HeartbeatAck {
	out := make([]msg.HeartbeatAck, len(heard))
	for i, h := range heard {
		out[i] = msg.HeartbeatAck{Machine: h.Machine, Incarnation: h.Session, Sequence: h.Seq}
	}
	return out
}
