package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/routing"
)

// maxBufferedBody is the number of bytes that an entry VM keeps of a body.
const maxBufferedBody = 64 << 10

// uploadBytes is longer than what an entry VM keeps of a body, so that the rest is streamed.
const uploadBytes = 2 * maxBufferedBody

// callRaw sends raw bytes to the entry VM and returns the status of the answer, or 0 if the
// connection ends without one. If keepOpen is false, it closes its side after the bytes.
func callRaw(address, raw string, keepOpen bool) int {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, raw)
	if !keepOpen {
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// deadlineRecorder records the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
	// onDeadline, if set, is called for each deadline but the first, which is that of the
	// request.
	onDeadline func()
}

func (w *deadlineRecorder) SetReadDeadline(t time.Time) error {
	w.deadlines = append(w.deadlines, t)
	if w.onDeadline != nil && len(w.deadlines) > 1 {
		w.onDeadline()
	}
	return nil
}

// blockedBody is a request body whose Read blocks at its end until release is called.
type blockedBody struct {
	io.Reader
	reads   atomic.Int32 // in progress
	once    sync.Once
	unblock chan struct{}
}

func (b *blockedBody) release() { b.once.Do(func() { close(b.unblock) }) }

func (b *blockedBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	defer b.reads.Add(-1)
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.unblock
	return 0, os.ErrDeadlineExceeded
}

func uploadHead(header string) string {
	return "POST /short/a HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r-1\r\nTimeout-Ms: 2000\r\n" + header + "\r\n\r\n"
}

