// Package httpplatform reaches the platform's services over HTTP with JSON.
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

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
)

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 64 << 20

// Options configures a Client. Zero durations mean the defaults.
type Options struct {
	BaseURL        string        // for example http://10.0.0.1:7000
	VM             string        // own name, sent with each request
	ConnectTimeout time.Duration // default 1 s
	ReadTimeout    time.Duration // whole read, default 2 s
	WriteTimeout   time.Duration // whole write, default 3 s
	// Dial opens connections. Default: a dialer with ConnectTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client reaches the platform's services. It implements platform.Table;
// Objects and VMs return the other two services. All methods may be called
// from any goroutine. A write is sent at most once.
//
// Errors: platform.ErrUnavailable for a read without an answer, for a write
// that got no connection, and for an answer that says that nothing was done.
// platform.ErrUncertain for every other write without a whole answer.
type Client struct {
	o    Options
	http *http.Client
	list vmList
}

type (
	objects struct{ c *Client }
)

var (
	_ platform.Table       = (*Client)(nil)
	_ platform.ObjectStore = objects{}
	_ platform.VMList      = (*vmList)(nil)
)

// New returns a client. It makes no connection before the first request.
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
	c := &Client{o: o, http: &http.Client{
		Transport: &http.Transport{
			// Environment proxies are not used: the platform is addressed by IP number.
			Proxy:               nil,
			DialContext:         o.Dial,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     30 * time.Second,
			// Store traffic counts against the byte budget of control, and most
			// answers are too short to gain from compression.
			DisableCompression: true,
		},
		// A followed redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	c.list.c = c
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Objects returns the object store.
func (c *Client) Objects() platform.ObjectStore { return objects{c} }

// VMs returns the list of VMs.
func (c *Client) VMs() platform.VMList { return &c.list }

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
		return nil, failed(platform.ErrUncertain, err)
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

// objectPath keeps the slashes of an object name as path separators.
func objectPath(name string) string {
	return wire.PathObjects + (&url.URL{Path: name}).EscapedPath()
}

func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	data, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return failed(platform.ErrUnavailable, err)
	}
	return nil
}

func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.ReadTimeout)
	defer cancel()
	return c.send(ctx, http.MethodGet, path, nil, platform.ErrUnavailable)
}

func (c *Client) write(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.WriteTimeout)
	defer cancel()
	var connected atomic.Bool
	// From here on bytes may be on the wire, even if the write fails.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	data, err := c.send(ctx, method, path, body, platform.ErrUncertain)
	if err != nil && !connected.Load() {
		// The cause is only text here, since it may wrap ErrUncertain.
		return nil, merry.Prependf(platform.ErrUnavailable, "no connection: %v", err)
	}
	return data, err
}

// send sends one request and returns the body of a 200 answer. Without a whole
// answer it returns noAnswer.
func (c *Client) send(ctx context.Context, method, path string, body []byte, noAnswer error) ([]byte, error) {
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.o.BaseURL+path, rd)
	if err != nil {
		return nil, failed(platform.ErrUnavailable, err)
	}
	// net/http sends a request again after a broken connection only if it can
	// get the body a second time.
	req.GetBody = nil
	req.Header.Set(wire.HeaderVM, c.o.VM)
	req.Header.Set("User-Agent", "")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failed(noAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, failed(noAnswer, err)
	}
	if len(data) > maxAnswer {
		return nil, merry.Prepend(noAnswer, "answer too long")
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, answerError(resp.StatusCode, data, noAnswer)
}

// answerError maps a whole answer other than 200. An answer without a known
// code may come from an intermediary and says nothing about the effect.
func answerError(status int, data []byte, noAnswer error) error {
	var e wire.Error
	if err := json.Unmarshal(data, &e); err != nil {
		return merry.Prependf(noAnswer, "status %d", status)
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
		return merry.Prependf(noAnswer, "status %d", status)
	}
}

func failed(kind, cause error) error {
	return merry.Wrap(kind, merry.WithCause(cause), merry.NoCaptureStack())
}
