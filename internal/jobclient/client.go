// Package jobclient is a client of the job API that retries requests as the protocol requires of
// users.
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

// Timeouts and intervals.
const (
	SubmitTimeout = 5 * time.Second  // timeout of an attempt to submit or cancel a job
	PollTimeout   = 2 * time.Second  // timeout of a poll
	MaxRetryTime  = 60 * time.Second // maximum time for which a request is retried
	PollInterval  = 5 * time.Second  // poll interval of users who follow a job

	// Bounds of the delay before a retry; a Retry-After outside of them is clamped.
	minPause = time.Second
	maxPause = 30 * time.Second
)

// Response is the result of a request.
type Response struct {
	Status     int // HTTP status, or 0 if there was no valid response
	Job        wire.JobStatus
	RetryAfter time.Duration
}

// Accepted reports whether the status is 200 or 201.
func (r *Response) Accepted() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// Rejected reports whether the request was rejected permanently: it must not be retried.
func (r *Response) Rejected() bool {
	return r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity ||
		r.Status == http.StatusNotFound
}

// Client sends requests, each to the address that PickNode returns. It is safe for concurrent use if
// PickNode and OnError are.
type Client struct {
	HTTP     *http.Client
	PickNode func() string // returns HOST:PORT
	OnError  func(error)   // called with the error if a request received no response; may be nil
}

// Request sends one request. It returns the zero Response if there was no valid response.
func (c *Client) Request(ctx context.Context, timeout time.Duration, method, path string, body []byte) (r Response) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.PickNode()+path, bytes.NewReader(body))
	if err != nil {
		return r
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		if c.OnError != nil {
			c.OnError(err)
		}
		return r
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBodyBytes))
	if err != nil {
		return Response{}
	}
	succeeded := res.StatusCode < http.StatusMultipleChoices
	if succeeded && wire.Unmarshal(raw, &r.Job) != nil {
		return Response{}
	}
	r.Status = res.StatusCode
	retryAfterS, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // 0 if it is absent
	r.RetryAfter = time.Duration(retryAfterS * 1e9)
	return r
}

// Retry sends a request and retries it until it is accepted or rejected, the next retry would exceed
// MaxRetryTime, or ctx ends. It calls onResponse with the result of each attempt and reports whether the
// request was accepted.
func (c *Client) Retry(ctx context.Context, method, path string, body []byte, onResponse func(*Response)) bool {
	for start := time.Now(); ctx.Err() == nil; {
		r := c.Request(ctx, SubmitTimeout, method, path, body)
		if ctx.Err() != nil {
			return false
		}
		onResponse(&r)
		pause := min(max(r.RetryAfter, minPause), maxPause)
		switch {
		case r.Accepted():
			return true
		case r.Rejected(), time.Since(start)+pause > MaxRetryTime, !wait.For(ctx, pause):
			return false
		}
	}
	return false
}

// Poll requests the status of a job.
func (c *Client) Poll(ctx context.Context, id string) Response {
	return c.Request(ctx, PollTimeout, http.MethodGet, wire.PathJobs+"/"+id, nil)
}

// Follow polls a job until it has ended or ctx ends, and calls onResponse with the result of each poll. If
// cancelIn is above 0, it calls cancel once after cancelIn, unless the job has ended before.
func (c *Client) Follow(ctx context.Context, id string, cancelIn time.Duration, onResponse func(*Response),
	cancel func()) {
	var cancelAt <-chan time.Time
	if cancelIn > 0 {
		t := time.NewTimer(cancelIn)
		defer t.Stop()
		cancelAt = t.C
	}
	poll := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(PollInterval)))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cancelAt:
			cancelAt = nil
			cancel()
		case <-poll.C:
			r := c.Poll(ctx, id)
			if ctx.Err() != nil {
				return
			}
			onResponse(&r)
			if r.Ended() {
				return
			}
			poll.Reset(PollInterval)
		}
	}
}

// Ended reports whether the response has the status of a job that is done or cancelled.
func (r *Response) Ended() bool {
	return r.Status == http.StatusOK && (r.Job.Status == wire.Done || r.Job.Status == wire.Cancelled)
}

// readyTimeout is the timeout of a readiness probe.
const readyTimeout = time.Second

// Ready reports whether the node at an address is ready. It uses the same probe as load balancers.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, wire.MaxBodyBytes))
	return res.StatusCode == http.StatusOK
}
