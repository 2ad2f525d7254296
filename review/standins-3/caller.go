package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a caller and its answer.
type sent struct {
	id, machine, method, path, key string
	at                             time.Time
	status                         int // 0: no answer
	stamp                          string
	body                           string
	err                            error
}

// call is what a caller sends.
type call struct {
	method, host, path, key string
	body                    []byte
	deadline                time.Duration
}

// callers sends requests to machines and keeps what became of them.
type callers struct {
	record *record
	prefix string
	next   atomic.Int64
	client *http.Client

	mu   sync.Mutex
	done []sent
}

func newCallers(rec *record, prefix string) *callers {
	return &callers{
		record: rec, prefix: prefix,
		// Each request has a connection of its own, so that net/http sends none twice.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// do sends a request to a machine and keeps its result.
func (c *callers) do(m *machine, q call) {
	id := fmt.Sprintf("%s%06d", c.prefix, c.next.Add(1))
	s := sent{id: id, machine: m.Name, method: q.method, path: q.path, key: q.key, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.Front+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err) // the paths are those of this program
	}
	req.Host = q.host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		req.Header.Set("Authorization", "Token "+q.key)
	}
	c.record.printf("sent %s to %s: %s %s key=%q", id, m.Name, q.method, q.path, q.key)
	resp, err := c.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.status, s.stamp, s.body = resp.StatusCode, resp.Header.Get("Response-Stamp"), string(body)
	}
	s.err = err
	c.record.printf("answered %s by %s: status=%d stamp=%q err=%v", id, m.Name, s.status, s.stamp, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = append(c.done, s)
}

// results returns what became of all requests so far.
func (c *callers) results() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.done...)
}
