// Package peer is what nodes say to each other, by net/rpc. It is a fast path:
// the records are the truth, and nothing depends on a peer being heard.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/counter"
	"coralhub/wire"
)

const (
	callTimeout = time.Second
	maxCalls    = 64 // at a time
)

// Event is a key that a peer has just written.
type Event struct {
	Key     string
	Value   []byte
	Version uint64
}

// Report is a worker's report that its home hands to the leader.
type Report struct{ Body []byte }

// ReportAnswer is the leader's answer; Body is empty unless it was a 200. Busy: the leader
// had no time for it.
type ReportAnswer struct {
	Body []byte
	Busy bool
}

// Heard is a heartbeat acknowledgement as nodes exchange it, see msg.HeartbeatAck.
type Heard struct {
	Machine      string
	Session, Seq uint64
}

// Beat is a batch of heartbeat acknowledgements as nodes exchange it, see msg.HeartbeatBatch.
type Beat struct {
	Node     string
	Revision uint64
	Heard    []Heard
}

// BeatAnswer is the leader's response to a Beat, see msg.HeartbeatBatchResponse. StandIn is in
// microseconds.
type BeatAnswer struct {
	Wanted  []string
	StandIn int64
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

// Status is how a peer is doing, and how many jobs a second it is asked to accept. One that
// doesn't know of that says nothing of it.
type Status struct {
	StateOK bool
	Says    bool // it says how many
	Accepts float64
}

// Service is what a node offers its peers.
type Service struct {
	post   func(msg.Input)
	answer Answerer
	status func() Status
}

// Answerer has the core answer what peers ask.
type Answerer interface {
	Report(wire.Heartbeat) msg.Respond
	Beat(msg.HeartbeatBatchIn) msg.Respond
}

// Report has the node answer a worker's report as the leader.
func (s *Service) Report(q *Report, a *ReportAnswer) error {
	var r wire.Heartbeat
	if err := wire.Unmarshal(q.Body, &r); err != nil {
		return err
	}
	x := s.answer.Report(r)
	if x.Status != http.StatusOK {
		a.Busy = x.Busy
		return nil
	}
	var err error
	a.Body, err = wire.Marshal(x.Body)
	return err
}

// Beat takes word of workers that the caller has answered for this node.
func (s *Service) Beat(q *Beat, a *BeatAnswer) error {
	if said, ok := s.answer.Beat(msg.HeartbeatBatchIn{Node: q.Node, Revision: q.Revision, Acks: decodeAcks(q.Heard)}).Body.(msg.HeartbeatBatchResponse); ok {
		a.Wanted, a.StandIn = said.ResendMachines, said.Delegation
	}
	return nil
}

// Tell takes a copy of a key that the caller has written.
func (s *Service) Tell(e *Event, _ *struct{}) error {
	s.post(msg.PeerUpdate{Change: wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}})
	return nil
}

// Status tells how this node is doing.
func (s *Service) Status(_ *struct{}, st *Status) error {
	*st = s.status()
	return nil
}

// connectionKey is one of two to each node. What tells that nodes are alive, and for how long homes
// may stand in, has one of its own: reports by the hundred don't hold it up.
type connectionKey struct {
	node     string
	liveness bool
}

// connection is a connection and when an answer last came by it.
type connection struct {
	*rpc.Client
	lastAnswer atomic.Int64 // nanoseconds since the peers began
}

var errSlowPeer = errors.New("no answer in time, though others came")

// Peers holds the connections to the other nodes.
type Peers struct {
	self  string
	post  func(msg.Input)
	mu    sync.Mutex
	addrs map[string]string
	conns map[connectionKey]*connection
	slots chan struct{}

	began time.Time

	handed, lost, busy, full, closed counter.Counter
}

// Totals tells how many reports were handed on and lost since the process began.
func (p *Peers) Totals() map[string]float64 {
	return map[string]float64{"handed": p.handed.Total(), "lost": p.lost.Total()}
}

// Counters tells, since it was last asked, how many reports the leader has
// answered, how many it has not, or had no time for, how many messages found too many
// others on their way, and how often a connection was given up. It is for the debug log.
func (p *Peers) Counters() []any {
	return []any{"handed", p.handed.Since(), "lost", p.lost.Since(), "busy", p.busy.Since(), "full", p.full.Since(), "closed", p.closed.Since()}
}

// New returns the peers of a node.
func New(cfg *config.Config, post func(msg.Input)) *Peers {
	p := &Peers{self: cfg.Node, post: post, addrs: map[string]string{}, conns: map[connectionKey]*connection{}, slots: make(chan struct{}, maxCalls), began: time.Now()}
	for _, n := range cfg.Peers {
		p.addrs[n.Node] = n.Address
	}
	return p
}

