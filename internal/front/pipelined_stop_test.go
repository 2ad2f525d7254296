package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
)

// stopTest is an entry VM with one backend server and one caller. Its planned stop follows the
// sequence of package entry.
type stopTest struct {
	*testing.T
	servers     fakeServers
	queue       *waitqueue.Queue
	listener    *front.Listener
	server      *http.Server
	endRequests context.CancelFunc
	caller      *net.TCPConn
	stopped     chan struct{} // closed at the end of stop

	mu  sync.Mutex
	ran map[string]int // requests that arrived at the server, by ID
}

const (
	stopReadinessDelay = 200 * time.Millisecond
	stopLateDelay      = 2800 * time.Millisecond
	stopGracePeriod    = 8 * time.Second
	stopAnswerMargin   = 250 * time.Millisecond
)

func newStopTest(t *testing.T) *stopTest {
	t.Helper()
	s := &stopTest{T: t, ran: map[string]int{}, stopped: make(chan struct{})}
	for range 2 {
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		t.Cleanup(server.Close)
		s.servers.list = append(s.servers.list, fleet.Server{ID: "s-" + strconv.Itoa(len(s.servers.list)+1), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	s.servers.stop, s.endRequests = context.WithCancel(context.Background())
	t.Cleanup(s.endRequests)
	var routes atomic.Pointer[routing.Table]
	cfg := newConfig(&s.servers, &routes)
	s.queue = cfg.Queue
	t.Cleanup(cfg.ConnPool.Close)
	l, err := front.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = front.NewListener(l, func() front.Timeouts { return front.Timeouts{} })
	s.server = front.NewServer(front.NewHandler(cfg), 1<<20)
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s.caller = c.(*net.TCPConn)
	t.Cleanup(func() { _ = c.Close() })
	return s
}

// serve handles a request at the server: it sends "head" bytes of the answer, waits for "wait",
// and sends the rest of "bytes" bytes. A request with "lose" loses its first answer.
func (s *stopTest) serve(w http.ResponseWriter, r *http.Request) {
	id, query := r.Header.Get("Id"), r.URL.Query()
	s.mu.Lock()
	s.ran[id]++
	runs := s.ran[id]
	s.mu.Unlock()
	number := func(name string) int {
		n, _ := strconv.Atoi(query.Get(name))
		return n
	}
	w.Header().Set("Id", id)
	w.Header().Set("Proof", "p")
	head, rest := number("head"), number("bytes")
	w.Header().Set("Content-Length", strconv.Itoa(head+rest))
	if head > 0 {
		_, _ = w.Write(bytes.Repeat([]byte("x"), head))
		_ = http.NewResponseController(w).Flush()
	}
	wait, _ := time.ParseDuration(query.Get("wait"))
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	if query.Has("lose") && runs == 1 {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(bytes.Repeat([]byte("x"), rest))
}

func (s *stopTest) runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.ran)
}

// startStop begins the planned stop and returns.
func (s *stopTest) startStop() {
	requestsEnd := time.Now().Add(stopGracePeriod - stopAnswerMargin)
	s.servers.plannedStop.Store(&front.PlannedStop{LateFrom: time.Now().Add(stopLateDelay), End: requestsEnd})
	s.servers.draining.Store(true)
	go func() {
		defer close(s.stopped)
		time.Sleep(stopReadinessDelay)
		ctx, cancel := context.WithDeadline(context.Background(), requestsEnd.Add(stopAnswerMargin))
		defer cancel()
		defer time.AfterFunc(time.Until(requestsEnd), s.endRequests).Stop()
		if err := front.Drain(ctx, s.listener, s.server, log.NewNopLogger()); err != nil {
			_ = s.server.Close()
		}
	}()
}

// send writes bytes on the caller's connection.
func (s *stopTest) send(text string) {
	s.Helper()
	if _, err := io.WriteString(s.caller, text); err != nil {
		s.Fatal(err)
	}
}

// waitForRun waits until the server has got the request with the given ID.
func (s *stopTest) waitForRun(id string) {
	s.Helper()
	for deadline := time.Now().Add(10 * time.Second); s.runs()[id] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.Fatalf("request %s did not arrive at the server", id)
		}
	}
}

// waitForAnswer waits until the first byte of an answer has arrived at the caller.
func (s *stopTest) waitForAnswer(r *bufio.Reader) {
	s.Helper()
	if _, err := r.Peek(1); err != nil {
		s.Fatal(err)
	}
}

