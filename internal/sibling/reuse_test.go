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

// scriptedStream is the server end of a stream, driven by the script of a test.
type scriptedStream struct {
	net.Conn
	r      *bufio.Reader
	number int // of the stream, counted from 1
}

func newScriptedStream(conn net.Conn, n int) *scriptedStream {
	return &scriptedStream{Conn: conn, r: bufio.NewReader(conn), number: n}
}

// nextRequest returns the next request, or nil at the end of the stream.
func (p *scriptedStream) nextRequest() *siblingpb.Request {
	req := &siblingpb.Request{}
	if protodelim.UnmarshalFrom(p.r, req) != nil {
		return nil
	}
	return req
}

// sendHead sends the head of the answer of an exchange, with status 200 and unknown
// body length.
func (p *scriptedStream) sendHead(exchange uint64) {
	_, _ = protodelim.MarshalTo(p, &siblingpb.Response{Exchange: exchange, Kind: &siblingpb.Response_Forward{
		Forward: &siblingpb.ForwardAnswer{Outcome: uint32(outcome.Answered), Status: http.StatusOK, Length: -1},
	}})
}

func (p *scriptedStream) sendChunk(exchange uint64, text string, last bool) {
	_, _ = protodelim.MarshalTo(p, &siblingpb.Chunk{Exchange: exchange, Data: []byte(text), Last: last})
}

// echoPath answers req with its path as the body.
func (p *scriptedStream) echoPath(req *siblingpb.Request) {
	p.sendHead(req.GetExchange())
	p.sendChunk(req.GetExchange(), req.GetForward().GetPath(), true)
}

var _ = Describe("Reuse of streams", func() {
	var (
		script  func(p *scriptedStream)
		streams atomic.Int32
		client  *sibling.Client
		to      vm.Info
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		streams.Store(0)
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				p.echoPath(req)
			}
		}
		var wg sync.WaitGroup
		wg.Go(func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			config := yamux.DefaultConfig()
			config.LogOutput = io.Discard
			session, err := yamux.Server(conn, config)
			if err != nil {
				_ = conn.Close()
				return
			}
			defer session.Close()
			for {
				conn, err := session.AcceptStream()
				if err != nil {
					return
				}
				n := int(streams.Add(1))
				wg.Go(func() {
					defer conn.Close()
					script(newScriptedStream(conn, n))
				})
			}
		})
		client = sibling.NewClient(nil, nil, nil)
		to = vm.Info{ID: "vm-2", SiblingAddress: listener.Addr().String()}
		DeferCleanup(func() {
			client.Close()
			_ = listener.Close()
			wg.Wait()
		})
	})

	forward := func(ctx context.Context, path string) (*call.Answer, error) {
		return client.Forward(ctx, to, &call.Call{Service: "s", Method: http.MethodGet, Path: path, Deadline: time.Now().Add(time.Minute)})
	}
	get := func(path string) (string, error) {
		answer, err := forward(context.Background(), path)
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

	// Guards against the late answer of a canceled call that is taken for the answer
	// to the next call.
	It("closes a stream after a canceled call", func() {
		received, canceled := make(chan struct{}), make(chan struct{})
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				if p.number == 1 {
					close(received)
					<-canceled
				}
				p.echoPath(req)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-received
			cancel()
		}()
		_, err := forward(ctx, "/late")
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		close(canceled)
		expectOwnAnswer("/next")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against reuse of a stream that is about to be closed: when the context
	// of a caller ends, context.AfterFunc closes the stream of its call, possibly
	// while the next call already uses it.
	It("closes a stream whose caller cancels after the whole answer", func() {
		ctx, cancel := context.WithCancel(context.Background())
		answer, err := forward(ctx, "/1")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Expect(answer.Body.Close()).To(Succeed())
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against the deadline of an earlier call that ends a later one, and
	// against calls without any deadline.
	It("gives each exchange its own deadline", func() {
		received := make(chan struct{}, 3)
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				if strings.HasPrefix(req.GetForward().GetPath(), "/never") {
					received <- struct{}{}
					continue
				}
				p.echoPath(req)
			}
		}
		expectOwnAnswer("/1") // deadline of the call, since its context has none
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		answer, err := client.Forward(ctx, to, &call.Call{Path: "/2", Deadline: time.Now().Add(time.Hour)})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		cancel()
		_, err = client.Forward(context.Background(), to, &call.Call{Path: "/never/1", Deadline: time.Now().Add(10 * time.Millisecond)})
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		Eventually(received).Should(Receive())
		ctx, cancel = context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		_, err = client.Forward(ctx, to, &call.Call{Path: "/never/2", Deadline: time.Now().Add(10 * time.Millisecond)})
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		expectOwnAnswer("/3")
		Expect(streams.Load()).To(BeEquivalentTo(3))
	})

	// Guards against the unread rest of an answer that becomes part of the next one.
	It("closes a stream whose answer was not read to its end", func() {
		answer, err := forward(context.Background(), "/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a body closed twice that makes its stream idle twice, which
	// puts two calls on one stream, and against a read after Close that takes
	// bytes of a later call.
	It("returns a stream to the idle ones only once", func() {
		closedTwice := make(chan struct{})
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				p.sendHead(req.GetExchange())
				if req.GetForward().GetPath() == "/2" {
					<-closedTwice
				}
				p.sendChunk(req.GetExchange(), req.GetForward().GetPath(), true)
			}
		}
		answer, err := forward(context.Background(), "/1")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		second, err := forward(context.Background(), "/2")
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

	// Guards against an answer that belongs to another call on the same stream.
	It("rejects the answer head of another exchange", func() {
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				if p.number == 1 {
					req.Exchange--
				}
				p.echoPath(req)
			}
		}
		_, err := get("/1")
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		Expect(outcome.FromError(err).Reason).To(Equal(outcome.ReasonResponseMismatch))
		expectOwnAnswer("/2")
	})

	It("rejects a chunk of another exchange", func() {
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				p.sendHead(req.GetExchange())
				p.sendChunk(req.GetExchange()+uint64(p.number%2), req.GetForward().GetPath(), true)
			}
		}
		_, err := get("/1")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		expectOwnAnswer("/2")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against messages after the end of an answer that are taken for part
	// of the next answer.
	It("closes a stream that has data after the answer", func() {
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				p.sendHead(req.GetExchange())
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

	// Guards against reporting a call as not run although its request was written:
	// the sibling may have run the call before it closed the stream, and a call that
	// was reported as not run may be sent again.
	It("reports unknown when the sibling closes an idle stream while a call starts to use it", func() {
		script = func(p *scriptedStream) {
			p.echoPath(p.nextRequest())
			if p.number == 1 {
				p.nextRequest()
			}
		}
		expectOwnAnswer("/1")
		_, err := get("/2")
		Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown))
		expectOwnAnswer("/3")
		Expect(streams.Load()).To(BeEquivalentTo(2))
	})

	// Guards against an unbounded number of idle streams after a burst.
	It("keeps at most 64 idle streams", func() {
		var ended atomic.Int32
		script = func(p *scriptedStream) {
			for req := p.nextRequest(); req != nil; req = p.nextRequest() {
				p.echoPath(req)
			}
			ended.Add(1)
		}
		var answers []*call.Answer
		for range 70 {
			answer, err := forward(context.Background(), "/1")
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
