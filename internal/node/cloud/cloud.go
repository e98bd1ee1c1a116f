// Package cloud is a client of the cloud's API, which lists machine types and lists, rents and deletes machines.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/httpclient"
	"coralhub/wire"
)

const (
	callTimeout      = 8 * time.Second
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 4 << 20
	// quotaShare is the share of the cloud's request quota that a leader uses.
	quotaShare = 0.7
	// noCapacity is the error text in the cloud's response if it has no machines of the requested type.
	noCapacity = "no capacity"
)

// Errors of requests that were certainly not executed.
var (
	errNoCapacity = errors.New("cloud has no capacity for the requested machines")
	errRefused    = errors.New("cloud request refused")
)

// Cloud is a client of the cloud's API.
type Cloud struct {
	baseURL string
	post    func(msg.Input)
	client  *http.Client
	limiter *rate.Limiter
	calls   sync.WaitGroup
}

// New returns a client that posts results to the core.
func New(cfg *config.Config, post func(msg.Input)) *Cloud {
	quota := cfg.Cluster.Cloud.RPS * quotaShare
	return &Cloud{
		baseURL: "http://" + cfg.External.Cloud,
		post:    post,
		client:  httpclient.New(dialTimeout, 4, 8),
		limiter: rate.NewLimiter(rate.Limit(quota), max(1, int(quota))),
	}
}

// Do starts to execute an effect, which ends with ctx at the latest. It returns false for effects of other adapters.
func (c *Cloud) Do(ctx context.Context, e msg.Effect) bool {
	switch x := e.(type) {
	case msg.FetchCatalog:
		c.calls.Go(func() { c.fetchCatalog(ctx) })
	case msg.ListMachines:
		c.calls.Go(func() { c.listMachines(ctx) })
	case msg.ScaleOut:
		c.calls.Go(func() { c.scaleOut(ctx, x.Request) })
	case msg.ScaleIn:
		c.calls.Go(func() { c.scaleIn(ctx, x.Machines) })
	default:
		return false
	}
	return true
}

// Wait waits until all calls have ended and then closes the idle connections. It may be called only after the
// contexts of the calls and all uses of Do have ended.
func (c *Cloud) Wait() {
	c.calls.Wait()
	c.client.CloseIdleConnections()
}

// call sends a request. The outcome is OK, Conflict for a lack of capacity, Refused or Unknown.
func (c *Cloud) call(ctx context.Context, method, path string, in, out any) msg.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.limiter.Wait(ctx) != nil {
		return msg.Refused
	}
	return outcomeOf(c.send(ctx, method, path, in, out))
}

func outcomeOf(status int, err error) msg.Outcome {
	switch {
	case errors.Is(err, errNoCapacity):
		return msg.Conflict
	case errors.Is(err, errRefused):
		return msg.Refused
	case err != nil:
		return msg.Unknown
	case status == http.StatusOK:
		return msg.OK
	}
	return msg.Refused
}

func (c *Cloud) send(ctx context.Context, method, path string, in, out any) (int, error) {
	req, err := httpclient.NewRequest(ctx, method, c.baseURL+path, in)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errRefused, err)
	}
	status, raw, err := httpclient.Do(c.client, req, maxResponseBytes)
	if err != nil {
		return 0, fmt.Errorf("cloud request %s %s: %w", method, path, err)
	}
	if status == http.StatusServiceUnavailable {
		return status, refusalError(raw)
	}
	if status == http.StatusOK && out != nil {
		return status, wire.Unmarshal(raw, out)
	}
	return status, nil
}

// refusalError returns the error of a request that the cloud has refused with the given response body.
func refusalError(body []byte) error {
	var reason wire.Error
	if err := wire.Unmarshal(body, &reason); err != nil {
		return fmt.Errorf("%w: %w", errRefused, err)
	}
	if reason.Error == noCapacity {
		return errNoCapacity
	}
	return fmt.Errorf("%w: %s", errRefused, reason.Error)
}

func (c *Cloud) fetchCatalog(ctx context.Context) {
	var done msg.CatalogDone
	done.Outcome = c.call(ctx, http.MethodGet, wire.PathCatalog, nil, &done.Catalog)
	c.post(done)
}

func (c *Cloud) listMachines(ctx context.Context) {
	var done msg.ListDone
	after := ""
	for {
		q := url.Values{"most": {strconv.Itoa(wire.MaxMachinesPerPage)}}
		if after != "" {
			q.Set("from", after)
		}
		var page wire.MachineList
		done.Outcome = c.call(ctx, http.MethodGet, wire.PathHosts+"?"+q.Encode(), nil, &page)
		done.Machines = append(done.Machines, page.Machines...)
		if done.Outcome != msg.OK || !page.More || len(page.Machines) == 0 {
			break
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
	c.post(done)
}

func (c *Cloud) scaleOut(ctx context.Context, r wire.RentalRequest) {
	var names wire.MachineNames
	done := msg.ScaleOutDone{Name: r.Name}
	done.Outcome = c.call(ctx, http.MethodPost, wire.PathHosts, r, &names)
	done.Machines = names.Machines
	c.post(done)
}

func (c *Cloud) scaleIn(ctx context.Context, machines []string) {
	done := msg.ScaleInDone{Machines: machines}
	done.Outcome = c.call(ctx, http.MethodPost, wire.PathRelease, wire.MachineNames{Machines: machines}, nil)
	c.post(done)
}
