// Package hostile tests entry VMs with callers and servers that keep to no limits. Each test starts one
// process of the daemon and checks what does not depend on the speed of the machine: that the
// process lives, stays within its memory and descriptors, and answers an ordinary request
// afterwards.
package hostile_test

import (
	"bufio"
	"flag"
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
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// program is the path of the daemon.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "goldcresthinged")
	// Without the race detector, whose memory would count.
	build := exec.Command("go", "build", "-o", program, "./cmd/goldcresthinged") //nolint:noctx // ends with the test
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// flood is what one connection sends at most of something without an end.
	flood = 2 << 20
	// crowdTime is for how long a crowd stays.
	crowdTime = 6 * time.Second

	requestLine = "POST /" + slowService + "/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n"
	emptyBody   = "Content-Length: 0\r\n\r\n"
	// legalHead is the size of a head within max_header_bytes.
	legalHead = 15 << 10
)

// crowd is a number of connections that behave alike.
type crowd struct {
	name        string
	connections int
	// act uses one connection until it fails or the crowd leaves, at which c is closed.
	act func(c net.Conn, i int)
	// endless are the indices of endlessAnswers that the connections have to get.
	endless []int
}

var crowds = []crowd{
	{name: "legal heads of short lines", connections: 300, act: func(c net.Conn, _ int) {
		send(c, legalHeads["short lines"])
	}},
	{name: "legal heads of lines without a value", connections: 300, act: func(c net.Conn, _ int) {
		send(c, legalHeads["lines without a value"])
	}},
	{name: "legal heads with spaces", connections: 300, act: func(c net.Conn, _ int) {
		send(c, legalHeads["spaces"])
	}},
	{name: "legal heads with folded lines", connections: 300, act: func(c net.Conn, _ int) {
		send(c, legalHeads["folded lines"])
	}},
	{name: "legal heads with one name in all lines", connections: 300, act: func(c net.Conn, _ int) {
		send(c, legalHeads["one name in all lines"])
	}},
	{name: "legal heads with bytes over 127", connections: 300, act: func(c net.Conn, _ int) {
		send(c, legalHeads["bytes over 127"])
	}},
	{name: "heads over the limit", connections: 60, act: func(c net.Conn, _ int) {
		send(c, requestLine+strings.Repeat("aaaa:\r\n", 900<<10/7)+emptyBody)
	}},
	{name: "heads over the limit, without an end of the last line", connections: 60, act: func(c net.Conn, _ int) {
		send(c, requestLine+"a: "+strings.Repeat("a", 900<<10))
	}},
	{name: "heads without end", connections: 60, act: func(c net.Conn, _ int) {
		sendEndless(c, requestLine, "aaaa:\r\n")
	}},
	{name: "heads of distinct lines, never ended", connections: 60, act: func(c net.Conn, _ int) {
		var lines strings.Builder
		for i := 0; lines.Len() < 900<<10; i++ {
			lines.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
		}
		send(c, requestLine+lines.String())
	}},
	{name: "heads byte by byte", connections: 300, act: func(c net.Conn, _ int) {
		for i := 0; ; i++ {
			const text = "\r\na:"
			if _, err := c.Write([]byte{(requestLine + text)[min(i, len(requestLine)+i%len(text))]}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}},
	{name: "empty lines before a request", connections: 60, act: func(c net.Conn, _ int) { sendEndless(c, "", "\r\n") }},
	{name: "chunk extensions without end", connections: 60, act: func(c net.Conn, _ int) {
		sendEndless(c, requestLine+"Transfer-Encoding: chunked\r\n\r\n1", ";a=b")
	}},
	{name: "chunks of one byte with long extensions", connections: 60, act: func(c net.Conn, _ int) {
		sendEndless(c, requestLine+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("a", 2000)+"\r\nx\r\n")
	}},
	{name: "trailers without end", connections: 60, act: func(c net.Conn, _ int) {
		sendEndless(c, requestLine+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "aaaa:\r\n")
	}},
	{name: "bodies that stop", connections: 300, act: func(c net.Conn, _ int) {
		send(c, requestLine+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 300<<10))
	}},
	{name: "pipelined requests whose answers nobody reads", connections: 60, act: func(c net.Conn, _ int) {
		sendEndless(c, "", "GET /"+quickService+"/"+strings.Repeat("x", 1000)+" HTTP/1.1\r\nHost: "+platformtest.Host+"\r\n\r\n")
	}},
	{name: "pipelined heads of short lines behind a slow request", connections: 300, act: func(c net.Conn, _ int) {
		sendEndless(c, "", legalHeads["short lines"])
	}},
	{name: "connections that send nothing", connections: 700, act: func(c net.Conn, _ int) { _, _ = io.Copy(io.Discard, c) }},
	{name: "answers with headers of short lines", connections: 300, act: func(c net.Conn, i int) {
		send(c, fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r-%d\r\n\r\n", wordyService, platformtest.Host, i))
	}},
	{name: "answers without end", connections: 150, act: func(c net.Conn, i int) {
		r := bufio.NewReader(c)
		// A body without end takes all of the time, and other answers end at once.
		for ; ; i++ {
			_, _ = io.WriteString(c, endlessRequest(i))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			_ = resp.Body.Close()
			time.Sleep(20 * time.Millisecond)
		}
	}, endless: []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}},
	{name: "bodies without end that nobody reads", connections: 150, act: func(c net.Conn, i int) {
		r := bufio.NewReader(c)
		for {
			_, _ = io.WriteString(c, endlessRequest(firstEndlessBody+i%endlessBodies))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			if resp.StatusCode == http.StatusOK {
				time.Sleep(crowdTime)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			time.Sleep(100 * time.Millisecond)
		}
	}, endless: []int{5, 6, 7}},
}

// endlessRequest returns a request that is answered with the i-th of endlessAnswers.
func endlessRequest(i int) string {
	return fmt.Sprintf("GET /%s/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: r-%d\r\n\r\n", endlessService, i, platformtest.Host, i)
}

// legalHeads are requests whose heads stay within max_header_bytes.
var legalHeads = map[string]string{
	"short lines":           legal(func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" }),
	"lines without a value": legal(func(i int) string { return fmt.Sprintf("X-%d:\r\n", i) }),
	"spaces":                legal(func(i int) string { return fmt.Sprintf("%x:  \t \r\n", i) }),
	"folded lines":          legal(func(i int) string { return fmt.Sprintf("%x:a\r\n b\r\n", i) }),
	"one name in all lines": legal(func(int) string { return "a:b\r\n" }),
	"bytes over 127":        legal(func(i int) string { return fmt.Sprintf("%x:\xff\xfe\r\n", i) }),
}

// legal returns a request whose head stays within max_header_bytes, with as many lines as fit.
func legal(line func(i int) string) string {
	head := strings.Builder{}
	head.WriteString(requestLine)
	for i := 0; ; i++ {
		l := line(i)
		if head.Len()+len(l)+len(emptyBody) > legalHead {
			break
		}
		head.WriteString(l)
	}
	head.WriteString(emptyBody)
	return head.String()
}

// send sends text and reads what comes until the connection is closed.
func send(c net.Conn, text string) {
	if _, err := io.WriteString(c, text); err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// sendEndless sends start, and then more until flood bytes are sent. It reads nothing.
func sendEndless(c net.Conn, start, more string) {
	block := strings.Repeat(more, 1+8<<10/len(more))
	for sent := 0; sent < flood; sent += len(block) {
		if _, err := io.WriteString(c, start+block); err != nil {
			return
		}
		start = ""
	}
}

// Guards against callers and servers that make a process use up its memory or descriptors, or that
// keep it from answering others.
func TestCrowds(t *testing.T) {
	for _, cr := range crowds {
		t.Run(cr.name, func(t *testing.T) {
			v := startVM(t)
			var during sync.WaitGroup
			during.Go(func() {
				time.Sleep(crowdTime / 2)
				if !v.ready() || get("http://"+v.addresses["metrics"]+"/metrics", "") != http.StatusOK {
					t.Error("readiness check or metrics fail while the crowd is there")
				}
			})
			cr.visit(t, v.addresses["callers"])
			during.Wait()
			v.checkBounds(t)
			for _, i := range cr.endless {
				if v.endless[i].Load() == 0 {
					t.Errorf("no server has sent the answer without end %q", endlessAnswers[i])
				}
			}
		})
	}
}

// Guards against limits that refuse a request within max_header_bytes while nothing else goes on.
func TestLegalHeadsAreServed(t *testing.T) {
	v := startVM(t)
	for name, text := range legalHeads {
		t.Run(name, func(t *testing.T) {
			v.wantStatus(t, text, http.StatusOK)
		})
	}
	// The limit is that of the configuration, not the larger default.
	v.wantStatus(t, strings.Replace(legalHeads["short lines"], "\r\n", "\r\nX: "+strings.Repeat("x", 2<<10)+"\r\n", 1), http.StatusRequestHeaderFieldsTooLarge)
}

// wantStatus sends a request to the quick service and checks the status of the answer.
func (v *vm) wantStatus(t *testing.T, text string, want int) {
	t.Helper()
	c, err := net.Dial("tcp", v.addresses["callers"])
	check(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, strings.Replace(text, slowService, quickService, 1))
	check(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	check(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	check(t, err)
	if resp.StatusCode != want {
		t.Errorf("status %d, want %d", resp.StatusCode, want)
	}
}

// visit opens the connections of the crowd and closes them after crowdTime.
func (cr crowd) visit(t *testing.T, address string) {
	t.Helper()
	var users sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	left := false
	for i := range cr.connections {
		users.Go(func() {
			c, err := net.DialTimeout("tcp", address, crowdTime)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			mu.Lock()
			conns = append(conns, c)
			if left {
				_ = c.Close()
			}
			mu.Unlock()
			cr.act(c, i)
		})
	}
	time.Sleep(crowdTime)
	mu.Lock()
	left = true
	for _, c := range conns {
		_ = c.Close()
	}
	mu.Unlock()
	users.Wait()
}
