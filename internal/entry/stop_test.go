package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// Guards against a planned stop that passes on requests that arrive late and breaks them off: a
// caller cannot know what became of them. Their servers take longer than usual.
func TestPlannedStopBreaksOffNoLateRequest(t *testing.T) {
	d := newDeployment(t)
	for range 50 {
		if status := d.status(d.vms[0].callerAddress, "/not-idempotent/x"); status != http.StatusOK {
			t.Fatalf("status %d before the stop, want 200", status)
		}
	}
	started := time.Now()
	d.vms[0].entry.Drain()
	time.Sleep(time.Until(started.Add(2200 * time.Millisecond)))
	var callers sync.WaitGroup
	for i := range 6 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", d.vms[0].callerAddress)
		if err != nil {
			t.Logf("no connection %v after the start of the stop: %v", time.Since(started), err)
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
		callers.Go(func() {
			time.Sleep(time.Until(started.Add(time.Duration(2850+50*i) * time.Millisecond)))
			id := fmt.Sprint("late-", i)
			_, _ = fmt.Fprintf(conn, "POST /not-idempotent/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", platformtest.Host, id)
			status, reason := 0, ""
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				status, reason = resp.StatusCode, string(body)
			}
			_, ran := d.runs.Load(id)
			t.Logf("request %s: status %d %q, passed on: %v", id, status, reason, ran)
			if ran && status != http.StatusOK {
				t.Errorf("request %s was passed on and broken off: status %d %q", id, status, reason)
			}
			if !ran && status != http.StatusServiceUnavailable && status != 0 {
				t.Errorf("request %s was not passed on: status %d %q, want 503 or a closed connection", id, status, reason)
			}
		})
	}
	time.Sleep(time.Until(started.Add(2750 * time.Millisecond)))
	for _, s := range d.servers {
		s.SetFaults(platformtest.ServerFaults{Delay: 3 * time.Second})
	}
	callers.Wait()
	<-d.vms[0].entry.Done()
}
