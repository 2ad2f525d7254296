package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/quartz"
)

const readHeaderTimeout = 5 * time.Second

// ListeningServer is a Server with a TCP listener on which it serves HTTP.
type ListeningServer struct {
	*Server
	listener net.Listener
	http     *http.Server
}

// Listen starts a stand-in on address. seed determines to which requests a Fault
// with a Share applies. The caller must end the stand-in with Stop.
func Listen(ctx context.Context, address string, seed uint64) (*ListeningServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	server := NewServer(quartz.NewReal(), seed)
	l := &ListeningServer{
		Server:   server,
		listener: listener,
		http:     &http.Server{Handler: server, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = l.http.Serve(listener) }()
	return l, nil
}

// Address returns the host:port at which the stand-in listens.
func (l *ListeningServer) Address() string { return l.listener.Addr().String() }

// Stop stops the stand-in. The connections of requests in progress are closed. It
// does not use its context.
func (l *ListeningServer) Stop(context.Context) error { return l.http.Close() }
