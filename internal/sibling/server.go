package sibling

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// Handler answers the exchanges of siblings. Its methods are called from many
// goroutines. The context ends when the sibling no longer waits.
type Handler interface {
	// HandleForward runs a call. The load may be nil.
	HandleForward(ctx context.Context, c *call.Call) (*call.Answer, *siblingpb.PoolLoad, error)
	// HandleControl answers any other request.
	HandleControl(ctx context.Context, req *siblingpb.Request) *siblingpb.Response
}

// Server accepts sessions of siblings.
type Server struct {
	handler  Handler
	logger   log.Logger
	listener net.Listener

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer serves handler on listener after Serve is called.
func NewServer(listener net.Listener, handler Handler, logger log.Logger) *Server {
	return &Server{
		handler:  handler,
		logger:   log.With(logger, "part", "sibling"),
		listener: listener,
		sessions: map[*yamux.Session]struct{}{},
	}
}

// Serve accepts sessions until Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		mux, err := yamux.Server(&frameConn{Conn: conn}, newConfig())
		if err != nil {
			_ = conn.Close()
			continue
		}
		if !s.add(mux) {
			_ = mux.Close()
			return nil
		}
		go s.serveSession(mux, conn.RemoteAddr().String())
	}
}

// Close ends all sessions and waits for the handlers. The daemon calls it
// after the last forward has ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for mux := range s.sessions {
		_ = mux.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) add(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[mux] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) serveSession(mux *yamux.Session, remote string) {
	defer s.wg.Done()
	var streams sync.WaitGroup
	slots := make(chan struct{}, maxStreamsPerSibling)
	for {
		conn, err := mux.AcceptStream()
		if err != nil {
			break
		}
		slots <- struct{}{}
		streams.Go(func() {
			defer func() { <-slots }()
			s.serveStream(newStream(conn))
		})
	}
	s.mu.Lock()
	delete(s.sessions, mux)
	s.mu.Unlock()
	_ = mux.Close()
	streams.Wait()
	_ = level.Debug(s.logger).Log("msg", "session ended", "remote", remote)
}

// serveStream answers the exchanges of one stream. It goes on reading while a
// forward runs: the end of the sibling's side means that it no longer waits.
func (s *Server) serveStream(st *stream) {
	defer func() { _ = st.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	forwards := make(chan *siblingpb.Request, 1)
	var worker sync.WaitGroup
	defer worker.Wait()
	defer close(forwards)
	for first := true; ; first = false {
		req := &siblingpb.Request{}
		if err := st.read(req); err != nil {
			cancel()
			return
		}
		if sub := req.GetSubscribe(); sub != nil && first {
			if h, ok := s.handler.(SubscriptionHandler); ok {
				h.HandleSubscription(sub, &Subscription{st: st})
			}
			return
		}
		if req.GetForward() == nil {
			if first {
				if resp := s.handler.HandleControl(ctx, req); resp != nil {
					_ = st.write(resp)
				}
			}
			cancel()
			return
		}
		if len(req.GetForward().GetBody()) > maxKeptBuffer {
			st.shrink()
		}
		if first {
			worker.Go(func() { s.serveForwards(ctx, st, forwards) })
		}
		select {
		case forwards <- req:
		default: // the sibling did not wait for the answer before
			cancel()
			return
		}
	}
}

// serveForwards answers forwards one after another. It closes the stream after
// an answer that did not end completely, so that the sibling does not take
// messages of a later answer for the rest of it.
func (s *Server) serveForwards(ctx context.Context, st *stream, forwards <-chan *siblingpb.Request) {
	out := &answerWriter{st: st}
	for req := range forwards {
		if ctx.Err() != nil {
			return
		}
		out.exchange = req.GetExchange()
		if !s.serveForward(ctx, out, DecodeCall(time.Now(), req.GetForward())) {
			_ = st.Close()
			return
		}
	}
}

// serveForward reports whether the answer was written to its end.
func (s *Server) serveForward(ctx context.Context, out *answerWriter, c *call.Call) bool {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	answer, load, err := s.handler.HandleForward(ctx, c)
	if err != nil {
		head := encodeError(outcome.FromError(err))
		head.Load = load
		return out.st.write(out.response(head)) == nil
	}
	defer func() { _ = answer.Body.Close() }()
	head := &siblingpb.ForwardAnswer{
		Outcome: uint32(outcome.Answered),
		Status:  clampUint32(int64(answer.Status)),
		Header:  headerToProto(answer.Header),
		Length:  answer.Length,
		Load:    load,
	}
	if err := out.write(head, answer.Body); err != nil {
		_ = level.Debug(s.logger).Log("msg", "answer ended early", "service", c.Service, "err", err)
		return false
	}
	return true
}

// answerWriter writes the answers of one stream.
type answerWriter struct {
	st       *stream
	exchange uint64
	body     []byte // reused between answers
}

// write sends the head together with the first chunk, which saves a write for
// the many short answers. A body that ends in an error gets no last chunk, so
// that the receiver sees a truncated answer.
func (w *answerWriter) write(head *siblingpb.ForwardAnswer, body io.Reader) error {
	out, err := appendDelimited(w.st.out[:0], w.response(head))
	if err != nil {
		return err
	}
	buf := w.buffer(head.GetLength())
	for {
		n, readErr := body.Read(buf)
		last := errors.Is(readErr, io.EOF)
		if n > 0 || last {
			chunk := &siblingpb.Chunk{Data: buf[:n], Last: last, Exchange: w.exchange}
			if out, err = appendDelimited(out, chunk); err != nil {
				return err
			}
		}
		w.st.keep(out)
		if _, err := w.st.Write(out); err != nil {
			return err
		}
		if last {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		out = out[:0]
	}
}

// buffer returns a read buffer for a body of the declared length; -1 stands
// for an unknown length. Only small ones are kept for the next answer.
func (w *answerWriter) buffer(length int64) []byte {
	if length < 0 || length > chunkSize {
		return make([]byte, chunkSize)
	}
	size := int(length) + 1
	if size > cap(w.body) {
		if size > maxKeptBuffer {
			return make([]byte, size)
		}
		w.body = make([]byte, size)
	}
	return w.body[:size]
}

func (w *answerWriter) response(head *siblingpb.ForwardAnswer) *siblingpb.Response {
	return &siblingpb.Response{Kind: &siblingpb.Response_Forward{Forward: head}, Exchange: w.exchange}
}
