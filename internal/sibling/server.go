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
	"goldcresthinge.example/goldcresthinge/internal/recovery"
)

// Handler answers requests of siblings. Its methods are called concurrently.
type Handler interface {
	// HandleForward runs a call. ctx ends at the deadline of the call, or when
	// the sibling closes the stream because it no longer waits. The returned load
	// is sent to the sibling with the answer or error; nil sends none.
	HandleForward(ctx context.Context, c *call.Call) (*call.Answer, *siblingpb.PoolLoad, error)
	// HandleControl answers any request other than a forward. Without a response
	// (nil) the stream is closed.
	HandleControl(ctx context.Context, req *siblingpb.Request) *siblingpb.Response
}

// Server accepts yamux sessions of siblings and serves their streams.
type Server struct {
	handler  Handler
	logger   log.Logger
	listener net.Listener

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server that passes the requests on listener to handler. It
// accepts no connection before Serve.
func NewServer(listener net.Listener, handler Handler, logger log.Logger) *Server {
	return &Server{
		handler:  handler,
		logger:   log.With(logger, "part", "sibling"),
		listener: listener,
		sessions: map[*yamux.Session]struct{}{},
	}
}

// maxAcceptPause bounds the pause after an error of Accept, such as a lack of descriptors. The
// pause doubles with each error in a row.
const maxAcceptPause = time.Second

// Serve accepts sessions until Close, then returns nil. After another error of the listener it
// goes on.
func (s *Server) Serve() error {
	var pause time.Duration
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			pause = min(max(2*pause, 5*time.Millisecond), maxAcceptPause)
			_ = level.Warn(s.logger).Log("msg", "no connection of a sibling accepted; trying again", "pause_ms", pause.Milliseconds(), "err", err)
			time.Sleep(pause)
			continue
		}
		pause = 0
		session, err := yamux.Server(&frameConn{Conn: conn}, newConfig())
		if err != nil {
			_ = conn.Close()
			continue
		}
		if !s.addSession(session) {
			_ = session.Close()
			return nil
		}
		go s.serveSession(session, conn.RemoteAddr().String())
	}
}

// Close closes the listener and all sessions and waits for the handlers. Forwards
// in progress are cut off, so the daemon calls it after the last one has ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// addSession registers a session. It returns false after Close.
func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.wg.Add(1)
	return true
}

// serveSession serves the streams of session until it ends. It accepts no stream
// while maxStreamsPerSibling are being served.
func (s *Server) serveSession(session *yamux.Session, remote string) {
	defer s.wg.Done()
	var streams sync.WaitGroup
	streamSlots := make(chan struct{}, maxStreamsPerSibling)
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			break
		}
		streamSlots <- struct{}{}
		streams.Go(func() {
			defer func() { <-streamSlots }()
			s.logPanic(recovery.Run(func() error {
				s.serveStream(newStream(conn))
				return nil
			}))
		})
	}
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
	_ = session.Close()
	streams.Wait()
	_ = level.Debug(s.logger).Log("msg", "sibling session ended", "remote", remote)
}

// logPanic logs err, if any, which is a panic in the work for one stream.
func (s *Server) logPanic(err error) {
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "panic while serving a sibling; its stream is closed", "err", err)
	}
}

// serveStream answers the requests of one stream. It continues to read while a
// forward is being served, and cancels it when the sibling closes the stream.
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
		if len(req.GetForward().GetBody()) > maxRetainedBuffer {
			st.shrinkReceiveBuffer()
		}
		if first {
			worker.Go(func() {
				err := recovery.Run(func() error {
					s.serveForwards(ctx, st, forwards)
					return nil
				})
				if err != nil {
					s.logPanic(err)
					_ = st.Close()
				}
			})
		}
		select {
		case forwards <- req:
		default: // the sibling sent requests without waiting for the answers
			cancel()
			return
		}
	}
}

// serveForwards answers forwards in the order of their arrival. After an answer
// that could not be written completely it closes the stream; otherwise the sibling
// would take messages of the next answer for the rest of this one.
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

// serveForward runs c and writes the answer or the error. It reports whether that
// was written completely.
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
		_ = level.Debug(s.logger).Log("msg", "answer to a forwarded call truncated", "service", c.Service, "err", err)
		return false
	}
	return true
}

// answerWriter writes the answers of one stream. It is not safe for concurrent use.
type answerWriter struct {
	st       *stream
	exchange uint64
	body     []byte // read buffer, reused for later answers
}

// write sends the head together with the first chunk. Most answers are short, and
// this saves them a write. If reading the body fails, write sends no last chunk,
// which tells the receiver that the answer is truncated.
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
		w.st.retainBuffer(out)
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

// buffer returns a read buffer for a body of the declared length, where -1 means
// unknown. A buffer of up to maxRetainedBuffer bytes is kept for later answers.
func (w *answerWriter) buffer(length int64) []byte {
	if length < 0 || length > chunkSize {
		return make([]byte, chunkSize)
	}
	size := int(length) + 1
	if size > cap(w.body) {
		if size > maxRetainedBuffer {
			return make([]byte, size)
		}
		w.body = make([]byte, size)
	}
	return w.body[:size]
}

func (w *answerWriter) response(head *siblingpb.ForwardAnswer) *siblingpb.Response {
	return &siblingpb.Response{Kind: &siblingpb.Response_Forward{Forward: head}, Exchange: w.exchange}
}
