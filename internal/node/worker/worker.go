// Package worker is a client of the workers, for commands that should not wait for the next heartbeat.
package worker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/httpclient"
	"coralhub/wire"
)

const (
	callTimeout = 3 * time.Second
	dialTimeout = 2 * time.Second
)

// Workers is a client of the workers.
type Workers struct {
	post   func(msg.Input)
	client *http.Client
	calls  sync.WaitGroup
}

// New returns a client that posts the results of commands to the core.
func New(post func(msg.Input)) *Workers {
	return &Workers{post: post, client: httpclient.New(dialTimeout, 1, 0)}
}

// Do starts to execute an effect, which ends with ctx at the latest. It returns false for effects of other adapters.
func (w *Workers) Do(ctx context.Context, e msg.Effect) bool {
	x, ok := e.(msg.Command)
	if ok {
		w.calls.Go(func() { w.command(ctx, x) })
	}
	return ok
}

// Wait waits until all calls have ended and then closes the idle connections. It may be called only after the
// contexts of the calls and all uses of Do have ended.
func (w *Workers) Wait() {
	w.calls.Wait()
	w.client.CloseIdleConnections()
}

func (w *Workers) command(ctx context.Context, x msg.Command) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := msg.CommandDone{ID: x.ID, Machine: x.Machine}
	done.Outcome, done.Heartbeat = w.send(ctx, x)
	w.post(done)
}

// send calls a worker. The outcome is Refused if the commands were certainly not executed (no connection, or a
// refusal by the worker), and Unknown if they may have been or may still be executed.
func (w *Workers) send(ctx context.Context, x msg.Command) (msg.Outcome, *wire.Heartbeat) {
	req, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+x.Addr+wire.PathCommands, x.Commands)
	if err != nil {
		return msg.Refused, nil
	}
	// The HTTP client retries a request that has GetBody if an idle connection turns out to be dead.
	// Commands must be sent only once per call.
	req.GetBody = nil
	status, raw, err := httpclient.Do(w.client, req, wire.MaxBodyBytes)
	if httpclient.NotSent(err) {
		return msg.Refused, nil
	}
	if err != nil {
		return msg.Unknown, nil
	}
	var r wire.Heartbeat
	if wire.Unmarshal(raw, &r) != nil {
		return msg.Unknown, nil
	}
	switch status {
	case http.StatusOK:
		return msg.OK, &r
	case http.StatusConflict:
		return msg.Refused, &r
	case http.StatusBadRequest:
		return msg.Refused, nil
	}
	return msg.Unknown, nil
}
