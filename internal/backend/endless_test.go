package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// maxBytesPerRequest is the limit of the bytes that may be read of a server for one
// request before its body.
const maxBytesPerRequest = 1 << 20

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// newEndlessServer starts a server that answers a request with head and then with part
// again and again until the client closes the connection. Each close is sent to closed.
func newEndlessServer(t testing.TB, head, part string) (s fleet.Server, closed <-chan struct{}) {
	t.Helper()
	ends := make(chan struct{}, 16)
	address := listenRaw(t, func(c net.Conn) {
		defer func() { ends <- struct{}{} }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, part)
		}
	})
	return fleet.Server{ID: "s-1", Address: address}, ends
}

func listenRaw(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

func newCountingPool(t *testing.T) (*backend.ConnPool, *atomic.Int64) {
	t.Helper()
	read := &atomic.Int64{}
	p := backend.NewConnPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, read}, nil
	}, backend.DefaultMaxHeaderBytes)
	t.Cleanup(p.Close)
	return p, read
}

// Guards against a VM that runs out of memory because a server sends bytes without end
// where a response header is due. The request may have run, so it must count as sent.
func TestEndlessHeadersAreCutOff(t *testing.T) {
	long := strings.Repeat("x", 1000)
	for name, raw := range map[string][2]string{
		"status line":             {"", long},
		"one header line":         {"HTTP/1.1 200 OK\r\nA: ", long},
		"short headers":           {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:b\r\n", 200)},
		"empty lines":             {"", strings.Repeat("\r\n", 500)},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"switching protocols":     {"", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"},
		"responses to others":     {"", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
		"body of another request": {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + long + "\r\n"},
		"chunk size":              {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "000000"},
		"chunk extension":         {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n1;", long},
		"trailer":                 {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", long},
	} {
		s, closed := newEndlessServer(t, raw[0], raw[1])
		p, read := newCountingPool(t)
		req := getRequest("1")
		req.Timeout = time.Minute // only the limits of bytes may end the exchange
		_, err := p.Do(t.Context(), codec{}, s, req)
		var failure *backend.ExchangeError
		if !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("%s: error %v, want an ExchangeError of a request that was sent", name, err)
		}
		if n := read.Load(); n > maxBytesPerRequest {
			t.Errorf("%s: %d bytes read, limit %d", name, n, maxBytesPerRequest)
		}
		if p.HasIdle(s.ID) {
			t.Errorf("%s: the connection is kept", name)
		}
		<-closed
	}
}

// Guards against a server that counts as healthy, and a VM that reads without end, when the
// body of a health check does not end.
func TestEndlessHealthCheckFails(t *testing.T) {
	s, closed := newEndlessServer(t, "HTTP/1.1 200 OK\r\nFrom: s-1\r\n\r\n", strings.Repeat("x", 1000))
	p, read := newCountingPool(t)
	if info, err := p.Probe(t.Context(), codec{}, s, "/health", time.Minute); err == nil {
		t.Errorf("health check succeeded with %+v", info)
	}
	if n := read.Load(); n > maxBytesPerRequest {
		t.Errorf("%d bytes read, limit %d", n, maxBytesPerRequest)
	}
	<-closed
}

// Guards against a body without end that is read ahead of the caller, and against a
// connection that stays open after the caller has left.
func TestEndlessBodyEndsWithTheContext(t *testing.T) {
	s, closed := newEndlessServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", strings.Repeat("x", 1000))
	p, read := newCountingPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	req := getRequest("1")
	req.Timeout = time.Minute
	resp, err := p.Do(ctx, codec{}, s, req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	const taken = 100 << 10
	if _, err := io.CopyN(io.Discard, resp.Body, taken); err != nil {
		t.Fatal(err)
	}
	if ahead := read.Load() - taken; ahead > 64<<10 {
		t.Errorf("%d bytes read ahead of the caller, limit %d", ahead, 64<<10)
	}
	cancel()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("a body without end was read to its end")
	}
	_ = resp.Body.Close()
	<-closed
}

// Guards against a header limit that ends a long response, or that adds up over the requests
// on one connection.
func TestHeaderLimitDoesNotCountBodies(t *testing.T) {
	body := strings.Repeat("x", 3*backend.DefaultMaxHeaderBytes)
	var responses []string
	for range 4 {
		responses = append(responses, "HTTP/1.1 103 Early Hints\r\n\r\n"+rawResponse("7", body)+rawResponse("1", body))
	}
	// A response to another request makes the connection unusable for the next one.
	s := newScriptedServer(t, responses[:1], responses[1:2], responses[2:3], responses[3:])
	p, _ := newCountingPool(t)
	for range responses {
		if got, err := doRequest(t, p, s, getRequest("1")); got != body || err != nil {
			t.Errorf("got %d bytes, error %v, want %d bytes", len(got), err, len(body))
		}
	}
}

// Guards against bytes of a server that cause a panic, that are read without end, or that
// are passed on as the response to a request although they carry the ID of another one or are no
// response.
func FuzzResponse(f *testing.F) {
	for _, raw := range []string{
		rawResponse("1", "one"), rawResponse("7", "x") + rawResponse("1", "one"), "HTTP/1.1 100 Continue\r\n\r\n" + rawResponse("1", ""),
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "\x00\x01 no HTTP", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n" + rawResponse("1", ""), "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 1\r\n X: y\r\n\r\n",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		read := &atomic.Int64{}
		p := backend.NewConnPool(func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					_, _ = io.Copy(server, bytes.NewReader(raw))
				}
			}()
			return countingConn{client, read}, nil
		}, 1<<10)
		defer p.Close()
		resp, err := p.Do(t.Context(), codec{}, fleet.Server{ID: "s-1", Address: "pipe"}, getRequest("1"))
		if err != nil {
			return
		}
		if err := call.CheckAnswer(resp.Status, resp.Header); err != nil {
			t.Errorf("invalid head passed on: %v", err)
		}
		if resp.Info.RequestID != "1" && !resp.Info.NotRun {
			t.Errorf("response with ID %q passed on for request 1", resp.Info.RequestID)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if p.HasIdle("s-1") && read.Load() < int64(len(raw)) {
			t.Errorf("connection kept with %d of %d bytes read", read.Load(), len(raw))
		}
	})
}
