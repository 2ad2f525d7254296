package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
)

// codec uses header names that exist in these tests only.
type codec struct{}

func (codec) SetRequestHeaders(h http.Header, server string, _ time.Duration) { h.Set("To", server) }

func (codec) ParseResponse(status int, h http.Header) backend.ResponseInfo {
	return backend.ResponseInfo{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Healthy: status == 200, Server: h.Get("From")}
}

// newScriptedServer starts a server that answers requests with given raw bytes.
// It accepts one connection after another: each list is for one connection, and
// each entry of it answers one request. After the last one the server closes the
// connection, unless that entry ends in the marker "\x00open", which the client
// receives too.
func newScriptedServer(t *testing.T, connections ...[]string) fleet.Server {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, responses := range connections {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for _, raw := range responses {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					break
				}
				_, _ = io.WriteString(c, raw)
			}
			if len(responses) > 0 && strings.HasSuffix(responses[len(responses)-1], "\x00open") {
				continue
			}
			_ = c.Close()
		}
	}()
	return fleet.Server{ID: "s-1", Address: l.Addr().String()}
}

func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func doRequest(t *testing.T, p *backend.ConnPool, s fleet.Server, req *backend.Request) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), codec{}, s, req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func getRequest(id string) *backend.Request {
	return &backend.Request{ID: id, Method: "GET", RequestURI: "/a//b?x=%20&", Host: "h", Timeout: time.Second}
}

// Guards against a connection that is not reused, and against a path that is
// changed on the way.
func TestPoolReusesConnections(t *testing.T) {
	s := newScriptedServer(t, []string{rawResponse("1", "one"), rawResponse("2", "two")})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	for id, want := range map[string]string{"1": "one"} {
		if got, err := doRequest(t, p, s, getRequest(id)); got != want || err != nil {
			t.Fatalf("response to request 1: got %q, error %v, want \"one\"", got, err)
		}
	}
	if got, err := doRequest(t, p, s, getRequest("2")); got != "two" || err != nil {
		t.Fatalf("response to request 2: got %q, error %v, want \"two\"", got, err)
	}
	if p.Dialed() != 1 {
		t.Errorf("%d connections, want 1", p.Dialed())
	}
}

// Guards against a late response that is taken for the response to the next
// request.
func TestPoolSkipsResponsesToOtherRequests(t *testing.T) {
	s := newScriptedServer(t, []string{rawResponse("1", "one"), rawResponse("1", "one again") + rawResponse("2", "two")})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if _, err := doRequest(t, p, s, getRequest("1")); err != nil {
		t.Fatal(err)
	}
	if got, err := doRequest(t, p, s, getRequest("2")); got != "two" || err != nil {
		t.Fatalf("response to request 2: got %q, error %v, want \"two\"", got, err)
	}
	if p.HasIdle(s.ID) {
		t.Error("a connection that carried a response to another request is kept")
	}
}

// Guards against a second copy of a response that arrives after the next request was
// written on the connection, and is taken for the response to that request: in two pieces,
// and with the length that the caller expects.
func TestPoolSkipsLateCopies(t *testing.T) {
	second := make(chan string, 1)
	address := listenRaw(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, rawResponse("1", "one"))
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		raw := <-second
		_, _ = io.WriteString(c, raw[:len(raw)/2])
		_, _ = io.WriteString(c, raw[len(raw)/2:])
	})
	for _, c := range []struct{ name, raw string }{
		{"copy of the same length", rawResponse("1", "one") + rawResponse("2", "two")},
		{"two copies", rawResponse("1", "one") + rawResponse("1", "one") + rawResponse("2", "two")},
		{"copy of a response to an earlier request", rawResponse("0", "old") + rawResponse("2", "two")},
		{"response without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold" + rawResponse("2", "two")},
	} {
		p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
		s := fleet.Server{ID: "s-1", Address: address}
		if got, err := doRequest(t, p, s, getRequest("1")); got != "one" || err != nil {
			t.Fatalf("%s: response to request 1: got %q, error %v", c.name, got, err)
		}
		second <- c.raw
		if got, err := doRequest(t, p, s, getRequest("2")); got != "two" || err != nil {
			t.Errorf("%s: response to request 2: got %q, error %v, want \"two\"", c.name, got, err)
		}
		if p.HasIdle(s.ID) {
			t.Errorf("%s: the connection is kept", c.name)
		}
		p.Close()
	}
}

