// Package peer implements the messages between controller nodes, by net/rpc. They are a fast path: the records in
// the state service are authoritative, and nothing depends on the delivery of a message.
package peer

import (
	"context"
	"errors"
	"net"
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
	callTimeout        = time.Second
	maxConcurrentCalls = 64
)

var (
	// errSlowPeer is the error of a call that timed out while other calls on the same connection were answered.
	errSlowPeer = errors.New("call timed out, but the peer answered others on the same connection")
	// errTimeout is the error of a call that timed out on a connection without any answer since it was sent.
	errTimeout = errors.New("call timed out without any answer on the connection")
	// errClosed is the error of a call after Close.
	errClosed = errors.New("peer connections are closed")
)

// connectionKey identifies one of the two connections to each node. Calls that show that nodes are alive, and that
// set how long relays may act as delegates, use a separate connection, so that hundreds of forwarded heartbeats
// don't delay them.
type connectionKey struct {
	node     string
	liveness bool
}

// connection is an RPC client with the time of its last answer.
type connection struct {
	*rpc.Client
	lastAnswer atomic.Int64 // nanoseconds since Peers.start
}

// Peers holds the connections to the other nodes. Its methods except Counters are safe for concurrent use.
type Peers struct {
	self      string
	post      func(msg.Input)
	addresses map[string]string // by node
	slots     chan struct{}     // one element for each running function of runLimited
	start     time.Time
	calls     sync.WaitGroup // started by Do

	mu          sync.Mutex
	isClosed    bool // set by Close; no connection is opened after that
	connections map[connectionKey]*connection

	// Forwarded heartbeats by result (answered, lost, busy), calls rejected because too many were in flight, and
	// connections closed after a failure.
	answered, lost, busy, rejected, disconnected counter.Counter
}

// New returns a client of the node's peers that posts the results of calls to the core.
func New(cfg *config.Config, post func(msg.Input)) *Peers {
	p := &Peers{
		self:        cfg.Node,
		post:        post,
		addresses:   map[string]string{},
		slots:       make(chan struct{}, maxConcurrentCalls),
		start:       time.Now(),
		connections: map[connectionKey]*connection{},
	}
	for _, n := range cfg.Peers {
		p.addresses[n.Node] = n.Address
	}
	return p
}

// Totals returns how many forwarded heartbeats the leader has answered (handed), and how many were lost, since the
// start of the process.
func (p *Peers) Totals() map[string]float64 {
	return map[string]float64{"handed": p.answered.Total(), "lost": p.lost.Total()}
}

// Counters returns key-value pairs for the debug log, counted since the last call: forwarded heartbeats that the
// leader has answered (handed), has not answered (lost) or was too busy to answer in time (busy), calls rejected
// because too many were in flight (full), and connections closed after a failure (closed). It is not safe for
// concurrent use.
func (p *Peers) Counters() []any {
	return []any{
		"handed", p.answered.Delta(),
		"lost", p.lost.Delta(),
		"busy", p.busy.Delta(),
		"full", p.rejected.Delta(),
		"closed", p.disconnected.Delta(),
	}
}

// Do starts to execute an effect, which ends with ctx at the latest. It returns false for effects of other adapters.
func (p *Peers) Do(ctx context.Context, e msg.Effect) bool {
	switch x := e.(type) {
	case msg.SendPeerUpdate:
		p.sendUpdate(ctx, x)
	case msg.Forward:
		p.forward(ctx, x)
	case msg.HeartbeatBatch:
		// No limit is needed: batches are sent at an interval and time out after callTimeout, so few are in flight.
		p.calls.Go(func() { p.sendBatch(ctx, x) })
	default:
		return false
	}
	return true
}

// Close closes all connections. Calls in flight end, and later calls fail.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, c := range p.connections {
		_ = c.Close() // the only error is that it was closed before
	}
	clear(p.connections)
}

// Wait waits until all calls started by Do have ended. It may be called only after their contexts and all uses of
// Do have ended, and after Close.
func (p *Peers) Wait() { p.calls.Wait() }

// sendUpdate sends a peer a copy of a change. If it is lost, the peer receives the change by its watch a little later.
func (p *Peers) sendUpdate(ctx context.Context, x msg.SendPeerUpdate) {
	p.runLimited(func() {
		event := Event{Key: x.Change.Put, Value: x.Change.Value, Version: x.Change.Version}
		_ = p.call(ctx, x.Node, methodTell, &event, &struct{}{})
	}, func() {})
}

