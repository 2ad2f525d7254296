// Package httpplatform is the HTTP client of the platform's services. Requests and
// responses other than objects are JSON documents of package wire.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
	"goldcresthinge.example/goldcresthinge/internal/socket"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// maxResponseHeaderBytes bounds the header of a response.
const maxResponseHeaderBytes = 32 << 10

// Options configures a Client. A duration of 0 or less means the default.
type Options struct {
	BaseURL        string        // for example http://10.0.0.1:7000
	VM             string        // name of this VM, sent with each request
	ConnectTimeout time.Duration // default 1 s
	ReadTimeout    time.Duration // time for a whole read, default 2 s
	WriteTimeout   time.Duration // time for a whole write, default 3 s
	// Dial opens connections. Default: a net.Dialer with ConnectTimeout. If Dial
	// is set, ConnectTimeout is not used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform's services. It implements platform.Table;
// Objects and VMs return the other two services. All methods may be called
// from any goroutine. A write is sent at most once.
//
// A conflict is reported as a *platform.ConflictError, a missing row or object as
// platform.ErrNotFound. Otherwise, the error is platform.ErrUnavailable for a read
// without a valid response, for a write for which no connection could be opened, and
// for a response which states that the request had no effect. It is
// platform.ErrUncertain for every other write without a complete and valid response.
type Client struct {
	options Options
	http    *http.Client
	vmList  vmList
}

type (
	objects struct{ c *Client }
)

var (
	_ platform.Table       = (*Client)(nil)
	_ platform.ObjectStore = objects{}
	_ platform.VMList      = (*vmList)(nil)
)

// New returns a client. The client opens no connection before its first request.
func New(o Options) *Client {
	o.BaseURL = strings.TrimSuffix(o.BaseURL, "/")
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = time.Second
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = 2 * time.Second
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = 3 * time.Second
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext
	}
	c := &Client{options: o, http: &http.Client{
		Transport: &http.Transport{
			// Proxies of the environment are not used, since the platform is
			// addressed by its IP address.
			Proxy:               nil,
			DialContext:         socket.NewDialer(o.Dial),
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     30 * time.Second,
			// Traffic with the platform counts as control traffic, for which a
			// deployment has a byte budget, and most responses are too short to
			// become smaller by compression.
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		// A followed redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	c.vmList.c = c
	return c
}

// Close closes idle connections. Requests in progress go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Objects returns the object store.
func (c *Client) Objects() platform.ObjectStore { return objects{c} }

// VMs returns the list of VMs.
func (c *Client) VMs() platform.VMList { return &c.vmList }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row wire.Row
	err := c.readJSON(ctx, wire.PathRow+"?"+url.Values{"key": {key}}.Encode(), &row)
	return platform.Row(row), err
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	var rows wire.Rows
	q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	if err := c.readJSON(ctx, wire.PathRows+"?"+q.Encode(), &rows); err != nil {
		return nil, err
	}
	return wire.ToRows(rows.Rows), nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, ops []platform.Op) ([]platform.Row, error) {
	body, err := json.Marshal(wire.Commit{Ops: wire.FromOps(ops)})
	if err != nil {
		return nil, merry.Wrap(platform.ErrUnavailable, merry.WithCause(err))
	}
	data, err := c.write(ctx, http.MethodPost, wire.PathCommit, body)
	if err != nil {
		return nil, err
	}
	var rows wire.Rows
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, wrapError(platform.ErrUncertain, err)
	}
	if len(rows.Rows) != len(ops) {
		return nil, merry.Prependf(platform.ErrUncertain, "%d rows for %d ops", len(rows.Rows), len(ops))
	}
	return wire.ToRows(rows.Rows), nil
}

// Put implements platform.ObjectStore.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.c.write(ctx, http.MethodPut, objectPath(name), data)
	return err
}

// Get implements platform.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.read(ctx, objectPath(name))
}

// objectPath returns the path of an object. Slashes in the name remain path
// separators; characters that are not allowed in a path are escaped.
func objectPath(name string) string {
	return wire.PathObjects + (&url.URL{Path: name}).EscapedPath()
}

func (c *Client) readJSON(ctx context.Context, path string, result any) error {
	data, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return wrapError(platform.ErrUnavailable, err)
	}
	return nil
}

func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadTimeout)
	defer cancel()
	return c.send(ctx, http.MethodGet, path, nil, platform.ErrUnavailable)
}

func (c *Client) write(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WriteTimeout)
	defer cancel()
	var connected atomic.Bool
	// Once the request has a connection, the platform may receive it even if an
	// error is returned.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	data, err := c.send(ctx, method, path, body, platform.ErrUncertain)
	if err != nil && !connected.Load() {
		// The cause is included as text only: wrapped, it would make errors.Is
		// match ErrUncertain as well.
		return nil, merry.Prependf(platform.ErrUnavailable, "no connection: %v", err)
	}
	return data, err
}

// send sends one request, a write at most once, and returns the body of a response
// with status 200. The error wraps the argument errUndetermined if the response is
// missing, incomplete, too long, or does not tell whether the request had an effect.
func (c *Client) send(ctx context.Context, method, path string, body []byte, errUndetermined error) ([]byte, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.options.BaseURL+path, reader)
	if err != nil {
		return nil, wrapError(platform.ErrUnavailable, err)
	}
	// After a broken connection, net/http sends a request again only if it can
	// obtain the body a second time.
	req.GetBody = nil
	req.Header.Set(wire.HeaderVM, c.options.VM)
	req.Header.Set("User-Agent", "")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, wrapError(errUndetermined, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := call.CheckHeaderNames(resp.Header); err != nil {
		return nil, wrapError(errUndetermined, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, wrapError(errUndetermined, err)
	}
	if len(data) > maxResponseBytes {
		return nil, merry.Prepend(errUndetermined, "answer too long")
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, responseError(resp.StatusCode, data, errUndetermined)
}

// responseError returns the error for a complete response with a status other
// than 200. A response without a known code may come from an intermediary and
// does not tell whether the request had an effect; its error wraps
// the argument errUndetermined.
func responseError(status int, data []byte, errUndetermined error) error {
	var e wire.Error
	if err := json.Unmarshal(data, &e); err != nil {
		return merry.Prependf(errUndetermined, "status %d", status)
	}
	switch {
	case status == http.StatusConflict && e.Code == wire.CodeConflict && len(e.Rows) > 0:
		return &platform.ConflictError{Rows: wire.ToRows(e.Rows)}
	case status == http.StatusNotFound && e.Code == wire.CodeNotFound:
		return platform.ErrNotFound
	case status == http.StatusServiceUnavailable && e.Code == wire.CodeUnavailable,
		status == http.StatusBadRequest && e.Code == wire.CodeBadRequest:
		return merry.Prependf(platform.ErrUnavailable, "status %d: %s", status, e.Detail)
	default:
		return merry.Prependf(errUndetermined, "status %d", status)
	}
}

// wrapError returns an error that matches both kind and cause with errors.Is.
func wrapError(kind, cause error) error {
	return merry.Wrap(kind, merry.WithCause(cause), merry.NoCaptureStack())
}
