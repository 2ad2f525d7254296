package sibling

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	dialTimeout = 500 * time.Millisecond
	// redialPause keeps a lost sibling from being dialed once per call.
	redialPause = 200 * time.Millisecond
	// sessionLinger is how long a session that broke stays open for exchanges
	// that still run on it.
	sessionLinger = 100 * time.Millisecond
)

// LoadObserver receives the load news that ride on answers.
type LoadObserver func(load *siblingpb.PoolLoad)

// Client opens exchanges with siblings. It may be used from any goroutine and
// never repeats an exchange by itself.
type Client struct {
	observe LoadObserver
	count   ByteCounter
	dial    Dialer

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// ByteCounter counts bytes on the connection to address. It may be nil.
type ByteCounter func(address string, sent, received int)

// session is the connection to one sibling. mu serializes dials.
type session struct {
	mu        sync.Mutex
	mux       *yamux.Session
	lastError time.Time

	idle idleStreams
}

// Dialer opens a TCP connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client without connections. dial may be nil.
func NewClient(observe LoadObserver, count ByteCounter, dial Dialer) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Client{observe: observe, count: count, dial: dial, sessions: map[string]*session{}}
}

// Close ends all sessions. Exchanges in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	sessions := c.sessions
	c.sessions = map[string]*session{}
	c.mu.Unlock()
	for _, s := range sessions {
		s.mu.Lock()
		if s.mux != nil {
			_ = s.mux.Close()
		}
		s.mu.Unlock()
	}
}

// RoundTrip implements membership.RoundTripper.
func (c *Client) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	st, err := c.open(ctx, to.SiblingAddress, false)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", to.ID, err)
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := st.write(req); err != nil {
		return nil, fmt.Errorf("write to %s: %w", to.ID, err)
	}
	resp := &siblingpb.Response{}
	if err := st.read(resp); err != nil {
		return nil, fmt.Errorf("read from %s: %w", to.ID, err)
	}
	return resp, nil
}

// Forward hands a call to the sibling to. The error is an *outcome.Error: NotRun
// if the message did not leave or the sibling says so, Unknown otherwise. The
// caller must close the answer's body.
func (c *Client) Forward(ctx context.Context, to vm.Info, fwd *call.Call) (*call.Answer, error) {
	st, err := c.open(ctx, to.SiblingAddress, true)
	if err != nil {
		return nil, &outcome.Error{
			Kind: outcome.NotRun, Reason: outcome.ReasonSiblingLost,
			Status: http.StatusServiceUnavailable, Detail: err.Error(),
		}
	}
	ex := &exchange{st: st}
	st.limit(ctx, fwd.Deadline)
	// yamux lets a blocked read go on after Close; the deadline ends it.
	ex.stop = context.AfterFunc(ctx, func() {
		_ = st.SetDeadline(time.Unix(1, 0))
		_ = st.Close()
	})
	abort := func(e *outcome.Error) (*call.Answer, error) {
		ex.end(false)
		return nil, e
	}
	st.exchange++
	req := &siblingpb.Request{
		Kind:     &siblingpb.Request_Forward{Forward: EncodeCall(time.Now(), fwd)},
		Exchange: st.exchange,
	}
	if err := st.write(req); err != nil {
		return abort(outcome.NewUnknown(outcome.ReasonSiblingLost, "write: "+err.Error()))
	}
	resp := &siblingpb.Response{}
	if err := st.read(resp); err != nil {
		return abort(lostAnswer(ctx, err))
	}
	if resp.GetExchange() != st.exchange {
		return abort(outcome.NewUnknown(outcome.ReasonResponseMismatch, "sibling returned the answer of another call"))
	}
	head := resp.GetForward()
	if head == nil {
		return abort(outcome.NewUnknown(outcome.ReasonBadAnswer, "sibling returned another message"))
	}
	if load := head.GetLoad(); load != nil && c.observe != nil {
		c.observe(load)
	}
	if e := decodeError(head); e != nil {
		ex.end(true) // a refusal has no chunks
		return nil, e
	}
	return &call.Answer{
		Status: int(head.GetStatus()),
		Header: headerFromProto(head.GetHeader()),
		Body:   &chunkReader{ex: ex},
		Length: head.GetLength(),
	}, nil
}

func lostAnswer(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	}
	return outcome.NewUnknown(outcome.ReasonSiblingLost, "read: "+err.Error())
}

// open returns a stream to address. With reuse it may be an idle one, and it is
// kept for reuse after its exchange.
func (c *Client) open(ctx context.Context, address string, reuse bool) (*stream, error) {
	s, err := c.session(address)
	if err != nil {
		return nil, err
	}
	mux, err := s.connect(ctx, address, c)
	if err != nil {
		return nil, err
	}
	if reuse {
		if st := s.idle.take(mux); st != nil {
			return st, nil
		}
	}
	conn, err := mux.OpenStream()
	if err != nil {
		s.drop(mux)
		return nil, err
	}
	st := newStream(conn)
	st.mux, st.idle = mux, &s.idle
	return st, nil
}

func (c *Client) session(address string) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	s, ok := c.sessions[address]
	if !ok {
		s = &session{}
		c.sessions[address] = s
	}
	return s, nil
}

func (s *session) connect(ctx context.Context, address string, c *Client) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux != nil && !s.mux.IsClosed() {
		return s.mux, nil
	}
	if time.Since(s.lastError) < redialPause {
		return nil, fmt.Errorf("sibling %s was not reachable %v ago", address, time.Since(s.lastError).Round(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		s.lastError = time.Now()
		return nil, err
	}
	if c.count != nil {
		conn = &countedConn{Conn: conn, address: address, count: c.count}
	}
	mux, err := yamux.Client(&frameConn{Conn: conn}, newConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.mux = mux
	return mux, nil
}

// drop forgets a session that takes no new streams. Exchanges that still run
// on it get a short time to end.
func (s *session) drop(mux *yamux.Session) {
	s.mu.Lock()
	if s.mux == mux {
		s.mux = nil
	}
	s.mu.Unlock()
	time.AfterFunc(sessionLinger, func() { _ = mux.Close() })
}

type countedConn struct {
	net.Conn
	address string
	count   ByteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(c.address, 0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(c.address, n, 0)
	return n, err
}
