package sibling_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

var _ = Describe("Server with reused streams", func() {
	var (
		handler *fakeHandler
		client  *sibling.Client
		to      vm.Info
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler = &fakeHandler{}
		server := sibling.NewServer(listener, handler, log.NewNopLogger())
		go func() { _ = server.Serve() }()
		client = sibling.NewClient(nil, nil, nil)
		to = vm.Info{ID: "vm-2", SiblingAddress: listener.Addr().String()}
		DeferCleanup(func() {
			client.Close()
			server.Close()
		})
	})

	// Guards against a client that takes chunks of the next answer on the same
	// stream for the rest of a truncated one.
	It("answers the next call whole after a truncated answer", func() {
		handler.forward = func(_ context.Context, c *call.Call) (*call.Answer, error) {
			if c.Path == "/broken" {
				return answerWith(&truncatedBody{strings.NewReader("half")}, -1), nil
			}
			return answerWith(strings.NewReader(c.Path), -1), nil
		}
		for range 3 {
			for path, want := range map[string]error{"/broken": io.ErrUnexpectedEOF, "/whole": nil} {
				answer, err := client.Forward(context.Background(), to, &call.Call{Service: "s", Method: http.MethodGet, Path: path, Deadline: time.Now().Add(time.Minute)})
				Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(answer.Body)
				Expect(answer.Body.Close()).To(Succeed())
				if want != nil {
					Expect(err).To(MatchError(want))
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(Equal(path))
			}
		}
	})

	// Guards against work for a caller that has canceled its call, on a stream that
	// carried complete exchanges before.
	It("ends the context of a later exchange when the caller cancels", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		handler.forward = func(ctx context.Context, c *call.Call) (*call.Answer, error) {
			if c.Path == "/first" {
				return nil, outcome.NewUnavailable(outcome.ReasonQueueFull, 0)
			}
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, outcome.NewUnknown(outcome.ReasonCanceled, "")
		}
		_, err := client.Forward(context.Background(), to, &call.Call{Path: "/first", Deadline: time.Now().Add(time.Minute)})
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.NotRun))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, err = client.Forward(ctx, to, &call.Call{Path: "/second", Deadline: time.Now().Add(time.Minute)})
		Expect(err).To(HaveOccurred())
		Eventually(ended).Should(BeClosed())
	})

	// Guards against calls that run although the sibling that sent them no longer
	// waits for an answer on the stream.
	It("runs no forward that comes before the answer to the one before", func() {
		var ran atomic.Int32
		started, ended := make(chan struct{}), make(chan struct{})
		handler.forward = func(ctx context.Context, _ *call.Call) (*call.Answer, error) {
			if ran.Add(1) > 1 {
				return nil, outcome.NewUnknown(outcome.ReasonCanceled, "")
			}
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, outcome.NewUnknown(outcome.ReasonCanceled, "")
		}
		conn, err := net.Dial("tcp", to.SiblingAddress)
		Expect(err).NotTo(HaveOccurred())
		session, err := yamux.Client(conn, nil)
		Expect(err).NotTo(HaveOccurred())
		defer session.Close()
		st, err := session.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		for n := range uint64(3) {
			_, err := protodelim.MarshalTo(st, &siblingpb.Request{Exchange: n + 1, Kind: &siblingpb.Request_Forward{
				Forward: &siblingpb.Forward{DeadlineMs: 60_000},
			}})
			Expect(err).NotTo(HaveOccurred())
			Eventually(started).Should(BeClosed())
		}
		Eventually(ended).Should(BeClosed())
		_, err = io.Copy(io.Discard, st)
		Expect(err).NotTo(HaveOccurred())
		Expect(ran.Load()).To(BeEquivalentTo(1))
	})
})
