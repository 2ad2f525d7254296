package main

import (
	"fmt"
	"net/http"
	"time"
)

// incompleteEntry plays ROUTE: another writer overwrites the entry of a target with one that lacks
// version and warmup_left_ms and names another service. The target writes its own entry at each of its
// heartbeats as before.
func incompleteEntry(rec *record, root string, trouble bool) ([]string, error) {
	const (
		first, period = 4.0, 10.0 // seconds of traffic
		rounds        = 3
		end           = first + rounds*period
	)
	s, err := newStage(rec, root, trouble, baseBounds, baseContracts)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.configure(configuration(7, []list{
		route("r-one", "/one/", "unsafe", serviceOne), route("r-two", "/two/", "unsafe", serviceTwo),
	}, nil))
	if err := s.start(); err != nil {
		return nil, err
	}
	y := s.targets[len(s.targets)-1]
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range rounds {
			s.until(first + float64(i)*period)
			if !trouble {
				continue
			}
			s.store.put("servers", y.id, map[string]any{
				"address": y.address, "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": serviceOne, "zone": y.zone, "slots": y.slots},
				"status": map[string]any{"state": "ready", "sequence": 1},
			})
			rec.printf("another writer overwrites the entry of target %s of service %s: service %s, without version and warmup_left_ms",
				y.id, y.service, serviceOne)
		}
	}()
	s.traffic(100*time.Millisecond, end, func(m *machine, n int) {
		path := []string{"/one/", "/two/"}[n%2]
		s.callers.do(m, call{method: http.MethodPost, host: host, path: fmt.Sprintf("%s%d", path, n), body: []byte("body"), deadline: callTimeout})
	})
	<-written
	allowed := map[string]string{"/one/": serviceOne, "/two/": serviceTwo}
	runs := s.runsByID()
	var violations []string
	judged := 0
	for _, q := range s.callers.results() {
		for _, r := range runs[q.id] {
			judged++
			if want := allowed[q.path[:len("/one/")]]; r.service != want {
				violations = append(violations, fmt.Sprintf("ROUTE: %s %s, sent to %s at %.1f s, ran at target %s of service %s; answered %d",
					q.method, q.path, q.machine, q.at.Sub(s.origin).Seconds(), r.target, r.service, q.status))
			}
		}
	}
	rec.printf("judged %d runs", judged)
	if judged == 0 {
		return nil, fmt.Errorf("no run to judge")
	}
	return violations, nil
}
