package fakebackend_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Backend server stand-in")
}

type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

var _ = Describe("backend server stand-in", func() {
	var (
		server *fakebackend.Server
		client *http.Client
	)

	start := func(cfg fakebackend.Config) {
		cfg.Name, cfg.Region = "szeged-a-1", "alfold"
		var err error
		server, err = fakebackend.Start(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		transport := &http.Transport{}
		client = &http.Client{Transport: transport}
		DeferCleanup(transport.CloseIdleConnections)
	}
	do := func(id, body string, headers ...string) result {
		req, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/permits", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(fakebackend.HeaderRequestID, id)
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := client.Do(req)
		if err != nil {
			return result{err: err}
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		return result{resp.StatusCode, resp.Header, data, err}
	}
	get := func(path string) result {
		resp, err := client.Get("http://" + server.Address() + path)
		if err != nil {
			return result{err: err}
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		return result{resp.StatusCode, resp.Header, data, err}
	}

	It("answers with the request id and the digest of the body", func() {
		start(fakebackend.Config{})
		r := do("r1", "hello")
		Expect(r.err).NotTo(HaveOccurred())
		metadata, err := fakebackend.CheckResponse("r1", []byte("hello"), r.body)
		Expect(err).NotTo(HaveOccurred())
		Expect(metadata.Target).To(Equal("szeged-a-1"))
		Expect(r.header.Get(outcome.HeaderInstance)).To(Equal("szeged-a-1.1"))
		_, err = fakebackend.CheckResponse("r2", []byte("hello"), r.body)
		Expect(err).To(MatchError(fakebackend.ErrRequestMismatch))
		_, err = fakebackend.CheckResponse("r1", []byte("other"), r.body)
		Expect(err).To(MatchError(fakebackend.ErrRequestMismatch))
	})

	It("goes down when it gets more calls than it accepts while cold, and comes back as a new instance", func() {
		start(fakebackend.Config{ColdStart: fakebackend.ColdStart{WarmupCalls: 1000, MinWarmupTime: time.Hour, Rate: 3, DownTime: time.Millisecond}})
		for i := range 3 {
			Expect(do(string(rune('a'+i)), "").status).To(Equal(http.StatusOK))
		}
		Expect(do("overload", "").err).To(HaveOccurred())
		Eventually(server.Instance).Should(Equal("szeged-a-1.2"))
		Expect(do("again", "").status).To(Equal(http.StatusOK))
		Expect(server.Record().ColdOverloads).To(Equal(1))
	})

	// Guards against counting a call as in flight while its answer is being sent:
	// the next call of the same caller would then exceed the limit of one
	// concurrent call of a cold server.
	It("accepts the next call once the run of the previous one has finished", func() {
		start(fakebackend.Config{ColdStart: fakebackend.ColdStart{WarmupCalls: 1000, MinWarmupTime: time.Hour}})
		server.SetFaults(fakebackend.Faults{Late: 1, LateMs: 3600_000})
		go do("r1", "")
		Eventually(func() bool { runs := server.Record().Runs; return len(runs) == 1 && runs[0].Finished }).Should(BeTrue())
		Eventually(func() string { return string(get("/load").body) }).Should(ContainSubstring(`"in_flight":0`))
		server.SetFaults(fakebackend.Faults{})
		Expect(do("r2", "").status).To(Equal(http.StatusOK))
		Expect(server.Record().ColdOverloads).To(BeZero())
	})

	It("sheds with an outcome of not-run and does not run the call", func() {
		start(fakebackend.Config{})
		server.SetFaults(fakebackend.Faults{Shed: 1})
		r := do("r1", "")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get(outcome.HeaderOutcome)).To(Equal("not-run"))
		Expect(r.header.Get("Retry-After")).To(Equal("1"))
		Expect(server.Record().Runs).To(BeEmpty())
	})

	// The server has the default number of slots, 2.
	It("never runs more calls at once than it has slots", func() {
		start(fakebackend.Config{ServiceTime: 5 * time.Millisecond, Distribution: fakebackend.Fixed, MaxWaiting: 40})
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(do("x", "").status).To(Equal(http.StatusOK))
			})
		}
		wg.Wait()
		Expect(server.Record().Runs).To(HaveLen(20))
		Expect(server.Record().RunningHighWater).To(Equal(2))
	})

	It("reports in answers and health checks that it is draining", func() {
		start(fakebackend.Config{})
		server.Drain()
		r := do("r1", "")
		Expect(r.header.Get(outcome.HeaderLeaving)).To(Equal("1"))
		Expect(string(get("/healthz").body)).To(Equal("draining\n"))
		Expect(server.Record().Runs[0].Draining).To(BeTrue())
		server.EndDrain()
		Expect(string(get("/healthz").body)).To(Equal("ok\n"))
	})

	It("stops a run at its deadline", func() {
		start(fakebackend.Config{ServiceTime: time.Hour, Distribution: fakebackend.Fixed})
		r := do("r1", "", outcome.HeaderDeadlineMs, "5")
		Expect(r.status).To(Equal(http.StatusGatewayTimeout))
		Expect(r.header.Get(outcome.HeaderOutcome)).To(BeEmpty(), "a run that had started must not be answered as not run")
		Expect(server.Record().Runs[0].Finished).To(BeFalse())
	})

	It("cancels the run of a caller that disconnects", func() {
		start(fakebackend.Config{ServiceTime: time.Hour, Distribution: fakebackend.Fixed})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address()+"/permits", nil)
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			client.Do(req)
		}()
		Eventually(func() []fakebackend.Run { return server.Record().Runs }).Should(HaveLen(1))
		cancel()
		<-done
		Eventually(func() int { return server.Record().Canceled }).Should(Equal(1))
		Expect(server.Record().Runs[0].Finished).To(BeFalse())
	})

	It("reports load with the configured lag", func() {
		clock := quartz.NewMock(GinkgoT())
		start(fakebackend.Config{ServiceTime: time.Hour, Distribution: fakebackend.Fixed, Clock: clock})
		server.SetFaults(fakebackend.Faults{LoadLagMs: 1000})
		go do("r1", "")
		Eventually(func() []fakebackend.Run { return server.Record().Runs }).Should(HaveLen(1))
		Expect(string(get("/load").body)).To(ContainSubstring(`"in_flight":0`))
		clock.Advance(time.Second)
		Expect(string(get("/load").body)).To(ContainSubstring(`"in_flight":1`))
	})

	It("truncates, swaps and repeats answers when these faults are on", func() {
		start(fakebackend.Config{AnswerBytes: 10000})
		Expect(do("r0", "").status).To(Equal(http.StatusOK))
		server.SetFaults(fakebackend.Faults{Truncate: 1})
		Expect(do("r1", "").err).To(MatchError(io.ErrUnexpectedEOF))
		server.SetFaults(fakebackend.Faults{Cross: 1})
		_, err := fakebackend.CheckResponse("r2", nil, do("r2", "").body)
		Expect(err).To(MatchError(fakebackend.ErrRequestMismatch))
		server.SetFaults(fakebackend.Faults{ExtraAnswer: 1})
		Expect(do("r3", "").status).To(Equal(http.StatusOK))
		Eventually(func() int { return server.Record().ExtraAnswers }).Should(Equal(1))
	})

	It("records requests outside their home regions even when it sheds them", func() {
		start(fakebackend.Config{})
		server.SetFaults(fakebackend.Faults{Shed: 1})
		do("r1", "", fakebackend.HeaderHomeRegions, "dunantul")
		do("r2", "", fakebackend.HeaderHomeRegions, "dunantul, alfold")
		Expect(server.Record().OutsideHomeRegions).To(Equal([]string{"r1"}))
	})

	It("counts probes and their bytes separately from calls, and reports the load set by a fault", func() {
		start(fakebackend.Config{AnswerBytes: 100000})
		do("r1", "")
		reportedInFlight := 7
		server.SetFaults(fakebackend.Faults{LoadInFlight: &reportedInFlight})
		Expect(string(get("/load").body)).To(ContainSubstring(`"in_flight":7`))
		Eventually(func() int64 { return server.Record().ProbeBytes }).Should(And(BeNumerically(">", 100), BeNumerically("<", 2000)))
		Expect(server.Record().Probes).To(Equal(1))
	})

	It("applies faults posted to it and rejects unknown ones", func() {
		start(fakebackend.Config{})
		post := func(body string) int {
			resp, err := client.Post("http://"+server.Address()+"/faults", "application/json", bytes.NewReader([]byte(body)))
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			return resp.StatusCode
		}
		Expect(post(`{"slow": 5, "late": 1, "late_ms": 1, "drain": true}`)).To(Equal(http.StatusOK))
		Expect(post(`{"fail_fast": 1}`)).To(Equal(http.StatusOK))
		Expect(server.Faults()).To(Equal(fakebackend.Faults{Slow: 5, Late: 1, LateMs: 1, FailFast: 1}))
		Expect(post(`{"fial_fast": 1}`)).To(Equal(http.StatusBadRequest))
		Expect(do("r1", "").status).To(Equal(http.StatusInternalServerError))
		Expect(post(`{"reset": true, "drain": false}`)).To(Equal(http.StatusOK))
		Expect(do("r2", "").status).To(Equal(http.StatusOK))
	})
})
