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
)

const (
	// inlineBody is the longest body that is written before the answer is read.
	// Longer ones are written beside it, since a server may answer early.
	inlineBody = 8 << 10
	// maxStrayBody is the longest answer of another request that is read past.
	// Unit: bytes.
	maxStrayBody = 256 << 10
	// maxStrays bounds the answers of other requests before the own one.
	maxStrays = 3
)

// HeaderCodec translates the headers that a deployment uses between entry VMs and
// backend servers.
type HeaderCodec interface {
	// SetRequestHeaders binds a request to a backend server and to the time left.
	SetRequestHeaders(h http.Header, server string, left time.Duration)
	// ParseResponse decodes the head of an answer.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ResponseInfo is what the head of an answer says besides its status.
type ResponseInfo struct {
	RequestID  string // of the request that it belongs to
	FromServer bool   // bears the server's proof
	NotRun     bool   // the server did not run the request and will not
	Server     string // ID of the server, if it says so
	Healthy    bool   // meaningful for health requests only
	Load       *fleet.Load
	ColdFor    time.Duration
}

// Request is one request for a backend server.
type Request struct {
	ID      string // matched with the answer; empty: not matched
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header // not changed
	Body    io.Reader   // nil: none
	Length  int64       // of Body; -1: not known
	Timeout time.Duration
}

// Response is an answer of a backend server. Body ends in io.EOF only after the
// whole body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1: not known
	Body   io.ReadCloser
	Info   ResponseInfo
}

// ExchangeError says why no answer is available.
type ExchangeError struct {
	// Sent is true if a byte of the request may have reached the server.
	Sent bool
	// ConnRefused is true if the server's address refused the connection.
	ConnRefused bool
	Err         error
}

// Error implements the error interface.
func (e *ExchangeError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Do sends req to server once and returns the head of its answer. The end of
// ctx closes the connection, which tells the server to stop. The error is an
// *ExchangeError.
func (p *ConnPool) Do(ctx context.Context, proto HeaderCodec, server fleet.Server, req *Request) (*Response, error) {
	started := time.Now()
	c, err := p.get(ctx, server)
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
	ex := &exchange{pool: p, conn: c, proto: proto, id: req.ID, method: req.Method}
	ex.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := ex.run(out, req)
	if err != nil {
		ex.stop()
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
	u, err := targetURL(req.Target)
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
		out.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	proto.SetRequestHeaders(out.Header, server.ID, req.Timeout-spent)
	if req.Body != nil {
		out.Body = io.NopCloser(req.Body)
	}
	return out, nil
}

// targetURL returns a URL that is written exactly as target.
func targetURL(target string) (*url.URL, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	if u.Scheme != "" || !strings.HasPrefix(target, "/") {
		return nil, errors.New("path: does not begin with a slash")
	}
	if u.RequestURI() != target {
		path, query, found := strings.Cut(target, "?")
		u = &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}
		if u.RequestURI() != target {
			return nil, errors.New("path: cannot be passed on unchanged")
		}
	}
	return u, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool   *ConnPool
	conn   *conn
	proto  HeaderCodec
	id     string
	method string
	stop   func() bool

	strays   int
	written  atomic.Bool // the whole request is written
	writeErr atomic.Pointer[error]
}

func (ex *exchange) run(out *http.Request, req *Request) (*Response, error) {
	if req.Body == nil || (req.Length >= 0 && req.Length <= inlineBody) {
		if err := ex.write(out); err != nil && !ex.answerWaits() {
			return nil, fmt.Errorf("write the request: %w", err)
		}
	} else {
		go func() { _ = ex.write(out) }()
	}
	for {
		resp, err := ex.read(out)
		if err != nil {
			return nil, err
		}
		if resp != nil {
			return resp, nil
		}
	}
}

// write sends the request in as few packets as its size allows.
func (ex *exchange) write(out *http.Request) error {
	var buf bytes.Buffer
	w := bufio.NewWriterSize(ex.conn, inlineBody)
	if out.Body == nil || (out.ContentLength >= 0 && out.ContentLength <= inlineBody) {
		if err := out.Write(&buf); err != nil {
			return ex.failWrite(err)
		}
		if _, err := ex.conn.Write(buf.Bytes()); err != nil {
			return ex.failWrite(err)
		}
		ex.written.Store(true)
		return nil
	}
	if err := out.Write(w); err != nil {
		return ex.failWrite(err)
	}
	if err := w.Flush(); err != nil {
		return ex.failWrite(err)
	}
	ex.written.Store(true)
	return nil
}

func (ex *exchange) failWrite(err error) error {
	ex.writeErr.Store(&err)
	// The server must see that the body ends early.
	if conn, ok := ex.conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite()
	}
	return err
}

