package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
)

func init() { cases["cold"] = cold }

const (
	coldWork      = 20 * time.Millisecond
	coldCallers   = 5 // at each process
	coldPause     = 60 * time.Millisecond
	coldPerSecond = 2.7
	// coldBound is coldPerSecond x warmup_overshoot + warmup_slack of the settings.
	coldBound    = coldPerSecond*1.5 + 5
	coldFor      = 3 * time.Second
	coldEvacuate = 4 * time.Second
	coldTurns    = 10
	coldZone     = "east-b"
	coldBudgetMs = 1500
)

// coldServer is a server that tells its load and crashes if it gets too many requests while it is
// cold.
type coldServer struct {
	*server
	mu       sync.Mutex
	busy     int
	until    time.Time   // end of the cold time
	arrivals []time.Time // while cold
	crashed  bool
	lost     []string // requests that it worked on when it crashed
	running  map[string]bool
}

var errCrashed = errors.New("the server has crashed")

func (s *coldServer) load() string { return fmt.Sprintf("%d,0,%d,100", s.busy, s.slots) }

func (s *coldServer) turnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until, s.arrivals = time.Now().Add(coldFor), nil
}

func (s *coldServer) health(x *exchange) error {
	s.mu.Lock()
	headers := []string{platform.HeaderInstance, s.id, platform.HeaderLoad, s.load()}
	if left := time.Until(s.until); left > 0 {
		headers = append(headers, platform.HeaderColdMs, strconv.FormatInt(left.Milliseconds(), 10))
	}
	s.mu.Unlock()
	return x.write(http.StatusOK, "", headers...)
}

func (s *coldServer) handle(x *exchange) error {
	if _, err := io.Copy(io.Discard, x.req.Body); err != nil {
		return err
	}
	s.mu.Lock()
	now := time.Now()
	if now.Before(s.until) {
		s.arrivals = append(s.arrivals, now)
		if !s.crashed && float64(s.most()) > coldBound {
			s.crashed = true
			for id := range s.running {
				s.lost = append(s.lost, id)
			}
			s.w.rec.note("%s has been cold for %d ms and gets its request %d within a second; it crashes with %d requests at work",
				s.id, (coldFor - s.until.Sub(now)).Milliseconds(), s.most(), len(s.running))
			go s.crash()
		}
	}
	if s.crashed {
		s.mu.Unlock()
		return errCrashed
	}
	if s.busy >= s.slots {
		headers := []string{platform.HeaderRequestID, x.id, platform.HeaderNotRun, "1", platform.HeaderLoad, s.load()}
		s.mu.Unlock()
		return x.write(http.StatusServiceUnavailable, "", headers...)
	}
	s.busy++
	s.running[x.id] = true
	s.mu.Unlock()
	time.Sleep(coldWork)
	s.mu.Lock()
	s.busy--
	delete(s.running, x.id)
	load := s.load()
	crashed := s.crashed
	s.mu.Unlock()
	if crashed {
		return errCrashed
	}
	return x.write(http.StatusOK, "order "+x.id, platform.HeaderRequestID, x.id, platform.HeaderStamp, x.stamp(), platform.HeaderLoad, load)
}

// most returns the largest number of requests within a second while the server was cold.
func (s *coldServer) most() int {
	most, from := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// cold sends steady traffic. Under the disruption, a zone is emptied and taken back, and its servers
// are cold at that moment.
func cold(w *world) error {
	var servers []*coldServer
	for i, zone := range []string{"east-a", "east-a", "east-a", "east-a", "east-a", "east-a", "east-a", "east-a", coldZone, coldZone, coldZone} {
		s := &coldServer{running: map[string]bool{}}
		s.server = &server{id: fmt.Sprintf("s%d", i), service: "order", zone: zone, slots: 2, handle: s.handle, health: s.health}
		if err := w.startServer(s.server); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := w.configure(coldPerSecond, []route{{"order", "/order/", "unsafe", "order", coldBudgetMs, 600, 2}}, "order"); err != nil {
		return err
	}
	for i, zone := range []string{"east-a", "east-a", "east-a", coldZone, coldZone, coldZone, coldZone, coldZone} {
		if _, err := w.startNode(fmt.Sprintf("front-%d", i+1), zone); err != nil {
			return err
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	statuses := map[string]int{}
	answers := map[string]string{}
	var callers sync.WaitGroup
	for c := range coldCallers * len(w.nodes) {
		callers.Go(func() {
			for i := 1; w.ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%08x%08x", c+1, i)
				status := call(w.nodes[c%len(w.nodes)].callers(), http.MethodPost, "/order/"+id, id, coldBudgetMs)
				mu.Lock()
				statuses[status]++
				answers[id] = status
				mu.Unlock()
				time.Sleep(coldPause)
			}
		})
	}
	broken := 0
	for range coldTurns {
		time.Sleep(time.Second)
		if w.trouble {
			w.rec.note("%s is emptied", coldZone)
			if err := w.store.Put(platform.TableOperator, "evacuate/"+coldZone, struct{}{}); err != nil {
				return err
			}
		}
		time.Sleep(coldEvacuate)
		if w.trouble {
			w.rec.note("%s is taken back; its servers are cold", coldZone)
			for _, s := range servers {
				if s.zone == coldZone {
					s.turnCold()
				}
			}
			w.store.Remove(platform.TableOperator, "evacuate/"+coldZone)
		}
		time.Sleep(coldFor + time.Second)
		for _, s := range servers {
			s.mu.Lock()
			if most := s.most(); most > 0 {
				w.rec.note("%s got at most %d requests within a second while it was cold; allowed are %.2f", s.id, most, coldBound)
				if float64(most) > coldBound {
					broken++
				}
			}
			s.arrivals = nil
			s.mu.Unlock()
		}
		if broken > 0 {
			break
		}
	}
	w.stop()
	callers.Wait()
	w.rec.note("answers: %v", statuses)
	for _, s := range servers {
		for _, id := range s.lost {
			w.rec.note("%s: at work at %s when it crashed; answer %s", id, s.id, answers[id])
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d cold servers got more than %.2f requests within a second", errBroken, broken, coldBound)
	}
	return nil
}
