package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// sent is a request that a client sent, and its answer.
type sent struct {
	id, method, target, key string
	at                      time.Time
	status                  int
	retryAfter              time.Duration
	body                    string
	err                     error
}

// newID returns an id for one attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a new connection and waits for its answer.
func (w *world) send(g *gatewayProcess, host, method, target, key, body string) sent {
	s := sent{id: newID(), method: method, target: target, key: key, at: time.Now()}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nHarriernotch-Attempt-Id: %s\r\nHarriernotch-Deadline-Ms: 3000\r\nConnection: close\r\n", method, target, host, s.id)
	if key != "" {
		text += wire.APIKey + ": " + key + "\r\n"
	}
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	w.record.notef("sent     %s to %s: %s %s, key %q, body %q", s.id, g.name, method, target, key, body)
	var header http.Header
	s.status, header, s.body, s.err = roundTrip(g.frontend, method, text+"\r\n"+body)
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
		s.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	w.record.notef("answered %s: status %d, body %q, error %v", s.id, s.status, s.body, s.err)
	return s
}

func roundTrip(address, method, text string) (status int, header http.Header, body string, err error) {
	connection, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, nil, "", err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(connection, text); err != nil {
		return 0, nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(raw), err
}