var _ = Describe("an upload", func() {
	var (
		backends *fakeServers
		address  string
	)

	// addRaw adds a server that reads the header of each request and then runs serve.
	// Closes of its connections are sent to the returned channel.
	addRaw := func(serve func(conn net.Conn, body io.Reader)) <-chan struct{} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		closed := make(chan struct{}, 8)
		id := fmt.Sprintf("s-%d", len(backends.list)+1)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { closed <- struct{}{} }()
					defer func() { _ = conn.Close() }()
					req, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					backends.countRun(id)
					serve(conn, req.Body)
				}()
			}
		}()
		backends.list = append(backends.list, fleet.Server{ID: id, Address: l.Addr().String()})
		return closed
	}
	untilClosed := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

	BeforeEach(func() {
		backends = &fakeServers{runs: map[string]int{}}
		entry := newEntry(backends)
		address = strings.TrimPrefix(entry.URL, "http://")
	})

	// Guards against an upload that is held in memory or kept in progress without end when
	// the server does not take it.
	It("ends at its deadline if the server stops reading", func() {
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		addRaw(func(net.Conn, io.Reader) { <-stop })
		// The body is longer than the buffers of both connections.
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			const length = 900 << 10
			status <- callRaw(address, uploadHead(fmt.Sprint("Content-Length: ", length))+strings.Repeat("x", length), true)
		}()
		Eventually(status, time.Minute).Should(Receive(Equal(http.StatusGatewayTimeout)))
		Expect(backends.lastResults()).To(Equal([]fleet.Result{fleet.Failed}))
	})

	// Guards against a server that answers early and gets other bytes in the place of the rest
	// of the body, because net/http reads and discards a part of it, and against an answer that
	// waits for the rest.
	DescribeTable("passes the rest of the body on unchanged after the server has answered",
		func(chunked, waitForAnswer bool) {
			const early, answerBytes = maxBufferedBody + 16<<10, 8 << 10
			got := make(chan []byte, 1)
			addRaw(func(conn net.Conn, body io.Reader) {
				data := make([]byte, early)
				_, _ = io.ReadFull(body, data)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", answerBytes, strings.Repeat("y", answerBytes))
				rest, err := io.ReadAll(body)
				if err != nil {
					rest = append(rest, []byte(err.Error())...)
				}
				got <- append(data, rest...)
			})
			sent := make([]byte, 4*maxBufferedBody)
			for i := range sent {
				sent[i] = byte(i / 1000) // differs between pieces
			}
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			framing := fmt.Sprint("Content-Length: ", len(sent))
			if chunked {
				framing = "Transfer-Encoding: chunked"
			}
			answered := make(chan struct{})
			go func() {
				_, _ = io.WriteString(conn, strings.Replace(uploadHead(framing), "/short/", "/not-idempotent/", 1))
				const piece = 4 << 10
				for from := 0; from < len(sent); from += piece {
					if waitForAnswer && from == early {
						<-answered
					}
					if chunked {
						_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", piece, sent[from:from+piece])
					} else {
						_, _ = conn.Write(sent[from : from+piece])
					}
				}
				if chunked {
					_, _ = io.WriteString(conn, "0\r\n\r\n")
				}
			}()
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(HaveLen(answerBytes))
			close(answered)
			var atServer []byte
			Eventually(got, time.Minute).Should(Receive(&atServer))
			Expect(bytes.Equal(atServer, sent)).To(BeTrue(), "the server got %d bytes of %d, or other ones", len(atServer), len(sent))

			// The connection is still in order.
			_, _ = io.WriteString(conn, "GET /other/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTimeout-Ms: 2000\r\n\r\n")
			resp, err = http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		},
		Entry("declared length, caller reads the answer first", false, true),
		Entry("declared length, caller goes on sending", false, false),
		Entry("chunks, caller reads the answer first", true, true),
		Entry("chunks, caller goes on sending", true, false),
	)

	// Guards against a server that gets other bytes in the place of the rest of the body after it
	// has refused the request early.
	It("sends a server that refuses it early nothing but a part of the body", func() {
		got := make(chan []byte, 1)
		addRaw(func(conn net.Conn, body io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			data, _ := io.ReadAll(body)
			got <- data
		})
		sent := make([]byte, 4*maxBufferedBody)
		for i := range sent {
			sent[i] = byte(i / 1000)
		}
		Expect(callRaw(address, uploadHead(fmt.Sprint("Content-Length: ", len(sent)))+string(sent), true)).To(Equal(http.StatusServiceUnavailable))
		var atServer []byte
		Eventually(got, time.Minute).Should(Receive(&atServer))
		Expect(bytes.HasPrefix(sent, atServer)).To(BeTrue())
	})

	// Guards against an answer that is lost because the VM closes the connection while the caller
	// still sends its body: a caller may read the answer only afterwards.
	It("gets its answer after a slow body of which the server is lost", func() {
		addRaw(func(net.Conn, io.Reader) {})
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		const pieces, piece = 20, 8 << 10
		head := strings.NewReplacer("/short/", "/not-idempotent/", "2000", "60000").Replace(uploadHead(fmt.Sprint("Content-Length: ", pieces*piece)))
		_, err = io.WriteString(conn, head)
		Expect(err).NotTo(HaveOccurred())
		for range pieces {
			_, err := io.WriteString(conn, strings.Repeat("x", piece))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(60 * time.Millisecond)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	})

	// Guards against a process that ends because a body exceeds the limit while the server's
	// answer is passed on: both changed the header of the answer. Only the race detector, or a
	// crash, shows it.
	It("that is too long does not touch the answer of a server that has answered early", func() {
		const limit, piece = 1 << 20, 16 << 10
		chunk := fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("x", piece))
		raw := strings.Replace(uploadHead("Transfer-Encoding: chunked"), "/short/", "/not-idempotent/", 1) + strings.Repeat(chunk, 1+limit/piece)
		for i := range 20 {
			backends.list = nil
			addRaw(func(conn net.Conn, body io.Reader) {
				_, _ = io.CopyN(io.Discard, body, int64(limit-i*piece/4))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 2\r\n\r\nok")
				_, _ = io.Copy(io.Discard, body)
			})
			Expect(callRaw(address, raw, true)).To(Or(Equal(http.StatusOK), Equal(http.StatusBadRequest)))
		}
	})

	// Guards against a body that is still read for a server after its request has ended:
	// net/http then uses the buffer of the connection for another one.
	It("is not read after its request has ended", func() {
		addRaw(func(_ net.Conn, body io.Reader) { _, _ = io.CopyN(io.Discard, body, 1) })
		body := &blockedBody{Reader: strings.NewReader(strings.Repeat("x", uploadBytes)), unblock: make(chan struct{})}
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), onDeadline: body.release}
		r := httptest.NewRequest(http.MethodPost, "/not-idempotent/a", body)
		r.Host, r.ContentLength = "127.0.0.1", 2*uploadBytes
		r.Header.Set("Timeout-Ms", "60000")
		newHandler(backends, &atomic.Pointer[routing.Table]{}).ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusBadGateway))
		Expect(w.Header().Get("Connection")).To(Equal("close"))
		Expect(body.reads.Load()).To(BeZero(), "a read of the body is in progress")
	})

	// Guards against an upload that runs twice, or is refused as not run, after its server is
	// lost in the middle.
	It("is not repeated if the server is lost in the middle", func() {
		addRaw(func(_ net.Conn, body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxBufferedBody) })
		addRaw(func(net.Conn, io.Reader) {})
		Expect(callRaw(address, uploadHead(fmt.Sprint("Content-Length: ", uploadBytes))+strings.Repeat("x", uploadBytes), true)).To(Equal(http.StatusBadGateway))
		Expect(backends.runCounts()).To(Equal(map[string]int{"s-1": 1}))
	})

	// Guards against a server that waits for the rest of a body that does not come, and takes
	// the next request on the connection for it.
	DescribeTable("closes the connection to the server if the caller does not send the rest",
		func(raw string, keepOpen bool, want int) {
			closed := addRaw(func(conn net.Conn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				untilClosed(conn)
			})
			Expect(callRaw(address, raw, keepOpen)).To(Equal(want))
			Eventually(closed, time.Minute).Should(Receive())
			Eventually(backends.lastResults).Should(Equal([]fleet.Result{fleet.Neutral}), "the server counts as failing")
		},
		Entry("and keeps the connection open", uploadHead(fmt.Sprint("Content-Length: ", 2*uploadBytes))+strings.Repeat("x", uploadBytes), true, http.StatusGatewayTimeout),
		Entry("and closes it", uploadHead(fmt.Sprint("Content-Length: ", 2*uploadBytes))+strings.Repeat("x", uploadBytes), false, 0),
		Entry("but chunks that are none", uploadHead("Transfer-Encoding: chunked")+fmt.Sprintf("%x\r\n", uploadBytes)+strings.Repeat("x", uploadBytes)+"\r\nnonsense\r\n", true, http.StatusBadRequest),
	)

	// Guards against a read deadline that stays on the connection after the body was read:
	// when it passes, net/http cancels the later requests on the connection.
	It("leaves no read deadline on the connection", func() {
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(http.MethodPost, "/short/a", strings.NewReader("x"))
		r.Host = "127.0.0.1"
		r.Header.Set("Timeout-Ms", "2000")
		newHandler(backends, &atomic.Pointer[routing.Table]{}).ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable), "there is no server")
		Expect(w.deadlines).To(HaveLen(2))
		Expect(w.deadlines[0]).NotTo(BeZero())
		Expect(w.deadlines[1]).To(BeZero())
	})

	// Guards against bytes that reach a server although they are no proper request.
	DescribeTable("is rejected without reaching a server if its body cannot be read",
		func(raw string, keepOpen bool, want int) {
			addRaw(func(net.Conn, io.Reader) {})
			Expect(callRaw(address, raw, keepOpen)).To(Equal(want))
			Expect(backends.runCounts()).To(BeEmpty())
		},
		Entry("length that overflows", uploadHead("Content-Length: 99999999999999999999"), true, http.StatusBadRequest),
		Entry("negative length", uploadHead("Content-Length: -1"), true, http.StatusBadRequest),
		Entry("two lengths", uploadHead("Content-Length: 1\r\nContent-Length: 2")+"x", true, http.StatusBadRequest),
		Entry("chunk that is none", uploadHead("Transfer-Encoding: chunked")+"nonsense\r\n", true, http.StatusBadRequest),
		Entry("chunk size that overflows", uploadHead("Transfer-Encoding: chunked")+"fffffffffffffffff\r\n", true, http.StatusBadRequest),
		Entry("shorter than declared", uploadHead("Content-Length: 10")+"x", false, http.StatusBadRequest),
		Entry("shorter than declared, connection open", uploadHead("Content-Length: 10")+"x", true, http.StatusRequestTimeout),
	)
})
