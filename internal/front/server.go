package front

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
)

// NewServer returns an HTTP server for connections of a Listener. The context
// of a request is cancelled when the caller closes the connection.
func NewServer(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
				if !c.StartRequest() {
					panic(http.ErrAbortHandler)
				}
				c.StartBody(r.ContentLength)
			}
			h.ServeHTTP(w, r)
		}),
		MaxHeaderBytes: maxHeaderBytes,
		// Conn has to learn of each request.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(_ context.Context, nc net.Conn) context.Context {
			c, ok := nc.(*Conn)
			if !ok {
				return context.Background()
			}
			return context.WithValue(c.Context(), connKey{}, c)
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			c, ok := nc.(*Conn)
			if !ok {
				return
			}
			switch state {
			case http.StateNew, http.StateActive:
				c.StartHeaderTimeout()
			case http.StateIdle:
				c.StartIdleTimeout()
			case http.StateHijacked, http.StateClosed:
			}
		},
		// Broken connections of callers are frequent and of no interest;
		// requests log their own end.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

type connKey struct{}