// expectAnswers reads the answers to the end of the connection. Requests "1" to that with the
// number want must be answered whole. The others must not have been passed on to a server, and
// the last answer must say that the connection is closed if there are any.
func (s *stopTest) expectAnswers(r *bufio.Reader, sent, want int) {
	s.Helper()
	closes := false
	_ = s.caller.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := 1; ; i++ {
		resp, err := http.ReadResponse(r, nil) //nolint:bodyclose // read to its end
		if err != nil {
			if i <= want {
				s.Errorf("no answer to request %d of %d: %v; runs: %v", i, sent, err, s.runs())
			} else if i <= sent && !closes {
				s.Errorf("no answer to request %d of %d, and the last answer does not close the connection", i, sent)
			}
			break
		}
		id := strconv.Itoa(i)
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get("Id") != id {
			s.Errorf("answer to request %s: status %d, ID %q, %d bytes, error %v", id, resp.StatusCode, resp.Header.Get("Id"), n, err)
		}
		closes = resp.Close
	}
	for id := range s.runs() {
		if n, _ := strconv.Atoi(id); n > want {
			s.Errorf("request %s was passed on to a server, but not answered", id)
		}
	}
	<-s.stopped
}

// pipelinedRequest returns a request for stopTest.serve.
func pipelinedRequest(id int, proto, query, padding string) string {
	return fmt.Sprintf("GET /idempotent/a?%s %s\r\nHost: 127.0.0.1\r\nConnection: keep-alive\r\nId: %d\r\nTimeout-Ms: 20000\r\nPadding: %s\r\n\r\n", query, proto, id, padding)
}

const (
	http10, http11 = "HTTP/1.0", "HTTP/1.1"
	// longAnswer is an answer whose header has been sent when the server waits: its first
	// bytes exceed what is kept in memory for a retry.
	longAnswer = "head=300000&bytes=300000&wait=1500ms"
	slowAnswer = "bytes=10&wait=1500ms"
)

// pipelinedRequests returns requests with the IDs from first to last.
func pipelinedRequests(first, last int, query, padding string) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(pipelinedRequest(id, http11, query, padding))
	}
	return b.String()
}

