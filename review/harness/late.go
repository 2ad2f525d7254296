package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

func init() { cases["late"] = late }

const (
	lateConns = 4
	// lateFirstWork and lateSecondWork are the times for which a server works on the two requests
	// of a connection.
	lateFirstWork  = 2350 * time.Millisecond
	lateSecondWork = 2600 * time.Millisecond
	// lateStop is the time from the first requests to the SIGTERM.
	lateStop = 100 * time.Millisecond
	// lateSend is the time from the SIGTERM to the second requests.
	lateSend     = 3100 * time.Millisecond
	lateBudgetMs = 4000
)

// late sends one unsafe request after another on kept connections. Under the disruption, the
// process gets SIGTERM while servers are at work on the first ones.
func late(w *world) error {
	var mu sync.Mutex
	begun := map[string]bool{}
	for i := range 4 {
		s := &server{id: fmt.Sprintf("s%d", i), service: "order", zone: "east-a", slots: 2}
		s.handle = func(x *exchange) error {
			if _, err := io.Copy(io.Discard, x.req.Body); err != nil {
				return err
			}
			mu.Lock()
			begun[x.id] = true
			mu.Unlock()
			w.rec.note("%s: begun at %s", x.id, s.id)
			work := lateFirstWork
			if strings.HasSuffix(x.id, "2") {
				work = lateSecondWork
			}
			time.Sleep(work)
			err := x.write(http.StatusOK, "order "+x.id, platform.HeaderRequestID, x.id, platform.HeaderStamp, x.stamp())
			w.rec.note("%s: answered by %s (%v)", x.id, s.id, err)
			return err
		}
		if err := w.startServer(s); err != nil {
			return err
		}
	}
	if err := w.configure(0, []route{{"order", "/order/", "unsafe", "order", lateBudgetMs, lateBudgetMs, 2}}, "order"); err != nil {
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
	stopAt := time.Now().Add(lateStop)
	var lost []string
	var callers sync.WaitGroup
	for c := range lateConns {
		callers.Go(func() {
			for _, id := range keepAlive(w.rec, n.callers(), fmt.Sprintf("%08x", c+1), stopAt.Add(lateSend)) {
				mu.Lock()
				if begun[id] {
					lost = append(lost, id)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if w.trouble {
		w.rec.note("SIGTERM to %s", n.name)
		if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	callers.Wait()
	if w.trouble {
		select {
		case <-n.ended:
		case <-time.After(time.Until(stopAt.Add(graceSeconds * time.Second))):
			return errors.New("the process did not end within its grace period")
		}
	}
	time.Sleep(time.Second)
	if len(lost) > 0 {
		return fmt.Errorf("%w: %d requests that servers were at work on got no answer of a server after SIGTERM: %v", errBroken, len(lost), lost)
	}
	return nil
}

// keepAlive sends a request, waits for its answer and, if the connection is to be kept, sends another
// at the given time. It returns the requests without the complete answer of a server.
func keepAlive(rec *recorder, address, prefix string, second time.Time) (missing []string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for _, id := range []string{prefix + "00000001", prefix + "00000002"} {
		if strings.HasSuffix(id, "2") {
			time.Sleep(time.Until(second))
		}
		_ = c.SetDeadline(time.Now().Add(lateBudgetMs * time.Millisecond))
		if _, err := fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			id, platformtest.Host, id, lateBudgetMs); err != nil {
			rec.note("%s: not sent: %v", id, err)
			return nil
		}
		rec.note("%s: sent", id)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			rec.note("%s: no answer: %v", id, err)
			return []string{id}
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		rec.note("%s: answer %d %q (%v), close: %v", id, resp.StatusCode, body, err, resp.Close)
		if err != nil || resp.Header.Get(platform.HeaderStamp) == "" {
			return []string{id}
		}
		if resp.Close {
			return nil
		}
	}
	return nil
}
