package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

func init() { cases["stop"] = stop }

const (
	stopConns = 4
	// stopWork is how long a server works on a request.
	stopWork = 1500 * time.Millisecond
	// stopBudgetMs is the time budget of a request and the timeout of its route.
	stopBudgetMs = 5000
	// stopDelay is the time from the requests to the SIGTERM.
	stopDelay = 200 * time.Millisecond
)

// stop sends two safe requests at once on each connection. Under the disruption, the process gets
// SIGTERM while the servers are at work on the first of them.
func stop(w *world) error {
	var mu sync.Mutex
	begun, done := map[string]time.Time{}, map[string]time.Time{}
	for i := range 4 {
		s := &server{id: fmt.Sprintf("s%d", i), service: "view", zone: "east-a", slots: 2}
		s.handle = func(x *exchange) error {
			mu.Lock()
			begun[x.id] = time.Now()
			mu.Unlock()
			w.rec.note("%s: begun at %s", x.id, s.id)
			time.Sleep(stopWork)
			err := x.write(http.StatusOK, "view of "+x.id, platform.HeaderRequestID, x.id, platform.HeaderStamp, x.stamp())
			mu.Lock()
			done[x.id] = time.Now()
			mu.Unlock()
			w.rec.note("%s: answered by %s (%v)", x.id, s.id, err)
			return err
		}
		if err := w.startServer(s); err != nil {
			return err
		}
	}
	if err := w.configure(0, []route{{"view", "/view/", "safe", "view", stopBudgetMs, stopBudgetMs, 2}}, "view"); err != nil {
		return err
	}
	n, err := w.startNode("front-1", "east-a")
	if err != nil {
		return err
	}
	if _, err := w.startNode("front-2", "east-b"); err != nil {
		return err
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var lost []string
	var callers sync.WaitGroup
	sent := time.Now()
	for c := range stopConns {
		callers.Go(func() {
			first, second := fmt.Sprintf("%08x%08x", c+1, 1), fmt.Sprintf("%08x%08x", c+1, 2)
			missing, err := pipeline(w.rec, n.callers(), first, second)
			for _, id := range missing {
				mu.Lock()
				at, ran := begun[id]
				mu.Unlock()
				w.rec.note("%s: no answer: %v; passed on to a server: %v", id, err, ran)
				if ran && time.Since(at) < stopWork+time.Second {
					mu.Lock()
					lost = append(lost, id)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(stopDelay)
	var stopped time.Time
	if w.trouble {
		stopped = time.Now()
		w.rec.note("SIGTERM to %s, %d ms after the requests were sent", n.name, time.Since(sent).Milliseconds())
		if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	callers.Wait()
	if w.trouble {
		select {
		case <-n.ended:
		case <-time.After(time.Until(stopped.Add(graceSeconds * time.Second))):
			return errors.New("the process did not end within its grace period")
		}
	}
	time.Sleep(stopWork)
	if len(lost) > 0 {
		return fmt.Errorf("%w: %d requests that servers were at work on lost their connection after SIGTERM: %v", errBroken, len(lost), lost)
	}
	return nil
}

// pipeline sends two requests in one piece and returns those without a complete answer.
func pipeline(rec *recorder, address string, ids ...string) (missing []string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ids, err
	}
	defer func() { _ = c.Close() }()
	var out string
	for _, id := range ids {
		out += fmt.Sprintf("GET /view/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, platformtest.Host, id, stopBudgetMs)
	}
	_ = c.SetDeadline(time.Now().Add(stopBudgetMs * time.Millisecond))
	if _, err := io.WriteString(c, out); err != nil {
		return ids, err
	}
	in := bufio.NewReader(c)
	for len(ids) > 0 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return ids, err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return ids, err
		}
		rec.note("%s: answer %d %q, close: %v", ids[0], resp.StatusCode, body, resp.Close)
		ids = ids[1:]
		if resp.Close && len(ids) > 0 {
			return nil, nil // a caller sends these again: they were not read
		}
	}
	return nil, nil
}
