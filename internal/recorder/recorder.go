// Package recorder writes the runs that end in a running service as a history.
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"coralhub/internal/core/leader"
	"coralhub/internal/node/httpapi"
	"coralhub/internal/wait"
)

const (
	pause   = time.Second // between questions when there is nothing new
	maxPage = 8 << 20
)

// Recorder asks the node that leads for the runs that have ended since it asked last.
type Recorder struct {
	Nodes  []string
	Client *http.Client
	Tell   func(string)

	at     int // the node that was asked last
	from   uint64
	leader string
}

var errElsewhere = errors.New("not the leader")

// Run records until ctx ends, which is no error.
func (r *Recorder) Run(ctx context.Context, w io.Writer) error {
	enc := json.NewEncoder(w)
	failures := 0
	for ctx.Err() == nil {
		page, err := r.page(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if failures++; failures%(10*len(r.Nodes)) == 0 {
				r.Tell(fmt.Sprintf("no node answers as the leader; the last: %v", err))
			}
			r.at = (r.at + 1) % len(r.Nodes)
			wait.For(ctx, pause/time.Duration(len(r.Nodes)))
			continue
		}
		failures = 0
		if page.Missed > 0 {
			r.Tell(fmt.Sprintf("%d runs were missed", page.Missed))
		}
		for i := range page.Runs {
			if err := enc.Encode(&page.Runs[i]); err != nil {
				return err
			}
		}
		r.from = page.Next
		if len(page.Runs) == 0 {
			wait.For(ctx, pause)
		}
	}
	return nil
}

func (r *Recorder) page(ctx context.Context) (*leader.Runs, error) {
	node := r.Nodes[r.at]
	if node != r.leader {
		r.from = 0 // another leader counts anew
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+httpapi.PathRuns+"?from="+strconv.FormatUint(r.from, 10), nil)
	if err != nil {
		return nil, err
	}
	res, err := r.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxPage))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		var e leader.AdminError
		if json.Unmarshal(raw, &e) != nil || e.Error == "" {
			return nil, fmt.Errorf("%s: %w: status %d", node, errElsewhere, res.StatusCode)
		}
		return nil, fmt.Errorf("%s: %w: %s", node, errElsewhere, e.Error)
	}
	page := &leader.Runs{}
	if err := json.Unmarshal(raw, page); err != nil {
		return nil, fmt.Errorf("%s: %w", node, err)
	}
	r.leader = node
	return page, nil
}
