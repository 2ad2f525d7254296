package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a planned stop that cuts a request which net/http has read together with the one
// before it, while a target runs it.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/plan/2" {
			close(started)
			<-release
		}
		w.Header().Set("Goldcresthinge-Instance", "i1")
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	t.Cleanup(target.Close)
	holder, _ := startVMs(t, target.Listener.Addr().String(), "1ms")
	address := holder.CallerAddress()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	request := "GET /plan/1 HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(c, request+strings.Replace(request, "/1", "/2", 1)); err != nil {
		t.Fatal(err)
	}
	<-started
	go func() { _ = holder.Stop(context.Background()) }()
	// When the VM accepts no connections any more, it closes those that it takes for idle.
	for {
		probe, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	time.Sleep(200 * time.Millisecond)
	close(release)
	r := bufio.NewReader(c)
	for _, want := range []string{"/plan/1", "/plan/2"} {
		resp, err := http.ReadResponse(r, nil) //nolint:bodyclose // read to its end
		if err != nil {
			t.Fatalf("no answer to %s: %v", want, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
			t.Errorf("answer to %s: status %s, body %q, error %v", want, resp.Status, body, err)
		}
		if resp.Close != (want == "/plan/2") {
			t.Errorf("answer to %s: connection closes: %v", want, resp.Close)
		}
	}
}

// Guards against a connection that stays open after a planned stop has begun, because its request
// arrived before: the caller sends the next request while the VM closes the connection.
func TestStopClosesConnectionsOfEarlierRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		w.Header().Set("Goldcresthinge-Instance", "i1")
	}))
	t.Cleanup(target.Close)
	holder, _ := startVMs(t, target.Listener.Addr().String(), "10m")
	responses := make(chan *http.Response, 1)
	go func() {
		defer close(responses)
		resp, err := http.Get("http://" + holder.CallerAddress() + "/plan/1")
		if err != nil {
			t.Error(err)
			return
		}
		_ = resp.Body.Close()
		responses <- resp
	}()
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = holder.Stop(ctx) }()
	for !holder.Status(time.Now()).Draining {
		time.Sleep(time.Millisecond)
	}
	close(release)
	resp, ok := <-responses
	if ok && (resp.StatusCode != http.StatusOK || !resp.Close) {
		t.Errorf("status %s, connection closes: %v; want 200 and true", resp.Status, resp.Close)
	}
}
