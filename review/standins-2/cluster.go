package main

import (
	"fmt"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// service is the service to which the routes /lookup/ and /order/ lead, and otherService that of the
// route /other/.
const (
	service      = "svc"
	otherService = "other"
)

// regions are the regions by zone.
var regions = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}

// zones are the zones in a fixed order.
var zones = []string{"east-a", "east-b", "west-a", "west-b"}

const (
	maxTime     = 2 * time.Minute // of a run
	heartbeat   = 1500 * time.Millisecond
	serviceTime = 100 * time.Millisecond
	slots       = 2
	coldRate    = 6.5 // warmup_per_s
)

// target is a backend server that writes its row at each heartbeat.
type target struct {
	*platformtest.Server
	run  *run
	born int64

	mu       sync.Mutex
	sequence int
	draining bool
}

// startTarget starts a backend server behind a link and writes its row.
func (r *run) startTarget(id, zone, service string) (*target, error) {
	t := &target{
		Server: &platformtest.Server{
			ID: id, Service: service, FailureDomain: zone, Version: "v1", Slots: slots, ServiceTime: r.work, Record: r.arrived,
		},
		run: r, born: time.Now().UnixMilli(),
	}
	if err := t.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.onClose(t.Close)
	address, err := r.startLink(t.ListenAddress())
	if err != nil {
		return nil, err
	}
	t.Address = address
	t.write(t.row(), "registration")
	return t, nil
}

// row returns the row that the target writes next.
func (t *target) row() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	return map[string]any{
		"address": t.Address, "born": t.born,
		"info":   map[string]any{"service": t.Service, "zone": t.FailureDomain, "slots": slots, "version": t.Version},
		"status": map[string]any{"state": state, "sequence": t.sequence, "warmup_left_ms": 0},
	}
}

// write writes a row of the target to the store.
func (t *target) write(row map[string]any, reason string) {
	if err := t.run.store.Put(platform.TableServers, t.ID, row); err != nil {
		t.run.notef("row of %s: %v", t.ID, err)
		return
	}
	status, _ := row["status"].(map[string]any)
	t.run.notef("row of %s is %v, sequence %v: %s", t.ID, status["state"], status["sequence"], reason)
}

// leave makes the target tell in its answers and health checks that it leaves.
func (t *target) leave() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.SetLeaving(true)
}

// beatUntil writes the row of the target at each heartbeat until a time. next is the time of the
// first heartbeat; the result is that of the first one after the end.
func (t *target) beatUntil(next, end time.Time) time.Time {
	for ; next.Before(end); next = next.Add(heartbeat) {
		time.Sleep(time.Until(next))
		t.write(t.row(), "heartbeat")
	}
	time.Sleep(time.Until(end))
	return next
}

// startCluster writes a configuration, and starts a backend server and vmsPerZone entry VMs in each
// zone. It returns once the VMs are ready.
func (r *run) startCluster(vmsPerZone int) error {
	if err := r.configure(); err != nil {
		return err
	}
	for _, zone := range zones {
		t, err := r.startTarget("t-"+zone, zone, service)
		if err != nil {
			return err
		}
		go t.beatUntil(time.Now().Add(heartbeat), time.Now().Add(maxTime))
	}
	for _, zone := range zones {
		for i := range vmsPerZone {
			if err := r.startVM(fmt.Sprintf("front-%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	for _, v := range r.vms {
		if err := v.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) configure() error {
	r.store.Limits = platformtest.CallerLimits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000}
	return r.store.Configure(1, []platformtest.Route{
		{Name: "lookup", Prefix: "/lookup/", Service: service, Idempotent: true, MaxAttempts: 2, TimeoutMs: 1500},
		{Name: "order", Prefix: "/order/", Service: service, MaxAttempts: 2, TimeoutMs: 1500},
		{Name: "other", Prefix: "/other/", Service: otherService, MaxAttempts: 2, TimeoutMs: 1500},
	}, []platformtest.Service{{Name: service, ColdPerS: r.coldPerSecond, Connections: 220}, {Name: otherService, ColdPerS: r.coldPerSecond, Connections: 220}})
}