// forward sends a heartbeat to the leader and posts the response.
func (p *Peers) forward(ctx context.Context, x msg.Forward) {
	done := msg.ForwardDone{RequestID: x.RequestID, Heartbeat: x.Heartbeat}
	p.runLimited(func() {
		done.Response, done.Busy = p.callReport(ctx, x)
		switch {
		case done.Response != nil:
			p.answered.Add()
		case done.Busy:
			p.busy.Add()
		default:
			p.lost.Add()
		}
		p.post(done)
	}, func() {
		done.Busy = true                    // the leader may be reachable; heartbeat batches show whether it is
		p.calls.Go(func() { p.post(done) }) // post may block, and the node's loop must not
	})
}

func (p *Peers) callReport(ctx context.Context, x msg.Forward) (response *wire.HeartbeatResponse, busy bool) {
	body, err := wire.Marshal(&x.Heartbeat)
	if err != nil {
		return nil, false
	}
	var out ReportAnswer
	if err := p.call(ctx, x.Node, methodReport, &Report{body}, &out); err != nil {
		return nil, errors.Is(err, errSlowPeer) // out is not read, since a late answer may still be written to it
	}
	response = &wire.HeartbeatResponse{}
	if len(out.Body) == 0 || wire.Unmarshal(out.Body, response) != nil {
		return nil, out.Busy
	}
	return response, false
}

func (p *Peers) sendBatch(ctx context.Context, x msg.HeartbeatBatch) {
	in := Beat{Node: p.self, Revision: x.Revision, Heard: encodeAcks(x.Acks)}
	var out BeatAnswer
	if p.callOn(ctx, connectionKey{node: x.Node, liveness: true}, methodBeat, &in, &out) != nil {
		return
	}
	response := msg.HeartbeatBatchResponse{ResendMachines: out.Wanted, Delegation: out.StandIn}
	p.post(msg.HeartbeatBatchDone{Batch: x, HeartbeatBatchResponse: response})
}

// CollectStatus requests the status of all peers concurrently. The result lacks peers that didn't answer in time, or
// not before the end of ctx.
func (p *Peers) CollectStatus(ctx context.Context) map[string]Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]Status, len(p.addresses))
	for node := range p.addresses {
		wg.Go(func() {
			var status Status
			if p.callOn(ctx, connectionKey{node: node, liveness: true}, methodStatus, &struct{}{}, &status) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[node] = status
		})
	}
	wg.Wait()
	return out
}

// runLimited runs f in the background. If maxConcurrentCalls are running already, it calls onLimit instead.
func (p *Peers) runLimited(f, onLimit func()) {
	select {
	case p.slots <- struct{}{}:
		p.calls.Go(func() {
			defer func() { <-p.slots }()
			f()
		})
	default:
		p.rejected.Add()
		onLimit()
	}
}

// connect returns the open connection of a key, or opens one if there is none.
func (p *Peers) connect(ctx context.Context, key connectionKey) (*connection, error) {
	p.mu.Lock()
	c := p.connections[key]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.addresses[key.node])
	if err != nil {
		return nil, err
	}
	c = &connection{Client: rpc.NewClient(conn)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		_ = c.Close()
		return nil, errClosed
	}
	if other := p.connections[key]; other != nil {
		_ = c.Close()
		return other, nil
	}
	p.connections[key] = c
	return c, nil
}

// disconnect closes and removes a connection after a failure.
func (p *Peers) disconnect(key connectionKey, c *connection) {
	p.mu.Lock()
	if p.connections[key] == c {
		delete(p.connections, key)
		p.disconnected.Add()
	}
	p.mu.Unlock()
	_ = c.Close()
}

func (p *Peers) call(ctx context.Context, node, method string, in, out any) error {
	return p.callOn(ctx, connectionKey{node: node}, method, in, out)
}

// callOn calls a method of Service, given by one of the method constants. A call that times out does not close the
// connection if other calls on it were answered since it was sent: closing it would fail all calls in flight on it,
// so that a slow leader would look like an unreachable one.
func (p *Peers) callOn(ctx context.Context, key connectionKey, method string, in, out any) error {
	c, err := p.connect(ctx, key)
	if err != nil {
		return err
	}
	sentAt := int64(time.Since(p.start))
	call := c.Go(method, in, out, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		if c.lastAnswer.Load() > sentAt {
			return errSlowPeer
		}
		err = errTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
	if err != nil {
		p.disconnect(key, c)
		return err
	}
	c.lastAnswer.Store(int64(time.Since(p.start)))
	return nil
}
