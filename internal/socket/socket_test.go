package socket_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/socket"
)

// dialPeer returns a connection and the function that runs peer at its other end. The function
// returns after peer does.
func dialPeer(t *testing.T, peer func(*net.TCPConn)) (*socket.Conn, func()) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	dial := socket.NewDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	c, err := dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return c.(*socket.Conn), func() { peer(accepted.(*net.TCPConn)) }
}

// writeUntilError writes to c until the kernel reports that the connection is gone.
func writeUntilError(t *testing.T, c *socket.Conn) error {
	t.Helper()
	for range 1000 {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("writes to a connection that was reset succeed")
	return nil
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against a reset that a write has got, and that looks like a close to the reader.
func TestReadReportsTheResetThatAWriteHasGot(t *testing.T) {
	c, run := dialPeer(t, func(peer *net.TCPConn) {
		_, _ = io.WriteString(peer, "part")
		reset(peer)
	})
	run()
	if err := writeUntilError(t, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v, want %v", err, syscall.ECONNRESET)
	}
	got, err := io.ReadAll(c)
	if string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, error %v; want all that had arrived, and %v", got, err, syscall.ECONNRESET)
	}
}

// Guards against input that counts as cut off although the peer had closed its side, because the
// connection was reset or ended afterwards.
func TestReadReportsACloseBeforeAReset(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed": func(peer *net.TCPConn) { _ = peer.CloseWrite() },
		"closed, reset": func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(peer)
		},
	} {
		c, run := dialPeer(t, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "whole")
			end(peer)
		})
		run()
		if name != "closed" {
			if err := writeUntilError(t, c); !errors.Is(err, syscall.EPIPE) {
				t.Fatalf("%s: write: %v, want %v", name, err, syscall.EPIPE)
			}
		}
		if got, err := io.ReadAll(c); string(got) != "whole" || err != nil {
			t.Errorf("%s: read %q, error %v; want the whole input", name, got, err)
		}
	}
}

// Guards against a read that waits for a write in progress: the peer has closed its side only, and
// does not read.
func TestReadDoesNotWaitForAWrite(t *testing.T) {
	c, run := dialPeer(t, func(peer *net.TCPConn) { _ = peer.CloseWrite() })
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20)) // longer than the buffers of the connection
		written <- err
	}()
	time.Sleep(50 * time.Millisecond) // the write waits for the peer
	run()
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, error %v; want %v", n, err, io.EOF)
	}
	select {
	case err := <-written:
		t.Errorf("the write has ended before the read: %v", err)
	default:
	}
	_ = c.Close()
	<-written
}
