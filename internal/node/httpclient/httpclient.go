// Package httpclient makes the HTTP requests of the adapters.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"coralhub/wire"
)

// Client returns a client that keeps so many idle connections a host, and has
// no more than most open to one; 0 means no limit.
func Client(dial time.Duration, idle, most int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConns:        200,
		MaxIdleConnsPerHost: idle, MaxConnsPerHost: most, DisableCompression: true, IdleConnTimeout: time.Minute,
	}}
}

// Request makes a request whose body is the message in, none if it is nil.
func Request(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := wire.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err == nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	return req, err
}

// Do sends a request and reads the answer, up to limit bytes of it.
func Do(c *http.Client, req *http.Request, limit int64) (status int, body []byte, err error) {
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(io.LimitReader(res.Body, limit))
	return res.StatusCode, body, err
}

// NotSent tells whether an error of Do shows that no connection came about: the
// request was certainly not executed, nor will it be.
func NotSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}
