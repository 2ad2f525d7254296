package front_test

import (
	"bufio"
	"context"
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

var _ = Describe("a request during a planned stop", func() {
	var (
		backends *fakeServers
		entry    *httptest.Server
		reason   string // body of the latest answer
	)
	BeforeEach(func() {
		backends = &fakeServers{runs: map[string]int{}}
		entry = newEntry(backends)
	})
	post := func(path string) *http.Response {
		GinkgoHelper()
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, entry.URL+path, strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Id", "r-1")
		req.Header.Set("Timeout-Ms", "60000")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		reason = string(body)
		return resp
	}

	// Guards against a connection that stays open after the stop has begun: the caller sends its
	// next request so late that the stop breaks it off.
	DescribeTable("closes its connection if the stop begins before its answer",
		func(path string, wantStatus int) {
			backends.add(func(w http.ResponseWriter, r *http.Request) {
				backends.draining.Store(true)
				if r.URL.Path != "/short/a" {
					ok(w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // lets net/http detect the end of the connection
				<-r.Context().Done()
			})
			resp := post(path)
			Expect(resp.StatusCode).To(Equal(wantStatus))
			Expect(resp.Close).To(BeTrue())
		},
		Entry("of a server", "/not-idempotent/a", http.StatusOK),
		Entry("of the VM", "/short/a", http.StatusGatewayTimeout),
	)

	// Guards against a request that goes to a server although the stop will break it off before its
	// usual service time (here 370 ms) is over.
	DescribeTable("is refused as not run if it arrives too late",
		func(left time.Duration, wantStatus int) {
			backends.add(ok)
			backends.draining.Store(true)
			backends.plannedStop.Store(&front.PlannedStop{LateFrom: time.Now().Add(time.Minute), End: time.Now().Add(left)})
			resp := post("/not-idempotent/a")
			Expect(resp.StatusCode).To(Equal(wantStatus))
			Expect(resp.Close).To(BeTrue())
			if wantStatus == http.StatusServiceUnavailable {
				Expect(backends.runCounts()).To(BeEmpty())
				Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
		},
		Entry("to end before the stop", 700*time.Millisecond, http.StatusServiceUnavailable),
		Entry("after the stop was due", -time.Second, http.StatusServiceUnavailable),
		Entry("but not for this one", time.Minute/2, http.StatusOK),
	)

	// Guards against a request that arrives late in a stop, takes longer than usual at its server, and
	// is broken off.
	DescribeTable("arriving late is passed on only if its deadline is before the end of the stop",
		func(path string, left time.Duration, wantStatus int) {
			backends.add(ok)
			backends.draining.Store(true)
			backends.plannedStop.Store(&front.PlannedStop{LateFrom: time.Now(), End: time.Now().Add(left)})
			resp := post(path)
			Expect(resp.StatusCode).To(Equal(wantStatus))
			Expect(resp.Close).To(BeTrue())
			if wantStatus == http.StatusServiceUnavailable {
				Expect(reason).To(Equal("stopping\n"))
				Expect(backends.runCounts()).To(BeEmpty())
				Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
		},
		Entry("not idempotent, deadline after the end", "/not-idempotent/a", 30*time.Second, http.StatusServiceUnavailable),
		Entry("idempotent, deadline after the end", "/idempotent/a", 30*time.Second, http.StatusServiceUnavailable),
		Entry("not idempotent, deadline before the end", "/not-idempotent/a", 2*time.Minute, http.StatusOK),
		Entry("idempotent, deadline before the end", "/idempotent/a", 2*time.Minute, http.StatusOK),
		Entry("deadline of the route before the end", "/short/a", 30*time.Second, http.StatusOK),
	)

	It("counts as late when the end of its body does", func() {
		backends.add(ok)
		backends.plannedStop.Store(&front.PlannedStop{LateFrom: time.Now().Add(500 * time.Millisecond), End: time.Now().Add(30 * time.Second)})
		conn, err := net.Dial("tcp", entry.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, _ = io.WriteString(conn, "POST /not-idempotent/a HTTP/1.1\r\nHost: 127.0.0.1\r\nTimeout-Ms: 60000\r\nContent-Length: 2\r\n\r\nx")
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(conn, "x")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(backends.runCounts()).To(BeEmpty())
	})

	// Guards against a request that has waited for a server until the stop is about to break it off.
	It("is refused as not run if it gets a server too late", func() {
		backends.add(ok)
		backends.onCandidates = func() {
			backends.plannedStop.Store(&front.PlannedStop{LateFrom: time.Now().Add(time.Minute), End: time.Now().Add(200 * time.Millisecond)})
		}
		resp := post("/not-idempotent/a")
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(reason).To(Equal("stopping\n"))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(backends.runCounts()).To(BeEmpty())
		Expect(backends.lastResults()).To(Equal([]fleet.Result{fleet.Neutral}))
	})

	// Guards against a refusal that says that a request did not run although a server may have run
	// it before, and against an attempt recorded at the server that did not get it.
	It("is not refused as not run if it gets another server too late", func() {
		attempts := make(chan front.Attempt, 8)
		cfg := newConfig(backends, &atomic.Pointer[routing.Table]{})
		cfg.OnAttempt = func(a front.Attempt) { attempts <- a }
		DeferCleanup(cfg.ConnPool.Close)
		entry = httptest.NewServer(front.NewHandler(cfg))
		DeferCleanup(entry.Close)
		backends.add(func(http.ResponseWriter, *http.Request) {
			backends.plannedStop.Store(&front.PlannedStop{LateFrom: time.Now().Add(time.Minute), End: time.Now().Add(200 * time.Millisecond)})
			panic(http.ErrAbortHandler)
		})
		backends.add(ok)
		resp := post("/idempotent/a")
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(reason).To(Equal("stopping\n"))
		Expect(backends.runCounts()).To(Equal(map[string]int{"s-1": 1}))
		Expect(attempts).To(Receive(HaveField("Server", "s-1")))
		Expect(attempts).NotTo(Receive())
	})
})
