// Package peer is what controller nodes send each other, by net/rpc. It is a fast path: the records are the
// truth, and nothing depends on a message to a peer arriving.
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
	// errSlowPeer is a call without an answer in time, while other calls on the same connection had answers.
	errSlowPeer = errors.New("no answer in time, though others came")
	// errNoAnswer is a call without an answer in time, on a connection that had none meanwhile.
	errNoAnswer = errors.New("no answer in time")
	// errClosed is a call after Close.
	errClosed = errors.New("connections are closed")
)

// connectionKey names one of the two connections to each node. Calls that show that nodes are alive, and for how
// long relays may act as delegates, have one of their own: hundreds of heartbeats don't delay them.
type connectionKey struct {
	node     string
	liveness bool
}

// connection is an RPC client and when an answer last came by it.
type connection struct {
	*rpc.Client
	lastAnswer atomic.Int64 // nanoseconds since the start
}

// Peers holds the connections to the other nodes. Its methods may be called from any goroutine, but for
// Counters.
type Peers struct {
	self      string
	post      func(msg.Input)
	addresses map[string]string // by node
	slots     chan struct{}     // one for each call of runLimited that is under way
	start     time.Time
	calls     sync.WaitGroup // those that Do has started

	mu          sync.Mutex
	isClosed    bool // no connection is opened any more
	connections map[connectionKey]*connection

	// Forwarded heartbeats by what became of them, calls that found too many others under way, and connections
	// given up.
	answered, lost, busy, rejected, disconnected counter.Counter
}

// New returns the peers of a node. It posts the results of calls to the core.
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

// Totals returns how many heartbeats were forwarded to the leader, and lost on the way, since the process began.
func (p *Peers) Totals() map[string]float64 {
	return map[string]float64{"handed": p.answered.Total(), "lost": p.lost.Total()}
}

// Counters returns key-value pairs for the debug log, since the last call: heartbeats that the leader has answered
// (handed), that it has not (lost) or had no time for (busy), calls that found too many others under way (full), and
// connections given up (closed). One goroutine may call it.
func (p *Peers) Counters() []any {
	return []any{
		"handed", p.answered.Since(),
		"lost", p.lost.Since(),
		"busy", p.busy.Since(),
		"full", p.rejected.Since(),
		"closed", p.disconnected.Since(),
	}
}

// Do starts to carry out an effect, until ctx ends at the latest; it returns false for effects of other adapters.
func (p *Peers) Do(ctx context.Context, e msg.Effect) bool {
	switch x := e.(type) {
	case msg.SendPeerUpdate:
		p.sendUpdate(ctx, x)
	case msg.Forward:
		p.forward(ctx, x)
	case msg.HeartbeatBatch:
		// Batches are sent at an interval and given up after callTimeout: few are under way.
		p.calls.Go(func() { p.sendBatch(ctx, x) })
	default:
		return false
	}
	return true
}

// Close closes all connections. Calls that are under way end, and later ones fail.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, c := range p.connections {
		_ = c.Close() // the only error is that it was closed before
	}
	clear(p.connections)
}

// Wait returns once all calls that Do has started have ended. It is for after the end of their contexts, Close, and
// the end of Do.
func (p *Peers) Wait() { p.calls.Wait() }

// sendUpdate sends a peer a copy of a key. If it is lost, the peer's watch brings the key a little later.
func (p *Peers) sendUpdate(ctx context.Context, x msg.SendPeerUpdate) {
	p.runLimited(func() {
		event := Event{Key: x.Change.Put, Value: x.Change.Value, Version: x.Change.Version}
		_ = p.call(ctx, x.Node, methodTell, &event, &struct{}{})
	}, func() {})
}

// forward hands a heartbeat to the leader and posts its response.
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
		done.Busy = true                    // as far as is known: heartbeat batches show who is out of reach
		p.calls.Go(func() { p.post(done) }) // it may block, which the node's loop must not
	})
}

func (p *Peers) callReport(ctx context.Context, x msg.Forward) (response *wire.HeartbeatResponse, busy bool) {
	body, err := wire.Marshal(&x.Heartbeat)
	if err != nil {
		return nil, false
	}
	var out ReportAnswer
	if err := p.call(ctx, x.Node, methodReport, &Report{body}, &out); err != nil {
		return nil, errors.Is(err, errSlowPeer) // out must not be read: a late answer may still be written to it
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

// CollectStatus asks every peer for its status, all at once. A peer that doesn't answer is left out; if ctx ends, so
// are all that have not answered yet.
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

// runLimited runs f in the background, or instead at once if too many calls are under way.
func (p *Peers) runLimited(f, instead func()) {
	select {
	case p.slots <- struct{}{}:
		p.calls.Go(func() {
			defer func() { <-p.slots }()
			f()
		})
	default:
		p.rejected.Add()
		instead()
	}
}

// connect returns the open connection of a key, or opens one.
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

// disconnect gives a connection up.
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

// callOn calls a method of Service, by one of the method names. A call without an answer in time does not end the
// connection if other answers have come by it meanwhile: all calls that are under way on it would be lost with it,
// which makes a slow leader look like one out of reach.
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
		err = errNoAnswer
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
