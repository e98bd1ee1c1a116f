package hollow

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout is how long a worker waits for a connection.
const dialTimeout = time.Second

// meter counts what the workers of a process send and receive.
type meter struct {
	in, out                              atomic.Int64 // bytes
	reports, answered, commands, expired atomic.Int64
}

func (m *meter) usage() Usage {
	return Usage{BytesIn: m.in.Load(), BytesOut: m.out.Load(), Reports: m.reports.Load(), Answered: m.answered.Load(),
		Commands: m.commands.Load(), LeasesExpired: m.expired.Load()}
}

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, m}, nil
}

// countingListener counts what comes and goes by the connections that it accepts.
type countingListener struct {
	net.Listener
	meter *meter
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.meter}, nil
}

type countingConn struct {
	net.Conn
	meter *meter
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}
