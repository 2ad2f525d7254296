// Package netem is a delaying TCP relay for tests on loopback. A Link stands
// for the network between two places; its relays share its delay, bandwidth,
// faults and byte counts. It makes region links and partitions in one process.
package netem

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// Directions of a link. By name, the link leads from place A to place B.
const (
	AToB Direction = iota
	BToA
)

// maxRecorded bounds the recorded bytes of a link and direction.
const maxRecorded = 64 << 20

// ErrRecordFull is returned when more crossed than a link records.
var ErrRecordFull = errors.New("record of the link is full")

// Link is the network between place A and place B. Its methods may be called
// from any goroutine.
type Link struct {
	mu     sync.Mutex
	change chan struct{} // closed when a freeze ends
	cut    bool
	lanes  [2]lane
	relays map[*Proxy]struct{}
	conns  map[*pair]struct{}
}

// lane is the state of one direction. The link's lock guards it.
type lane struct {
	frozen         bool
	delay          time.Duration
	bytesPerSecond float64 // 0: no limit
	free           time.Time
	bytes          int64
	recording      bool
	recorded       map[*pair]*bytes.Buffer
	total          int
	full           bool
}

// schedule returns when the last of n bytes that are sent now arrives, and
// takes the lane for the time that they need.
func (l *lane) schedule(now time.Time, n int) time.Time {
	start := now
	if l.free.After(now) {
		start = l.free
	}
	l.free = start
	if l.bytesPerSecond > 0 {
		l.free = start.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	}
	return l.free.Add(l.delay)
}

// New returns a link with a one-way delay and a bandwidth per direction in
// bytes/s; 0 means no limit.
func New(delay time.Duration, bytesPerSecond float64) *Link {
	l := &Link{change: make(chan struct{}), relays: map[*Proxy]struct{}{}, conns: map[*pair]struct{}{}}
	for i := range l.lanes {
		l.lanes[i] = lane{delay: delay, bytesPerSecond: bytesPerSecond, recorded: map[*pair]*bytes.Buffer{}}
	}
	return l
}

// SetDelay sets the one-way delay of one direction for bytes sent from now on.
func (l *Link) SetDelay(d Direction, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lanes[d].delay = delay
}

// SetBandwidth sets the bandwidth of one direction in bytes/s; 0 means no limit.
func (l *Link) SetBandwidth(d Direction, bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lanes[d].bytesPerSecond = bytesPerSecond
}

// Cut resets all connections and, until Heal, every new one.
func (l *Link) Cut() {
	l.mu.Lock()
	l.cut = true
	conns := l.pairsLocked()
	l.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Heal ends a cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

// Reset resets all connections. New ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	conns := l.pairsLocked()
	l.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Blackhole drops all further bytes of the present connections without closing
// them. New connections work.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.silent = true
	}
}

// Pause stops all bytes in both directions until Resume, without closing
// anything, as a network does that drops every packet. New connections are
// accepted and stall.
func (l *Link) Pause() {
	l.PauseDirection(AToB)
	l.PauseDirection(BToA)
}

// PauseDirection is Pause for the bytes of one direction.
func (l *Link) PauseDirection(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lanes[d].frozen = true
}

// Resume ends a freeze of either kind. Bytes sent meanwhile arrive.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lanes[AToB].frozen || l.lanes[BToA].frozen {
		l.lanes[AToB].frozen, l.lanes[BToA].frozen = false, false
		close(l.change)
		l.change = make(chan struct{})
	}
}

// Bytes returns how many bytes crossed the link in a direction.
func (l *Link) Bytes(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lanes[d].bytes
}

// SetRecording starts or ends the recording of the bytes that cross. Starting drops
// what was recorded before.
func (l *Link) SetRecording(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.lanes {
		l.lanes[i].recording = on
		if on {
			l.lanes[i].recorded, l.lanes[i].total, l.lanes[i].full = map[*pair]*bytes.Buffer{}, 0, false
		}
	}
}

// CountMatches returns how often needle crossed the link in a direction, within
// single connections, while recording. With ErrRecordFull the count is a lower
// bound, since more crossed than was recorded.
func (l *Link) CountMatches(d Direction, needle []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, b := range l.lanes[d].recorded {
		n += bytes.Count(b.Bytes(), needle)
	}
	if l.lanes[d].full {
		return n, ErrRecordFull
	}
	return n, nil
}

// Contains reports whether needle crossed the link like Count. Absence is not
// known when it returns ErrRecordFull.
func (l *Link) Contains(d Direction, needle []byte) (bool, error) {
	n, err := l.CountMatches(d, needle)
	if n > 0 {
		return true, nil
	}
	return false, err
}

// StartProxy starts a relay that listens on address listen and passes connections
// over the link to address target. initiator is the direction of the bytes
// that the connecting side sends.
func (l *Link) StartProxy(listen, target string, initiator Direction) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Proxy{link: l, listener: listener, target: target, initiator: initiator}
	l.mu.Lock()
	l.relays[r] = struct{}{}
	l.mu.Unlock()
	r.wg.Go(r.accept)
	return r, nil
}

// Close closes all relays of the link and their connections.
func (l *Link) Close() {
	l.mu.Lock()
	var relays []*Proxy
	for r := range l.relays {
		relays = append(relays, r)
	}
	l.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

func (l *Link) pairsLocked() []*pair {
	var pairs []*pair
	for p := range l.conns {
		pairs = append(pairs, p)
	}
	return pairs
}

// arrival returns when bytes that are sent now arrive.
func (l *Link) arrival(d Direction, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lanes[d].schedule(time.Now(), n)
}

// handshake returns the time that a TCP handshake takes.
func (l *Link) handshake() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lanes[AToB].delay + l.lanes[BToA].delay
}

// pass waits while the direction is frozen or the connection silent, then counts
// and records data. It returns false if the connection ends first.
func (l *Link) pass(p *pair, d Direction, data []byte) bool {
	for {
		l.mu.Lock()
		if !l.lanes[d].frozen && !p.silent {
			break
		}
		change := l.change
		l.mu.Unlock()
		select {
		case <-change:
		case <-p.done:
			return false
		}
	}
	defer l.mu.Unlock()
	lane := &l.lanes[d]
	lane.bytes += int64(len(data))
	if !lane.recording || lane.full {
		return true
	}
	if lane.total+len(data) > maxRecorded {
		lane.full = true
		return true
	}
	lane.total += len(data)
	if lane.recorded[p] == nil {
		lane.recorded[p] = &bytes.Buffer{}
	}
	lane.recorded[p].Write(data)
	return true
}
