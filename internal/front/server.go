package front

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
)

// NewServer returns a server for connections of a Listener.
func NewServer(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
				c.Serving()
			}
			h.ServeHTTP(w, r)
		}),
		MaxHeaderBytes: maxHeaderBytes,
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
				c.ReadingHead()
			case http.StateIdle:
				c.Idle()
			case http.StateHijacked, http.StateClosed:
			}
		},
		// Broken connections of callers are no news; requests log their own end.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

type connKey struct{}
