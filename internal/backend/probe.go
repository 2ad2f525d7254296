package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// Probe requests the health and load of a backend server at path. It fails if
// the server does not respond within timeout or another server responds at its
// address.
func (p *ConnPool) Probe(ctx context.Context, proto HeaderCodec, server fleet.Server, path string, timeout time.Duration) (ResponseInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := p.Do(ctx, proto, server, &Request{
		Probe: true, Method: http.MethodGet, RequestURI: path, Host: server.Address, Timeout: timeout,
	})
	if err != nil {
		return ResponseInfo{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody))
	if err == nil && n == maxDiscardedBody {
		err = errHealthBodyTooLarge
	}
	if err != nil {
		return ResponseInfo{}, fmt.Errorf("read health of backend server %s: %w", server.ID, err)
	}
	if resp.Info.Server != "" && resp.Info.Server != server.ID {
		return ResponseInfo{}, fmt.Errorf("health of backend server %s: server %s answered at its address", server.ID, resp.Info.Server)
	}
	return resp.Info, nil
}
