// Package httpapi serves users, workers, operators and health checks over HTTP: it hands their requests to the
// core and waits for its responses.
package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"coralhub/internal/core/msg"
	"coralhub/internal/core/query"
	"coralhub/wire"
)

// requestTimeout is how long a request waits for the core before it gets a 503.
const requestTimeout = 3500 * time.Millisecond

// API is the HTTP interface of a node.
type API struct {
	echo  *echo.Echo
	post  func(msg.Input) bool
	ready func() bool

	closed chan struct{} // by Close

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan msg.Respond // by request ID
}

// New returns the interface. post returns false when the node has no time for another request. Operators'
// queries are served only if admin is set.
func New(post func(msg.Input) bool, ready func() bool, admin bool) *API {
	a := &API{
		echo:    echo.New(),
		post:    post,
		ready:   ready,
		closed:  make(chan struct{}),
		pending: map[uint64]chan msg.Respond{},
	}
	e := a.echo
	e.HideBanner, e.HidePort = true, true
	e.POST(wire.PathJobs, a.submit)
	e.GET(wire.PathJobs+"/:id", a.poll)
	e.POST(wire.PathJobs+"/:id/"+wire.CancelVerb, a.cancel)
	e.POST(wire.PathHeartbeat, a.heartbeat)
	e.GET(wire.PathReady, a.health)
	if admin {
		a.addAdminRoutes()
	}
	e.HTTPErrorHandler = replyError
	return a
}

// replyError answers a request whose handler has failed, or that has no handler.
func replyError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	_ = reply(c, msg.Respond{Status: status, Body: wire.Error{Error: http.StatusText(status)}}) // the client may be gone
}

// Serve adds a page of another package to the users' listener.
func (a *API) Serve(path string, h http.Handler) { a.echo.GET(path, echo.WrapHandler(h)) }

// Gauges asks the core for its gauges; false if it has no time.
func (a *API) Gauges() (query.Gauges, bool) {
	response := a.ask(context.Background(), func(requestID uint64) msg.Input {
		return msg.AdminIn{RequestID: requestID, Query: msg.QueryGauges}
	})
	gauges, ok := response.Body.(query.Gauges)
	return gauges, ok
}

// Handler is the interface as an HTTP handler.
func (a *API) Handler() http.Handler { return a.echo }

// Close ends requests that wait for the core, and later ones at once: they are answered as by an overloaded core.
// It is for when the core answers no more, and to be called once.
func (a *API) Close() { close(a.closed) }

// Respond hands the core's response to whoever has made the request, unless they no longer wait for it.
func (a *API) Respond(x msg.Respond) {
	a.mu.Lock()
	ch := a.pending[x.RequestID]
	delete(a.pending, x.RequestID)
	a.mu.Unlock()
	if ch != nil {
		ch <- x
	}
}

// overloaded is the response when the core has no time for a request.
var overloaded = msg.Respond{
	Status:     http.StatusServiceUnavailable,
	Body:       wire.Error{Error: "overloaded"},
	RetryAfter: 1,
	Busy:       true,
}

// notReady is the response to a health check of a node that can't take requests.
var notReady = msg.Respond{
	Status:     http.StatusServiceUnavailable,
	Body:       wire.Error{Error: "not ready"},
	RetryAfter: 1,
}

// ask posts the input made for a request ID and waits for the response, until ctx ends, the request has timed out
// or the API is closed.
func (a *API) ask(ctx context.Context, input func(requestID uint64) msg.Input) msg.Respond {
	ch := make(chan msg.Respond, 1)
	id := a.addPending(ch)
	if !a.post(input(id)) {
		a.removePending(id)
		return overloaded
	}
	timeout := time.NewTimer(requestTimeout)
	defer timeout.Stop()
	select {
	case x := <-ch:
		return x
	case <-timeout.C:
	case <-ctx.Done():
	case <-a.closed:
	}
	a.removePending(id)
	return overloaded
}

