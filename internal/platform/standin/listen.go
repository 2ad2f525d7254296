package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/quartz"
)

const readHeaderTimeout = 5 * time.Second

// Listener is a stand-in that serves HTTP.
type Listener struct {
	*Server
	listener net.Listener
	http     *http.Server
}

// Listen starts a stand-in on address. Stop must be called to end it.
func Listen(ctx context.Context, address string, seed uint64) (*Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	server := NewServer(quartz.NewReal(), seed)
	l := &Listener{
		Server:   server,
		listener: listener,
		http:     &http.Server{Handler: server, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = l.http.Serve(listener) }()
	return l, nil
}

// Address returns host:port of the stand-in.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Stop ends the stand-in. Requests in progress are cut off.
func (l *Listener) Stop(context.Context) error { return l.http.Close() }
