package peer

import (
	"net/http"

	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// Names of the service and its methods in calls of peers.
const (
	serviceName  = "Peer"
	methodReport = serviceName + ".Report"
	methodBeat   = serviceName + ".Beat"
	methodTell   = serviceName + ".Tell"
	methodStatus = serviceName + ".Status"
)

// Handler passes requests of peers to the core and returns its responses.
type Handler interface {
	Heartbeat(wire.Heartbeat) msg.Respond
	HeartbeatBatch(msg.HeartbeatBatchIn) msg.Respond
}

// Service is the net/rpc service that a node offers its peers. The names of its methods are part of the protocol
// between versions.
type Service struct {
	post    func(msg.Input)
	handler Handler
	status  func() Status
}

// Report answers a heartbeat that a relay has forwarded to this node as the leader.
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

// Beat processes a batch of heartbeats that the caller has acknowledged on behalf of this node.
func (s *Service) Beat(in *Beat, out *BeatAnswer) error {
	batch := msg.HeartbeatBatchIn{Node: in.Node, Revision: in.Revision, Acks: decodeAcks(in.Heard)}
	if response, ok := s.handler.HeartbeatBatch(batch).Body.(msg.HeartbeatBatchResponse); ok {
		out.Wanted, out.StandIn = response.ResendMachines, response.Delegation
	}
	return nil
}

// Tell posts a copy of a change that the caller has committed.
func (s *Service) Tell(in *Event, _ *struct{}) error {
	s.post(msg.PeerUpdate{Change: wire.Change{Put: in.Key, Value: in.Value, Version: in.Version}})
	return nil
}

// Status returns this node's status.
func (s *Service) Status(_ *struct{}, out *Status) error {
	*out = s.status()
	return nil
}
