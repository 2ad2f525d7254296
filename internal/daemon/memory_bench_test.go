package daemon_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
)

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkMemory measures the memory of two idle VMs and the memory that 250
// forwarded calls in flight add: 64 of them at the target and the others in the
// queue of the holder. The figures include caller, target and platform, which run
// in the same process.
func BenchmarkMemory(b *testing.B) {
	var mu sync.RWMutex // while it is locked for writing, the target does not answer
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.RLock()
		defer mu.RUnlock()
		w.Header().Set("Goldcresthinge-Instance", "i1")
		_, _ = io.WriteString(w, "x")
	}))
	b.Cleanup(target.Close)
	before := memoryInUse()
	_, nonHolder := startPair(b, target.Listener.Addr().String())
	client := newClient()
	defer client.CloseIdleConnections()
	for b.Loop() {
		idle := memoryInUse()
		mu.Lock()
		const calls = 250 // the queue holds up to 256
		var running, sent sync.WaitGroup
		for range calls {
			sent.Add(1)
			running.Go(func() {
				sent.Done()
				get(b, client, nonHolder)
			})
		}
		sent.Wait()
		settled, last := 0, 0
		for settled < 100 { // until the number of goroutines has stopped changing
			runtime.Gosched()
			runtime.GC()
			if n := runtime.NumGoroutine(); n != last {
				settled, last = 0, n
			}
			settled++
		}
		busy := memoryInUse()
		goroutines := runtime.NumGoroutine()
		mu.Unlock()
		running.Wait()
		b.ReportMetric((idle-before)/2/1e6, "idle-MB/VM")
		b.ReportMetric((busy-idle)/calls/1e3, "KB/call")
		b.ReportMetric(float64(goroutines)/calls, "goroutines/call")
	}
}
