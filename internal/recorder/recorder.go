// Package recorder writes the runs that end in a running service to a history.
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

	"coralhub/internal/core/query"
	"coralhub/internal/node/httpapi"
	"coralhub/internal/wait"
)

const (
	pollInterval = time.Second // while there is nothing new
	maxPageBytes = 8 << 20
	// reportAfter is after how many rounds of the nodes without a leader that is reported.
	reportAfter = 10
)

// Recorder polls the leader for the runs that have ended since the last poll.
type Recorder struct {
	Nodes  []string // HOST:PORT
	Client *http.Client
	Report func(string) // called with problems that don't end the recording

	current int    // index of the node that is polled
	next    uint64 // number of the first run that wasn't received
	leader  string // the node that answered last as the leader
}

var errNotLeader = errors.New("not the leader")

// Run records until ctx ends, which is no error, or writing fails.
func (r *Recorder) Run(ctx context.Context, w io.Writer) error {
	enc := json.NewEncoder(w)
	failures := 0
	for ctx.Err() == nil {
		page, err := r.fetch(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			failures++
			if failures%(reportAfter*len(r.Nodes)) == 0 {
				r.Report(fmt.Sprintf("no node answers as the leader; the last: %v", err))
			}
			r.current = (r.current + 1) % len(r.Nodes)
			wait.For(ctx, pollInterval/time.Duration(len(r.Nodes)))
			continue
		}
		failures = 0
		if err := r.write(enc, page); err != nil {
			return err
		}
		if len(page.Runs) == 0 {
			wait.For(ctx, pollInterval)
		}
	}
	return nil
}

// write writes the runs of a page and reports those that the leader no longer had.
func (r *Recorder) write(enc *json.Encoder, page *query.Runs) error {
	if page.Missed > 0 {
		r.Report(fmt.Sprintf("%d runs were missed", page.Missed))
	}
	for i := range page.Runs {
		if err := enc.Encode(&page.Runs[i]); err != nil {
			return err
		}
	}
	r.next = page.Next
	return nil
}

// fetch gets the next page of runs from the current node. It returns errNotLeader if the
// node doesn't lead.
func (r *Recorder) fetch(ctx context.Context) (*query.Runs, error) {
	node := r.Nodes[r.current]
	if node != r.leader {
		r.next = 0 // each leader numbers its runs from 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+httpapi.PathRuns+"?from="+strconv.FormatUint(r.next, 10), nil)
	if err != nil {
		return nil, err
	}
	response, err := r.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		var e query.Error
		if json.Unmarshal(raw, &e) != nil || e.Error == "" {
			return nil, fmt.Errorf("%s: %w: status %d", node, errNotLeader, response.StatusCode)
		}
		return nil, fmt.Errorf("%s: %w: %s", node, errNotLeader, e.Error)
	}
	page := &query.Runs{}
	if err := json.Unmarshal(raw, page); err != nil {
		return nil, fmt.Errorf("%s: %w", node, err)
	}
	r.leader = node
	return page, nil
}
