package peer

import "coralhub/internal/core/msg"

// The messages below travel by net/rpc in gob, which matches fields by name, between versions that serve side
// by side during an upgrade. Their fields and the methods of Service keep the names under which they were
// first released; the conversions here are the only place that knows them.

// Event is a key that a peer has just written, see msg.SendPeerUpdate.
type Event struct {
	Key     string
	Value   []byte
	Version uint64
}

// Report is a worker's heartbeat that its relay forwards to the leader. Body is encoded as on the wire.
type Report struct{ Body []byte }

// ReportAnswer is the leader's response to a forwarded heartbeat. Body is empty unless the status is 200. Busy
// means that the leader had no time for it.
type ReportAnswer struct {
	Body []byte
	Busy bool
}

// Heard is a heartbeat acknowledgement, see msg.HeartbeatAck.
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

// Status is a node's view of the state service, and how many jobs a second it is asked to accept (Accepts).
// Versions that don't report the latter leave Says false.
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
