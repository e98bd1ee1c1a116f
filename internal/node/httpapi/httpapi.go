// Package httpapi serves users, workers and health checks.
package httpapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// requestTimeout is when a request that the core has not answered gets a 503.
const requestTimeout = 3500 * time.Millisecond

// API hands requests to the core and waits for its answers.
type API struct {
	echo  *echo.Echo
	post  func(msg.Input) bool
	ready func() bool

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan msg.Respond
}

// New returns the interface; post returns false when the node has no time for
// another request. Operators' questions are answered only if admin is set.
func New(post func(msg.Input) bool, ready func() bool, admin bool) *API {
	a := &API{echo: echo.New(), post: post, ready: ready, pending: map[uint64]chan msg.Respond{}}
	e := a.echo
	e.HideBanner, e.HidePort = true, true
	e.POST(wire.PathJobs, a.submit)
	e.GET(wire.PathJobs+"/:id", a.poll)
	e.POST(wire.PathJobs+"/:id/"+wire.CancelVerb, a.cancel)
	e.POST(wire.PathHeartbeat, a.report)
	e.GET(wire.PathReady, a.health)
	if admin {
		e.GET(PathEstimates, a.admin(msg.QueryEstimates))
		e.GET(PathJob+"/:id", a.admin(msg.QueryJob))
		e.GET(PathRuns, a.admin(msg.QueryRuns))
		e.GET(PathAccounts, a.admin(msg.QueryAccounts))
		e.GET(PathPreemptions, a.admin(msg.QueryPreemptions))
		e.GET(PathWaits+"/:id", a.admin(msg.QueryWaitReason))
	}
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if !c.Response().Committed {
			_ = reply(c, msg.Respond{Status: status, Body: wire.Error{Error: http.StatusText(status)}})
		}
	}
	return a
}

// Paths of operators' questions, which are answered in JSON.
const (
	PathEstimates   = "/admin/v1/estimates"
	PathJob         = "/admin/v1/jobs"
	PathRuns        = "/admin/v1/runs"
	PathAccounts    = "/admin/v1/accounts"
	PathPreemptions = "/admin/v1/standing"
	PathWaits       = "/admin/v1/waits"
)

// admin answers an operator's question. The query may have from and most.
func (a *API) admin(what msg.AdminQuery) echo.HandlerFunc {
	return func(c echo.Context) error {
		q := msg.AdminIn{Query: what, JobID: c.Param("id")}
		var err error
		if s := c.QueryParam("from"); s != "" {
			if q.From, err = strconv.ParseUint(s, 10, 64); err != nil {
				return c.JSON(http.StatusBadRequest, leader.AdminError{Error: "from: no number"})
			}
		}
		if s := c.QueryParam("most"); s != "" {
			if q.Limit, err = strconv.Atoi(s); err != nil || q.Limit < 1 {
				return c.JSON(http.StatusBadRequest, leader.AdminError{Error: "most: no number above 0"})
			}
		}
		x := a.ask(c.Request().Context().Done(), func(req uint64) msg.Input {
			q.RequestID = req
			return q
		})
		if x.RetryAfter > 0 {
			c.Response().Header().Set("Retry-After", strconv.Itoa(x.RetryAfter))
		}
		if e, ok := x.Body.(wire.Error); ok {
			x.Body = leader.AdminError{Error: e.Error}
		}
		return c.JSON(x.Status, x.Body)
	}
}

// Serve adds what another package serves on the users' listener.
func (a *API) Serve(path string, h http.Handler) { a.echo.GET(path, echo.WrapHandler(h)) }

// Gauges asks the core to count; false if it has no time.
func (a *API) Gauges() (leader.Gauges, bool) {
	g, ok := a.ask(nil, func(req uint64) msg.Input { return msg.AdminIn{RequestID: req, Query: msg.QueryGauges} }).Body.(leader.Gauges)
	return g, ok
}

// Handler is the interface as an HTTP handler.
func (a *API) Handler() http.Handler { return a.echo }

