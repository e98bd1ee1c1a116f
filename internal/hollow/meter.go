package hollow

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout is the timeout of a worker's connection attempt.
const dialTimeout = time.Second

// meter counts the network traffic of the workers of a process.
type meter struct {
	in, out                                 atomic.Int64 // bytes
	heartbeats, answered, commands, expired atomic.Int64
}

// usage returns the counters. The number of workers is not set.
func (m *meter) usage() Usage {
	return Usage{BytesIn: m.in.Load(), BytesOut: m.out.Load(), Heartbeats: m.heartbeats.Load(),
		Answered: m.answered.Load(), Commands: m.commands.Load(), LeasesExpired: m.expired.Load()}
}

// dial opens a connection whose bytes are counted.
func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, m}, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.meter}, nil
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}
