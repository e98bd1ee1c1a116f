// Package httpapi serves requests of users, workers and operators, and health checks, over HTTP. It passes the
// requests to the core and waits for its responses.
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

// requestTimeout is how long a request waits for the core before it is answered with status 503.
const requestTimeout = 3500 * time.Millisecond

// API is the HTTP interface of a node.
type API struct {
	echo  *echo.Echo
	post  func(msg.Input) bool
	ready func() bool

	closed chan struct{} // closed by Close

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan msg.Respond // by request ID
}

// New returns the HTTP interface of a node. post passes an input to the core; it returns false if the node is
// overloaded. Operators' queries are served only if admin is set.
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

// replyError answers a request that has no handler, or whose handler has failed.
func replyError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	// The error is ignored: the client may have disconnected.
	_ = reply(c, msg.Respond{Status: status, Body: wire.Error{Error: http.StatusText(status)}})
}

// AddHandler serves GET requests of a path by a handler of another package. It must not be called while the
// interface is served.
func (a *API) AddHandler(path string, h http.Handler) { a.echo.GET(path, echo.WrapHandler(h)) }

// Gauges returns the core's gauges. It returns false if the core is overloaded or the API is closed.
func (a *API) Gauges() (query.Gauges, bool) {
	response := a.dispatch(context.Background(), func(requestID uint64) msg.Input {
		return msg.AdminIn{RequestID: requestID, Query: msg.QueryGauges}
	})
	gauges, ok := response.Body.(query.Gauges)
	return gauges, ok
}

// Handler returns the HTTP handler of the interface.
func (a *API) Handler() http.Handler { return a.echo }

// Close ends the requests that wait for the core, and makes later ones end at once. They are answered as if the core
// were overloaded. Close is called when the core no longer responds, and only once.
func (a *API) Close() { close(a.closed) }

// Respond delivers the core's response to the request that waits for it, or drops it if the request has ended.
func (a *API) Respond(x msg.Respond) {
	a.mu.Lock()
	ch := a.pending[x.RequestID]
	delete(a.pending, x.RequestID)
	a.mu.Unlock()
	if ch != nil {
		ch <- x
	}
}

// overloaded is the response to requests that the core can't process in time.
var overloaded = msg.Respond{
	Status:     http.StatusServiceUnavailable,
	Body:       wire.Error{Error: "overloaded"},
	RetryAfter: 1,
	Busy:       true,
}

// notReady is the response to a health check of a node that can't serve requests.
var notReady = msg.Respond{
	Status:     http.StatusServiceUnavailable,
	Body:       wire.Error{Error: "not ready"},
	RetryAfter: 1,
}

// dispatch posts the input that input returns for a new request ID, and waits for the response. It returns overloaded
// if the input is not accepted, or if ctx ends, the request times out or the API is closed before the response.
func (a *API) dispatch(ctx context.Context, input func(requestID uint64) msg.Input) msg.Respond {
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

// Shed answers a request that has waited too long in the inbox as overloaded. Other inputs are ignored.
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
	return reply(c, a.dispatch(c.Request().Context(), input))
}

// Heartbeat returns the core's response to a worker's heartbeat that a relay has forwarded to this node.
func (a *API) Heartbeat(r wire.Heartbeat) msg.Respond {
	return a.dispatch(context.Background(), func(requestID uint64) msg.Input {
		return msg.HeartbeatIn{RequestID: requestID, Heartbeat: r, Forwarded: true}
	})
}

// HeartbeatBatch returns the core's response to a relay that has acknowledged heartbeats on behalf of this node.
func (a *API) HeartbeatBatch(x msg.HeartbeatBatchIn) msg.Respond {
	return a.dispatch(context.Background(), func(requestID uint64) msg.Input {
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

// Errors of request bodies. Their texts are part of the responses.
var (
	errTooLarge           = errors.New("body too large")
	errMalformedHeartbeat = errors.New("unreadable report")
)

// readBody reads a request's body, which may be up to wire.MaxBodyBytes long.
func readBody(c echo.Context) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, wire.MaxBodyBytes+1))
	if err == nil && len(raw) > wire.MaxBodyBytes {
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
		return badRequest(c, errMalformedHeartbeat)
	}
	return a.serve(c, func(requestID uint64) msg.Input { return msg.HeartbeatIn{RequestID: requestID, Heartbeat: r} })
}

func (a *API) health(c echo.Context) error {
	if !a.ready() {
		return reply(c, notReady)
	}
	return c.NoContent(http.StatusOK)
}
