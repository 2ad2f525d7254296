package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcresthinge.example/goldcresthinge/internal/daemon"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/settings"
)

const benchDocument = `
regions: [{name: ost, store: true}]
failure_domains: [{name: ost-graz, region: ost}]
services:
  - name: kreisplan
    slots: 64
    cold_rate: 100000
    targets: [{name: kp-01, address: %q, failure_domain: ost-graz}]
rules:
  routes: [{name: plan, path_prefix: /plan, service: kreisplan}]
`

// startPair starts two entry VMs with one pool and warms up its target. It returns
// the caller addresses of the holder of the pool and of the other VM.
func startPair(b *testing.B, target string) (holder, nonHolder string) {
	b.Helper()
	holderVM, nonHolderVM := startVMs(b, target, "1ms")
	holder, nonHolder = holderVM.CallerAddress(), nonHolderVM.CallerAddress()
	warmUp(b, holder, nonHolder)
	return holder, nonHolder
}

// startVMs starts two entry VMs with one pool. It returns the holder of the pool and the other
// VM.
func startVMs(b testing.TB, target, drainLead string) (holder, nonHolder *daemon.Daemon) {
	b.Helper()
	ctx := context.Background()
	platform, err := standin.Listen(ctx, "127.0.0.1:0", 1)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = platform.Stop(ctx) })
	var vms []*daemon.Daemon
	for i := range 2 {
		s, err := settings.Parse([]string{
			"--id", fmt.Sprintf("vm-%d", i), "--region", "ost", "--failure-domain", "ost-graz",
			"--caller-listen", freeAddress(b), "--operator-listen", freeAddress(b), "--sibling-listen", freeAddress(b),
			"--platform", "http://" + platform.Address(), "--drain-lead", drainLead,
		}, io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		d, err := daemon.Start(ctx, s, daemon.WithLog(io.Discard))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			canceled, cancel := context.WithCancel(ctx)
			cancel()
			_ = d.Stop(canceled)
		})
		vms = append(vms, d)
	}
	put, _ := http.NewRequest(http.MethodPut, "http://"+vms[0].OperatorAddress()+"/v1/config?base=0",
		strings.NewReader(fmt.Sprintf(benchDocument, target)))
	put.Header.Set("Content-Type", "application/yaml")
	resp, err := http.DefaultClient.Do(put)
	if err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("PUT /v1/config: %s", resp.Status)
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i, d := range vms {
			if len(d.Targets(time.Now())) > 0 && d.Holders(time.Now())[0].Holder != "" && vms[1-i].Holders(time.Now())[0].Holder != "" {
				time.Sleep(300 * time.Millisecond) // until the candidate lists are refreshed
				return d, vms[1-i]
			}
		}
	}
	b.Fatal("the pool has no holder with targets that both VMs know, after 30 s")
	return nil, nil
}

// warmUp sends 3000 calls to each address, enough to end the cold start of the
// target.
func warmUp(b *testing.B, addresses ...string) {
	b.Helper()
	client := newClient()
	defer client.CloseIdleConnections()
	for range 3000 {
		for _, a := range addresses {
			get(b, client, a)
		}
	}
}

func freeAddress(b testing.TB) string {
	b.Helper()
	l := httptest.NewUnstartedServer(nil).Listener
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// get sends one call and marks the benchmark as failed unless the status is 200.
func get(b *testing.B, client *http.Client, address string) {
	resp, err := client.Get("http://" + address + "/plan/42")
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %s: %s", resp.Status, resp.Header.Get("Goldcresthinge-Reason"))
	}
}

// cpuTime returns the user and system time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPath measures a call sent directly to the target, through the VM that
// holds the pool, and through another VM, which forwards it once. All three run one
// after another in the same process, so that noise of the machine affects them
// alike. The processor time is that of the whole process: caller, VMs and target.
func BenchmarkPath(b *testing.B) {
	body := strings.Repeat("x", 1500)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Goldcresthinge-Instance", "i1")
		_, _ = io.WriteString(w, body)
	}))
	b.Cleanup(target.Close)
	direct := target.Listener.Addr().String()
	holder, nonHolder := startPair(b, direct)
	for _, callers := range []int{1, 16} {
		for _, path := range []struct{ name, address string }{{"direct", direct}, {"holder", holder}, {"forward", nonHolder}} {
			b.Run(fmt.Sprintf("%s/callers=%d", path.name, callers), func(b *testing.B) { measure(b, path.address, callers) })
		}
	}
}

// measure distributes b.N calls among concurrent callers and reports processor
// time per call and the 50th and 99th percentile of the latency.
func measure(b *testing.B, address string, callers int) {
	client := newClient()
	defer client.CloseIdleConnections()
	merged := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime()
	for i := range callers {
		n := b.N / callers
		if i < b.N%callers {
			n++
		}
		wg.Go(func() {
			h := hdrhistogram.New(1, 10_000_000, 3)
			for range n {
				begin := time.Now()
				get(b, client, address)
				_ = h.RecordValue(time.Since(begin).Microseconds())
			}
			mu.Lock()
			merged.Merge(h)
			mu.Unlock()
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(merged.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(merged.ValueAtQuantile(99)), "p99-us")
}
