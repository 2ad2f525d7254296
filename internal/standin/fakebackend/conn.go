package fakebackend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes of a connection, so that the bytes of probes can be
// separated from those of calls. Its first read is delayed by delayFirstRead, which
// emulates a slow connect.
type countedConn struct {
	net.Conn
	bytes             atomic.Int64
	bytesAtRequestEnd int64       // value of bytes when the last request ended; used only by connState
	isProbe           atomic.Bool // the current request is a probe
	delayOnce         sync.Once
	delayFirstRead    func()
}

func (c *countedConn) Read(p []byte) (int, error) {
	c.delayOnce.Do(c.delayFirstRead)
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
	server *Server
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	delayFirstRead := func() { _ = l.server.sleep(context.Background(), l.server.cfg.ConnectTime) }
	return &countedConn{Conn: c, delayFirstRead: delayFirstRead}, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState is the ConnState hook of the HTTP server, which calls it with StateIdle
// after the answer to a request is flushed, and with StateClosed when a connection
// ends. It counts connections and adds up the bytes of probes.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.countConn(state)
	cc, ok := c.(*countedConn)
	if !ok || (state != http.StateIdle && state != http.StateClosed) {
		return
	}
	total := cc.bytes.Load()
	if cc.isProbe.Swap(false) {
		s.mu.Lock()
		s.record.ProbeBytes += total - cc.bytesAtRequestEnd
		s.mu.Unlock()
	}
	cc.bytesAtRequestEnd = total
}

func (s *Server) countConn(state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.openConns++
		s.record.ConnectionHighWater = max(s.record.ConnectionHighWater, s.openConns)
	case http.StateClosed, http.StateHijacked:
		s.openConns--
	}
}
