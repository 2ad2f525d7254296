// Package netem emulates network links on loopback for tests. A Link represents
// the network between two sides, A and B. TCP proxies that run over a link share its
// delay, bandwidth, faults and byte counts. Tests use it to emulate inter-region
// links, and network partitions, in one process.
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

// Directions of a link, which connects side A and side B.
const (
	AToB Direction = iota
	BToA
)

// maxRecordedBytes is the most bytes that a link records in each direction. The
// recording of a direction is truncated if more bytes cross the link.
const maxRecordedBytes = 64 << 20

// ErrRecordingTruncated is returned by CountMatches and Contains if some bytes that
// crossed the link in the direction searched were not recorded, because there were more
// than maxRecordedBytes.
var ErrRecordingTruncated = errors.New("recording is incomplete: more than 64 MiB crossed the link in this direction")

// Link emulates the network between side A and side B. Its methods may be called
// from any goroutine.
type Link struct {
	mu         sync.Mutex
	resumed    chan struct{} // closed and replaced when Resume ends a pause
	cut        bool
	directions [2]directionState
	proxies    map[*Proxy]struct{}
	conns      map[*proxyConn]struct{}
}

// directionState is the state of one direction of a link, guarded by the link's mu.
type directionState struct {
	paused             bool
	delay              time.Duration
	bytesPerSecond     float64   // 0: no limit
	idleAt             time.Time // when all bytes accepted so far have been transmitted
	byteCount          int64     // bytes that have crossed the link
	recording          bool
	recordings         map[*proxyConn]*bytes.Buffer // recorded bytes of each connection
	recordedBytes      int                          // total length of recordings
	recordingTruncated bool                         // bytes were left out because of maxRecordedBytes
}

// scheduleArrival returns when the last of n bytes that are sent at now arrives, and
// reserves the bandwidth of the direction for the time of their transmission.
func (s *directionState) scheduleArrival(now time.Time, n int) time.Time {
	start := now
	if s.idleAt.After(now) {
		start = s.idleAt
	}
	s.idleAt = start
	if s.bytesPerSecond > 0 {
		s.idleAt = start.Add(time.Duration(float64(n) / s.bytesPerSecond * float64(time.Second)))
	}
	return s.idleAt.Add(s.delay)
}

// New returns a link with a one-way delay and a bandwidth per direction in
// bytes/s; 0 means no limit.
func New(delay time.Duration, bytesPerSecond float64) *Link {
	l := &Link{resumed: make(chan struct{}), proxies: map[*Proxy]struct{}{}, conns: map[*proxyConn]struct{}{}}
	for i := range l.directions {
		l.directions[i] = directionState{delay: delay, bytesPerSecond: bytesPerSecond, recordings: map[*proxyConn]*bytes.Buffer{}}
	}
	return l
}

// SetDelay sets the one-way delay of one direction. It applies to bytes sent after
// the call.
func (l *Link) SetDelay(d Direction, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directions[d].delay = delay
}

// SetBandwidth sets the bandwidth of one direction in bytes/s; 0 means no limit.
func (l *Link) SetBandwidth(d Direction, bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directions[d].bytesPerSecond = bytesPerSecond
}

// Cut resets all connections. Until Heal is called, new ones are reset as well.
func (l *Link) Cut() {
	l.mu.Lock()
	l.cut = true
	conns := l.connsLocked()
	l.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Heal ends the effect of Cut: new connections work again.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

// Reset resets all connections. New ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	conns := l.connsLocked()
	l.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Blackhole stops all further bytes of the existing connections, in both
// directions, without closing them. This lasts until the connections are closed;
// Resume and Heal do not end it. New connections work.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pc := range l.conns {
		pc.blackholed = true
	}
}

// Pause stops all bytes in both directions until Resume is called, without closing
// connections, like a network that drops every packet for a while: TCP retransmits
// the packets, so the bytes arrive after Resume. New connections are accepted and
// stall.
func (l *Link) Pause() {
	l.PauseDirection(AToB)
	l.PauseDirection(BToA)
}

// PauseDirection is Pause for the bytes of one direction.
func (l *Link) PauseDirection(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directions[d].paused = true
}

