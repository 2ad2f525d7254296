package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/internal/routing"
)

// longUploadBytes is longer than the buffers of a connection to a server.
const longUploadBytes = 16 << 20

// longAnswerBytes is longer than what an entry VM reads of an answer before it sends the first byte.
const longAnswerBytes = maxBufferedAnswer + 100_000

var longChunk = fmt.Sprintf("%x\r\n%s\r\n", longAnswerBytes, strings.Repeat("x", longAnswerBytes))

// newUploadEntry starts an entry VM that takes bodies of longUploadBytes, and returns its address.
func newUploadEntry(backends *fakeServers) string {
	routes := &atomic.Pointer[routing.Table]{}
	cfg := newConfig(backends, routes)
	DeferCleanup(cfg.ConnPool.Close)
	routes.Store(routing.NewTable(&routing.Configuration{
		Version: 2,
		Routes: []routing.Route{
			{Name: "not-idempotent", Host: "127.0.0.1", Prefix: "/not-idempotent/", MaxAttempts: 2, LatencyGoal: time.Second, Backends: []routing.WeightedService{{Service: "s", Weight: 1}}},
		},
		Limits: routing.Limits{BodyBytes: 2 * longUploadBytes, HeaderBytes: 4096},
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	entry := httptest.NewUnstartedServer(nil)
	Expect(entry.Listener.Close()).To(Succeed())
	entry.Listener = front.NewListener(l, func() front.Timeouts { return front.Timeouts{} })
	entry.Config = front.NewServer(front.NewHandler(cfg), 2*longUploadBytes)
	entry.Start()
	DeferCleanup(entry.Close)
	return strings.TrimPrefix(entry.URL, "http://")
}

// addEarly adds a server that answers each upload with raw without reading its body, and then
// runs end.
func (s *fakeServers) addEarly(raw string, end func(*net.TCPConn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	id := fmt.Sprintf("s-%d", len(s.list)+1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				s.countRun(id)
				_, _ = io.WriteString(conn, raw)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	s.list = append(s.list, fleet.Server{ID: id, Address: l.Addr().String()})
}

// Guards against a part of an answer without a length that a caller gets as the whole one because
// the server reset the connection while the upload was still being written, and against a whole
// one that is lost because the connection has ended.
var _ = DescribeTable("an upload that is answered at once, without a length",
	func(answerBytes int, reset bool) {
		backends := &fakeServers{runs: map[string]int{}}
		address := newUploadEntry(backends)
		backends.addEarly("HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\n\r\n"+strings.Repeat("x", answerBytes), func(c *net.TCPConn) {
			if reset {
				_ = c.SetLinger(0)
				return
			}
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		for range 20 {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			go func() {
				head := strings.NewReplacer("/short/", "/not-idempotent/", "2000", "60000").Replace(uploadHead(fmt.Sprint("Content-Length: ", longUploadBytes)))
				_, _ = io.WriteString(conn, head+strings.Repeat("u", longUploadBytes))
			}()
			status, complete, got := 0, false, 0
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				data, err := io.ReadAll(resp.Body)
				status, complete, got = resp.StatusCode, err == nil, len(data)
			}
			_ = conn.Close()
			if reset {
				Expect(status == http.StatusOK && complete).To(BeFalse(), "the caller got %d bytes as the whole answer", got)
				continue
			}
			Expect(status).To(Equal(http.StatusOK))
			Expect(complete).To(BeTrue())
			Expect(got).To(Equal(answerBytes))
		}
	},
	Entry("and reset", 1000, true),
	Entry("and reset before its body", 0, true),
	Entry("and reset after a part that has been passed on", maxBufferedAnswer+1000, true),
	Entry("and closed", 1000, false),
	Entry("and closed after a long answer", maxBufferedAnswer+1000, false),
)

// Guards against bytes that are no answer and that a caller gets as one, and against a caller that
// waits for an answer after them.
var _ = DescribeTable("a request for which a server sends an invalid head",
	func(head string) {
		const whole = "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 5\r\n\r\nwhole"
		untilClosed := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nbad", "\r\nbad", "Content-Length: 0\r\n\r\n" + whole} {
			backends := &fakeServers{runs: map[string]int{}}
			address := strings.TrimPrefix(newEntry(backends).URL, "http://")
			backends.addEarly(head+"Id: r-1\r\nProof: p\r\n"+rest, untilClosed)
			backends.addEarly(whole, untilClosed)
			for path, want := range map[string]int{"/idempotent/": http.StatusOK, "/not-idempotent/": http.StatusBadGateway} {
				conn, err := net.Dial("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(conn.Close)
				started := time.Now()
				_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r-1\r\nTimeout-Ms: 60000\r\n\r\n")
				r := bufio.NewReader(conn)
				resp, err := http.ReadResponse(r, nil)
				Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(resp.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(want), "header %q, body %q", resp.Header, body)
				Expect(time.Since(started)).To(BeNumerically("<", 30*time.Second))
				if want == http.StatusOK {
					Expect(string(body)).To(Equal("whole"))
				}
			}
			Expect(backends.runCounts()).To(Equal(map[string]int{"s-1": 2, "s-2": 1}))
		}
	},
	Entry("status 000", "HTTP/1.1 000 X\r\n"),
	Entry("status 099", "HTTP/1.1 099 X\r\n"),
	Entry("change of protocol", "HTTP/1.1 101 Switching Protocols\r\n"),
	Entry("blank in a name", "HTTP/1.1 200 OK\r\nA name: x\r\n"),
	Entry("blank after a name", "HTTP/1.1 200 OK\r\nA : x\r\n"),
	Entry("blank before a name", "HTTP/1.1 200 OK\r\nA: x\r\n B: y\r\n"),
	Entry("blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n"),
	Entry("control byte in a name", "HTTP/1.1 200 OK\r\nA\x01b: x\r\n"),
)

// Guards against an answer that ends early and looks complete to a caller of HTTP/1.0, for which the
// end of the connection is the end of an answer without a length.
var _ = DescribeTable("a long answer to a caller of HTTP/1.0",
	func(raw string, complete bool) {
		backends := &fakeServers{runs: map[string]int{}}
		address := strings.TrimPrefix(newEntry(backends).URL, "http://")
		backends.addEarly("HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\n"+raw, func(*net.TCPConn) {})
		for range 10 {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, _ = io.WriteString(conn, "GET /not-idempotent/ HTTP/1.0\r\nHost: 127.0.0.1\r\nId: r-1\r\nTimeout-Ms: 60000\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				Expect(complete).To(BeFalse(), "error %v", err)
				continue
			}
			body, err := io.ReadAll(resp.Body)
			Expect(err == nil).To(Equal(complete), "%d bytes, error %v", len(body), err)
			if complete {
				Expect(body).To(HaveLen(longAnswerBytes))
			}
		}
	},
	// The server closes the connection after the answer and says so. Otherwise the next request could be
	// sent on it just then, which is no failure to pass on this answer.
	Entry("that is whole", "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+longChunk+"0\r\n\r\n", true),
	Entry("that is whole and has a length", fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", longAnswerBytes)+strings.Repeat("x", longAnswerBytes), true),
	Entry("that lacks its last chunk", "Transfer-Encoding: chunked\r\n\r\n"+longChunk, false),
	Entry("that ends before its declared end", fmt.Sprintf("Content-Length: %d\r\n\r\n", longAnswerBytes+1)+strings.Repeat("x", longAnswerBytes), false),
)
