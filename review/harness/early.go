package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

func init() { cases["early"] = early }

const (
	uploadBytes  = 240 << 10
	uploadPiece  = 16 << 10
	uploadPause  = 4 * time.Millisecond
	uploadCount  = 100 // of each caller
	uploaders    = 6
	earlyEvery   = 50 // a faulty server spoils 2 in 100 of its answers
	earlyAnswers = 8 << 10
)

// uploadBody returns the body of an upload, which differs at each place.
func uploadBody(id string) []byte {
	var seed [32]byte
	copy(seed[:], id)
	source := rand.NewChaCha8(seed)
	out := make([]byte, 0, uploadBytes)
	for len(out) < uploadBytes {
		out = binary.LittleEndian.AppendUint64(out, source.Uint64())
	}
	return out
}

// early sends long bodies. Under the disruption, two of four servers answer some of the requests
// before they have read the body, keep the connection and read on.
func early(w *world) error {
	var mu sync.Mutex
	var broken, answeredEarly int
	var until time.Time // end of the disruption
	check := func(x *exchange, got []byte, end error, isEarly bool) {
		ended := "complete"
		if end != nil {
			ended = "broken off: " + end.Error()
		}
		mu.Lock()
		defer mu.Unlock()
		sent := uploadBody(x.id)
		if isEarly {
			answeredEarly++
		}
		if bytes.HasPrefix(sent, got) {
			if isEarly {
				w.rec.note("%s: %s answered early; %d bytes came, all as sent; the body was %s", x.id, x.server.id, len(got), ended)
			}
			return
		}
		at := 0
		for at < len(sent) && at < len(got) && sent[at] == got[at] {
			at++
		}
		broken++
		moved := bytes.Index(sent, got[at:min(at+64, len(got))])
		w.rec.note("%s: %s (answered early: %v) got %d bytes of %d; from byte %d on they are not those sent there, but those sent at byte %d; the body was %s",
			x.id, x.server.id, isEarly, len(got), len(sent), at, moved, ended)
	}
	for i := range 4 {
		faulty := w.trouble && i < 2
		received := 0
		s := &server{id: fmt.Sprintf("s%d", i), service: "up", zone: "east-a", slots: 2}
		s.handle = func(x *exchange) error {
			mu.Lock()
			received++
			isEarly := faulty && received%earlyEvery == 0 && time.Now().Before(until)
			mu.Unlock()
			answer := strings.Repeat("x", earlyAnswers)
			if isEarly {
				if err := x.write(http.StatusOK, answer, platform.HeaderRequestID, x.id, platform.HeaderStamp, x.stamp()); err != nil {
					return err
				}
			}
			got, err := io.ReadAll(x.req.Body)
			check(x, got, err, isEarly)
			if err != nil || isEarly {
				return err
			}
			return x.write(http.StatusOK, answer, platform.HeaderRequestID, x.id, platform.HeaderStamp, x.stamp())
		}
		if err := w.startServer(s); err != nil {
			return err
		}
	}
	if err := w.configure(0, []route{{"upload", "/up/", "unsafe", "up", 5000, 2000, 1}}, "up"); err != nil {
		return err
	}
	n, err := w.startNode("front-1", "east-a")
	if err != nil {
		return err
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	answers := map[string]int{}
	mu.Lock()
	until = time.Now().Add(garbleFor)
	mu.Unlock()
	var callers sync.WaitGroup
	for c := range uploaders {
		callers.Go(func() {
			for i := range uploadCount {
				id := fmt.Sprintf("%08x%08x", c+1, i+1)
				result := upload(n.callers(), id, c%2 == 0)
				mu.Lock()
				answers[result]++
				mu.Unlock()
				if result != "200" {
					w.rec.note("%s: answer %s", id, result)
				}
			}
		})
	}
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	w.rec.note("answers %v; %d were given early; at %d requests the server got other bytes", answers, answeredEarly, broken)
	if broken > 0 {
		return fmt.Errorf("%w: %d requests reached a server with another body", errBroken, broken)
	}
	if w.trouble && answeredEarly == 0 {
		return errors.New("no server answered early")
	}
	return nil
}

// upload sends one request on a connection of its own and returns the status of the answer.
func upload(address, id string, chunked bool) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	length := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(c, "POST /up/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n%s\r\n\r\n", id, platformtest.Host, id, length)
	go func() {
		for body := uploadBody(id); len(body) > 0; body = body[min(uploadPiece, len(body)):] {
			piece := body[:min(uploadPiece, len(body))]
			if chunked {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			} else {
				_, _ = c.Write(piece)
			}
			time.Sleep(uploadPause)
		}
		if chunked {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	if resp.StatusCode == http.StatusOK && (len(body) != earlyAnswers || resp.Header.Get(platform.HeaderRequestID) != id) {
		return "200 with another body"
	}
	return fmt.Sprint(resp.StatusCode)
}
