package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is the time for which handshakes that have begun may still end after a
	// listener no longer accepts new ones.
	handshakeTime = 100 * time.Millisecond
	// minIdleTime is the time for which a connection must have been idle before a stop
	// closes it. The next request of a caller may be on its way for a moment.
	minIdleTime = time.Second
	// drainInterval is the interval at which a stop checks what is left.
	drainInterval = 20 * time.Millisecond
)

// Drain ends the service of s on l without losing a request of a caller: connections that
// the kernel has accepted are served, and a connection is closed only after it has been idle
// for minIdleTime. Responses should close their connections (see Config.DisableKeepAlives)
// before Drain is called. If ctx ends first, Drain returns its error, and connections may be
// left.
func Drain(ctx context.Context, l *Listener, s *http.Server, logger log.Logger) error {
	// Closing the listener resets the connections that it has not accepted yet. A caller
	// cannot tell whether a request on such a connection has run.
	if err := l.emptyQueue(ctx); err != nil {
		_ = level.Warn(logger).Log("msg", "listener closed although it may hold connections not yet accepted", "err", err)
	}
	_ = l.Close()
	for l.acceptsConns() || l.closeIdle(time.Now().Add(-minIdleTime)) > 0 {
		if err := wait(ctx, drainInterval); err != nil {
			return err
		}
	}
	// Shutdown closes the listener again if Serve has not returned yet.
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// emptyQueue ends the acceptance of new connections by the kernel, and waits until all
// earlier ones have been passed to Accept.
func (l *Listener) emptyQueue(ctx context.Context) error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return merry.Prepend(err, "listener")
	}
	if err := rejectHandshakes(raw.Control); err != nil {
		return merry.Prepend(err, "reject new connections")
	}
	if err := wait(ctx, handshakeTime); err != nil {
		return err
	}
	for {
		queued, err := queueLength(raw.Control)
		if err != nil {
			return merry.Prepend(err, "length of the accept queue")
		}
		if queued == 0 {
			return nil
		}
		if err := wait(ctx, drainInterval); err != nil {
			return err
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// control runs f on the file descriptor of a socket.
type control func(f func(fd uintptr)) error

// TCP flags, and the offset of their byte in a TCP header.
const (
	tcpFlagsOffset = 13
	tcpSYN, tcpACK = 0x02, 0x10
)

// rejectHandshakes makes the kernel drop the first packet of each new connection to a
// listener. Handshakes that have begun go on. Callers send the packet again after about a
// second; by then the listener is closed and the connection is refused.
func rejectHandshakes(c control) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},               // drop
		bpf.RetConstant{Val: ^uint32(0) >> 1}, // pass the whole packet
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, p := range program {
		filter[i] = unix.SockFilter{Code: p.Op, Jt: p.Jt, Jf: p.Jf, K: p.K}
	}
	fprog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]} //nolint:gosec // five instructions
	return c.do(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &fprog)
	})
}

// queueLength returns the number of connections that a listener has not accepted yet.
func queueLength(c control) (n uint32, err error) {
	err = c.do(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = info.Unacked // of a listener, the length of its queue
		}
		return err
	})
	return n, err
}

func (c control) do(f func(fd int) error) error {
	var err error
	if controlErr := c(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil { //nolint:gosec // a file descriptor
		return controlErr
	}
	return err
}
