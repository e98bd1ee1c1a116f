package peer

import (
	"net/http"

	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Names that peers call the service and its methods by.
const (
	serviceName  = "Peer"
	methodReport = serviceName + ".Report"
	methodBeat   = serviceName + ".Beat"
	methodTell   = serviceName + ".Tell"
	methodStatus = serviceName + ".Status"
)

// Handler has the core respond to what peers ask.
type Handler interface {
	Heartbeat(wire.Heartbeat) msg.Respond
	HeartbeatBatch(msg.HeartbeatBatchIn) msg.Respond
}

// Service is what a node offers its peers by net/rpc. The names of its methods are part of the protocol
// between versions.
type Service struct {
	post    func(msg.Input)
	handler Handler
	status  func() Status
}

// Report answers a forwarded heartbeat as the leader.
func (s *Service) Report(in *Report, out *ReportAnswer) error {
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(in.Body, &heartbeat); err != nil {
		return err
	}
	response := s.handler.Heartbeat(heartbeat)
	if response.Status != http.StatusOK {
		out.Busy = response.Busy
		return nil
	}
	var err error
	out.Body, err = wire.Marshal(response.Body)
	return err
}

// Beat takes the heartbeats that the caller has acknowledged for this node.
func (s *Service) Beat(in *Beat, out *BeatAnswer) error {
	batch := msg.HeartbeatBatchIn{Node: in.Node, Revision: in.Revision, Acks: decodeAcks(in.Heard)}
	if response, ok := s.handler.HeartbeatBatch(batch).Body.(msg.HeartbeatBatchResponse); ok {
		out.Wanted, out.StandIn = response.ResendMachines, response.Delegation
	}
	return nil
}

// Tell takes a copy of a key that the caller has written.
func (s *Service) Tell(in *Event, _ *struct{}) error {
	s.post(msg.PeerUpdate{Change: wire.Change{Put: in.Key, Value: in.Value, Version: in.Version}})
	return nil
}

// Status returns this node's status.
func (s *Service) Status(_ *struct{}, out *Status) error {
	*out = s.status()
	return nil
}
