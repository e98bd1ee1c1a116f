// Package recorder records the runs that end in a running service as a history.
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
	pollInterval = time.Second // delay between polls while no runs end
	maxPageBytes = 8 << 20     // maximum size of a response
	// reportAfterRounds is the number of consecutive rounds of failed polls, each of all nodes, after which it is
	// reported that no node answers as the leader, and after which that is reported again.
	reportAfterRounds = 10
)

// Recorder polls the leader for the runs that have ended since the last poll. If a poll fails, it tries the next node.
type Recorder struct {
	Nodes     []string // addresses, as HOST:PORT
	Client    *http.Client
	OnProblem func(string) // called with each problem that doesn't end the recording

	currentNode int    // index of the polled node in Nodes
	nextRun     uint64 // number of the first run that has not been received
	leader      string // node that most recently answered as the leader
}

var errNotLeader = errors.New("not the leader")

// Run writes the runs to w, as lines of JSON, until ctx is done or writing fails. It returns nil if ctx is done.
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
			if failures%(reportAfterRounds*len(r.Nodes)) == 0 {
				r.OnProblem(fmt.Sprintf("no node answered as the leader; last error: %v", err))
			}
			r.currentNode = (r.currentNode + 1) % len(r.Nodes)
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

// write writes the runs of a page. It reports the number of runs that were missed because the leader no longer has
// them.
func (r *Recorder) write(enc *json.Encoder, page *query.Runs) error {
	if page.Missed > 0 {
		r.OnProblem(fmt.Sprintf("%d runs were missed", page.Missed))
	}
	for i := range page.Runs {
		if err := enc.Encode(&page.Runs[i]); err != nil {
			return err
		}
	}
	r.nextRun = page.Next
	return nil
}

// fetch requests the next page of runs from the current node. Its error wraps errNotLeader if the status of the
// response isn't 200, as that of a node that is not the leader.
func (r *Recorder) fetch(ctx context.Context) (*query.Runs, error) {
	node := r.Nodes[r.currentNode]
	if node != r.leader {
		r.nextRun = 0 // each leader numbers its runs from 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+node+httpapi.PathRuns+"?from="+strconv.FormatUint(r.nextRun, 10), nil)
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
		return nil, fmt.Errorf("decode page of runs from %s: %w", node, err)
	}
	r.leader = node
	return page, nil
}
