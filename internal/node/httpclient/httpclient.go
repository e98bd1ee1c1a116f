// Package httpclient sends the HTTP requests of the adapters, with MessagePack bodies.
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

const (
	maxIdleConnections = 200
	idleTimeout        = time.Minute
)

// New returns a client that keeps up to idlePerHost idle connections to each host and opens up to maxPerHost
// connections to it. A maxPerHost of 0 means no limit.
func New(dialTimeout time.Duration, idlePerHost, maxPerHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: idlePerHost,
		MaxConnsPerHost:     maxPerHost,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
	}}
}

// NewRequest returns a request whose body is the encoded message, or empty if message is nil.
func NewRequest(ctx context.Context, method, url string, message any) (*http.Request, error) {
	var body io.Reader
	if message != nil {
		raw, err := wire.Marshal(message)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	return req, nil
}

// Do sends a request and reads up to limit bytes of the response's body.
func Do(client *http.Client, req *http.Request, limit int64) (status int, body []byte, err error) {
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(io.LimitReader(res.Body, limit))
	return res.StatusCode, body, err
}

// NotSent reports whether an error of Do shows that no connection was made, so that the request was certainly
// not executed and never will be.
func NotSent(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
