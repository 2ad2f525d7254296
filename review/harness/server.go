package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// server is a stand-in for a backend server that leaves its answers to a function, so that it can
// answer early, late or more than once.
type server struct {
	w                       *world
	id, service, zone, addr string
	slots                   int
	// handle answers a request on its connection and returns an error to close it.
	handle func(*exchange) error
	// health answers a health check. If it is nil, the server says that it is well.
	health func(*exchange) error

	mu       sync.Mutex
	conns    map[net.Conn]bool
	born     int64
	listener net.Listener
	ended    bool
}

// exchange is a request on a connection to a server.
type exchange struct {
	*server
	conn net.Conn
	in   *bufio.Reader
	req  *http.Request
	id   string // of the request
}

func (w *world) startServer(s *server) error {
	s.w, s.addr, s.conns, s.born = w, w.address()+":"+strconv.Itoa(serverPort), map[net.Conn]bool{}, time.Now().UnixMilli()
	l, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", s.addr)
	if err != nil {
		return err
	}
	s.listener = l
	w.closed = append(w.closed, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go s.beat()
	return nil
}

// beat writes the row of the server in the store until the case ends.
func (s *server) beat() {
	for sequence := 1; !s.hasEnded(); sequence++ {
		err := s.w.store.Put(platform.TableServers, s.id, map[string]any{
			"address": s.addr, "born": s.born,
			"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
			"status": map[string]any{"state": "ready", "sequence": sequence, "warmup_left_ms": 0},
		})
		if err != nil {
			s.w.rec.note("%s: write of its row: %v", s.id, err)
		}
		select {
		case <-s.w.ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

func (s *server) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		x := &exchange{server: s, conn: c, in: in, req: req, id: req.Header.Get(platform.HeaderRequestID)}
		if err := s.answer(x); err != nil {
			return
		}
	}
}

// crash closes all connections and ends the heartbeats, as the end of the process does.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

var errMisdirected = errors.New("a request for another server")

func (s *server) answer(x *exchange) error {
	if x.req.URL.Path == platformtest.HealthPath {
		if s.health != nil {
			return s.health(x)
		}
		return x.write(http.StatusOK, "", platform.HeaderInstance, s.id, platform.HeaderLoad, fmt.Sprintf("0,0,%d,100", s.slots))
	}
	if x.req.Header.Get(platform.HeaderExpectInstance) != s.id {
		return errMisdirected
	}
	return s.handle(x)
}

// stamp is the header that shows that a response comes from this server.
func (x *exchange) stamp() string { return x.server.id + "." + x.id }

// write writes a response with a length. headers are names and values in turn.
func (x *exchange) write(status int, body string, headers ...string) error {
	_, err := x.conn.Write([]byte(response(status, body, headers...)))
	return err
}

func response(status int, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}
