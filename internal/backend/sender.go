// Package backend sends requests to backend servers by HTTP/1.1 and reports
// whether any byte of a request may have left this process. It never sends a
// request twice.
//
// ConnPool is used in deployments whose backend servers register themselves (package
// entry), Sender in deployments with a fixed list of them (package inventory). In
// such an inventory a backend server is named target. Sender sends a call (package
// call), which is a caller's request on its way to a target, and returns a call.Answer,
// which is the response of the target.
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
	"net/textproto"
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

// Sender sends calls to targets and keeps the connections to them. It is safe
// for concurrent use.
type Sender struct {
	dial Dialer

	mu         sync.Mutex
	transports map[int]*http.Transport // by maximum number of connections per target
}

// Dialer opens a TCP connection. It must be safe for concurrent use.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewSender returns a Sender without connections. If dial is nil, connections
// are opened with dialTimeout.
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

// SendError describes why a target returned no complete and valid response
// headers.
type SendError struct {
	Err         *outcome.Error
	ConnRefused bool // the target refused the connection
	ConnReset   bool // the target reset or closed the connection
}

// Error implements the error interface.
func (f *SendError) Error() string { return f.Err.Error() }

// Unwrap returns the outcome.
func (f *SendError) Unwrap() error { return f.Err }

// Send sends c to target once. It keeps at most maxConns connections to target open.
// check runs immediately before the first byte is written and can still stop the call,
// for instance because a condition for sending it no longer holds. If check returns an
// error, nothing is sent and the call ends with that error, an *outcome.Error of kind
// NotRun. The error of Send is a *SendError. The caller must close the body of the
// answer.
func (s *Sender) Send(ctx context.Context, target inventory.Target, maxConns int, c *call.Call, check func() error) (*call.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	g := &writeGuard{check: check, cancel: cancel}
	callID := strconv.FormatUint(rand.Uint64(), 16)
	req, err := newRequest(withTrace(ctx, g), target, c, callID)
	if err != nil {
		cancel()
		return nil, &SendError{Err: outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonBadRequest, err.Error())}
	}
	resp, err := s.transport(maxConns).RoundTrip(req)
	if err != nil {
		cancel()
		return nil, newSendError(err, g)
	}
	if e := checkResponseHeader(resp, callID, g.reusedConn.Load()); e != nil {
		_ = resp.Body.Close()
		// net/http keeps the connection if the response has no body. The answer to this call may
		// still arrive on it.
		if c := g.sentOn.Load(); c != nil {
			c.reject()
		}
		cancel()
		return nil, &SendError{Err: e}
	}
	return &call.Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   &answerBody{ReadCloser: resp.Body, cancel: cancel},
		Length: resp.ContentLength,
	}, nil
}

func withTrace(ctx context.Context, g *writeGuard) context.Context {
	informational := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http has no limit of its own for informational responses that it reports.
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if informational++; informational > maxInformationalResponses {
				return errTooManyInformational
			}
			return call.CheckHeaderNames(http.Header(header))
		},
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*guardedConn); ok {
				g.reusedConn.Store(info.Reused)
				c.guard.Store(g)
			}
		},
	})
}

// newRequest builds the request to the target. GetBody stays nil, which
// prevents net/http from sending the body a second time.
func newRequest(ctx context.Context, target inventory.Target, c *call.Call, callID string) (*http.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		// With a scheme in the path, net/http could send an opaque part instead
		// of a path.
		return nil, errors.New("path: does not begin with a slash")
	}
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	u.Scheme = "http"
	u.Host = target.Address
	// NewRequestWithContext checks the method. The URL is set afterwards so
	// that it is not parsed a second time.
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

// checkResponseHeader rejects a response that has an invalid head, belongs to another call, or has
// neither a length nor a transfer encoding: the end of its body could not
// be distinguished from a broken connection. Targets need not return the ID of the call, but
// without it a refusal may be a copy of an earlier one on the same connection.
func checkResponseHeader(resp *http.Response, callID string, reusedConn bool) *outcome.Error {
	if err := call.CheckAnswer(resp.StatusCode, resp.Header); err != nil {
		return outcome.NewUnknown(outcome.ReasonBadAnswer, "target returned no valid answer: "+err.Error())
	}
	notRun := outcome.ParseKind(resp.Header.Get(outcome.HeaderOutcome)) == outcome.NotRun
	got := resp.Header.Get(outcome.HeaderCallID)
	if got != callID && (got != "" || notRun && reusedConn) {
		return outcome.NewUnknown(outcome.ReasonResponseMismatch, "target returned the answer of another call, or a refusal that does not name its call")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return outcome.NewUnknown(outcome.ReasonBadAnswer, "target returned an answer without a length")
	}
	resp.Header.Del(outcome.HeaderCallID)
	return nil
}

func newSendError(err error, g *writeGuard) *SendError {
	f := &SendError{
		ConnRefused: errors.Is(err, syscall.ECONNREFUSED),
		ConnReset:   errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF),
	}
	if checkErr := g.checkErr.Load(); checkErr != nil && !g.sent() {
		f.Err = outcome.FromError(*checkErr)
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

func (s *Sender) transport(maxConns int) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.transports[maxConns]
	if !ok {
		t = newTransport(s.dial, maxConns)
		s.transports[maxConns] = t
	}
	return t
}

func newTransport(dial Dialer, maxConns int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: DefaultMaxHeaderBytes,
	}
}

// answerBody is the body of an answer. Closing it also cancels the context of
// the call.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer. Closing before the end of the body closes the
// connection, so the unread part of an answer cannot reach another call.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
