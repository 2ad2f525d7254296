package netem

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/hrtimer"
)

// Limits of a connection. In each direction, at most maxQueuedChunks chunks of up to
// chunkBytes are queued, which bounds the memory of the connection. Their total size is
// larger than the product of delay and bandwidth of the links tested.
const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 64
	dialTimeout     = 5 * time.Second
)

// Proxy forwards TCP connections to a target address over a link. Its methods may
// be called from any goroutine.
type Proxy struct {
	link            *Link
	listener        net.Listener
	target          string
	clientDirection Direction
	wg              sync.WaitGroup
}

// Address returns the host:port that the proxy listens on.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// Close stops the proxy, resets its connections and waits until its goroutines have
// ended.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.link.mu.Lock()
	delete(proxy.link.proxies, proxy)
	conns := proxy.link.connsLocked()
	proxy.link.mu.Unlock()
	for _, pc := range conns {
		if pc.proxy == proxy {
			pc.reset()
		}
	}
	proxy.wg.Wait()
}

func (proxy *Proxy) accept() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		client, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			continue
		}
		pc := &proxyConn{proxy: proxy, client: client, done: make(chan struct{})}
		if !proxy.register(pc) {
			pc.reset()
			continue
		}
		proxy.wg.Go(pc.serve)
	}
}

// register adds a connection to the link. It returns false if the link is cut or the
// proxy closed.
func (proxy *Proxy) register(pc *proxyConn) bool {
	proxy.link.mu.Lock()
	defer proxy.link.mu.Unlock()
	if _, open := proxy.link.proxies[proxy]; !open || proxy.link.cut {
		return false
	}
	proxy.link.conns[pc] = struct{}{}
	return true
}

// proxyConn is a connection through the proxy: client is the side that connected,
// upstream the connection to the target, nil until it is established.
type proxyConn struct {
	proxy    *Proxy
	client   *net.TCPConn
	done     chan struct{}
	mu       sync.Mutex
	upstream *net.TCPConn
	closed   bool

	blackholed bool // guarded by the link's mu
}

// reset closes both sides with a TCP reset, unless they are already closed.
func (pc *proxyConn) reset() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closed {
		return
	}
	pc.closed = true
	close(pc.done)
	for _, c := range []*net.TCPConn{pc.client, pc.upstream} {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (pc *proxyConn) serve() {
	link := pc.proxy.link
	defer func() {
		pc.reset()
		link.mu.Lock()
		delete(link.conns, pc)
		link.mu.Unlock()
	}()
	// The client's connection is already established; the time of a handshake over the
	// link passes before the target is dialed.
	if !pc.waitUntil(time.Now().Add(link.handshakeTime())) || !link.admit(pc, pc.proxy.clientDirection, nil) {
		return
	}
	conn, err := net.DialTimeout("tcp", pc.proxy.target, dialTimeout)
	if err != nil {
		return
	}
	upstream, ok := conn.(*net.TCPConn)
	if !ok || !pc.setUpstream(upstream) {
		_ = conn.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { pc.copyBytes(pc.client, upstream, pc.proxy.clientDirection) })
	// 1-clientDirection is the opposite direction.
	wg.Go(func() { pc.copyBytes(upstream, pc.client, 1-pc.proxy.clientDirection) })
	wg.Wait()
	// Both directions have reached the end of their streams, so the sockets are
	// closed without a reset.
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !pc.closed {
		pc.closed = true
		close(pc.done)
		_ = pc.client.Close()
		_ = upstream.Close()
	}
}

func (pc *proxyConn) setUpstream(upstream *net.TCPConn) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closed {
		return false
	}
	pc.upstream = upstream
	return true
}

// chunk is a piece of a stream that is in flight on the link, and the time of its
// arrival.
type chunk struct {
	data    []byte
	arrival time.Time
}

// copyBytes forwards bytes from one side to the other until the end of the stream.
func (pc *proxyConn) copyBytes(from, to *net.TCPConn, d Direction) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { pc.deliver(to, d, queue) })
	defer wg.Wait()
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{buf[:n], pc.proxy.link.scheduleArrival(d, n)}:
			case <-pc.done:
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				pc.reset()
			}
			return
		}
	}
}

// deliver writes each chunk at its arrival time, and ends the stream after the last.
func (pc *proxyConn) deliver(to *net.TCPConn, d Direction, queue <-chan chunk) {
	for c := range queue {
		if !pc.waitUntil(c.arrival) || !pc.proxy.link.admit(pc, d, c.data) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			pc.reset()
			break
		}
	}
	for range queue { // unblocks copyBytes, which may be waiting for room in the queue
	}
	if pc.waitUntil(pc.proxy.link.scheduleArrival(d, 0)) && pc.proxy.link.admit(pc, d, nil) {
		_ = to.CloseWrite()
	}
}

// waitUntil waits until deadline. It returns false if the connection ends first.
func (pc *proxyConn) waitUntil(deadline time.Time) bool { return hrtimer.WaitUntil(pc.done, deadline) }