func (a *API) addPending(ch chan msg.Respond) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	a.pending[a.lastID] = ch
	return a.lastID
}

// Shed answers a request that waited too long for the core.
func (a *API) Shed(in msg.Input) {
	x := overloaded
	switch in := in.(type) {
	case msg.PollIn:
		x.RequestID = in.RequestID
	case msg.CancelIn:
		x.RequestID = in.RequestID
	case msg.SubmitIn:
		x.RequestID = in.RequestID
	case msg.AdminIn:
		x.RequestID = in.RequestID
	case msg.HeartbeatIn:
		x.RequestID = in.RequestID
	case msg.HeartbeatBatchIn:
		x.RequestID = in.RequestID
	default:
		return
	}
	a.Respond(x)
}

func (a *API) serve(c echo.Context, input func(requestID uint64) msg.Input) error {
	return reply(c, a.ask(c.Request().Context(), input))
}

// Heartbeat answers a worker's heartbeat that a relay has forwarded to this node.
func (a *API) Heartbeat(r wire.Heartbeat) msg.Respond {
	return a.ask(context.Background(), func(requestID uint64) msg.Input {
		return msg.HeartbeatIn{RequestID: requestID, Heartbeat: r, Forwarded: true}
	})
}

// HeartbeatBatch answers a relay that has acknowledged heartbeats for this node.
func (a *API) HeartbeatBatch(x msg.HeartbeatBatchIn) msg.Respond {
	return a.ask(context.Background(), func(requestID uint64) msg.Input {
		x.RequestID = requestID
		return x
	})
}

func (a *API) removePending(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, id)
}

func reply(c echo.Context, x msg.Respond) error {
	setRetryAfter(c, x)
	raw, err := wire.Marshal(x.Body)
	if err != nil {
		return err
	}
	return c.Blob(x.Status, wire.ContentType, raw)
}

func setRetryAfter(c echo.Context, x msg.Respond) {
	if x.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(x.RetryAfter))
	}
}

// Errors of requests' bodies.
var (
	errTooLarge         = errors.New("body too large")
	errUnreadableReport = errors.New("unreadable report")
)

// readBody reads a request's body, up to the protocol's limit.
func readBody(c echo.Context) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, wire.MaxBody+1))
	if err == nil && len(raw) > wire.MaxBody {
		return nil, errTooLarge
	}
	return raw, err
}

func badRequest(c echo.Context, err error) error {
	return reply(c, msg.Respond{Status: http.StatusBadRequest, Body: wire.Error{Error: err.Error()}})
}

func (a *API) submit(c echo.Context) error {
	raw, err := readBody(c)
	if err != nil {
		return badRequest(c, err)
	}
	now := time.Now().UnixMicro()
	return a.serve(c, func(requestID uint64) msg.Input {
		return msg.SubmitIn{RequestID: requestID, WallClock: now, Body: raw}
	})
}

func (a *API) poll(c echo.Context) error {
	id := c.Param("id")
	return a.serve(c, func(requestID uint64) msg.Input { return msg.PollIn{RequestID: requestID, JobID: id} })
}

func (a *API) cancel(c echo.Context) error {
	id := c.Param("id")
	return a.serve(c, func(requestID uint64) msg.Input { return msg.CancelIn{RequestID: requestID, JobID: id} })
}

func (a *API) heartbeat(c echo.Context) error {
	raw, err := readBody(c)
	if err != nil {
		return badRequest(c, err)
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(raw, &r); err != nil {
		return badRequest(c, errUnreadableReport)
	}
	return a.serve(c, func(requestID uint64) msg.Input { return msg.HeartbeatIn{RequestID: requestID, Heartbeat: r} })
}

func (a *API) health(c echo.Context) error {
	if !a.ready() {
		return reply(c, notReady)
	}
	return c.NoContent(http.StatusOK)
}
