package netem

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/hrtimer"
)

// Sizes of the queue of bytes under way. They bound the memory of a
// connection and are larger than delay times bandwidth of the links tested.
const (
	chunkBytes  = 16 << 10
	chunkQueue  = 64
	dialTimeout = 5 * time.Second
)

// Proxy passes connections from one address to another over a link.
type Proxy struct {
	link      *Link
	listener  net.Listener
	target    string
	initiator Direction
	wg        sync.WaitGroup
}

// Address returns the host:port that the relay listens on.
func (r *Proxy) Address() string { return r.listener.Addr().String() }

// Close stops the relay and resets its connections.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.link.mu.Lock()
	delete(r.link.relays, r)
	pairs := r.link.pairsLocked()
	r.link.mu.Unlock()
	for _, p := range pairs {
		if p.relay == r {
			p.reset()
		}
	}
	r.wg.Wait()
}

func (r *Proxy) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		near, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			continue
		}
		p := &pair{relay: r, near: near, done: make(chan struct{})}
		if !r.register(p) {
			p.reset()
			continue
		}
		r.wg.Go(p.serve)
	}
}

// register adds a connection unless the link is cut or the relay is closed.
func (r *Proxy) register(p *pair) bool {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	if _, open := r.link.relays[r]; !open || r.link.cut {
		return false
	}
	r.link.conns[p] = struct{}{}
	return true
}

// pair is a connection through the relay: near is the connecting side, far the
// target.
type pair struct {
	relay *Proxy
	near  *net.TCPConn
	done  chan struct{}
	mu    sync.Mutex
	far   *net.TCPConn
	ended bool

	silent bool // guarded by the link's lock
}

// reset ends both sides with a TCP reset.
func (p *pair) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	close(p.done)
	for _, c := range []*net.TCPConn{p.near, p.far} {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *pair) serve() {
	link := p.relay.link
	defer func() {
		p.reset()
		link.mu.Lock()
		delete(link.conns, p)
		link.mu.Unlock()
	}()
	if !p.wait(time.Now().Add(link.handshake())) || !link.pass(p, p.relay.initiator, nil) {
		return
	}
	conn, err := net.DialTimeout("tcp", p.relay.target, dialTimeout)
	if err != nil {
		return
	}
	far, ok := conn.(*net.TCPConn)
	if !ok || !p.setFar(far) {
		_ = conn.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(p.near, far, p.relay.initiator) })
	wg.Go(func() { p.pump(far, p.near, 1-p.relay.initiator) })
	wg.Wait()
	// Both directions ended in order, so the sockets close without a reset.
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.ended = true
		close(p.done)
		_ = p.near.Close()
		_ = far.Close()
	}
}

func (p *pair) setFar(far *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.far = far
	return true
}

// chunk is a number of bytes under way.
type chunk struct {
	data []byte
	at   time.Time
}

// pump passes bytes from one side to the other until the end of the stream.
func (p *pair) pump(from, to *net.TCPConn, d Direction) {
	queue := make(chan chunk, chunkQueue)
	var wg sync.WaitGroup
	wg.Go(func() { p.deliver(to, d, queue) })
	defer wg.Wait()
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{buf[:n], p.relay.link.arrival(d, n)}:
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

// deliver writes chunks when they arrive, then ends the stream.
func (p *pair) deliver(to *net.TCPConn, d Direction, queue <-chan chunk) {
	for c := range queue {
		if !p.wait(c.at) || !p.relay.link.pass(p, d, c.data) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			p.reset()
			break
		}
	}
	for range queue { // lets the reader end
	}
	if p.wait(p.relay.link.arrival(d, 0)) && p.relay.link.pass(p, d, nil) {
		_ = to.CloseWrite()
	}
}

// wait waits until at. It returns false if the connection ends first.
func (p *pair) wait(at time.Time) bool { return hrtimer.WaitUntil(p.done, at) }
