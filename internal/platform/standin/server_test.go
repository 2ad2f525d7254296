package standin_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/quartz"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
)

var insert = []platform.Op{{Key: "k", Value: []byte("x")}}

// Guards against a reused version: a transaction whose condition names the version
// of a deleted row would then change the new row with the same key.
func TestVersionsAreNotReused(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	c := standin.NewServer(quartz.NewMock(t), 1).Client("vm-1")
	first, err := c.Commit(ctx, insert)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Commit(ctx, []platform.Op{{Key: "k", Delete: true, IfVersion: first[0].Version}})
	g.Expect(err).NotTo(HaveOccurred())
	second, err := c.Commit(ctx, insert)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second[0].Version).To(BeNumerically(">", first[0].Version))
}

// Guards against a delayed write that takes effect before its delay has passed,
// or that has no effect because its caller has given up.
func TestSlowWriteTakesEffectAfterCallerGaveUp(t *testing.T) {
	g := NewWithT(t)
	clock := quartz.NewMock(t)
	trap := clock.Trap().AfterFunc("standin")
	s := standin.NewServer(clock, 1)
	s.SetFaults(standin.Fault{DelayMs: 100})
	ctx, cancel := context.WithCancel(context.Background())
	commitErr := make(chan error)
	go func() {
		_, err := s.Client("vm-1").Commit(ctx, insert)
		commitErr <- err
	}()
	trap.MustWait(context.Background()).MustRelease(context.Background())
	trap.Close()
	cancel()
	g.Expect(<-commitErr).To(MatchError(platform.ErrUncertain))
	g.Expect(s.Rows("")).To(BeEmpty())
	clock.Advance(100 * time.Millisecond).MustWait(context.Background())
	g.Expect(s.Rows("")).To(HaveLen(1))
	g.Expect(s.Writes()).To(HaveLen(1))
}

// Guards against a list of VMs that is more recent than VMListLagMs allows.
func TestVMListLags(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	clock := quartz.NewMock(t)
	s := standin.NewServer(clock, 1)
	s.SetConditions(standin.Conditions{VMListLagMs: 5000})
	s.SetVMs(platform.VMEntry{Name: "vm-1"})
	g.Expect(s.Client("x").VMs().List(ctx)).To(BeEmpty())
	clock.Advance(5 * time.Second)
	g.Expect(s.Client("x").VMs().List(ctx)).To(HaveLen(1))
}

// Guards against a table that accepts more transactions than WritesPerS.
func TestWriteLimit(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	clock := quartz.NewMock(t)
	s := standin.NewServer(clock, 1)
	s.SetConditions(standin.Conditions{WritesPerS: 0.5, MaxBacklogMs: 1})
	c := s.Client("vm-1")
	_, err := c.Commit(ctx, insert)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Commit(ctx, []platform.Op{{Key: "l"}})
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	clock.Advance(2 * time.Second)
	_, err = c.Commit(ctx, []platform.Op{{Key: "l"}})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against faults that cannot be set over HTTP, and against misspelled
// fields that are ignored.
func TestFaultsOverHTTP(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewServer(quartz.NewMock(t), 1)
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader([]byte(body)))
		r.Header.Set(wire.HeaderVM, "vm-1")
		s.ServeHTTP(w, r)
		return w.Code
	}
	commit := `{"ops":[{"key":"k"}]}`
	g.Expect(post(standin.PathFaults, `{"faults":[{"down":true,"callers":["vm-1"],"count":1}]}`)).To(Equal(200))
	g.Expect(post(wire.PathCommit, commit)).To(Equal(503))
	g.Expect(post(wire.PathCommit, commit)).To(Equal(200))
	// The row exists now, and if_version 0 requires that it does not.
	g.Expect(post(wire.PathCommit, commit)).To(Equal(409))
	g.Expect(post(standin.PathFaults, `{"fautls":[]}`)).To(Equal(400))
}