// Do carries out an effect; it returns false for effects of other adapters.
func (a *API) Do(e msg.Effect) bool {
	x, ok := e.(msg.Respond)
	if !ok {
		return false
	}
	a.mu.Lock()
	ch := a.pending[x.RequestID]
	delete(a.pending, x.RequestID)
	a.mu.Unlock()
	if ch != nil {
		ch <- x
	}
	return true
}

var overloaded = msg.Respond{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "overloaded"}, RetryAfter: 1, Busy: true}

// ask posts an input made for a request number and waits for the answer.
func (a *API) ask(gone <-chan struct{}, input func(req uint64) msg.Input) msg.Respond {
	ch := make(chan msg.Respond, 1)
	a.mu.Lock()
	a.next++
	req := a.next
	a.pending[req] = ch
	a.mu.Unlock()
	if !a.post(input(req)) {
		a.removePending(req)
		return overloaded
	}
	t := time.NewTimer(requestTimeout)
	defer t.Stop()
	select {
	case x := <-ch:
		return x
	case <-t.C:
	case <-gone:
	}
	a.removePending(req)
	return overloaded
}

// Shed answers a request that the core has not been asked.
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
	a.Do(x)
}

func (a *API) serve(c echo.Context, input func(req uint64) msg.Input) error {
	return reply(c, a.ask(c.Request().Context().Done(), input))
}

// Report answers a worker's report that its home has handed on.
func (a *API) Report(r wire.Heartbeat) msg.Respond {
	return a.ask(nil, func(req uint64) msg.Input { return msg.HeartbeatIn{RequestID: req, Heartbeat: r, Forwarded: true} })
}

// Beat answers a home that has answered workers for this node.
func (a *API) Beat(x msg.HeartbeatBatchIn) msg.Respond {
	return a.ask(nil, func(req uint64) msg.Input {
		x.RequestID = req
		return x
	})
}

func (a *API) removePending(req uint64) {
	a.mu.Lock()
	delete(a.pending, req)
	a.mu.Unlock()
}

func reply(c echo.Context, x msg.Respond) error {
	if x.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(x.RetryAfter))
	}
	raw, err := wire.Marshal(x.Body)
	if err != nil {
		return err
	}
	return c.Blob(x.Status, wire.ContentType, raw)
}

var errTooLarge = errors.New("body too large")

func body(c echo.Context) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, wire.MaxBody+1))
	if err == nil && len(raw) > wire.MaxBody {
		return nil, errTooLarge
	}
	return raw, err
}

func bad(c echo.Context, err error) error {
	return reply(c, msg.Respond{Status: http.StatusBadRequest, Body: wire.Error{Error: err.Error()}})
}

func (a *API) submit(c echo.Context) error {
	raw, err := body(c)
	if err != nil {
		return bad(c, err)
	}
	wall := time.Now().UnixMicro()
	return a.serve(c, func(req uint64) msg.Input { return msg.SubmitIn{RequestID: req, WallClock: wall, Body: raw} })
}

func (a *API) poll(c echo.Context) error {
	id := c.Param("id")
	return a.serve(c, func(req uint64) msg.Input { return msg.PollIn{RequestID: req, JobID: id} })
}

func (a *API) cancel(c echo.Context) error {
	id := c.Param("id")
	return a.serve(c, func(req uint64) msg.Input { return msg.CancelIn{RequestID: req, JobID: id} })
}

func (a *API) report(c echo.Context) error {
	raw, err := body(c)
	if err != nil {
		return bad(c, err)
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(raw, &r); err != nil {
		return bad(c, errors.New("unreadable report"))
	}
	return a.serve(c, func(req uint64) msg.Input { return msg.HeartbeatIn{RequestID: req, Heartbeat: r} })
}

func (a *API) health(c echo.Context) error {
	if !a.ready() {
		return reply(c, msg.Respond{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "not ready"}, RetryAfter: 1})
	}
	return c.NoContent(http.StatusOK)
}
