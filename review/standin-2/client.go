package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a request of a client and what it got.
type sent struct {
	id, gateway   string
	at, endedAt   time.Time
	status        int
	stamp, body   string
	events        int
	firstAt       time.Time
	isWhole       bool
	isOtherStream bool
	failure       string
}

// client sends requests, each on a connection of its own or on kept ones.
type client struct {
	mutex  sync.Mutex
	record *record
	http   *http.Client
	all    []*sent
	number int
	ids    string
}

func newClient(w *world, keep bool) *client {
	return &client{record: w.record, ids: fmt.Sprintf("%x", time.Now().UnixNano()), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}}
}

// nextID returns an ID that no request has had.
func (c *client) nextID() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.number++
	return fmt.Sprintf("%s-%04d", c.ids, c.number)
}

// send sends a request and reads its answer.
func (c *client) send(g *gateway, method, host, path, key, body string, deadline time.Duration, headers map[string]string) *sent {
	s := &sent{id: c.nextID(), gateway: g.name, at: time.Now()}
	request, err := http.NewRequest(method, "http://"+g.callers+path, strings.NewReader(body))
	must(err)
	request.Host = host
	request.Header.Set(headerID, s.id)
	request.Header.Set(headerKey, key)
	request.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		request.Header.Set(name, strings.ReplaceAll(value, "SELF", s.id))
	}
	c.mutex.Lock()
	c.all = append(c.all, s)
	c.mutex.Unlock()
	c.record.say("client sends %s to %s, %d bytes", s.id, g.name, len(body))
	answer, err := c.http.Do(request)
	if err != nil {
		s.failure, s.endedAt = err.Error(), time.Now()
		c.record.say("client gets no answer to %s after %d ms: %s", s.id, time.Since(s.at).Milliseconds(), s.failure)
		return s
	}
	s.status, s.stamp = answer.StatusCode, answer.Header.Get(headerStamp)
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		err = s.readEvents(answer.Body)
	} else {
		var raw []byte
		raw, err = io.ReadAll(answer.Body)
		s.body = string(raw)
	}
	_ = answer.Body.Close()
	s.endedAt, s.isWhole = time.Now(), err == nil
	if err != nil {
		s.failure = err.Error()
	}
	c.record.say("client gets %d for %s after %d ms: %d events, %d bytes, stamp %q, whole %v %s%s", s.status, s.id, time.Since(s.at).Milliseconds(), s.events, len(s.body), s.stamp, s.isWhole, s.failure, given(" ", short(s.body)))
	return s
}

func short(text string) string {
	text = strings.TrimSpace(text)
	if len(text) > 160 {
		return text[:160]
	}
	return text
}

func (s *sent) readEvents(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if strings.HasPrefix(line, "data: ") {
			if s.events == 0 {
				s.firstAt = time.Now()
			}
			s.events++
			if !strings.HasSuffix(strings.TrimSpace(line), s.id) || !strings.HasPrefix(line, fmt.Sprintf("data: piece %d ", s.events)) {
				s.isOtherStream = true
			}
		}
	}
}
