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
	// redialDelay is the time after a failed dial in which the sibling is not
	// dialed again. Without it every call to an unreachable sibling would dial.
	redialDelay = 200 * time.Millisecond
	// sessionCloseDelay is the time between the failure to open a stream and the
	// closing of the session. Exchanges in progress on it may end in that time.
	sessionCloseDelay = 100 * time.Millisecond
)

// LoadObserver receives the pool load that a holder attaches to an answer. It is
// called on the goroutine of Forward, so calls may be concurrent.
type LoadObserver func(load *siblingpb.PoolLoad)

// Client sends requests to siblings. It is safe for concurrent use and never
// retries a request.
type Client struct {
	observeLoad LoadObserver
	countBytes  ByteCounter
	dial        Dialer

	mu          sync.Mutex
	connections map[string]*siblingConn
	closed      bool
}

// ByteCounter adds sent and received to the byte counts of the connection to
// address. It is called concurrently. A nil ByteCounter disables counting.
type ByteCounter func(address string, sent, received int)

// siblingConn is the connection to one sibling. session is nil before the first dial
// and after discard or Disconnect. mu is held during a dial, so there is at most one
// dial at a time.
type siblingConn struct {
	mu              sync.Mutex
	session         *yamux.Session
	lastDialFailure time.Time

	idle idleStreams
}

// Dialer opens a TCP connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client without connections. A nil dial stands for net.Dialer;
// a nil observe or count is not called.
func NewClient(observe LoadObserver, count ByteCounter, dial Dialer) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Client{observeLoad: observe, countBytes: count, dial: dial, connections: map[string]*siblingConn{}}
}

// Close closes all sessions. Requests in progress and later ones fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	connections := c.connections
	c.connections = map[string]*siblingConn{}
	c.mu.Unlock()
	for _, s := range connections {
		s.mu.Lock()
		if s.session != nil {
			_ = s.session.Close()
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
		return nil, fmt.Errorf("write request to %s: %w", to.ID, err)
	}
	resp := &siblingpb.Response{}
	if err := st.read(resp); err != nil {
		return nil, fmt.Errorf("read response from %s: %w", to.ID, err)
	}
	return resp, nil
}

// Forward sends a call to the sibling to and returns the head of the answer; the
// body is read from the stream. The error is an *outcome.Error: NotRun if the
// request was not written or the sibling answered so, Unknown otherwise. The
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
	st.applyDeadline(ctx, fwd.Deadline)
	// A read that blocks in yamux does not return on Close, only on a deadline.
	ex.cancelWatch = context.AfterFunc(ctx, func() {
		_ = st.SetDeadline(time.Unix(1, 0))
		_ = st.Close()
	})
	fail := func(e *outcome.Error) (*call.Answer, error) {
		ex.end(false)
		return nil, e
	}
	st.exchange++
	req := &siblingpb.Request{
		Kind:     &siblingpb.Request_Forward{Forward: EncodeCall(time.Now(), fwd)},
		Exchange: st.exchange,
	}
	if err := st.write(req); err != nil {
		return fail(outcome.NewUnknown(outcome.ReasonSiblingLost, "write request: "+err.Error()))
	}
	resp := &siblingpb.Response{}
	if err := st.read(resp); err != nil {
		return fail(answerReadError(ctx, err))
	}
	if resp.GetExchange() != st.exchange {
		return fail(outcome.NewUnknown(outcome.ReasonResponseMismatch, "sibling returned an answer with another exchange number"))
	}
	head := resp.GetForward()
	if head == nil {
		return fail(outcome.NewUnknown(outcome.ReasonBadAnswer, "sibling returned a message that is not a forward answer"))
	}
	if load := head.GetLoad(); load != nil && c.observeLoad != nil {
		c.observeLoad(load)
	}
	if e := decodeError(head); e != nil {
		ex.end(true) // no chunks follow an answer head that reports an error
		return nil, e
	}
	status, header := int(head.GetStatus()), headerFromProto(head.GetHeader())
	if err := call.CheckAnswer(status, header); err != nil {
		return fail(outcome.NewUnknown(outcome.ReasonBadAnswer, "sibling returned no valid answer: "+err.Error()))
	}
	return &call.Answer{
		Status: status,
		Header: header,
		Body:   &chunkReader{ex: ex},
		Length: head.GetLength(),
	}, nil
}

// answerReadError returns the outcome of a forward whose answer head could not be
// read: the deadline if ctx has ended, the loss of the sibling otherwise.
func answerReadError(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	}
	return outcome.NewUnknown(outcome.ReasonSiblingLost, "read answer: "+err.Error())
}

// open returns a stream to address and dials if there is no session. With reuse
// the stream may be an idle one of an earlier exchange.
func (c *Client) open(ctx context.Context, address string, reuse bool) (*stream, error) {
	s, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	session, err := s.connect(ctx, address, c)
	if err != nil {
		return nil, err
	}
	if reuse {
		if st := s.idle.take(session); st != nil {
			return st, nil
		}
	}
	conn, err := session.OpenStream()
	if err != nil {
		s.discard(session)
		return nil, err
	}
	st := newStream(conn)
	st.session, st.idle = session, &s.idle
	return st, nil
}

func (c *Client) connection(address string) (*siblingConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	s, ok := c.connections[address]
	if !ok {
		s = &siblingConn{}
		c.connections[address] = s
	}
	return s, nil
}

// connect returns the yamux session and dials if there is none. It fails without
// a dial within redialDelay of a failed one.
func (s *siblingConn) connect(ctx context.Context, address string, c *Client) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, nil
	}
	if time.Since(s.lastDialFailure) < redialDelay {
		return nil, fmt.Errorf("sibling %s not dialed again: the last dial failed %v ago", address, time.Since(s.lastDialFailure).Round(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		s.lastDialFailure = time.Now()
		return nil, err
	}
	if c.countBytes != nil {
		conn = &countedConn{Conn: conn, address: address, countBytes: c.countBytes}
	}
	session, err := yamux.Client(&frameConn{Conn: conn}, newConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.session = session
	return session, nil
}

// discard makes the next request dial anew, because session accepts no new streams.
// session is closed after sessionCloseDelay, so that exchanges in progress may end.
func (s *siblingConn) discard(session *yamux.Session) {
	s.mu.Lock()
	if s.session == session {
		s.session = nil
	}
	s.mu.Unlock()
	time.AfterFunc(sessionCloseDelay, func() { _ = session.Close() })
}

// countedConn reports the bytes of each read and write to countBytes.
type countedConn struct {
	net.Conn
	address    string
	countBytes ByteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.countBytes(c.address, 0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.countBytes(c.address, n, 0)
	return n, err
}
