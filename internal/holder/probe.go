package holder

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
	"goldcresthinge.example/goldcresthinge/internal/probe"
)

const probeTimeout = time.Second

// loadReport is the body of a target's answer to GET /load.
type loadReport struct {
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	State    string `json:"state"`
}

// Prober sends the load probes of the pools of a Holder.
type Prober struct {
	holder *Holder
	client *http.Client
}

// NewProber returns a prober. Each probe uses its own connection, so it never
// waits behind a call.
func NewProber(h *Holder) *Prober {
	return &Prober{
		holder: h,
		client: &http.Client{
			Timeout: probeTimeout,
			Transport: &http.Transport{
				DisableKeepAlives:  true,
				DisableCompression: true,

				MaxResponseHeaderBytes: backend.DefaultMaxHeaderBytes,
				DialContext:            (&net.Dialer{Timeout: probeTimeout}).DialContext,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// DueProbe is a probe that has been charged to the budget of its pool.
type DueProbe struct {
	pool   *heldPool
	target inventory.Target
}

// DueProbes returns the probes that are due now, and charges them to the
// budgets of their pools. Probes are sent in the modes Valid and Full only, in
// which no other VM sends calls to the targets of the pool.
func (p *Prober) DueProbes() []DueProbe {
	now := p.holder.cfg.Clock.Now()
	mode := p.holder.cfg.Ownership.Mode(now)
	if mode != lease.ModeValid && mode != lease.ModeFull {
		return nil
	}
	snap := p.holder.cfg.Snapshot()
	var due []DueProbe
	for _, hp := range p.holder.heldPools() {
		if snap.OutOfService(hp.id.FailureDomain) {
			continue
		}
		hp.mu.Lock()
		target, ok := hp.state.NextProbe(now)
		hp.mu.Unlock()
		if ok {
			due = append(due, DueProbe{pool: hp, target: target})
		}
	}
	return due
}

// Probe sends one probe and applies its result.
func (p *Prober) Probe(ctx context.Context, d DueProbe) {
	result := p.fetchLoad(ctx, d.target.Address)
	p.holder.cfg.Scope.Counter("probes").Inc(1)
	d.pool.update(func(now time.Time) { d.pool.state.ProbeDone(now, d.target.Name, result) })
}

func (p *Prober) fetchLoad(ctx context.Context, address string) pool.ProbeResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return pool.ProbeResult{}
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return pool.ProbeResult{
			Refused: errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET),
		}
	}
	defer func() { _ = resp.Body.Close() }()
	var report loadReport
	err = call.CheckHeaderNames(resp.Header)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(io.LimitReader(resp.Body, probe.MaxBytes)); err == nil {
			err = json.Unmarshal(body, &report)
		}
	}
	result := pool.ProbeResult{
		OK:       err == nil && resp.StatusCode == http.StatusOK,
		Draining: report.State == "draining" || resp.Header.Get(outcome.HeaderLeaving) != "",
		Instance: resp.Header.Get(outcome.HeaderInstance),
	}
	if report.Slots > 0 {
		result.Utilization = float64(report.InFlight) / float64(report.Slots)
	}
	return result
}
