package sibling

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maxIdleStreams is the largest number of idle streams to one sibling. Each
	// costs about 29 KB of memory, both ends together, and two goroutines at the
	// sibling that serves it.
	maxIdleStreams = 64
	// maxIdleTime is the time without use after which a stream is closed, so that
	// the streams opened for a burst do not stay open. It is checked only when a
	// stream is returned.
	maxIdleTime = 10 * time.Second
)

// idleStreams holds the streams of one yamux session on which no exchange is in
// progress and the last one ended completely on both sides. It is safe for
// concurrent use.
type idleStreams struct {
	mu      sync.Mutex
	session *yamux.Session
	streams []*stream // in the order of their last use, the latest at the end
}

// take removes and returns the most recently used idle stream of session, or nil
// if there is none. Streams of an earlier session are removed without closing them,
// since they were closed with it.
func (i *idleStreams) take(session *yamux.Session) *stream {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.session != session {
		i.session, i.streams = session, nil
	}
	if len(i.streams) == 0 {
		return nil
	}
	last := len(i.streams) - 1
	st := i.streams[last]
	i.streams[last] = nil
	i.streams = i.streams[:last]
	return st
}

// put adds st to the idle streams. It closes st if there are maxIdleStreams or its
// session is no longer the current one, and otherwise closes the least recently
// used stream if that was idle for longer than maxIdleTime.
func (i *idleStreams) put(st *stream, now time.Time) {
	st.idleSince = now
	i.mu.Lock()
	closing := st
	if i.session == st.session && len(i.streams) < maxIdleStreams {
		i.streams = append(i.streams, st)
		closing = nil
		if now.Sub(i.streams[0].idleSince) > maxIdleTime {
			closing = i.streams[0]
			i.streams = slices.Delete(i.streams, 0, 1)
		}
	}
	i.mu.Unlock()
	if closing != nil {
		_ = closing.Close()
	}
}
