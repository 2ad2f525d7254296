package httpplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
)

// vmList reads the list of VMs. It caches the last list with its ETag and
// transfers the list again only after a change: reading the whole list of a large
// fleet each time would use up the byte budget for control traffic.
type vmList struct {
	c *Client

	mu      sync.Mutex
	etag    string
	entries []platform.VMEntry
}

// List implements platform.VMList. The caller must not modify the slice, which
// later calls may return again.
func (l *vmList) List(ctx context.Context) ([]platform.VMEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.c.options.ReadTimeout)
	defer cancel()
	l.mu.Lock()
	etag, cached := l.etag, l.entries
	l.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.c.options.BaseURL+wire.PathVMs, nil)
	if err != nil {
		return nil, wrapError(platform.ErrUnavailable, err)
	}
	req.Header.Set(wire.HeaderVM, l.c.options.VM)
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := l.c.http.Do(req)
	if err != nil {
		return nil, wrapError(platform.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := call.CheckHeaderNames(resp.Header); err != nil {
		return nil, wrapError(platform.ErrUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusNotModified:
		return cached, nil
	case http.StatusOK:
		return l.read(resp)
	default:
		return nil, wrapError(platform.ErrUnavailable, statusError(resp.Status))
	}
}

func (l *vmList) read(resp *http.Response) ([]platform.VMEntry, error) {
	var entries []platform.VMEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&entries); err != nil {
		return nil, wrapError(platform.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.entries = resp.Header.Get("ETag"), entries
	return entries, nil
}

// statusError is the status line of a response, such as "502 Bad Gateway".
type statusError string

// Error implements the error interface.
func (e statusError) Error() string { return "unexpected response with status " + string(e) }
