package httpplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
)

// vmList reads the list of VMs. It keeps the last list and asks only whether
// there is a newer one, since the list of a large fleet would use up the byte
// budget of control.
type vmList struct {
	c *Client

	mu      sync.Mutex
	tag     string
	entries []platform.VMEntry
}

// List implements platform.VMList. The caller must not change the slice.
func (l *vmList) List(ctx context.Context) ([]platform.VMEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.c.o.ReadTimeout)
	defer cancel()
	l.mu.Lock()
	tag, known := l.tag, l.entries
	l.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.c.o.BaseURL+wire.PathVMs, nil)
	if err != nil {
		return nil, failed(platform.ErrUnavailable, err)
	}
	req.Header.Set(wire.HeaderVM, l.c.o.VM)
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := l.c.http.Do(req)
	if err != nil {
		return nil, failed(platform.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return known, nil
	case http.StatusOK:
		return l.read(resp)
	default:
		return nil, failed(platform.ErrUnavailable, errStatus(resp.Status))
	}
}

func (l *vmList) read(resp *http.Response) ([]platform.VMEntry, error) {
	var entries []platform.VMEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&entries); err != nil {
		return nil, failed(platform.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.entries = resp.Header.Get("ETag"), entries
	return entries, nil
}

type errStatus string

// Error implements the error interface.
func (e errStatus) Error() string { return "answer " + string(e) }
