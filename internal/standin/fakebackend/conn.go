package fakebackend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes of a connection, so that those of probes can be
// told from those of calls.
type countedConn struct {
	net.Conn
	bytes atomic.Int64
	mark  int64       // bytes at the end of the last request; owned by ConnState
	probe atomic.Bool // the current request is a probe
	first sync.Once
	delay func()
}

func (c *countedConn) Read(p []byte) (int, error) {
	c.first.Do(c.delay)
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	target *Server
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	delay := func() { _ = l.target.sleep(context.Background(), l.target.cfg.ConnectTime) }
	return &countedConn{Conn: c, delay: delay}, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState is called by the server after the answer to a request is flushed
// (idle) and when a connection ends.
func (t *Server) connState(c net.Conn, state http.ConnState) {
	t.countConn(state)
	cc, ok := c.(*countedConn)
	if !ok || (state != http.StateIdle && state != http.StateClosed) {
		return
	}
	total := cc.bytes.Load()
	if cc.probe.Swap(false) {
		t.mu.Lock()
		t.rec.ProbeBytes += total - cc.mark
		t.mu.Unlock()
	}
	cc.mark = total
}

func (t *Server) countConn(state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns++
		t.rec.ConnectionHighWater = max(t.rec.ConnectionHighWater, t.conns)
	case http.StateClosed, http.StateHijacked:
		t.conns--
	}
}
