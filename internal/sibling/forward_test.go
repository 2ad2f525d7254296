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

// truncatedBody returns io.ErrUnexpectedEOF after its content, as the body of an
// answer does when the connection to the target is lost.
type truncatedBody struct{ io.Reader }

func (b *truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// failingWriteConn returns an error from writes that the sibling has received,
// while failing is set.
type failingWriteConn struct {
	net.Conn
	failing atomic.Bool
}

func (c *failingWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.failing.Load() {
		return n, io.ErrClosedPipe
	}
	return n, err
}

// fakeHandler is a sibling.Handler that runs forwards with forward, reports three
// free slots and echoes heartbeats.
type fakeHandler struct {
	forward func(ctx context.Context, c *call.Call) (*call.Answer, error)
}

func (h *fakeHandler) HandleForward(ctx context.Context, c *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	answer, err := h.forward(ctx, c)
	return answer, &siblingpb.PoolLoad{Service: c.Service, Free: 3}, err
}

func (h *fakeHandler) HandleControl(_ context.Context, req *siblingpb.Request) *siblingpb.Response {
	return &siblingpb.Response{Kind: &siblingpb.Response_Heartbeat{Heartbeat: req.GetHeartbeat()}}
}

func answerWith(body io.Reader, length int64) *call.Answer {
	return &call.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Length: length}
}

var _ = Describe("Forward", func() {
	var (
		handler *fakeHandler
		client  *sibling.Client
		to      vm.Info
		loads   []*siblingpb.PoolLoad
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler = &fakeHandler{}
		server := sibling.NewServer(listener, handler, log.NewNopLogger())
		go func() { _ = server.Serve() }()
		loads = nil
		client = sibling.NewClient(func(l *siblingpb.PoolLoad) { loads = append(loads, l) }, nil, nil)
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

	It("returns the whole answer and the load of the pool", func() {
		text := strings.Repeat("0123456789", 20_000)
		handler.forward = func(_ context.Context, c *call.Call) (*call.Answer, error) {
			Expect(c.Forwarded).To(BeTrue())
			return answerWith(strings.NewReader(text), int64(len(text))), nil
		}
		answer, err := forward(context.Background())
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		Expect(string(body)).To(Equal(text))
		Expect(loads).To(HaveLen(1))
	})

	// Guards against an answer that cannot be passed on: writing its status panics.
	It("takes no answer with an invalid status", func() {
		for _, status := range []int{-1, 0, 99, 101, 1000} {
			handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
				answer := answerWith(strings.NewReader("body"), 4)
				answer.Status = status
				return answer, nil
			}
			_, err := forward(context.Background())
			Expect(err).To(HaveOccurred(), "status %d", status)
			Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
			Expect(outcome.FromError(err).Reason).To(Equal(outcome.ReasonBadAnswer))
		}
	})

	It("takes no error with an invalid status", func() {
		handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.ReasonDeadline}
		}
		_, err := forward(context.Background())
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.NotRun))
		Expect(outcome.FromError(err).Status).To(Equal(http.StatusBadGateway))
	})

	It("takes no answer with a name of a header that is no token", func() {
		for _, name := range []string{"", "A name", "Content-Length ", "A\x01"} {
			handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
				answer := answerWith(strings.NewReader("body"), 4)
				answer.Header = http.Header{name: {"x"}}
				return answer, nil
			}
			_, err := forward(context.Background())
			Expect(err).To(HaveOccurred(), "name %q", name)
			Expect(outcome.FromError(err).Reason).To(Equal(outcome.ReasonBadAnswer))
		}
	})

	// Guards against a truncated answer that looks complete at the receiver.
	It("reports a body that ends early", func() {
		handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return answerWith(&truncatedBody{strings.NewReader("half")}, -1), nil
		}
		answer, err := forward(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(answer.Body.Close()).To(Succeed())
	})

	// Guards against a refusal whose kind, reason, status or retry delay is lost
	// in the encoding.
	It("keeps the outcome of a refusal", func() {
		handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return nil, outcome.NewUnavailable(outcome.ReasonQueueFull, 1500*time.Millisecond)
		}
		_, err := forward(context.Background())
		Expect(outcome.FromError(err)).To(Equal(outcome.NewUnavailable(outcome.ReasonQueueFull, 1500*time.Millisecond)))
	})

	// Guards against reporting a call as not run although the holder had received
	// the whole request before the connection was lost.
	It("reports unknown when the session breaks in the middle", func() {
		handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			go client.Close()
			return nil, outcome.NewUnknown(outcome.ReasonTargetLost, "")
		}
		_, err := forward(context.Background())
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
	})

	// Guards against reporting a call as not run although the sibling received the
	// message before the connection failed.
	It("reports unknown when the write fails", func() {
		conn := &failingWriteConn{}
		failingClient := sibling.NewClient(nil, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
			var err error
			conn.Conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
			return conn, err
		})
		DeferCleanup(failingClient.Close)
		handler.forward = func(context.Context, *call.Call) (*call.Answer, error) {
			return nil, outcome.NewUnavailable(outcome.ReasonQueueFull, 0)
		}
		fwd := &call.Call{Service: "s", Deadline: time.Now().Add(time.Minute)}
		_, err := failingClient.Forward(context.Background(), to, fwd)
		Expect(outcome.FromError(err).Reason).To(Equal(outcome.ReasonQueueFull))
		conn.failing.Store(true)
		_, err = failingClient.Forward(context.Background(), to, fwd)
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

	// Guards against targets that keep working on a call after the caller has
	// disconnected.
	It("ends the holder's context when the caller cancels", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		handler.forward = func(ctx context.Context, _ *call.Call) (*call.Answer, error) {
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