// Resume ends the effect of Pause and PauseDirection. Bytes sent during the pause
// are then delivered.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.directions[AToB].paused || l.directions[BToA].paused {
		l.directions[AToB].paused, l.directions[BToA].paused = false, false
		close(l.resumed)
		l.resumed = make(chan struct{})
	}
}

// Bytes returns how many bytes crossed the link in a direction.
func (l *Link) Bytes(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directions[d].byteCount
}

// SetRecording starts or ends the recording of the bytes that cross the link.
// Starting discards earlier recordings.
func (l *Link) SetRecording(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.directions {
		l.directions[i].recording = on
		if on {
			l.directions[i].recordings, l.directions[i].recordedBytes, l.directions[i].recordingTruncated = map[*proxyConn]*bytes.Buffer{}, 0, false
		}
	}
}

// CountMatches returns how often needle occurs in the recorded bytes of a direction.
// Each connection is searched separately. If it returns ErrRecordingTruncated as well, the
// count is a lower bound, since some bytes were not recorded.
func (l *Link) CountMatches(d Direction, needle []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, b := range l.directions[d].recordings {
		n += bytes.Count(b.Bytes(), needle)
	}
	if l.directions[d].recordingTruncated {
		return n, ErrRecordingTruncated
	}
	return n, nil
}

// Contains reports whether needle occurs in the recorded bytes of a direction, as
// counted by CountMatches. It returns false with ErrRecordingTruncated if needle was not
// found but some bytes were not recorded.
func (l *Link) Contains(d Direction, needle []byte) (bool, error) {
	n, err := l.CountMatches(d, needle)
	if n > 0 {
		return true, nil
	}
	return false, err
}

// StartProxy starts a proxy that listens on address listen and forwards connections
// over the link to address target. clientDirection is the direction of the
// bytes that the connecting client sends. It returns an error if it cannot listen.
func (l *Link) StartProxy(listen, target string, clientDirection Direction) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{link: l, listener: listener, target: target, clientDirection: clientDirection}
	l.mu.Lock()
	l.proxies[proxy] = struct{}{}
	l.mu.Unlock()
	proxy.wg.Go(proxy.accept)
	return proxy, nil
}

// Close closes all proxies of the link and resets their connections.
func (l *Link) Close() {
	l.mu.Lock()
	var proxies []*Proxy
	for proxy := range l.proxies {
		proxies = append(proxies, proxy)
	}
	l.mu.Unlock()
	for _, proxy := range proxies {
		proxy.Close()
	}
}

func (l *Link) connsLocked() []*proxyConn {
	var conns []*proxyConn
	for pc := range l.conns {
		conns = append(conns, pc)
	}
	return conns
}

// scheduleArrival returns when the last of n bytes that are sent now in a direction
// arrives.
func (l *Link) scheduleArrival(d Direction, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directions[d].scheduleArrival(time.Now(), n)
}

// handshakeTime returns the duration of a TCP handshake over the link: one round
// trip.
func (l *Link) handshakeTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directions[AToB].delay + l.directions[BToA].delay
}

// admit waits until bytes may pass in direction d, which is not the case while the
// direction is paused or the connection blackholed. It then counts and records data,
// which the caller delivers afterwards. data may be nil if the caller only needs to
// wait. It returns false if the connection ends first.
func (l *Link) admit(pc *proxyConn, d Direction, data []byte) bool {
	for {
		l.mu.Lock()
		if !l.directions[d].paused && !pc.blackholed {
			break
		}
		resumed := l.resumed
		l.mu.Unlock()
		select {
		case <-resumed:
		case <-pc.done:
			return false
		}
	}
	defer l.mu.Unlock()
	state := &l.directions[d]
	state.byteCount += int64(len(data))
	if !state.recording || state.recordingTruncated {
		return true
	}
	if state.recordedBytes+len(data) > maxRecordedBytes {
		state.recordingTruncated = true
		return true
	}
	state.recordedBytes += len(data)
	if state.recordings[pc] == nil {
		state.recordings[pc] = &bytes.Buffer{}
	}
	state.recordings[pc].Write(data)
	return true
}
