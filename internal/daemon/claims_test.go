package daemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/daemon"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
)

const homeRegionDocument = `
regions: [{name: ost, store: true}, {name: west}]
failure_domains: [{name: ost-graz, region: ost}, {name: west-bern, region: west}]
services:
  - name: orders
    slots: 4
    targets: [{name: or-01, address: "ADDRESS", failure_domain: west-bern}]
rules:
  routes: [{name: order, path_prefix: /order, service: orders, non_idempotent: true, home_regions: [west]}]
`

// Guards against a request bound to home regions that runs a second time when it is
// repeated at another VM, before and after a planned stop of the VM that keeps its
// claim. Also guards against writing any part of such a request to the store,
// which is not in a home region.
func TestBoundClaims(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	store, err := standin.Listen(ctx, "127.0.0.1:0", 1)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = store.Stop(ctx) })
	runs := make(chan string, 100)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs <- r.Header.Get("Idempotency-Key")
		w.WriteHeader(http.StatusCreated)
	}))
	t.Cleanup(target.Close)

	vms := make([]*daemon.Daemon, 2)
	for i := range vms {
		s, err := settings.Parse([]string{
			"--id", []string{"vm-0", "vm-1"}[i], "--region", "west", "--failure-domain", "west-bern",
			"--caller-listen", freePort(t), "--operator-listen", freePort(t), "--sibling-listen", freePort(t),
			"--platform", "http://" + store.Address(), "--drain-lead", "1ms",
		}, io.Discard)
		g.Expect(err).NotTo(HaveOccurred())
		vms[i], err = daemon.Start(ctx, s, daemon.WithLog(io.Discard))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = vms[i].Stop(ctx) })
	}
	text := strings.Replace(homeRegionDocument, "ADDRESS", strings.TrimPrefix(target.URL, "http://"), 1)
	put, _ := http.NewRequest(http.MethodPut, "http://"+vms[0].OperatorAddress()+"/v1/config?base=0", strings.NewReader(text))
	put.Header.Set("Content-Type", "application/yaml")
	resp, err := http.DefaultClient.Do(put)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))

	order := func(d *daemon.Daemon, key string) (status int, reason string) {
		req, _ := http.NewRequest(http.MethodPost, "http://"+d.CallerAddress()+"/order/secret-path", strings.NewReader("secret-body"))
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Goldcresthinge-Tenant", "secret-tenant")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Goldcresthinge-Reason")
	}
	keys := []string{"secret-key-0", "secret-key-1", "secret-key-2", "secret-key-3", "secret-key-4", "secret-key-5"}
	for i, key := range keys {
		g.Eventually(func() int { status, _ := order(vms[i%2], key); return status }, "30s", "100ms").Should(Equal(http.StatusCreated))
	}
	expectDuplicates := func(d *daemon.Daemon) {
		for _, key := range keys {
			status, reason := order(d, key)
			g.Expect([]any{status, reason}).To(Equal([]any{http.StatusConflict, "duplicate"}), key)
		}
	}
	expectDuplicates(vms[0])
	expectDuplicates(vms[1])
	stopCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	g.Expect(vms[0].Stop(stopCtx)).To(Succeed())
	g.Eventually(func() string { _, reason := order(vms[1], keys[0]); return reason }, "10s", "100ms").Should(Equal("duplicate"))
	expectDuplicates(vms[1])
	g.Expect(runs).To(HaveLen(len(keys)), "each request ran once")

	partitionsAssigned := false
	for _, w := range store.Writes() {
		for _, op := range w.Ops {
			row := op.Key + "=" + string(op.Value)
			partitionsAssigned = partitionsAssigned || strings.Contains(row, "~claims-00")
			g.Expect(row).NotTo(ContainSubstring("secret"))
			g.Expect(row).NotTo(HavePrefix(claim.RowPrefix))
			for _, key := range keys {
				sum := claim.Key{Tenant: "secret-tenant", Route: "order", Key: key}.Digest()
				plain := sha256.Sum256([]byte(key))
				g.Expect(row).NotTo(Or(ContainSubstring(string(sum[:])), ContainSubstring(hex.EncodeToString(sum[:])),
					ContainSubstring(string(plain[:]))))
			}
		}
	}
	g.Expect(partitionsAssigned).To(BeTrue(), "the partitions are assigned in the store")
}

func freePort(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