// Guards against a late copy of a response that is taken for the result of a health check: a
// server that has turned cold or unhealthy would count as warm and healthy.
func TestProbeSkipsResponsesToRequests(t *testing.T) {
	s := newScriptedServer(t, []string{
		rawResponse("1", "one"),
		rawResponse("1", "one") + "HTTP/1.1 503 Draining\r\nFrom: s-1\r\nContent-Length: 0\r\n\r\n",
	})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if _, err := doRequest(t, p, s, getRequest("1")); err != nil {
		t.Fatal(err)
	}
	info, err := p.Probe(t.Context(), codec{}, s, "/health", time.Minute)
	if err != nil || info.Healthy || info.Server != "s-1" {
		t.Errorf("health check: %+v, error %v; want that of the server, which is not healthy", info, err)
	}
}

// Guards against a refusal that a server wrote before and writes once more on the connection: it
// has no request ID, and was taken as the refusal of the request that waits there, which the server
// runs. The caller got an answer that said "not run", or another server ran the request too.
func TestPoolTakesNoRepeatedRefusalForAResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const informational = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for _, c := range []struct {
		name   string
		pieces []string // written after the request, which follows a health check, has been read
		want   string   // body of the response; empty: none arrives
	}{
		{"before the response", []string{refusal + rawResponse("1", "one")}, "one"},
		{"in two pieces", []string{refusal[:20], refusal[20:], rawResponse("1", "one")}, "one"},
		{"twice", []string{refusal, refusal + rawResponse("1", "one")}, "one"},
		{"after an informational response", []string{informational, refusal, rawResponse("1", "one")}, "one"},
		{"with the ID of another request", []string{strings.Replace(refusal, "Not-Run", "Id: 0\r\nNot-Run", 1), rawResponse("1", "one")}, "one"},
		{"of which only the request ID is missing", []string{strings.Replace(refusal, "503 Busy", "400 Bad Request", 1), rawResponse("1", "one")}, "one"},
		{"and no response", []string{refusal}, ""},
	} {
		address := listenRaw(t, func(conn net.Conn) {
			r := bufio.NewReader(conn)
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, refusal)
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			for _, p := range c.pieces {
				_, _ = io.WriteString(conn, p)
			}
		})
		p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
		s := fleet.Server{ID: "s-1", Address: address}
		if _, err := p.Probe(t.Context(), codec{}, s, "/health", time.Minute); err != nil {
			t.Fatalf("%s: health check: %v", c.name, err)
		}
		resp, err := p.Do(t.Context(), codec{}, s, getRequest("1"))
		var failure *backend.ExchangeError
		switch {
		case err != nil && (c.want != "" || !errors.As(err, &failure) || !failure.Sent):
			t.Errorf("%s: error %v", c.name, err)
		case err == nil:
			body, err := io.ReadAll(resp.Body)
			if resp.Info.NotRun || string(body) != c.want || err != nil {
				t.Errorf("%s: not run: %v, body %q, error %v; want body %q", c.name, resp.Info.NotRun, body, err, c.want)
			}
			_ = resp.Body.Close()
		}
		if p.Dialed() != 1 || p.HasIdle(s.ID) {
			t.Errorf("%s: %d connections, kept: %v; want the one of the health check, not kept", c.name, p.Dialed(), p.HasIdle(s.ID))
		}
		p.Close()
	}
}

// Guards against a refusal without a request ID that is not accepted although it can belong to no
// other request: the request would wait for its deadline.
func TestPoolAcceptsRefusalsWithoutAnIDOnNewConnections(t *testing.T) {
	s := newScriptedServer(t, []string{"HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	resp, err := p.Do(t.Context(), codec{}, s, getRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !resp.Info.NotRun {
		t.Error("the refusal was not accepted")
	}
}

// Guards against a repeated response that is taken for the response to a request without an ID,
// which no response names.
func TestPoolSendsRequestsWithoutAnIDOnNewConnections(t *testing.T) {
	s := newScriptedServer(t, []string{rawResponse("1", "one")}, []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if got, err := doRequest(t, p, s, getRequest("1")); got != "one" || err != nil {
		t.Fatalf("response to request 1: got %q, error %v, want \"one\"", got, err)
	}
	if got, err := doRequest(t, p, s, getRequest("")); got != "two" || err != nil {
		t.Errorf("response to the request without an ID: got %q, error %v, want \"two\"", got, err)
	}
	if p.Dialed() != 2 {
		t.Errorf("%d connections, want 2", p.Dialed())
	}
}

// Guards against surplus bytes after a response that are read as the response
// to the next request.
func TestPoolDropsConnectionsWithSurplusBytes(t *testing.T) {
	s := newScriptedServer(t, []string{rawResponse("1", "one") + "surplus"}, []string{rawResponse("2", "two")})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if got, err := doRequest(t, p, s, getRequest("1")); got != "one" || err != nil {
		t.Fatalf("response to request 1: got %q, error %v, want \"one\"", got, err)
	}
	if got, err := doRequest(t, p, s, getRequest("2")); got != "two" || err != nil {
		t.Fatalf("response to request 2: got %q, error %v, want \"two\"", got, err)
	}
}

// Guards against broken responses that look complete, and against a request
// that is reported as not sent although it may have run.
func TestPoolReportsBrokenResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated body":                     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc",
		"truncated chunk":                    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"no response":                        "",
		"no HTTP":                            "\x00\x01\x02 nonsense\r\n\r\n",
		"ID of another request":              "HTTP/1.1 200 OK\r\nId: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"no request ID":                      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"truncated response with another ID": "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nabc",
	} {
		s := newScriptedServer(t, []string{raw})
		p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
		got, err := doRequest(t, p, s, getRequest("1"))
		if err == nil {
			t.Errorf("%s: got %q without an error", name, got)
		}
		var failure *backend.ExchangeError
		if errors.As(err, &failure) && !failure.Sent {
			t.Errorf("%s: reported as not sent", name)
		}
		p.Close()
	}
}