// answerWaits reports whether the server answered although the request could
// not be written completely.
func (ex *exchange) answerWaits() bool {
	_, err := ex.conn.r.Peek(1)
	return err == nil
}

// read returns the next answer, or nil after an answer of another request.
func (ex *exchange) read(out *http.Request) (*Response, error) {
	if _, err := ex.conn.r.Peek(1); err != nil {
		return nil, fmt.Errorf("wait for the answer: %w", noEOF(err))
	}
	resp, err := http.ReadResponse(ex.conn.r, out) //nolint:bodyclose // exchangeBody or skip closes it
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", noEOF(err))
	}
	if resp.StatusCode < http.StatusOK {
		return nil, nil // informational; the answer follows
	}
	a := ex.proto.ParseResponse(resp.StatusCode, resp.Header)
	if ex.id != "" && a.RequestID != ex.id && (a.RequestID != "" || !a.NotRun) {
		return nil, ex.skip(resp)
	}
	keep := !resp.Close && ex.strays == 0
	header := resp.Header
	keepAlive := header.Get("Keep-Alive")
	call.RemoveHopByHop(header)
	return &Response{
		Status: resp.StatusCode, Header: header, Length: resp.ContentLength, Info: a,
		Body: &exchangeBody{ReadCloser: resp.Body, ex: ex, keep: keep, keepAlive: keepAlive},
	}, nil
}

// skip reads past an answer of another request, which a faulty server sent in
// place of the next one.
func (ex *exchange) skip(resp *http.Response) error {
	ex.strays++
	if ex.strays > maxStrays || resp.Close {
		return errors.New("the answer belongs to another request")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
	if err != nil {
		return fmt.Errorf("read past the answer of another request: %w", noEOF(err))
	}
	if n == maxStrayBody {
		return errors.New("the answer of another request is too long to read past")
	}
	return nil
}

// exchangeBody returns the connection to the pool after the whole body.
type exchangeBody struct {
	io.ReadCloser
	ex        *exchange
	keep      bool
	keepAlive string
	whole     bool
	closed    bool
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer. The connection is kept only if the whole request
// was written, the whole answer was read, and nothing follows it.
func (b *exchangeBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	// stop returns false if the context has ended: the connection is broken.
	alive := b.ex.stop()
	c := b.ex.conn
	if alive && b.whole && b.keep && b.ex.written.Load() && c.r.Buffered() == 0 {
		b.ex.pool.put(c, b.keepAlive)
		return nil
	}
	return c.Close()
}

// noEOF turns the end of the connection into an error that is not mistaken for
// the end of a body.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Probe asks a backend server for its health and load.
func (p *ConnPool) Probe(ctx context.Context, proto HeaderCodec, server fleet.Server, path string, timeout time.Duration) (ResponseInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := p.Do(ctx, proto, server, &Request{
		Method: http.MethodGet, Target: path, Host: server.Address, Timeout: timeout,
	})
	if err != nil {
		return ResponseInfo{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody)); err != nil {
		return ResponseInfo{}, fmt.Errorf("health of backend server %s: %w", server.ID, err)
	}
	if resp.Info.Server != "" && resp.Info.Server != server.ID {
		return ResponseInfo{}, fmt.Errorf("health of backend server %s: %s answered at its address", server.ID, resp.Info.Server)
	}
	return resp.Info, nil
}