// Guards against a planned stop that closes a connection while a server is at work on a request
// of it, or before the answer has arrived at the caller. Each request is answered whole, or no
// server gets it and the last answer closes the connection.
func TestStopAnswersRequestsOfKeptConnections(t *testing.T) {
	padding := strings.Repeat("x", 3<<10)
	for name, play := range map[string]func(*stopTest, *bufio.Reader){
		"two in one piece, the first at a server": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequests(1, 2, slowAnswer, ""))
			s.waitForRun("1")
			s.startStop()
			s.expectAnswers(r, 2, 1)
		},
		"two in one piece, the body of the first answer being sent": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, longAnswer, "") + pipelinedRequest(2, http11, slowAnswer, ""))
			s.waitForAnswer(r)
			s.startStop()
			s.expectAnswers(r, 2, 2)
		},
		"two in one piece, the first answered": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, "bytes=10", "") + pipelinedRequest(2, http11, "bytes=10&wait=3s", ""))
			s.waitForAnswer(r)
			s.startStop()
			s.expectAnswers(r, 2, 2)
		},
		"the second sent during the body of the first answer": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, longAnswer, ""))
			s.waitForAnswer(r)
			s.startStop()
			time.Sleep(500 * time.Millisecond)
			s.send(pipelinedRequest(2, http11, slowAnswer, ""))
			s.expectAnswers(r, 2, 2)
		},
		"the second sent half a second after the first answer": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, longAnswer, ""))
			s.waitForAnswer(r)
			s.startStop()
			time.Sleep(2 * time.Second)
			s.send(pipelinedRequest(2, http11, slowAnswer, ""))
			s.expectAnswers(r, 2, 2)
		},
		"the second complete only after the start of the stop": func(s *stopTest, r *bufio.Reader) {
			second := pipelinedRequest(2, http11, slowAnswer, "")
			s.send(pipelinedRequest(1, http11, longAnswer, "") + second[:40])
			s.waitForAnswer(r)
			s.startStop()
			time.Sleep(2 * time.Second)
			s.send(second[40:])
			s.expectAnswers(r, 2, 2)
		},
		"three bytes of the second before the start of the stop": func(s *stopTest, r *bufio.Reader) {
			second := pipelinedRequest(2, http11, slowAnswer, "")
			s.send(pipelinedRequest(1, http11, longAnswer, "") + second[:3])
			s.waitForAnswer(r)
			s.startStop()
			time.Sleep(2 * time.Second)
			s.send(second[3:])
			s.expectAnswers(r, 2, 2)
		},
		"the second complete only after the connection was idle": func(s *stopTest, r *bufio.Reader) {
			second := pipelinedRequest(2, http11, slowAnswer, "")
			s.send(pipelinedRequest(1, http11, longAnswer, "") + second[:40])
			s.waitForAnswer(r)
			s.startStop()
			time.Sleep(3 * time.Second)
			s.send(second[40:])
			s.expectAnswers(r, 1, 1)
		},
		"later ones in the buffers of net/http, of Conn and of the kernel": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, slowAnswer, "") + pipelinedRequests(2, 30, slowAnswer, padding))
			s.waitForRun("1")
			s.startStop()
			s.expectAnswers(r, 30, 1)
		},
		"later ones in all buffers, the body of the first answer being sent": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, longAnswer, "") + pipelinedRequests(2, 30, slowAnswer, padding))
			s.waitForAnswer(r)
			s.startStop()
			s.expectAnswers(r, 30, 2)
		},
		"later ones in all buffers, the caller reads slowly": func(s *stopTest, r *bufio.Reader) {
			_ = s.caller.SetReadBuffer(8 << 10)
			s.send(pipelinedRequest(1, http11, "bytes=250000&wait=500ms", "") + pipelinedRequests(2, 30, slowAnswer, padding))
			s.waitForRun("1")
			s.startStop()
			s.expectAnswers(bufio.NewReader(slowReader{r, 10 * time.Millisecond}), 30, 1)
		},
		"a later one sent while the caller reads the last answer": func(s *stopTest, r *bufio.Reader) {
			_ = s.caller.SetReadBuffer(8 << 10)
			s.send(pipelinedRequest(1, http11, "bytes=250000&wait=500ms", ""))
			s.waitForRun("1")
			s.startStop()
			s.waitForAnswer(r)
			time.Sleep(100 * time.Millisecond)
			s.send(pipelinedRequest(2, http11, slowAnswer, ""))
			time.Sleep(100 * time.Millisecond)
			s.expectAnswers(bufio.NewReader(slowReader{r, 10 * time.Millisecond}), 2, 1)
		},
		"the second waits for a server": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, "bytes=10&wait=200ms", "") + pipelinedRequest(2, http11, slowAnswer, ""))
			s.waitForRun("1")
			s.servers.blocked.Store(true)
			s.waitForAnswer(r)
			s.startStop()
			time.Sleep(100 * time.Millisecond)
			s.servers.blocked.Store(false)
			s.queue.Wake()
			s.expectAnswers(r, 2, 2)
		},
		"the second is retried": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http11, "bytes=10", "") + pipelinedRequest(2, http11, slowAnswer+"&lose", ""))
			s.waitForRun("2")
			s.startStop()
			s.expectAnswers(r, 2, 2)
		},
		"HTTP/1.0, the first at a server": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http10, slowAnswer, "") + pipelinedRequest(2, http10, slowAnswer, ""))
			s.waitForRun("1")
			s.startStop()
			s.expectAnswers(r, 2, 1)
		},
		"HTTP/1.0, the body of the first answer being sent": func(s *stopTest, r *bufio.Reader) {
			s.send(pipelinedRequest(1, http10, longAnswer, "") + pipelinedRequest(2, http10, slowAnswer, ""))
			s.waitForAnswer(r)
			s.startStop()
			s.expectAnswers(r, 2, 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStopTest(t)
			play(s, bufio.NewReader(s.caller))
		})
	}
}

// Guards against requests of a caller that has ended its output and is taken for gone: the one at
// the server is cancelled there, and no server gets those behind it, also during a planned stop. On
// the wire, the end of the output and a close are the same.
func TestStopPassesOnNoRequestOfHalfClosedConnections(t *testing.T) {
	s := newStopTest(t)
	s.send(pipelinedRequest(1, http11, "bytes=10&wait=10s", "") + pipelinedRequests(2, 3, "bytes=10", ""))
	s.waitForRun("1")
	s.startStop()
	if err := s.caller.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = s.caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	if answer, err := io.ReadAll(s.caller); err != nil || len(answer) > 0 {
		t.Errorf("got the answer %q, error %v; want the end of the connection", answer, err)
	}
	<-s.stopped
	if runs := s.runs(); runs["2"]+runs["3"] > 0 {
		t.Errorf("requests were passed on after the end of the connection: %v", runs)
	}
}

// slowReader reads small pieces with pauses.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Reader.Read(p[:min(len(p), 4<<10)])
}
