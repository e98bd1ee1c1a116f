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

// giveUp is when a request that the core has not answered gets a 503.
const giveUp = 3500 * time.Millisecond

// API hands requests to the core and waits for its answers.
type API struct {
	echo  *echo.Echo
	post  func(msg.Input) bool
	ready func() bool

	mu   sync.Mutex
	next uint64
	wait map[uint64]chan msg.Answer
}

// New returns the interface; post returns false when the node has no time for
// another request. Operators' questions are answered only if admin is set.
func New(post func(msg.Input) bool, ready func() bool, admin bool) *API {
	a := &API{echo: echo.New(), post: post, ready: ready, wait: map[uint64]chan msg.Answer{}}
	e := a.echo
	e.HideBanner, e.HidePort = true, true
	e.POST(wire.PathJobs, a.submit)
	e.GET(wire.PathJobs+"/:id", a.poll)
	e.POST(wire.PathJobs+"/:id/"+wire.CancelVerb, a.cancel)
	e.POST(wire.PathReport, a.report)
	e.GET(wire.PathReady, a.health)
	if admin {
		e.GET(PathEstimates, a.admin(msg.AskEstimates))
		e.GET(PathJob+"/:id", a.admin(msg.AskJob))
		e.GET(PathRuns, a.admin(msg.AskRuns))
		e.GET(PathAccounts, a.admin(msg.AskAccounts))
		e.GET(PathStanding, a.admin(msg.AskStanding))
		e.GET(PathWaits+"/:id", a.admin(msg.AskWaits))
	}
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if !c.Response().Committed {
			_ = reply(c, msg.Answer{Status: status, Body: wire.Error{Error: http.StatusText(status)}})
		}
	}
	return a
}

// Paths of operators' questions, which are answered in JSON.
const (
	PathEstimates = "/admin/v1/estimates"
	PathJob       = "/admin/v1/jobs"
	PathRuns      = "/admin/v1/runs"
	PathAccounts  = "/admin/v1/accounts"
	PathStanding  = "/admin/v1/standing"
	PathWaits     = "/admin/v1/waits"
)

// admin answers an operator's question. The query may have from and most.
func (a *API) admin(what msg.AdminQuery) echo.HandlerFunc {
	return func(c echo.Context) error {
		q := msg.AdminIn{What: what, ID: c.Param("id")}
		var err error
		if s := c.QueryParam("from"); s != "" {
			if q.From, err = strconv.ParseUint(s, 10, 64); err != nil {
				return c.JSON(http.StatusBadRequest, leader.AdminError{Error: "from: no number"})
			}
		}
		if s := c.QueryParam("most"); s != "" {
			if q.Most, err = strconv.Atoi(s); err != nil || q.Most < 1 {
				return c.JSON(http.StatusBadRequest, leader.AdminError{Error: "most: no number above 0"})
			}
		}
		x := a.ask(c.Request().Context().Done(), func(req uint64) msg.Input {
			q.Req = req
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
	g, ok := a.ask(nil, func(req uint64) msg.Input { return msg.AdminIn{Req: req, What: msg.AskGauges} }).Body.(leader.Gauges)
	return g, ok
}

// Handler is the interface as an HTTP handler.
func (a *API) Handler() http.Handler { return a.echo }

// Do carries out an effect; it returns false for effects of other adapters.
func (a *API) Do(e msg.Effect) bool {
	x, ok := e.(msg.Answer)
	if !ok {
		return false
	}
	a.mu.Lock()
	ch := a.wait[x.Req]
	delete(a.wait, x.Req)
	a.mu.Unlock()
	if ch != nil {
		ch <- x
	}
	return true
}

var overloaded = msg.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "overloaded"}, RetryAfter: 1, Busy: true}

// ask posts an input made for a request number and waits for the answer.
func (a *API) ask(gone <-chan struct{}, input func(req uint64) msg.Input) msg.Answer {
	ch := make(chan msg.Answer, 1)
	a.mu.Lock()
	a.next++
	req := a.next
	a.wait[req] = ch
	a.mu.Unlock()
	if !a.post(input(req)) {
		a.forget(req)
		return overloaded
	}
	t := time.NewTimer(giveUp)
	defer t.Stop()
	select {
	case x := <-ch:
		return x
	case <-t.C:
	case <-gone:
	}
	a.forget(req)
	return overloaded
}

// Refuse answers a request that the core has not been asked.
func (a *API) Refuse(in msg.Input) {
	x := overloaded
	switch in := in.(type) {
	case msg.PollIn:
		x.Req = in.Req
	case msg.CancelIn:
		x.Req = in.Req
	case msg.SubmitIn:
		x.Req = in.Req
	case msg.AdminIn:
		x.Req = in.Req
	case msg.ReportIn:
		x.Req = in.Req
	case msg.BeatIn:
		x.Req = in.Req
	default:
		return
	}
	a.Do(x)
}

func (a *API) serve(c echo.Context, input func(req uint64) msg.Input) error {
	return reply(c, a.ask(c.Request().Context().Done(), input))
}

// Report answers a worker's report that its home has handed on.
func (a *API) Report(r wire.Report) msg.Answer {
	return a.ask(nil, func(req uint64) msg.Input { return msg.ReportIn{Req: req, Report: r, Forwarded: true} })
}

// Beat answers a home that has answered workers for this node.
func (a *API) Beat(x msg.BeatIn) msg.Answer {
	return a.ask(nil, func(req uint64) msg.Input {
		x.Req = req
		return x
	})
}

func (a *API) forget(req uint64) {
	a.mu.Lock()
	delete(a.wait, req)
	a.mu.Unlock()
}

func reply(c echo.Context, x msg.Answer) error {
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
	return reply(c, msg.Answer{Status: http.StatusBadRequest, Body: wire.Error{Error: err.Error()}})
}

func (a *API) submit(c echo.Context) error {
	raw, err := body(c)
	if err != nil {
		return bad(c, err)
	}
	wall := time.Now().UnixMicro()
	return a.serve(c, func(req uint64) msg.Input { return msg.SubmitIn{Req: req, Wall: wall, Body: raw} })
}

func (a *API) poll(c echo.Context) error {
	id := c.Param("id")
	return a.serve(c, func(req uint64) msg.Input { return msg.PollIn{Req: req, ID: id} })
}

func (a *API) cancel(c echo.Context) error {
	id := c.Param("id")
	return a.serve(c, func(req uint64) msg.Input { return msg.CancelIn{Req: req, ID: id} })
}

func (a *API) report(c echo.Context) error {
	raw, err := body(c)
	if err != nil {
		return bad(c, err)
	}
	var r wire.Report
	if err := wire.Unmarshal(raw, &r); err != nil {
		return bad(c, errors.New("unreadable report"))
	}
	return a.serve(c, func(req uint64) msg.Input { return msg.ReportIn{Req: req, Report: r} })
}

func (a *API) health(c echo.Context) error {
	if !a.ready() {
		return reply(c, msg.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "not ready"}, RetryAfter: 1})
	}
	return c.NoContent(http.StatusOK)
}
