// Package jobclient is a client of the service's job API that retries as the protocol asks
// users to.
package jobclient

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

// Timeouts and intervals of requests.
const (
	SubmitWait = 5 * time.Second  // timeout of a submission
	PollWait   = 2 * time.Second  // timeout of a poll
	TryFor     = 60 * time.Second // how long requests are retried
	PollEvery  = 5 * time.Second  // poll interval of users who follow a job

	// Bounds of the pause before a retry, whatever Retry-After says.
	minPause = time.Second
	maxPause = 30 * time.Second
)

// Answer is the answer to a request.
type Answer struct {
	Status     int // HTTP status; 0: there was no answer
	Job        wire.JobStatus
	RetryAfter time.Duration
}

// Accepted reports whether the request succeeded.
func (a *Answer) Accepted() bool { return a.Status == http.StatusOK || a.Status == http.StatusCreated }

// Refused reports whether a retry is useless.
func (a *Answer) Refused() bool {
	return a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity || a.Status == http.StatusNotFound
}

// Client makes requests, each to the address that PickNode returns. It is safe for concurrent
// use if its functions are.
type Client struct {
	HTTP     *http.Client
	PickNode func() string
	Failed   func(error) // called with the reason if a request got no answer; may be nil
}

// Request makes one request. The zero Answer means that there was none.
func (c *Client) Request(ctx context.Context, timeout time.Duration, method, path string, body []byte) (a Answer) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.PickNode()+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		if c.Failed != nil {
			c.Failed(err)
		}
		return a
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBody))
	if err != nil {
		return Answer{}
	}
	succeeded := res.StatusCode < http.StatusMultipleChoices
	if succeeded && wire.Unmarshal(raw, &a.Job) != nil {
		return Answer{}
	}
	a.Status = res.StatusCode
	retryAfterS, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // 0 if it is absent
	a.RetryAfter = time.Duration(retryAfterS * 1e9)
	return a
}

// Repeat makes a request and retries it until it is accepted or refused, TryFor would be
// exceeded or ctx ends. It calls onAnswer with each answer and reports whether the request
// was accepted.
func (c *Client) Repeat(ctx context.Context, method, path string, body []byte, onAnswer func(*Answer)) bool {
	for start := time.Now(); ctx.Err() == nil; {
		a := c.Request(ctx, SubmitWait, method, path, body)
		if ctx.Err() != nil {
			return false
		}
		onAnswer(&a)
		pause := min(max(a.RetryAfter, minPause), maxPause)
		switch {
		case a.Accepted():
			return true
		case a.Refused(), time.Since(start)+pause > TryFor, !wait.For(ctx, pause):
			return false
		}
	}
	return false
}

// Poll requests the status of a job.
func (c *Client) Poll(ctx context.Context, id string) Answer {
	return c.Request(ctx, PollWait, http.MethodGet, wire.PathJobs+"/"+id, nil)
}

// Follow polls a job until it has ended or ctx ends, and calls onAnswer with each answer. If
// cancelIn is above 0 it calls cancel once, that long after the call.
func (c *Client) Follow(ctx context.Context, id string, cancelIn time.Duration, onAnswer func(*Answer), cancel func()) {
	var cancelAt <-chan time.Time
	if cancelIn > 0 {
		t := time.NewTimer(cancelIn)
		defer t.Stop()
		cancelAt = t.C
	}
	poll := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(PollEvery)))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cancelAt:
			cancelAt = nil
			cancel()
		case <-poll.C:
			a := c.Poll(ctx, id)
			if ctx.Err() != nil {
				return
			}
			onAnswer(&a)
			if a.Over() {
				return
			}
			poll.Reset(PollEvery)
		}
	}
}

// Over reports whether the job has ended, according to the answer.
func (a *Answer) Over() bool {
	return a.Status == http.StatusOK && (a.Job.Status == wire.Done || a.Job.Status == wire.Cancelled)
}

// readyTimeout is the timeout of a readiness probe.
const readyTimeout = time.Second

// Ready reports whether the node at an address is ready, by the probe that load balancers use.
func Ready(ctx context.Context, client *http.Client, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathReady, nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, wire.MaxBody))
	return res.StatusCode == http.StatusOK
}
