package sibling_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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

// peer is a stream of a scripted sibling.
type peer struct {
	net.Conn
	r *bufio.Reader
	n int // number of the stream, from 1
}

func newPeer(conn net.Conn, n int) *peer { return &peer{Conn: conn, r: bufio.NewReader(conn), n: n} }

// request returns the next request, or nil at the end of the stream.
func (p *peer) request() *siblingpb.Request {
	req := &siblingpb.Request{}
	if protodelim.UnmarshalFrom(p.r, req) != nil {
		return nil
	}
	return req
}

func (p *peer) head(exchange uint64) {
	_, _ = protodelim.MarshalTo(p, &siblingpb.Response{Exchange: exchange, Kind: &siblingpb.Response_Forward{
		Forward: &siblingpb.ForwardAnswer{Outcome: uint32(outcome.Answered), Status: http.StatusOK, Length: -1},
	}})
}

func (p *peer) chunk(exchange uint64, text string, last bool) {
	_, _ = protodelim.MarshalTo(p, &siblingpb.Chunk{Exchange: exchange, Data: []byte(text), Last: last})
}

// answer answers with the path of the request.
func (p *peer) answer(req *siblingpb.Request) {
	p.head(req.GetExchange())
	p.chunk(req.GetExchange(), req.GetForward().GetPath(), true)
}

