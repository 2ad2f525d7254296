package sibling_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// brokenBody fails after its content, like the body of a lost target.
type brokenBody struct{ io.Reader }

func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// lateErrorConn reports a failure of writes that the sibling received.
type lateErrorConn struct {
	net.Conn
	broken atomic.Bool
}

func (c *lateErrorConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.broken.Load() {
		return n, io.ErrClosedPipe
	}
	return n, err
}

type fakeHolder struct {
	forward func(ctx context.Context, c *call.Call) (*call.Answer, error)
}

func (h *fakeHolder) HandleForward(ctx context.Context, c *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	answer, err := h.forward(ctx, c)
	return answer, &siblingpb.PoolLoad{Service: c.Service, Free: 3}, err
}

func (h *fakeHolder) HandleControl(_ context.Context, req *siblingpb.Request) *siblingpb.Response {
	return &siblingpb.Response{Kind: &siblingpb.Response_Heartbeat{Heartbeat: req.GetHeartbeat()}}
}

func answerWith(body io.Reader, length int64) *call.Answer {
	return &call.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Length: length}
}

var _ = Describe("Forward", func() {
	var (
		holder *fakeHolder
		client *sibling.Client
		to     vm.Info
		seen   []*siblingpb.PoolLoad
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		holder = &fakeHolder{}
		server := sibling.NewServer(listener, holder, log.NewNopLogger())
		go func() { _ = server.Serve() }()
		seen = nil
		client = sibling.NewClient(func(l *siblingpb.PoolLoad) { seen = append(seen, l) }, nil, nil)
		to = vm.Info{ID: "vm-2", SiblingAddress: listener.Addr().String()}
		DeferCleanup(func() {
			client.Close()
			server.Close()
		})
	})

	forward := func(ctx context.Context) (*call.Answer, error) {
		return client.Forward(ctx, to, &call.Call{
			Service: "s", Method: http.MethodGet, Path: "/x", Deadline: time.Now().Add(time.Minute),
		})
	}

	It("returns the whole answer and the load news", func() {
		text := strings.Repeat("0123456789", 20_000)
		holder.forward = func(_ context.Context, c *call.Call) (*call.Answer, error) {
			Expect(c.Forwarded).To(BeTrue())
			return answerWith(strings.NewReader(text), int64(len(text))), nil
		}
		answer, err := forward(context.Background())
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		Expect(string(body)).To(Equal(text))
		Expect(seen).To(HaveLen(1))
	})

	// Guards against a truncated answer that looks complete at the receiver.
	It("reports a body that ends early", func() {
		holder.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return answerWith(&brokenBody{strings.NewReader("half")}, -1), nil
		}
		answer, err := forward(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(answer.Body.Close()).To(Succeed())
	})

	// Guards against a refusal that loses its kind on the way.
	It("keeps the outcome of a refusal", func() {
		holder.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return nil, outcome.NewUnavailable(outcome.ReasonQueueFull, 1500*time.Millisecond)
		}
		_, err := forward(context.Background())
		Expect(outcome.FromError(err)).To(Equal(outcome.NewUnavailable(outcome.ReasonQueueFull, 1500*time.Millisecond)))
	})

	// Guards against calling a call not run when its holder was lost after it
	// had the whole request.
	It("reports unknown when the session breaks in the middle", func() {
		holder.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			go client.Close()
			return nil, outcome.NewUnknown(outcome.ReasonTargetLost, "")
		}
		_, err := forward(context.Background())
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
	})

	// Guards against calling a call not run when its message left before the
	// connection failed.
	It("reports unknown when the write fails", func() {
		conn := &lateErrorConn{}
		failing := sibling.NewClient(nil, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
			var err error
			conn.Conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
			return conn, err
		})
		DeferCleanup(failing.Close)
		holder.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return nil, outcome.NewUnavailable(outcome.ReasonQueueFull, 0)
		}
		fwd := &call.Call{Service: "s", Deadline: time.Now().Add(time.Minute)}
		_, err := failing.Forward(context.Background(), to, fwd)
		Expect(outcome.FromError(err).Reason).To(Equal(outcome.ReasonQueueFull))
		conn.broken.Store(true)
		_, err = failing.Forward(context.Background(), to, fwd)
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
	})

	It("reports not run when the sibling cannot be reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		to.SiblingAddress = listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = forward(context.Background())
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.NotRun))
	})

	// Guards against targets that work on calls whose caller has gone.
	It("ends the holder's context when the caller goes", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		holder.forward = func(ctx context.Context, _ *call.Call) (*call.Answer, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, outcome.NewUnknown(outcome.ReasonCanceled, "")
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, err := forward(ctx)
		Expect(err).To(HaveOccurred())
		Eventually(ended).Should(BeClosed())
	})

	It("exchanges control messages", func() {
		resp, err := client.RoundTrip(context.Background(), to, &siblingpb.Request{
			Kind: &siblingpb.Request_Heartbeat{Heartbeat: &siblingpb.Heartbeat{VmId: "vm-1"}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetHeartbeat().GetVmId()).To(Equal("vm-1"))
	})
})
