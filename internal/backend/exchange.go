package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/recovery"
)

const (
	// maxInlineBody is the longest body, in bytes, that is written before the
	// response is read. Longer bodies and bodies of unknown length are written
	// at the same time as the response is read, since a server may respond
	// early.
	maxInlineBody = 8 << 10
	// maxDiscardedBody is the largest number of bytes that are read and
	// discarded of the body of a health check or of a response to another
	// request.
	maxDiscardedBody = 256 << 10
	// maxSkippedResponses is the largest number of responses to other requests
	// that are skipped before the response to this request.
	maxSkippedResponses = 3
	// maxInformationalResponses is the largest number of informational responses
	// (status 1xx) to one request.
	maxInformationalResponses = 8
)

const (
	// maxHeaderLines is the largest number of lines of the response headers for one request.
	maxHeaderLines = 1024
	// headerLineCost is the memory of a header line in net/http, apart from its bytes.
	headerLineCost = 256
	// prepaidHeaderLines is the number of lines that are part of what a request takes anyway.
	// Answers to requests in progress do not fail for lack of memory with fewer lines.
	prepaidHeaderLines = 64
)

// DefaultMaxHeaderBytes is the default limit of the response headers for one request.
const DefaultMaxHeaderBytes = 32 << 10

var (
	errHeaderTooLarge       = errors.New("the response headers exceed the limit")
	errTooManyHeaderLines   = errors.New("the response headers have too many lines")
	errTooManyInformational = errors.New("too many informational responses")
	errHealthBodyTooLarge   = errors.New("the body of the health check is too long")
)

// Errors of a VM that is short of something for a further exchange. They say nothing about the
// server.
var (
	ErrNoSocket = errors.New("no socket is left for a connection to a backend server")
	ErrNoMemory = errors.New("no memory is left for a response header")
)

// HeaderCodec translates the headers that a deployment uses between entry VMs
// and backend servers. It must be safe for concurrent use.
type HeaderCodec interface {
	// SetRequestHeaders sets the headers that name the backend server for which
	// a request is meant, and the time left for it.
	SetRequestHeaders(h http.Header, server string, left time.Duration)
	// ParseResponse decodes the status and headers of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ResponseInfo is what the headers of a response say in addition to its status.
type ResponseInfo struct {
	RequestID  string // ID of the request to which the response belongs; empty if not stated
	FromServer bool   // the response has the header that only a backend server sets (platform.HeaderStamp)
	NotRun     bool   // the server has not run the request and will not run it
	Server     string // ID of the server; empty if not stated
	Healthy    bool   // result of a health check; without meaning for other requests
	Load       *fleet.Load
	ColdFor    time.Duration
	Notice     fleet.Notice
}

// Request is one request for a backend server.
type Request struct {
	ID         string // compared with that of the response; empty if the caller sent none
	Probe      bool   // a health check, whose response has no ID
	Method     string
	RequestURI string // path and query as the caller sent them, as in http.Request.RequestURI
	Host       string
	Header     http.Header // Do does not change it
	Body       io.Reader   // nil: no body
	Length     int64       // length of Body in bytes; -1: unknown
	Timeout    time.Duration
	// Check runs immediately before the first byte is written. If it returns an error, nothing is
	// written and the request ends with that error. Nil: no check.
	Check func() error
}

// Response is a response of a backend server. Body returns io.EOF only after
// the complete body. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	Length int64 // length of Body in bytes; -1: unknown
	Body   io.ReadCloser
	Info   ResponseInfo
	// RequestDone is closed once the body of the request is no longer read: it has been
	// sent completely, or sending it has failed. A server may respond before.
	RequestDone <-chan struct{}
}

// ExchangeError describes why no response is available.
type ExchangeError struct {
	// Sent is true if a byte of the request may have reached the server.
	Sent bool
	// ConnRefused is true if the address of the server refused the connection.
	ConnRefused bool
	Err         error
}