var _ = Describe("Reuse of streams", func() {
	var (
		script  func(p *peer)
		streams atomic.Int32
		client  *sibling.Client
		to      vm.Info
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		streams.Store(0)
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				p.answer(req)
			}
		}
		var running sync.WaitGroup
		running.Go(func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			config := yamux.DefaultConfig()
			config.LogOutput = io.Discard
			mux, err := yamux.Server(conn, config)
			if err != nil {
				_ = conn.Close()
				return
			}
			defer mux.Close()
			for {
				conn, err := mux.AcceptStream()
				if err != nil {
					return
				}
				n := int(streams.Add(1))
				running.Go(func() {
					defer conn.Close()
					script(newPeer(conn, n))
				})
			}
		})
		client = sibling.NewClient(nil, nil, nil)
		to = vm.Info{ID: "vm-2", SiblingAddress: listener.Addr().String()}
		DeferCleanup(func() {
			client.Close()
			_ = listener.Close()
			running.Wait()
		})
	})

	start := func(ctx context.Context, path string) (*call.Answer, error) {
		return client.Forward(ctx, to, &call.Call{Service: "s", Method: http.MethodGet, Path: path, Deadline: time.Now().Add(time.Minute)})
	}
	get := func(path string) (string, error) {
		answer, err := start(context.Background(), path)
		if err != nil {
			return "", err
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return string(body), err
	}
	expectOwnAnswer := func(path string) {
		GinkgoHelper()
		body, err := get(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(path))
	}

	It("carries one exchange after another on a stream", func() {
		for _, path := range []string{"/1", "/2", "/3"} {
			expectOwnAnswer(path)
		}
		Expect(streams.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a late answer that reaches the next call (G5).
	It("leaves a stream after a cancel", func() {
		got, canceled := make(chan struct{}), make(chan struct{})
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				if p.n == 1 {
					close(got)
					<-canceled
				}
				p.answer(req)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-got
			cancel()
		}()
		_, err := start(ctx, "/late")
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		close(canceled)
		expectOwnAnswer("/next")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against the watch of an ended context, which closes the stream
	// while the next call uses it.
	It("leaves a stream whose caller went after the whole answer", func() {
		ctx, cancel := context.WithCancel(context.Background())
		answer, err := start(ctx, "/1")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Expect(answer.Body.Close()).To(Succeed())
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against the deadline of an earlier call that ends a later one, and
	// against calls without any.
	It("gives each exchange its own deadline", func() {
		got := make(chan struct{}, 3)
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				if strings.HasPrefix(req.GetForward().GetPath(), "/never") {
					got <- struct{}{}
					continue
				}
				p.answer(req)
			}
		}
		expectOwnAnswer("/1") // limited by the call, as all without a deadline of the context
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		answer, err := client.Forward(ctx, to, &call.Call{Path: "/2", Deadline: time.Now().Add(time.Hour)})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		cancel()
		_, err = client.Forward(context.Background(), to, &call.Call{Path: "/never/1", Deadline: time.Now().Add(10 * time.Millisecond)})
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		Eventually(got).Should(Receive())
		ctx, cancel = context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		_, err = client.Forward(ctx, to, &call.Call{Path: "/never/2", Deadline: time.Now().Add(10 * time.Millisecond)})
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		expectOwnAnswer("/3")
		Expect(streams.Load()).To(BeEquivalentTo(3))
	})

	// Guards against the rest of an answer in the next one.
	It("leaves a stream whose answer was not read to its end", func() {
		answer, err := start(context.Background(), "/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against two calls on one stream, and against a reader that takes
	// the bytes of a later call.
	It("gives a stream back once", func() {
		closedTwice := make(chan struct{})
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				p.head(req.GetExchange())
				if req.GetForward().GetPath() == "/2" {
					<-closedTwice
				}
				p.chunk(req.GetExchange(), req.GetForward().GetPath(), true)
			}
		}
		answer, err := start(context.Background(), "/1")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		second, err := start(context.Background(), "/2")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		_, err = answer.Body.Read(make([]byte, 8))
		Expect(err).To(MatchError(net.ErrClosed))
		expectOwnAnswer("/3")
		close(closedTwice)
		Expect(streams.Load()).To(BeEquivalentTo(2))
		body, err := io.ReadAll(second.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("/2"))
		Expect(second.Body.Close()).To(Succeed())
		expectOwnAnswer("/4") // on the stream of /2
	})

	// Guards against the answer of another call on the same stream.
	It("rejects a head with another number", func() {
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				if p.n == 1 {
					req.Exchange--
				}
				p.answer(req)
			}
		}
		_, err := get("/1")
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		Expect(outcome.FromError(err).Reason).To(Equal(outcome.ReasonResponseMismatch))
		expectOwnAnswer("/2")
	})

	It("rejects a chunk with another number", func() {
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				p.head(req.GetExchange())
				p.chunk(req.GetExchange()+uint64(p.n%2), req.GetForward().GetPath(), true)
			}
		}
		_, err := get("/1")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against messages that follow a whole answer.
	It("leaves a stream on which more than the answer came", func() {
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				p.head(req.GetExchange())
				both := &strings.Builder{}
				_, _ = protodelim.MarshalTo(both, &siblingpb.Chunk{Exchange: req.GetExchange(), Data: []byte(req.GetForward().GetPath()), Last: true})
				_, _ = protodelim.MarshalTo(both, &siblingpb.Chunk{Exchange: req.GetExchange() + 1, Data: []byte("x")})
				_, _ = io.WriteString(p, both.String())
			}
		}
		expectOwnAnswer("/1")
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a false "not run": the message was written, so nobody
	// knows what the sibling did with it (G6).
	It("reports unknown when the sibling closes an idle stream as it is taken", func() {
		script = func(p *peer) {
			p.answer(p.request())
			if p.n == 1 {
				p.request()
			}
		}
		expectOwnAnswer("/1")
		_, err := get("/2")
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		expectOwnAnswer("/3")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against streams without bound after a burst.
	It("keeps at most 64 idle streams", func() {
		var ended atomic.Int32
		script = func(p *peer) {
			for req := p.request(); req != nil; req = p.request() {
				p.answer(req)
			}
			ended.Add(1)
		}
		var answers []*call.Answer
		for range 70 {
			answer, err := start(context.Background(), "/1")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(answer.Body)
			Expect(err).NotTo(HaveOccurred())
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			Expect(answer.Body.Close()).To(Succeed())
		}
		Eventually(ended.Load).Should(BeEquivalentTo(6))
	})
})