// Serve answers peers on l.
func Serve(l net.Listener, post func(msg.Input), answer Answerer, status func() Status) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Service{post, answer, status}); err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}

// Do carries out an effect; it returns false for effects of other adapters.
func (p *Peers) Do(e msg.Effect) bool {
	switch x := e.(type) {
	case msg.SendPeerUpdate:
		p.runLimited(func() {
			ev := Event{x.Change.Put, x.Change.Value, x.Change.Version}
			_ = p.call(x.Node, "Peer.Tell", &ev, &struct{}{}) // the leader's watch tells it too
		}, func() {})
	case msg.Forward:
		done := msg.ForwardDone{RequestID: x.RequestID, Heartbeat: x.Heartbeat}
		p.runLimited(func() {
			switch done.Response, done.Busy = p.forward(x); {
			case done.Response != nil:
				p.handed.Add()
			case done.Busy:
				p.busy.Add()
			default:
				p.lost.Add()
			}
			p.post(done)
		}, func() {
			done.Busy = true // as far as is known: whoever is out of reach is told apart by beats
			go p.post(done)
		})
	case msg.HeartbeatBatch:
		go func() { // some are on their way at most: they are sent at a pace, and given up after a second
			var out BeatAnswer
			if p.callOn(connectionKey{x.Node, true}, "Peer.Beat", &Beat{p.self, x.Revision, encodeAcks(x.Acks)}, &out) == nil {
				p.post(msg.HeartbeatBatchDone{Batch: x, HeartbeatBatchResponse: msg.HeartbeatBatchResponse{ResendMachines: out.Wanted, Delegation: out.StandIn}})
			}
		}()
	default:
		return false
	}
	return true
}

// runLimited runs f in the background, or instead if too much is going on.
func (p *Peers) runLimited(f, instead func()) {
	select {
	case p.slots <- struct{}{}:
		go func() {
			defer func() { <-p.slots }()
			f()
		}()
	default:
		p.full.Add()
		instead()
	}
}

func (p *Peers) forward(x msg.Forward) (answer *wire.HeartbeatResponse, busy bool) {
	body, err := wire.Marshal(&x.Heartbeat)
	if err != nil {
		return nil, false
	}
	var out ReportAnswer
	if err := p.call(x.Node, "Peer.Report", &Report{body}, &out); err != nil {
		return nil, errors.Is(err, errSlowPeer) // what comes later may still be written to out
	}
	var a wire.HeartbeatResponse
	if len(out.Body) == 0 || wire.Unmarshal(out.Body, &a) != nil {
		return nil, out.Busy
	}
	return &a, false
}

// CollectStatus asks every peer for its status, all at once; a peer that doesn't answer
// is left out.
func (p *Peers) CollectStatus() map[string]Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]Status, len(p.addrs))
	for node := range p.addrs {
		wg.Go(func() {
			var st Status
			if p.callOn(connectionKey{node, true}, "Peer.Status", &struct{}{}, &st) == nil {
				mu.Lock()
				out[node] = st
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

func (p *Peers) client(l connectionKey) (*connection, error) {
	p.mu.Lock()
	c := p.conns[l]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	to, err := (&net.Dialer{Timeout: callTimeout}).DialContext(context.Background(), "tcp", p.addrs[l.node])
	if err != nil {
		return nil, err
	}
	c = &connection{Client: rpc.NewClient(to)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[l]; other != nil {
		_ = c.Close()
		return other, nil
	}
	p.conns[l] = c
	return c, nil
}

func (p *Peers) call(node, method string, in, out any) error {
	return p.callOn(connectionKey{node, false}, method, in, out)
}

// callOn makes a call. One without an answer in time doesn't end the connection if other
// answers have come by it meanwhile: with it, all other calls that were on it were lost, which
// made a slow leader look like one out of reach.
func (p *Peers) callOn(l connectionKey, method string, in, out any) error {
	c, err := p.client(l)
	if err != nil {
		return err
	}
	sent := int64(time.Since(p.began))
	call := c.Go(method, in, out, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		if c.lastAnswer.Load() > sent {
			return errSlowPeer
		}
		err = rpc.ErrShutdown
	}
	if err != nil {
		p.mu.Lock()
		if p.conns[l] == c {
			delete(p.conns, l)
			p.closed.Add()
		}
		p.mu.Unlock()
		_ = c.Close()
		return err
	}
	c.lastAnswer.Store(int64(time.Since(p.began)))
	return nil
}
