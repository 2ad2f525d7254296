package waitqueue_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
)

// fleet is one server with slots that the test frees.
type fleet struct {
	mu   sync.Mutex
	free int
	sent []string
}

func (f *fleet) Candidates(time.Time, *waitqueue.AcquireRequest) []placement.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	busy := 9
	if f.free > 0 {
		busy = 0
	}
	return []placement.Candidate{{ID: "s", Slots: 1, Busy: busy, Slowdown: 1, SpeedKnown: true}}
}

func (f *fleet) RequestStarted(server string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free--
	f.sent = append(f.sent, server)
}

func (f *fleet) release(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free += n
}

func ask(priority int) waitqueue.AcquireRequest {
	now := time.Now()
	return waitqueue.AcquireRequest{
		Service: "svc", Priority: priority,
		Request: placement.Request{ServiceTime: time.Millisecond, SoftDeadline: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour)},
	}
}

func waitFor(t *testing.T, room *waitqueue.Queue, n int) {
	t.Helper()
	for room.Len() != n {
		if t.Context().Err() != nil {
			t.Fatalf("%d waiting, want %d", room.Len(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request of low rank that takes a slot before one of high rank.
func TestHighRankGoesFirst(t *testing.T) {
	f := &fleet{}
	room := waitqueue.New(f, placement.Penalties{})
	order := make(chan int, 2)
	var done sync.WaitGroup
	for i, a := range []waitqueue.AcquireRequest{ask(2), ask(0)} {
		done.Go(func() {
			g, err := room.Acquire(t.Context(), a)
			if err != nil || g.Action != placement.Send {
				t.Errorf("rank %d: %v, %v", a.Priority, g, err)
			}
			order <- a.Priority
		})
		waitFor(t, room, i+1)
	}
	f.release(1)
	room.Wake()
	if first := <-order; first != 0 {
		t.Errorf("rank %d went first", first)
	}
	f.release(1)
	room.Wake()
	done.Wait()
}

// Guards against a caller who left and still takes a slot.
func TestEndOfContextLeavesTheRoom(t *testing.T) {
	f := &fleet{}
	room := waitqueue.New(f, placement.Penalties{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := room.Acquire(ctx, ask(0))
		ended <- err
	}()
	waitFor(t, room, 1)
	cancel()
	if err := <-ended; err == nil {
		t.Error("no error")
	}
	f.release(1)
	room.Wake()
	if len(f.sent) != 0 {
		t.Error("a slot was taken")
	}
}

// Guards against a room without bound, and against one that drops high ranks.
func TestLowestRankIsRefusedWhenFull(t *testing.T) {
	f := &fleet{}
	room := waitqueue.New(f, placement.Penalties{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const limit = 128
	for i := range limit {
		go func() { _, _ = room.Acquire(ctx, ask(0)) }()
		waitFor(t, room, i+1)
	}
	g, err := room.Acquire(ctx, ask(2))
	if err != nil || g.Action != placement.Refuse {
		t.Errorf("%v, %v", g, err)
	}
	if room.Len() != limit {
		t.Errorf("%d waiting", room.Len())
	}
}
