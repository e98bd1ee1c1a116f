package httpapi

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"coralhub/internal/core/msg"
	"coralhub/internal/core/query"
	"coralhub/wire"
)

// Paths of operators' queries. Responses are encoded in JSON.
const (
	PathEstimates   = "/admin/v1/estimates"
	PathJob         = "/admin/v1/jobs"
	PathRuns        = "/admin/v1/runs"
	PathAccounts    = "/admin/v1/accounts"
	PathPreemptions = "/admin/v1/standing"
	PathWaits       = "/admin/v1/waits"
)

// Errors of the parameters of operators' queries. Their texts are part of the responses.
var (
	errInvalidFrom  = errors.New("from: no number")
	errInvalidLimit = errors.New("most: no number above 0")
)

func (a *API) addAdminRoutes() {
	a.echo.GET(PathEstimates, a.admin(msg.QueryEstimates))
	a.echo.GET(PathJob+"/:id", a.admin(msg.QueryJob))
	a.echo.GET(PathRuns, a.admin(msg.QueryRuns))
	a.echo.GET(PathAccounts, a.admin(msg.QueryAccounts))
	a.echo.GET(PathPreemptions, a.admin(msg.QueryPreemptions))
	a.echo.GET(PathWaits+"/:id", a.admin(msg.QueryWaitReason))
}

// admin returns the handler of a kind of operators' queries.
func (a *API) admin(kind msg.AdminQuery) echo.HandlerFunc {
	return func(c echo.Context) error {
		in, err := adminInput(c, kind)
		if err != nil {
			return c.JSON(http.StatusBadRequest, query.Error{Error: err.Error()})
		}
		response := a.dispatch(c.Request().Context(), func(requestID uint64) msg.Input {
			in.RequestID = requestID
			return in
		})
		return replyJSON(c, response)
	}
}

// adminInput parses a query's job ID and its parameters from and most, which sets the limit.
func adminInput(c echo.Context, kind msg.AdminQuery) (msg.AdminIn, error) {
	in := msg.AdminIn{Query: kind, JobID: c.Param("id")}
	var err error
	if from := c.QueryParam("from"); from != "" {
		if in.From, err = strconv.ParseUint(from, 10, 64); err != nil {
			return in, errInvalidFrom
		}
	}
	if most := c.QueryParam("most"); most != "" {
		if in.Limit, err = strconv.Atoi(most); err != nil || in.Limit < 1 {
			return in, errInvalidLimit
		}
	}
	return in, nil
}

func replyJSON(c echo.Context, response msg.Respond) error {
	setRetryAfter(c, response)
	body := response.Body
	if e, ok := body.(wire.Error); ok {
		body = query.Error{Error: e.Error}
	}
	return c.JSON(response.Status, body)
}
