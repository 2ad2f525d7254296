package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// call sends one request on a connection of its own and returns the status of the answer, or what
// went wrong.
func call(address, method, path, id string, budgetMs int) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(budgetMs) * time.Millisecond))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, platformtest.Host, id, budgetMs)
	if err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	return fmt.Sprint(resp.StatusCode)
}
