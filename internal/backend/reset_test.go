package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// longUpload is longer than the socket buffers of both sides.
const longUpload = 32 << 20

func uploadRequest(id string) *backend.Request {
	return &backend.Request{
		ID: id, Method: "POST", RequestURI: "/", Host: "h", Timeout: time.Minute,
		Body: strings.NewReader(strings.Repeat("u", longUpload)), Length: longUpload,
	}
}

// newEarlyServer starts a server that answers an upload with raw without reading its body, waits
// for step, and then runs end.
func newEarlyServer(t *testing.T, raw string, step <-chan struct{}, end func(*net.TCPConn)) fleet.Server {
	t.Helper()
	return fleet.Server{ID: "s-1", Address: listenRaw(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, raw)
		<-step
		end(c.(*net.TCPConn))
	})}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func closeThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	reset(c)
}

func closeThenRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Guards against a part of a response without a length that is taken for the whole one because the
// connection was reset while the request was still being written.
func TestResetDuringUploadEndsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct {
		raw      string
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset after a part":                  {head + "\r\npart", reset, false},
		"reset before the body":               {head + "\r\n", reset, false},
		"reset after a long part":             {head + "\r\n" + strings.Repeat("x", 100<<10), reset, false},
		"reset, with Connection: close":       {head + "Connection: close\r\n\r\npart", reset, false},
		"reset, of HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart", reset, false},
		"reset before the last chunk":         {head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reset, false},
		"reset before the declared end":       {head + "Content-Length: 5\r\n\r\npart", reset, false},
		"reset after the declared end":        {head + "Content-Length: 4\r\n\r\npart", reset, true},
		"closed, and then reset":              {head + "\r\nwhole", closeThenReset, true},
		"closed while the upload is received": {head + "\r\nwhole", closeThenRead, true},
	} {
		for _, readsLate := range []bool{true, false} {
			for range 20 {
				step := make(chan struct{})
				p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
				t.Cleanup(p.Close)
				resp, err := p.Do(t.Context(), codec{}, newEarlyServer(t, c.raw, step, c.end), uploadRequest("1"))
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				close(step)
				if readsLate {
					<-resp.RequestDone
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if (err == nil) != c.complete {
					t.Errorf("%s (read after the write: %v): %d bytes and error %v, want a complete response: %v",
						name, readsLate, len(body), err, c.complete)
					break
				}
				if _, want, _ := strings.Cut(c.raw, "\r\n\r\n"); c.complete && string(body) != want {
					t.Errorf("%s: body %q, want %q", name, body, want)
				}
				if p.HasIdle("s-1") {
					t.Errorf("%s: the connection is kept", name)
				}
			}
		}
	}
}

// Guards against a server that counts as healthy after a part of the response to a health check, and
// against a response to another request, cut short by a reset, that is skipped.
func TestResetEndsNoHealthCheck(t *testing.T) {
	for name, raw := range map[string]string{
		"no length":                         "HTTP/1.1 200 OK\r\nFrom: s-1\r\n\r\npart",
		"no body":                           "HTTP/1.1 200 OK\r\nFrom: s-1\r\n\r\n",
		"declared length":                   "HTTP/1.1 200 OK\r\nFrom: s-1\r\nContent-Length: 5\r\n\r\npart",
		"no length, of another request":     "HTTP/1.1 200 OK\r\nId: 7\r\n\r\npart",
		"last chunk, of another request":    "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"whole body, of another request":    rawResponse("7", "whole"),
		"informational response, then none": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		for range 5 {
			step := make(chan struct{})
			close(step)
			p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
			t.Cleanup(p.Close)
			s := newEarlyServer(t, raw, step, func(c *net.TCPConn) {
				time.Sleep(5 * time.Millisecond) // the client reads the response meanwhile
				reset(c)
			})
			if info, err := p.Probe(t.Context(), codec{}, s, "/health", time.Minute); err == nil {
				t.Errorf("%s: health check succeeded with %+v", name, info)
			}
			if p.HasIdle(s.ID) {
				t.Errorf("%s: the connection is kept", name)
			}
		}
	}
}
