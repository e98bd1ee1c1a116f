// Package cloud carries out the core's dealings with the cloud's interface.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/httpclient"
	"coralhub/wire"
)

const (
	callTimeout = 8 * time.Second
	maxAnswer   = 4 << 20
)

// Cloud is a client of the cloud's interface.
type Cloud struct {
	base  string
	post  func(msg.Input)
	http  *http.Client
	calls *rate.Limiter
}

// New returns a client that posts its results.
func New(cfg *config.Config, post func(msg.Input)) *Cloud {
	r := cfg.Cluster.Cloud.RPS
	return &Cloud{
		base: "http://" + cfg.External.Cloud, post: post,
		http:  httpclient.Client(2*time.Second, 4, 8),
		calls: rate.NewLimiter(rate.Limit(r*0.7), max(1, int(r*0.7))),
	}
}

// Do carries out an effect; it returns false for effects of other adapters.
func (c *Cloud) Do(e msg.Effect) bool {
	switch x := e.(type) {
	case msg.FetchCatalog:
		go c.catalog()
	case msg.ListMachines:
		go c.list()
	case msg.ScaleOut:
		go c.rent(x.Request)
	case msg.ScaleIn:
		go c.release(x.Machines)
	default:
		return false
	}
	return true
}

// call makes a request; the outcome tells OK, Conflict for a lack of capacity,
// Refused or Unknown.
func (c *Cloud) call(method, path string, in, out any) msg.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if c.calls.Wait(ctx) != nil {
		return msg.Refused
	}
	status, err := c.send(ctx, method, path, in, out)
	var refusal *refusal
	switch {
	case errors.As(err, &refusal):
		if refusal.why == "no capacity" {
			return msg.Conflict
		}
		return msg.Refused
	case err != nil:
		return msg.Unknown
	case status == http.StatusOK:
		return msg.OK
	}
	return msg.Refused
}

type refusal struct{ why string }

func (r *refusal) Error() string { return r.why }

func (c *Cloud) send(ctx context.Context, method, path string, in, out any) (int, error) {
	req, err := httpclient.Request(ctx, method, c.base+path, in)
	if err != nil {
		return 0, &refusal{err.Error()}
	}
	status, raw, err := httpclient.Do(c.http, req, maxAnswer)
	if err != nil {
		return 0, fmt.Errorf("cloud: %w", err)
	}
	if status == http.StatusServiceUnavailable {
		var e wire.Error
		if wire.Unmarshal(raw, &e) != nil {
			e.Error = "unreadable"
		}
		return status, &refusal{e.Error}
	}
	if status == http.StatusOK && out != nil {
		return status, wire.Unmarshal(raw, out)
	}
	return status, nil
}

func (c *Cloud) catalog() {
	var done msg.CatalogDone
	done.Outcome = c.call(http.MethodGet, wire.PathCatalog, nil, &done.Catalog)
	c.post(done)
}

func (c *Cloud) list() {
	var done msg.ListDone
	from := ""
	for {
		q := url.Values{"most": {strconv.Itoa(wire.MaxList)}}
		if from != "" {
			q.Set("from", from)
		}
		var page wire.MachineList
		done.Outcome = c.call(http.MethodGet, wire.PathHosts+"?"+q.Encode(), nil, &page)
		done.Machines = append(done.Machines, page.Machines...)
		if done.Outcome != msg.OK || !page.More || len(page.Machines) == 0 {
			break
		}
		from = page.Machines[len(page.Machines)-1].Name
	}
	c.post(done)
}

func (c *Cloud) rent(r wire.RentalRequest) {
	var names wire.MachineNames
	done := msg.ScaleOutDone{Name: r.Name}
	done.Outcome = c.call(http.MethodPost, wire.PathHosts, r, &names)
	done.Machines = names.Machines
	c.post(done)
}

func (c *Cloud) release(machines []string) {
	done := msg.ScaleInDone{Machines: machines}
	done.Outcome = c.call(http.MethodPost, wire.PathRelease, wire.MachineNames{Machines: machines}, nil)
	c.post(done)
}
