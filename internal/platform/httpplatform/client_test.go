package httpplatform_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/quartz"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/httpplatform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

func TestHTTPPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpplatform")
}

// kinds returns which of the two error kinds err has; it must never be both.
func kinds(err error) []bool {
	return []bool{errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrUncertain)}
}

var (
	unavailable = Equal([]bool{true, false})
	uncertain   = Equal([]bool{false, true})
	insert      = []platform.Op{{Key: "a/1", Value: []byte("x")}}
)

var _ = Describe("Client", func() {
	var server *standin.Server
	var client *httpplatform.Client
	var ctx context.Context

	newClient := func(url string) *httpplatform.Client {
		c := httpplatform.New(httpplatform.Options{BaseURL: url, VM: "vm-1"})
		DeferCleanup(c.Close)
		return c
	}

	BeforeEach(func() {
		server = standin.NewServer(quartz.NewReal(), 1)
		h := httptest.NewServer(server)
		DeferCleanup(h.Close)
		client = newClient(h.URL)
		ctx = context.Background()
	})

	It("writes, reads, scans and deletes rows", func() {
		rows, err := client.Commit(ctx, append(insert, platform.Op{Key: "a/2", Value: []byte("y")}))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Get(ctx, "a/1")).To(Equal(rows[0]))
		Expect(client.Scan(ctx, "a/", 10)).To(Equal(rows))
		Expect(client.Scan(ctx, "a/", 1)).To(Equal(rows[:1]))
		_, err = client.Commit(ctx, []platform.Op{{Key: "a/1", Delete: true, IfVersion: rows[0].Version}})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Get(ctx, "a/1")
		Expect(err).To(MatchError(platform.ErrNotFound))
	})

	// Guards against a partly applied transaction and a conflict without state.
	It("returns the rows in conflict and writes nothing", func() {
		first, err := client.Commit(ctx, insert)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Commit(ctx, append(insert, platform.Op{Key: "a/2"}))
		var conflict *platform.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Rows).To(Equal(first))
		Expect(server.Rows("")).To(HaveLen(1))
	})

	It("stores objects and lists VMs", func() {
		Expect(client.Objects().Put(ctx, "config/full/7 %", []byte("doc"))).To(Succeed())
		Expect(client.Objects().Get(ctx, "config/full/7 %")).To(Equal([]byte("doc")))
		server.SetVMs(platform.VMEntry{Name: "vm-1", Address: "127.0.0.1:1", Leaving: true})
		Expect(client.VMs().List(ctx)).To(HaveExactElements(platform.VMEntry{Name: "vm-1", Address: "127.0.0.1:1", Leaving: true}))
	})

	// Each entry guards against a wrong statement about the effect of a write.
	DescribeTable("maps faults of a commit",
		func(f standin.Fault, kind OmegaMatcher, rows int) {
			server.SetFaults(f)
			_, err := client.Commit(ctx, insert)
			Expect(kinds(err)).To(kind)
			Expect(server.Rows("")).To(HaveLen(rows))
			server.SetFaults(standin.Fault{Down: true})
			_, err = client.Get(ctx, "a/1")
			Expect(kinds(err)).To(unavailable)
		},
		Entry("down", standin.Fault{Down: true}, unavailable, 0),
		Entry("reset before the effect", standin.Fault{Reset: true}, uncertain, 0),
		Entry("answer lost", standin.Fault{DropResponse: true}, uncertain, 1),
		Entry("only this VM", standin.Fault{Down: true, Callers: []string{"vm-1"}}, unavailable, 0),
	)

	It("does not disturb other VMs by a fault for one", func() {
		server.SetFaults(standin.Fault{Down: true, Callers: []string{"vm-2"}})
		_, err := client.Commit(ctx, insert)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against "no effect" for a write that a frozen platform applies later.
	It("reports a write to a frozen platform as uncertain", func() {
		server.SetFaults(standin.Fault{Blocked: true})
		ctx, cancel := context.WithCancel(ctx)
		failed := make(chan error)
		go func() {
			_, err := client.Commit(ctx, insert)
			failed <- err
		}()
		Eventually(server.Waiting).Should(Equal(1))
		cancel()
		Expect(kinds(<-failed)).To(uncertain)
		server.SetFaults()
		Expect(server.Rows("")).To(HaveLen(1))
	})

	It("reports a refused connection as unavailable", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = newClient("http://"+l.Addr().String()).Commit(ctx, insert)
		Expect(kinds(err)).To(unavailable)
	})

	// Guards against taking the refusal of an intermediary for the platform's.
	DescribeTable("answers without a code leave a commit uncertain",
		func(status int, body string) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/table/commit")
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			DeferCleanup(h.Close)
			_, err := newClient(h.URL).Commit(ctx, insert)
			Expect(kinds(err)).To(uncertain)
		},
		Entry("503", 503, "busy"),
		Entry("502 with a code", 502, `{"code":"unavailable"}`),
		Entry("redirect", 307, ""),
		Entry("409 without rows", 409, `{"code":"conflict"}`),
		Entry("200 with garbage", 200, "{"),
		Entry("200 with too few rows", 200, `{"rows":[]}`),
	)

	// Guards against net/http sending a commit again on a new connection when
	// the server closes a reused one.
	It("sends a commit once when a reused connection breaks", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		var commits atomic.Int32
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
					r := bufio.NewReader(conn)
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if req.Method == http.MethodPost {
							commits.Add(1)
							return
						}
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"))
					}
				}()
			}
		}()
		c := newClient("http://" + l.Addr().String())
		_, err = c.VMs().List(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Commit(ctx, insert)
		Expect(kinds(err)).To(uncertain)
		Expect(commits.Load()).To(BeEquivalentTo(1))
	})
})
