package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
)

func init() { cases["shed"] = shed }

const (
	orderCallers = 8
	orderTime    = 20 * time.Second
	orderWork    = 60 * time.Millisecond
	orderPause   = 40 * time.Millisecond
	// copyEvery is the number of a faulty server's answers of which one is sent a second time.
	copyEvery = 50
	// copyDelay is the time from the next request on the connection to the second copy.
	copyDelay = 10 * time.Millisecond
)

// ledger counts how often each request has run.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]string // servers by request
	sent     int
	statuses map[string]int
}

// orderServer is a server whose service tells no load, so that a health check takes a slot or is
// refused like any other request.
type orderServer struct {
	*server
	w       *world
	ledger  *ledger
	faulty  bool
	mu      sync.Mutex
	busy    int
	answers int
	until   time.Time      // end of the disruption; zero before it begins
	nextAt  int            // number of answers from which on one may come a second time
	copies  map[any]string // by connection: the answer that is to come a second time
	copied  int            // second copies that were sent
}

// enter takes a slot and reports whether there was one.
func (o *orderServer) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy >= o.slots {
		return false
	}
	o.busy++
	return true
}

func (o *orderServer) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy--
}

// refuse answers that the request was not run. A faulty server keeps one in copyEvery of its
// answers for a second copy, which it sends once it has read the next request on the connection.
func (o *orderServer) refuse(x *exchange, headers ...string) error {
	headers = append(headers, platform.HeaderNotRun, "1")
	o.mu.Lock()
	o.answers++
	if o.faulty && time.Now().Before(o.until) && o.answers >= o.nextAt && x.id == "" {
		o.nextAt = o.answers + copyEvery
		o.copies[x.conn] = response(http.StatusServiceUnavailable, "", headers...)
		o.w.rec.note("%s: health check refused; this answer will come a second time", o.id)
	}
	o.mu.Unlock()
	return x.write(http.StatusServiceUnavailable, "", headers...)
}

func (o *orderServer) health(x *exchange) error {
	if !o.enter() {
		return o.refuse(x)
	}
	defer o.leave()
	o.mu.Lock()
	o.answers++
	o.mu.Unlock()
	return x.write(http.StatusOK, "", platform.HeaderInstance, o.id)
}

func (o *orderServer) handle(x *exchange) error {
	if _, err := io.Copy(io.Discard, x.req.Body); err != nil {
		return err
	}
	o.mu.Lock()
	late, isLate := o.copies[x.conn]
	delete(o.copies, x.conn)
	isLate = isLate && time.Now().Before(o.until)
	if isLate {
		o.copied++
	}
	o.mu.Unlock()
	if !o.enter() {
		if isLate {
			if _, err := io.WriteString(x.conn, late); err != nil {
				return err
			}
		}
		return o.refuse(x, platform.HeaderRequestID, x.id)
	}
	defer o.leave()
	o.ledger.mu.Lock()
	o.ledger.runs[x.id] = append(o.ledger.runs[x.id], o.id)
	o.ledger.mu.Unlock()
	if isLate {
		time.Sleep(copyDelay)
		_, err := io.WriteString(x.conn, late)
		o.w.rec.note("%s: runs at %s, which sends the second copy of the earlier answer (%v)", x.id, o.id, err)
	}
	time.Sleep(orderWork)
	o.mu.Lock()
	o.answers++
	o.mu.Unlock()
	return x.write(http.StatusOK, "ordered "+x.id, platform.HeaderRequestID, x.id, platform.HeaderStamp, x.stamp())
}

// shed sends unsafe requests. Under the disruption, one of three servers sends some of its answers
// a second time, late.
func shed(w *world) error {
	l := &ledger{runs: map[string][]string{}, statuses: map[string]int{}}
	var servers []*orderServer
	for i := range 3 {
		o := &orderServer{w: w, ledger: l, faulty: w.trouble && i == 0, copies: map[any]string{}, nextAt: copyEvery}
		o.server = &server{id: fmt.Sprintf("s%d", i), service: "order", zone: "east-a", slots: 2, handle: o.handle, health: o.health}
		if err := w.startServer(o.server); err != nil {
			return err
		}
		servers = append(servers, o)
	}
	if err := w.configure(0, []route{{"order", "/order/", "unsafe", "order", 2000, 800, 2}}, "order"); err != nil {
		return err
	}
	var nodes []*node
	for i := range 2 {
		n, err := w.startNode(fmt.Sprintf("front-%d", i+1), "east-a")
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for _, o := range servers {
		o.mu.Lock()
		o.until, o.nextAt = time.Now().Add(garbleFor), o.answers+copyEvery
		o.mu.Unlock()
	}
	end := time.Now().Add(orderTime)
	var callers sync.WaitGroup
	for c := range orderCallers {
		callers.Go(func() {
			for i := 1; time.Now().Before(end) && !l.twice(); i++ {
				id := fmt.Sprintf("%08x%08x", c+1, i)
				status := call(nodes[c%len(nodes)].callers(), http.MethodPost, "/order/"+id, id, 2000)
				l.mu.Lock()
				l.sent++
				l.statuses[status]++
				if runs := l.runs[id]; len(runs) > 1 || (len(runs) > 0 && status == "503") {
					w.rec.note("%s: answer %s; it has run at %v", id, status, runs)
				}
				l.mu.Unlock()
				time.Sleep(orderPause)
			}
		})
	}
	callers.Wait()
	time.Sleep(2 * orderWork)
	l.mu.Lock()
	defer l.mu.Unlock()
	doubled := 0
	for _, runs := range l.runs {
		if len(runs) > 1 {
			doubled++
		}
	}
	w.rec.note("%d requests, answers %v; %d of %d answers of %s came twice; %d requests have run twice",
		l.sent, l.statuses, servers[0].copied, servers[0].answers, servers[0].id, doubled)
	if doubled > 0 {
		return fmt.Errorf("%w: %d requests that are not idempotent ran more than once", errBroken, doubled)
	}
	if w.trouble && servers[0].copied == 0 {
		return errors.New("no answer came twice")
	}
	return nil
}

func (l *ledger) twice() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		if len(runs) > 1 {
			return true
		}
	}
	return false
}
