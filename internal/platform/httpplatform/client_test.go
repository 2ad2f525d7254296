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

// errorKinds returns whether err is ErrUnavailable and whether it is ErrUncertain.
// It must never be both.
func errorKinds(err error) []bool {
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

	// Guards against a transaction that is applied in part, and against a conflict
	// that is reported without the current rows.
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

	// Guards against an error that states wrongly whether a write took effect.
	DescribeTable("reports whether a commit took effect under each fault",
		func(f standin.Fault, wantKind OmegaMatcher, wantRows int) {
			server.SetFaults(f)
			_, err := client.Commit(ctx, insert)
			Expect(errorKinds(err)).To(wantKind)
			Expect(server.Rows("")).To(HaveLen(wantRows))
			server.SetFaults(standin.Fault{Down: true})
			_, err = client.Get(ctx, "a/1")
			Expect(errorKinds(err)).To(unavailable)
		},
		Entry("down", standin.Fault{Down: true}, unavailable, 0),
		Entry("reset before the effect", standin.Fault{Reset: true}, uncertain, 0),
		Entry("response lost after the effect", standin.Fault{DropResponse: true}, uncertain, 1),
		Entry("down for this VM only", standin.Fault{Down: true, Callers: []string{"vm-1"}}, unavailable, 0),
	)

	It("is not affected by a fault for another VM", func() {
		server.SetFaults(standin.Fault{Down: true, Callers: []string{"vm-2"}})
		_, err := client.Commit(ctx, insert)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against reporting a write as without effect although the platform,
	// blocked at the time of the call, applies it later.
	It("reports a write to a blocked platform as uncertain", func() {
		server.SetFaults(standin.Fault{Blocked: true})
		ctx, cancel := context.WithCancel(ctx)
		commitErr := make(chan error)
		go func() {
			_, err := client.Commit(ctx, insert)
			commitErr <- err
		}()
		Eventually(server.Waiting).Should(Equal(1))
		cancel()
		Expect(errorKinds(<-commitErr)).To(uncertain)
		server.SetFaults()
		Expect(server.Rows("")).To(HaveLen(1))
	})

	It("reports a refused connection as unavailable", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = newClient("http://"+l.Addr().String()).Commit(ctx, insert)
		Expect(errorKinds(err)).To(unavailable)
	})

	// Guards against treating an error response of an intermediary as one of the
	// platform, which would guarantee that the commit had no effect.
	DescribeTable("reports a commit as uncertain after a response that does not state its effect",
		func(status int, body string) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/table/commit")
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			DeferCleanup(h.Close)
			_, err := newClient(h.URL).Commit(ctx, insert)
			Expect(errorKinds(err)).To(uncertain)
		},
		Entry("503", 503, "busy"),
		Entry("502 with a code", 502, `{"code":"unavailable"}`),
		Entry("redirect", 307, ""),
		Entry("409 without rows", 409, `{"code":"conflict"}`),
		Entry("200 with invalid JSON", 200, "{"),
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
		Expect(errorKinds(err)).To(uncertain)
		Expect(commits.Load()).To(BeEquivalentTo(1))
	})

	// Guards against bytes that are no response and are taken for one.
	DescribeTable("takes no response with an invalid head",
		func(head string) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = conn.Write([]byte(head + "Connection: close\r\n\r\n[]"))
					_ = conn.Close()
				}
			}()
			c := newClient("http://" + l.Addr().String())
			Expect(errorKinds(c.Objects().Put(ctx, "o", []byte("x")))).To(uncertain)
			_, err = c.Objects().Get(ctx, "o")
			Expect(errorKinds(err)).To(unavailable)
			_, err = c.VMs().List(ctx)
			Expect(errorKinds(err)).To(unavailable)
		},
		Entry("status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n"),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nA name: x\r\nContent-Length: 2\r\n"),
		Entry("blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 20\r\n"),
		Entry("control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: x\r\nContent-Length: 2\r\n"),
	)

	// Guards against an object that counts as written although the response was reset while the
	// object was still being sent.
	It("reports a write whose response is reset as uncertain", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				}
				time.Sleep(5 * time.Millisecond) // the client reads the header meanwhile
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}()
		c := newClient("http://" + l.Addr().String())
		object := make([]byte, 16<<20) // longer than the buffers of the connection
		for range 20 {
			Expect(errorKinds(c.Objects().Put(ctx, "o", object))).To(uncertain)
		}
	})
})
