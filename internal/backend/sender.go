// Package backend sends one call to one target by HTTP/1.1 and reports exactly
// whether any byte of the call left this process. It never sends a call twice.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
)

// Sender holds the connections to targets. It may be used from any goroutine.
type Sender struct {
	dial Dialer

	mu         sync.Mutex
	transports map[int]*http.Transport // by connection limit
}

// Dialer opens a TCP connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewSender returns a Sender without connections. dial may be nil.
func NewSender(dial Dialer) *Sender {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Sender{dial: dial, transports: map[int]*http.Transport{}}
}

// Close closes idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}

// SendError describes why a target gave no whole answer head.
type SendError struct {
	Err         *outcome.Error
	ConnRefused bool // the target refused the connection
	ConnReset   bool // the target reset the connection
}

// Error implements the error interface.
func (f *SendError) Error() string { return f.Err.Error() }

// Unwrap returns the outcome.
func (f *SendError) Unwrap() error { return f.Err }

// Send sends c to target over at most connections connections. check runs
// immediately before the first byte is written; its error ends the call as
// not run. The error is a *Failure. The caller must close the answer's body.
func (s *Sender) Send(ctx context.Context, target inventory.Target, connections int, c *call.Call, check func() error) (*call.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	g := &gate{check: check, cancel: cancel}
	callID := strconv.FormatUint(rand.Uint64(), 16)
	req, err := newRequest(withTrace(ctx, g), target, c, callID)
	if err != nil {
		cancel()
		return nil, &SendError{Err: outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonBadRequest, err.Error())}
	}
	resp, err := s.transport(connections).RoundTrip(req)
	if err != nil {
		cancel()
		return nil, newSendError(err, g)
	}
	if e := checkHead(resp, callID); e != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, &SendError{Err: e}
	}
	return &call.Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   &body{ReadCloser: resp.Body, cancel: cancel},
		Length: resp.ContentLength,
	}, nil
}

func withTrace(ctx context.Context, g *gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.gate.Store(g)
			}
		},
	})
}

// newRequest builds the request to the target. GetBody stays nil, so that
// net/http cannot rewind the body.
func newRequest(ctx context.Context, target inventory.Target, c *call.Call, callID string) (*http.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		// With a scheme, net/http could send an opaque part in place of a path.
		return nil, errors.New("path: does not begin with a slash")
	}
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	u.Scheme = "http"
	u.Host = target.Address
	// NewRequest checks the method. The URL is set afterwards, so that it is not
	// parsed a second time.
	req, err := http.NewRequestWithContext(ctx, c.Method, "", nil)
	if err != nil {
		return nil, err
	}
	req.URL, req.Host = u, u.Host
	if len(c.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
	}
	req.ContentLength = int64(len(c.Body))
	maps.Copy(req.Header, c.Header)
	call.RemoveHopByHop(req.Header)
	if host := c.Header.Get("Host"); host != "" {
		req.Host = host
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(outcome.HeaderDeadlineMs, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	req.Header.Set(outcome.HeaderDepth, strconv.Itoa(c.Depth))
	req.Header.Set(outcome.HeaderAttempt, strconv.Itoa(c.Attempt))
	req.Header.Set(outcome.HeaderCallID, callID)
	return req, nil
}

// checkHead rejects answers that belong to another call, or whose end cannot be
// told from a broken connection.
func checkHead(resp *http.Response, callID string) *outcome.Error {
	if got := resp.Header.Get(outcome.HeaderCallID); got != "" && got != callID {
		return outcome.NewUnknown(outcome.ReasonResponseMismatch, "target returned the answer of another call")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return outcome.NewUnknown(outcome.ReasonBadAnswer, "target returned an answer without a length")
	}
	resp.Header.Del(outcome.HeaderCallID)
	return nil
}

func newSendError(err error, g *gate) *SendError {
	f := &SendError{
		ConnRefused: errors.Is(err, syscall.ECONNREFUSED),
		ConnReset:   errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF),
	}
	if refused := g.refused.Load(); refused != nil && !g.sent() {
		f.Err = outcome.FromError(*refused)
		return f
	}
	switch {
	case !g.sent() && errors.Is(err, context.DeadlineExceeded):
		f.Err = &outcome.Error{Kind: outcome.NotRun, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	case !g.sent() && errors.Is(err, context.Canceled):
		f.Err = outcome.NewUnavailable(outcome.ReasonCanceled, 0)
	case !g.sent():
		f.Err = outcome.NewUnavailable(outcome.ReasonConnectFailed, 0)
	case errors.Is(err, context.DeadlineExceeded):
		f.Err = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	default:
		f.Err = outcome.NewUnknown(outcome.ReasonTargetLost, "target closed the connection before its answer")
	}
	return f
}

func (s *Sender) transport(connections int) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.transports[connections]
	if !ok {
		t = newTransport(s.dial, connections)
		s.transports[connections] = t
	}
	return t
}

func newTransport(dial Dialer, connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// body ends the context of the call together with the body.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer. Closing before the end of the body closes the
// connection, so that rests of an answer never reach another call.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
