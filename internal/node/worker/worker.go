// Package worker is the client of the workers, for commands that should not wait for the next heartbeat.
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

// New returns a client that posts results to the core.
func New(post func(msg.Input)) *Workers {
	return &Workers{post: post, client: httpclient.New(dialTimeout, 1, 0)}
}

// Do starts to carry out an effect, until ctx ends at the latest; it returns false for effects of other adapters.
func (w *Workers) Do(ctx context.Context, e msg.Effect) bool {
	x, ok := e.(msg.Command)
	if ok {
		w.calls.Go(func() { w.command(ctx, x) })
	}
	return ok
}

// Wait returns once all calls have ended, and closes the connections that they leave idle. It is for after the end
// of their contexts and of Do.
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

// send makes a direct call. The outcome is Refused for a call that was certainly not executed (no connection, or
// a refusal) and Unknown for one that may still be.
func (w *Workers) send(ctx context.Context, x msg.Command) (msg.Outcome, *wire.Heartbeat) {
	req, err := httpclient.NewRequest(ctx, http.MethodPost, "http://"+x.Addr+wire.PathCommands, x.Commands)
	if err != nil {
		return msg.Refused, nil
	}
	// On an idle connection that turns out to be dead, the HTTP client repeats a request that has
	// GetBody. Commands must be sent once a call.
	req.GetBody = nil
	status, raw, err := httpclient.Do(w.client, req, wire.MaxBody)
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
