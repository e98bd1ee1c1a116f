// Package jobclient asks a service as the protocol lets users.
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

// How long users wait, and how long they try.
const (
	SubmitWait  = 5 * time.Second
	PollWait    = 2 * time.Second
	TryFor      = 60 * time.Second
	PollEvery   = 5 * time.Second
	leastPause  = time.Second
	longestWait = 30 * time.Second
)

// Answer is what a user hears.
type Answer struct {
	Status     int // of HTTP; 0: there was no answer
	Job        wire.JobStatus
	RetryAfter time.Duration
}

// Accepted tells whether the request was done.
func (a *Answer) Accepted() bool { return a.Status == http.StatusOK || a.Status == http.StatusCreated }

// Refused tells whether it never will be.
func (a *Answer) Refused() bool {
	return a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity || a.Status == http.StatusNotFound
}

// Client makes requests to addresses that pick chooses for each.
type Client struct {
	HTTP     *http.Client
	PickNode func() string
	Failed   func(error) // hears why a request got no answer; nil: nobody does
}

// Request makes one request.
func (u *Client) Request(ctx context.Context, longest time.Duration, method, path string, body []byte) (a Answer) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.PickNode()+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	res, err := u.HTTP.Do(req)
	if err != nil {
		if u.Failed != nil {
			u.Failed(err)
		}
		return a
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBody))
	if err != nil || res.StatusCode < 300 && wire.Unmarshal(raw, &a.Job) != nil {
		return Answer{}
	}
	a.Status = res.StatusCode
	after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // none: the usual pause
	a.RetryAfter = time.Duration(after * 1e9)
	return a
}

// Repeat makes a request until it is taken or refused for good, or the time to try is
// over. Each answer is told; it returns whether the request was taken.
func (u *Client) Repeat(ctx context.Context, method, path string, body []byte, told func(*Answer)) bool {
	for began := time.Now(); ctx.Err() == nil; {
		a := u.Request(ctx, SubmitWait, method, path, body)
		if ctx.Err() != nil {
			return false
		}
		told(&a)
		pause := min(max(a.RetryAfter, leastPause), longestWait)
		switch {
		case a.Accepted():
			return true
		case a.Refused(), time.Since(began)+pause > TryFor, !wait.For(ctx, pause):
			return false
		}
	}
	return false
}

// Poll asks for a job's state.
func (u *Client) Poll(ctx context.Context, id string) Answer {
	return u.Request(ctx, PollWait, http.MethodGet, wire.PathJobs+"/"+id, nil)
}

// Follow polls a job until it is over or ctx ends, and has it cancelled once, some time after the call,
// if cancelIn is above 0. Each answer to a poll is told.
func (u *Client) Follow(ctx context.Context, id string, cancelIn time.Duration, told func(*Answer), cancel func()) {
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
			a := u.Poll(ctx, id)
			if ctx.Err() != nil {
				return
			}
			if told(&a); a.Over() {
				return
			}
			poll.Reset(PollEvery)
		}
	}
}

// Over tells whether an answer says that a job is over.
func (a *Answer) Over() bool {
	return a.Status == http.StatusOK && (a.Job.Status == wire.Done || a.Job.Status == wire.Cancelled)
}

// readyWait is how long a node may take to tell that it takes requests.
const readyWait = time.Second

// Ready tells whether the node at an address takes requests, as a balancer asks it.
func Ready(ctx context.Context, client *http.Client, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
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
