package hostile_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// Limits of the VM under test, in its settings file and configuration.
const (
	memoryMB       = 80
	maxDescriptors = 600
	// fileDescriptors is the part of maxDescriptors that the platform keeps for files.
	fileDescriptors = 200

	maxHeaderBytes  = 16 << 10
	maxBodyBytes    = 1 << 20
	headerTimeoutMs = 3000
	idleTimeoutMs   = 15000
	routeTimeoutMs  = 10000
)

// Services. Their servers take slowServiceTime, no time, answer with a header of many short lines,
// and send answers without end.
const (
	slowService, quickService, wordyService, endlessService = "slow", "quick", "wordy", "endless"
	slowServiceTime                                         = 4 * time.Second
	// serverSlots is more than the requests of any crowd, so that all of them are held at once.
	serverSlots = 500
)

// vm is a process of the daemon with a store and backend servers of its own.
type vm struct {
	process   *exec.Cmd
	output    *bytes.Buffer // valid after ended is closed
	addresses map[string]string
	ended     chan struct{} // closed when the process has ended

	// endless counts the requests that were answered with each of endlessAnswers.
	endless [len(endlessAnswers)]atomic.Int32

	mu             sync.Mutex
	maxDescriptors int // largest number of open descriptors seen
}

func startVM(t *testing.T) *vm {
	t.Helper()
	store := platformtest.NewStore()
	store.Limits = platformtest.CallerLimits{
		HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeoutMs: headerTimeoutMs, IdleTimeoutMs: idleTimeoutMs,
	}
	var routes []platformtest.Route
	var services []platformtest.Service
	for _, s := range []string{slowService, quickService, wordyService, endlessService} {
		routes = append(routes, platformtest.Route{Name: s, Prefix: "/" + s + "/", Service: s, Idempotent: true, MaxAttempts: 1, TimeoutMs: routeTimeoutMs})
		services = append(services, platformtest.Service{Name: s, ColdPerS: 10000, Connections: serverSlots})
	}
	check(t, store.Configure(1, routes, services))
	startServer(t, store, slowService, slowServiceTime)
	startServer(t, store, quickService, 0)
	startWordyServer(t, store)
	v := &vm{addresses: map[string]string{}, ended: make(chan struct{}), output: &bytes.Buffer{}}
	for i := range 5 {
		v.startEndlessServer(t, store, fmt.Sprintf("%s-%d", endlessService, i+1), i == 0)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	storeServer := &http.Server{Handler: store.Client(), ReadHeaderTimeout: time.Minute}
	go func() { _ = storeServer.Serve(l) }()
	t.Cleanup(func() { _ = storeServer.Close() })

	for _, name := range []string{"callers", "ready", "siblings", "metrics"} {
		v.addresses[name], err = freeport.Address()
		check(t, err)
	}
	settings := filepath.Join(t.TempDir(), "node.toml")
	check(t, platformtest.NodeSettings{
		ID: "vm-a-1", FailureDomain: "a", RegionOf: map[string]string{"a": "east"}, Callers: v.addresses["callers"],
		Ready: v.addresses["ready"], Siblings: v.addresses["siblings"], Store: l.Addr().String(), GraceS: 6,
		RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second, DrainTimeout: 2 * time.Second, ConfigApplyTimeout: 2 * time.Second,
		ColdFactor: 1.5, ColdSlack: 5, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
	}.Write(settings))
	v.process = exec.Command(program, "entry", "--node-file", settings, "--metrics-listen", v.addresses["metrics"]) //nolint:gosec,noctx // the test's own program
	v.process.Stdout, v.process.Stderr = v.output, v.output
	// If the test is killed, the kernel ends the process too.
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(t, v.process.Start())
	go func() {
		_ = v.process.Wait()
		close(v.ended)
	}()
	t.Cleanup(func() {
		_ = v.process.Process.Kill()
		<-v.ended
	})
	v.waitUntilReady(t)
	go v.watchDescriptors()
	return v
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func startServer(t *testing.T, store *platformtest.Store, service string, serviceTime time.Duration) {
	t.Helper()
	s := &platformtest.Server{ID: service + "-1", Service: service, FailureDomain: "a", Slots: serverSlots, ServiceTime: serviceTime}
	check(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	check(t, s.Register(store))
}

// startWordyServer starts a server whose answers have headers of short lines, within the
// VM's limit of their bytes, and bodies that take slowServiceTime.
func startWordyServer(t *testing.T, store *platformtest.Store) {
	t.Helper()
	var lines strings.Builder
	for i := 0; lines.Len() < 30<<10; i++ {
		fmt.Fprintf(&lines, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	startRawServer(t, store, wordyService, wordyService+"-1", false, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Length: 1\r\n\r\n", answerHeader(r), lines.String())
		time.Sleep(slowServiceTime)
		_, _ = io.WriteString(conn, "x")
	})
}

// answerHeader returns the header lines by which a VM knows the answer of a server.
func answerHeader(r *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n%s: x\r\n", platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderStamp)
}

// endlessAnswers are answers that go on with the second text again and again. HEADER stands for
// answerHeader.
var endlessAnswers = [...][2]string{
	{"", "x"},
	{"HTTP/1.1 200 OK\r\nX: ", "x"},
	{"HTTP/1.1 200 OK\r\nHEADER", "a:b\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	{"HTTP/1.1 200 OK\r\nHEADER\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nHEADERContent-Length: 1000000000000\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nHEADERTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	{"HTTP/1.1 200 OK\r\nHEADERTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"HTTP/1.1 200 OK\r\nHEADERTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n"},
}

// Three of endlessAnswers have a body without end that can be passed on.
const firstEndlessBody, endlessBodies = 5, 3

// startEndlessServer starts a server that sends the answer of endlessAnswers whose index ends the
// path until the VM closes the connection. If unhealthy is set, its health checks have no end either.
func (v *vm) startEndlessServer(t *testing.T, store *platformtest.Store, id string, unhealthy bool) {
	t.Helper()
	startRawServer(t, store, endlessService, id, unhealthy, func(conn net.Conn, r *http.Request) {
		number, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		i := number % len(endlessAnswers)
		if err == nil {
			v.endless[i].Add(1)
		}
		answer := endlessAnswers[i]
		block := strings.Repeat(answer[1], 1+16<<10/len(answer[1]))
		_, err = io.WriteString(conn, strings.ReplaceAll(answer[0], "HEADER", answerHeader(r)))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
	})
}

// startRawServer starts a server that answers with the bytes that answer writes. Its health checks
// get a proper answer unless rawHealth is set.
func startRawServer(t *testing.T, store *platformtest.Store, service, id string, rawHealth bool, answer func(net.Conn, *http.Request)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platformtest.HealthPath && !rawHealth {
			w.Header().Set(platform.HeaderInstance, id)
			w.Header().Set(platform.HeaderLoad, fmt.Sprintf("0,0,%d,100", serverSlots))
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		answer(conn, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	check(t, store.Put(platform.TableServers, id, map[string]any{
		"address": l.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": service, "zone": "a", "slots": serverSlots},
		"status": map[string]any{"state": "ready", "warmup_left_ms": 0},
	}))
}

func (v *vm) waitUntilReady(t *testing.T) {
	t.Helper()
	for range 300 {
		if v.ready() && v.request("/"+quickService+"/") == http.StatusOK {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The servers have been measured once a request to each has been answered. The VM may refuse
	// the answer of the wordy server.
	var requests sync.WaitGroup
	var served atomic.Int32
	for _, service := range []string{slowService, wordyService} {
		requests.Go(func() {
			for range 10 {
				status := v.request("/" + service + "/")
				if status == http.StatusOK || (status == http.StatusBadGateway && service == wordyService) {
					served.Add(1)
					return
				}
			}
		})
	}
	requests.Wait()
	if served.Load() == 2 {
		return
	}
	t.Fatal("the VM serves no requests")
}

func (v *vm) ready() bool {
	return get("http://"+v.addresses["ready"]+platform.ReadinessPath, "") == http.StatusOK
}

// request sends one ordinary request and returns the status of the answer, or 0 without one.
func (v *vm) request(path string) int {
	return get("http://"+v.addresses["callers"]+path, platformtest.Host)
}

func get(url, host string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Close = true
	req.Header.Set(platform.HeaderRequestID, "ordinary")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// watchDescriptors records the largest number of open descriptors until the process ends.
func (v *vm) watchDescriptors() {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.process.Process.Pid))
		v.mu.Lock()
		v.maxDescriptors = max(v.maxDescriptors, len(entries))
		v.mu.Unlock()
		select {
		case <-v.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemory returns the largest resident memory of the process in bytes.
func (v *vm) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	check(t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			check(t, err)
			return kb << 10
		}
	}
	t.Fatal("no VmHWM in /proc/PID/status")
	return 0
}

// checkBounds checks that the process lives within its limits and answers an ordinary request.
func (v *vm) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case <-v.ended:
		t.Fatalf("the process has ended: %s", v.output)
	default:
	}
	status := 0
	for attempt := 0; attempt < 30 && status != http.StatusOK; attempt++ {
		status = v.request("/" + quickService + "/")
		if status != http.StatusOK {
			time.Sleep(time.Second)
		}
	}
	if status != http.StatusOK {
		t.Errorf("an ordinary request after the crowd had left: status %d, want 200", status)
	}
	if !v.ready() {
		t.Error("the readiness check fails after the crowd has left")
	}
	v.mu.Lock()
	descriptors := v.maxDescriptors
	v.mu.Unlock()
	peak := v.peakMemory(t)
	t.Logf("peak memory %d MB, at most %d descriptors, endless answers by index %v", peak>>20, descriptors, v.endlessCounts())
	if peak > memoryMB<<20 {
		t.Errorf("peak memory %d MB, want at most %d MB", peak>>20, memoryMB)
	}
	if descriptors > maxDescriptors-fileDescriptors {
		t.Errorf("%d open descriptors, want at most %d", descriptors, maxDescriptors-fileDescriptors)
	}
}

// endlessCounts returns the values of v.endless.
func (v *vm) endlessCounts() []int32 {
	var counts []int32
	for i := range v.endless {
		counts = append(counts, v.endless[i].Load())
	}
	return counts
}
