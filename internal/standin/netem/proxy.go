package netem

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/hrtimer"
)

// Limits of a connection. The chunks in flight in one direction bound its memory;
// chunkBytes times maxQueuedChunks is larger than the product of delay and bandwidth
// of the links tested.
const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 64
	dialTimeout     = 5 * time.Second
)

// Proxy forwards TCP connections to a target address over a link. Its methods may
// be called from any goroutine.
type Proxy struct {
	link      *Link
	listener  net.Listener
	target    string
	initiator Direction
	wg        sync.WaitGroup
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
	for _, p := range conns {
		if p.proxy == proxy {
			p.reset()
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
		p := &proxyConn{proxy: proxy, client: client, done: make(chan struct{})}
		if !proxy.register(p) {
			p.reset()
			continue
		}
		proxy.wg.Go(p.serve)
	}
}

// register adds a connection to the link. It returns false if the link is cut or the
// proxy closed.
func (proxy *Proxy) register(p *proxyConn) bool {
	proxy.link.mu.Lock()
	defer proxy.link.mu.Unlock()
	if _, open := proxy.link.proxies[proxy]; !open || proxy.link.cut {
		return false
	}
	proxy.link.conns[p] = struct{}{}
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
func (p *proxyConn) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, c := range []*net.TCPConn{p.client, p.upstream} {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *proxyConn) serve() {
	link := p.proxy.link
	defer func() {
		p.reset()
		link.mu.Lock()
		delete(link.conns, p)
		link.mu.Unlock()
	}()
	if !p.waitUntil(time.Now().Add(link.handshakeTime())) || !link.awaitDelivery(p, p.proxy.initiator, nil) {
		return
	}
	conn, err := net.DialTimeout("tcp", p.proxy.target, dialTimeout)
	if err != nil {
		return
	}
	upstream, ok := conn.(*net.TCPConn)
	if !ok || !p.setUpstream(upstream) {
		_ = conn.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copyBytes(p.client, upstream, p.proxy.initiator) })
	wg.Go(func() { p.copyBytes(upstream, p.client, 1-p.proxy.initiator) })
	wg.Wait()
	// Both directions have reached the end of their streams, so the sockets are
	// closed without a reset.
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.done)
		_ = p.client.Close()
		_ = upstream.Close()
	}
}

func (p *proxyConn) setUpstream(upstream *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.upstream = upstream
	return true
}

// chunk is a piece of a stream that is in flight on the link, and the time of its
// arrival.
type chunk struct {
	data    []byte
	arrival time.Time
}

// copyBytes forwards bytes from one side to the other until the end of the stream.
func (p *proxyConn) copyBytes(from, to *net.TCPConn, d Direction) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { p.deliver(to, d, queue) })
	defer wg.Wait()
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{buf[:n], p.proxy.link.scheduleArrival(d, n)}:
			case <-p.done:
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.reset()
			}
			return
		}
	}
}

// deliver writes each chunk at its arrival time, and ends the stream after the last.
func (p *proxyConn) deliver(to *net.TCPConn, d Direction, queue <-chan chunk) {
	for c := range queue {
		if !p.waitUntil(c.arrival) || !p.proxy.link.awaitDelivery(p, d, c.data) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			p.reset()
			break
		}
	}
	for range queue { // unblocks copyBytes, which may be waiting for room in the queue
	}
	if p.waitUntil(p.proxy.link.scheduleArrival(d, 0)) && p.proxy.link.awaitDelivery(p, d, nil) {
		_ = to.CloseWrite()
	}
}

// waitUntil waits until deadline. It returns false if the connection ends first.
func (p *proxyConn) waitUntil(deadline time.Time) bool { return hrtimer.WaitUntil(p.done, deadline) }