// Error implements the error interface.
func (e *ExchangeError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Do sends req to server once and returns its response, of which only the
// headers have been read. When ctx ends, the connection is closed, which tells
// the server to stop working on the request. The error is an *ExchangeError. Do
// is safe for concurrent use.
func (p *ConnPool) Do(ctx context.Context, proto HeaderCodec, server fleet.Server, req *Request) (*Response, error) {
	started := time.Now()
	// No response names a request without an ID, so nothing else may have been sent on its
	// connection.
	c, err := p.get(ctx, server, req.ID == "" && !req.Probe, req.Probe)
	if err != nil {
		return nil, &ExchangeError{ConnRefused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	if err := ctx.Err(); err != nil {
		p.put(c, "")
		return nil, &ExchangeError{Err: err}
	}
	out, err := newExchangeRequest(proto, server, req, time.Since(started))
	if err != nil {
		p.put(c, "")
		return nil, &ExchangeError{Err: err}
	}
	if req.Check != nil {
		if err := req.Check(); err != nil {
			p.put(c, "")
			return nil, &ExchangeError{Err: err}
		}
	}
	ex := &exchange{pool: p, conn: c, proto: proto, id: req.ID, probe: req.Probe, method: req.Method, requestDone: make(chan struct{})}
	ex.stopWatchingContext = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := ex.run(out, req)
	if err != nil {
		ex.stopWatchingContext()
		_ = c.Close()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &ExchangeError{
			Sent: true,
			Err:  fmt.Errorf("exchange with backend server %s: %w", server.ID, err),
		}
	}
	return resp, nil
}

func newExchangeRequest(proto HeaderCodec, server fleet.Server, req *Request, spent time.Duration) (*http.Request, error) {
	u, err := requestURL(req.RequestURI)
	if err != nil {
		return nil, err
	}
	out := &http.Request{
		Method: req.Method, URL: u, Host: req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: req.Header.Clone(), ContentLength: req.Length,
	}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	call.RemoveHopByHop(out.Header)
	out.Header.Del("Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""} // keeps net/http from adding its own value
	}
	proto.SetRequestHeaders(out.Header, server.ID, req.Timeout-spent)
	if req.Body != nil {
		out.Body = io.NopCloser(req.Body)
	}
	return out, nil
}

// requestURL returns a URL that net/http writes exactly as requestURI.
func requestURL(requestURI string) (*url.URL, error) {
	u, err := url.ParseRequestURI(requestURI)
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	if u.Scheme != "" || !strings.HasPrefix(requestURI, "/") {
		return nil, errors.New("path: does not begin with a slash")
	}
	if u.RequestURI() != requestURI {
		path, query, found := strings.Cut(requestURI, "?")
		u = &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}
		if u.RequestURI() != requestURI {
			return nil, errors.New("path: cannot be forwarded unchanged")
		}
	}
	return u, nil
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool                *ConnPool
	conn                *conn
	proto               HeaderCodec
	id                  string
	probe               bool
	method              string
	stopWatchingContext func() bool

	skippedResponses       int
	informationalResponses int
	written                atomic.Bool // the complete request has been written
	writeErr               atomic.Pointer[error]
	requestDone            chan struct{} // see Response.RequestDone
}

func (ex *exchange) run(out *http.Request, req *Request) (*Response, error) {
	ex.conn.headerBytesLeft = ex.pool.maxHeaderBytes
	ex.conn.head = headScanner{}
	ex.conn.head.start()
	if req.Body == nil || (req.Length >= 0 && req.Length <= maxInlineBody) {
		err := ex.write(out)
		close(ex.requestDone)
		if err != nil && !ex.hasPendingResponse() {
			return nil, fmt.Errorf("write request: %w", err)
		}
	} else {
		go func() {
			defer close(ex.requestDone)
			// A panic outside the goroutine of the request would end the process.
			var p *recovery.PanicError
			if err := recovery.Run(func() error { return ex.write(out) }); errors.As(err, &p) {
				_ = ex.recordWriteError(err)
			}
		}()
	}
	for {
		resp, err := ex.read(out)
		if err != nil {
			return nil, err
		}
		if resp != nil {
			ex.conn.headerBytesLeft = unlimited
			return resp, nil
		}
	}
}

// write writes a request with a short body in one packet if possible, and a
// longer one through a buffer.
func (ex *exchange) write(out *http.Request) error {
	var buf bytes.Buffer
	w := bufio.NewWriterSize(ex.conn, maxInlineBody)
	if out.Body == nil || (out.ContentLength >= 0 && out.ContentLength <= maxInlineBody) {
		if err := out.Write(&buf); err != nil {
			return ex.recordWriteError(err)
		}
		if _, err := ex.conn.Write(buf.Bytes()); err != nil {
			return ex.recordWriteError(err)
		}
		ex.written.Store(true)
		return nil
	}
	if err := out.Write(w); err != nil {
		return ex.recordWriteError(err)
	}
	if err := w.Flush(); err != nil {
		return ex.recordWriteError(err)
	}
	ex.written.Store(true)
	return nil
}

func (ex *exchange) recordWriteError(err error) error {
	ex.writeErr.Store(&err)
	// Closing the write side of the connection shows the server that the body
	// ends early.
	if conn, ok := ex.conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite()
	}
	return err
}

// hasPendingResponse reports whether the server has responded although the
// request could not be written completely. It waits for the first byte or the
// end of the connection.
func (ex *exchange) hasPendingResponse() bool {
	_, err := ex.conn.r.Peek(1)
	return err == nil
}

// read returns the next response, or nil after an informational response or one
// to another request.
func (ex *exchange) read(out *http.Request) (*Response, error) {
	if err := ex.startHead(); err != nil {
		return nil, err
	}
	if _, err := ex.conn.r.Peek(1); err != nil {
		return nil, fmt.Errorf("wait for response: %w", unexpectedEOF(err))
	}
	resp, err := http.ReadResponse(ex.conn.r, out) //nolint:bodyclose // exchangeBody or skipResponse closes it
	ex.conn.head.inHead = false
	if err != nil {
		return nil, fmt.Errorf("read response: %w", unexpectedEOF(err))
	}
	if err := call.CheckHeaderNames(resp.Header); err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if isInformational(resp.StatusCode) {
		if ex.informationalResponses++; ex.informationalResponses > maxInformationalResponses {
			return nil, errTooManyInformational
		}
		return nil, nil // the final response follows
	}
	if err := call.CheckStatus(resp.StatusCode); err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	info := ex.proto.ParseResponse(resp.StatusCode, resp.Header)
	if !ex.isAnswered(info) {
		return nil, ex.skipResponse(resp)
	}
	// A server that responds before it has received the request may read the rest of it
	// as another request.
	reusable := !resp.Close && ex.skippedResponses == 0 && ex.written.Load()
	header := resp.Header
	keepAlive := header.Get("Keep-Alive")
	call.RemoveHopByHop(header)
	return &Response{
		Status: resp.StatusCode, Header: header, Length: resp.ContentLength, Info: info,
		Body:        &exchangeBody{ReadCloser: resp.Body, ex: ex, reusable: reusable, keepAlive: keepAlive},
		RequestDone: ex.requestDone,
	}, nil
}

// startHead begins the head of the next response. A part of it may have been read together with the
// response before.
func (ex *exchange) startHead() error {
	c := ex.conn
	if c.head.inHead {
		return nil // the first response: nothing was read before it
	}
	c.head.start()
	buffered, _ := c.r.Peek(c.r.Buffered())
	return c.countHead(buffered)
}

// isInformational reports whether a response with status is followed by another one to the same
// request. After a change of protocol, which no request asks for, none follows.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isAnswered reports whether a response belongs to the request. One without an ID may be a copy of
// an earlier one, for instance of the refusal of a health check. It belongs to a health check, and
// to a request only if nothing else was sent on the connection; then it must say that the request
// was not run, unless the request has no ID either.
func (ex *exchange) isAnswered(info ResponseInfo) bool {
	switch {
	case info.RequestID != "":
		return info.RequestID == ex.id
	case ex.probe:
		return true
	default:
		return !ex.conn.used && ex.skippedResponses == 0 && (info.NotRun || ex.id == "")
	}
}

// skipResponse reads and discards a response to another request. A faulty server may
// send one before the response to this request.
func (ex *exchange) skipResponse(resp *http.Response) error {
	ex.skippedResponses++
	if ex.skippedResponses > maxSkippedResponses || resp.Close {
		return errors.New("the response belongs to another request")
	}
	headerBytesLeft := ex.conn.headerBytesLeft
	ex.conn.headerBytesLeft = unlimited
	defer func() { ex.conn.headerBytesLeft = headerBytesLeft }()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody))
	if err != nil {
		return fmt.Errorf("discard the response to another request: %w", unexpectedEOF(err))
	}
	if n == maxDiscardedBody {
		return errors.New("the response to another request is too long to discard")
	}
	return nil
}
