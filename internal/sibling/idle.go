package sibling

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maxIdleStreams bounds the idle streams to one sibling. Each costs about
	// 29 KB at both ends together and two goroutines at the holder.
	maxIdleStreams = 64
	// maxIdleTime is after how long without use a stream is closed, so that a
	// burst does not keep its streams. It is checked when a stream is returned.
	maxIdleTime = 10 * time.Second
)

// idleStreams keeps the streams of one session whose last exchange ended
// completely on both sides.
type idleStreams struct {
	mu      sync.Mutex
	mux     *yamux.Session
	streams []*stream // most recently used last
}

// take returns an idle stream of mux, or nil. Streams of an earlier session are
// forgotten; they ended with it.
func (i *idleStreams) take(mux *yamux.Session) *stream {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.mux != mux {
		i.mux, i.streams = mux, nil
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

// put keeps st for the next exchange or closes it.
func (i *idleStreams) put(st *stream, now time.Time) {
	st.idleSince = now
	i.mu.Lock()
	surplus := st
	if i.mux == st.mux && len(i.streams) < maxIdleStreams {
		i.streams = append(i.streams, st)
		surplus = nil
		if now.Sub(i.streams[0].idleSince) > maxIdleTime {
			surplus = i.streams[0]
			i.streams = slices.Delete(i.streams, 0, 1)
		}
	}
	i.mu.Unlock()
	if surplus != nil {
		_ = surplus.Close()
	}
}