// Guards against a response whose server stops within the header and closes the connection, and
// that is taken for a whole one with an empty or shorter body: at each byte, on new connections and on
// those in use, also after an informational response.
func TestPoolTakesNoTruncatedHeaderForAWholeOne(t *testing.T) {
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, framing := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n", "", "Connection: close\r\n"} {
		for _, first := range []string{"", informational} {
			header := first + "HTTP/1.1 200 OK\r\nId: 1\r\n" + framing + "X: y z\r\n\r\n"
			for end := range len(header) {
				for _, used := range []bool{false, true} {
					answers := []string{header[:end]}
					if used {
						answers = []string{rawResponse("0", "zero"), header[:end]}
					}
					s := newScriptedServer(t, answers)
					p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
					if used {
						if _, err := doRequest(t, p, s, getRequest("0")); err != nil {
							t.Fatal(err)
						}
					}
					got, err := doRequest(t, p, s, getRequest("1"))
					var failure *backend.ExchangeError
					if !errors.As(err, &failure) || !failure.Sent {
						t.Errorf("connection in use: %v: header ends after %q: body %q, error %v; want an ExchangeError with Sent", used, header[:end], got, err)
					}
					p.Close()
				}
			}
		}
	}
}

// Guards against a complete response without a length that is taken for a
// broken one.
func TestPoolReadsResponsesThatEndWithTheConnection(t *testing.T) {
	s := newScriptedServer(t, []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole"})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if got, err := doRequest(t, p, s, getRequest("1")); got != "whole" || err != nil {
		t.Errorf("response without a length: got %q, error %v, want \"whole\"", got, err)
	}
}

// Guards against a connection that is reused after the server responded before
// the end of the request body: the server would read the rest of the body as
// another request.
func TestPoolDropsConnectionsAfterEarlyResponses(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 2\r\n\r\nno")
	}()
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	s := fleet.Server{ID: "s-1", Address: l.Addr().String()}
	blocked, stop := io.Pipe()
	defer func() { _ = stop.Close() }()
	req := getRequest("1")
	req.Method, req.Body, req.Length = "POST", io.MultiReader(bytes.NewReader(make([]byte, 16<<10)), blocked), 1<<20
	if got, err := doRequest(t, p, s, req); got != "no" || err != nil {
		t.Errorf("early response: got %q, error %v, want \"no\"", got, err)
	}
	if p.HasIdle(s.ID) {
		t.Error("the connection is kept although the body was not sent")
	}
}

// Guards against a server that goes on working for a caller who has closed the
// connection.
func TestPoolClosesTheConnectionWithTheContext(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- nil
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			closed <- nil
			return
		}
		cancel()
		_, err = r.ReadByte()
		closed <- err
	}()
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if _, err := p.Do(ctx, codec{}, fleet.Server{ID: "s-1", Address: l.Addr().String()}, getRequest("1")); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	if err := <-closed; err == nil {
		t.Error("the connection stayed open")
	}
}

// Guards against a refused connection that is reported as a request that may
// have run.
func TestPoolReportsRefusedConnections(t *testing.T) {
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	_, err = p.Do(t.Context(), codec{}, fleet.Server{ID: "s-1", Address: address}, getRequest("1"))
	var failure *backend.ExchangeError
	if !errors.As(err, &failure) || failure.Sent || !failure.ConnRefused {
		t.Errorf("error %+v, want an ExchangeError with ConnRefused and without Sent", err)
	}
}

// Guards against a measurement that is recorded for the wrong server after another
// one took over its address.
func TestProbeRejectsAnotherServer(t *testing.T) {
	s := newScriptedServer(t, []string{"HTTP/1.1 200 OK\r\nFrom: s-2\r\nContent-Length: 0\r\n\r\n"})
	p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
	defer p.Close()
	if _, err := p.Probe(t.Context(), codec{}, s, "/health", time.Second); err == nil {
		t.Error("no error although another server answered")
	}
}
