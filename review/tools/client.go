package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id, key, to, path string
	// sent is when the last byte of the request was sent, and ended when the answer or the end of
	// the connection came.
	began, sent, ended time.Time
	status             int
	seal               string
	// err is why there is no complete answer.
	err error
	// dialed reports whether the connection came up.
	dialed bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a new connection and waits for the answer for at most its deadline.
func send(address, key, path string, deadline time.Duration) *attempt {
	a := &attempt{id: newID(), key: key, to: address, path: path, began: time.Now()}
	defer func() { a.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	a.dialed = true
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(a.began.Add(deadline))
	method, length := "GET", ""
	if path == pathUnsafe {
		method, length = "POST", "Content-Length: 0\r\n"
	}
	text := fmt.Sprintf(method+" %s HTTP/1.1\r\nHost: %s\r\nX-Fawnwinch-Request-Id: %s\r\nX-Fawnwinch-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n", path, host, a.id, deadline.Milliseconds(), key, length)
	_, err = io.WriteString(conn, text)
	a.sent = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		a.err = err
		return a
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Fawnwinch-Response-Seal")
	return a
}

// timedOut reports whether the client's deadline ended the attempt.
func (a *attempt) timedOut() bool {
	var n net.Error
	return errors.As(a.err, &n) && n.Timeout()
}

// resolver holds the addresses of routers as a client does: for the time of the answer, or three
// times that, and longer when it can't get a new one.
type resolver struct {
	directories []string
	// times is how often the time of an answer it is held.
	times int

	mu      sync.Mutex
	list    []string
	until   time.Time
	asking  bool
	skipped map[string]bool
}

// lookUp asks at most three nodes for addresses.
func lookUp(directories []string) (list []string, ttl time.Duration) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(directories))[:min(3, len(directories))] {
		resp, err := c.Get("http://" + directories[i] + "/fawnwinch/resolve?name=" + host + "&region=r&zone=zone-a")
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(body.Addresses) > 0 {
			return body.Addresses, time.Duration(body.TTL * float64(time.Second))
		}
	}
	return nil, 0
}

// pick returns an address by chance, without those that have failed this client since its latest
// answer; empty if it has none.
func (r *resolver) pick() string {
	r.mu.Lock()
	if time.Now().After(r.until) && !r.asking {
		r.asking = true
		r.mu.Unlock()
		list, ttl := lookUp(r.directories)
		r.mu.Lock()
		r.asking = false
		r.until = time.Now().Add(200 * time.Millisecond) // then it asks again
		if len(list) > 0 {
			r.list, r.until, r.skipped = list, time.Now().Add(time.Duration(r.times)*ttl), map[string]bool{}
		}
	}
	defer r.mu.Unlock()
	var left []string
	for _, a := range r.list {
		if !r.skipped[a] {
			left = append(left, a)
		}
	}
	if len(left) == 0 {
		left, r.skipped = r.list, map[string]bool{}
	}
	if len(left) == 0 {
		return ""
	}
	return left[rand.IntN(len(left))]
}

func (r *resolver) failed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.skipped == nil {
		r.skipped = map[string]bool{}
	}
	r.skipped[address] = true
}

// awaitReady waits until all routers are ready.
func (l *Lab) awaitReady(limit time.Duration) error {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range l.routers {
			if resp, err := c.Get("http://" + p.ready + "/fawnwinch/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(l.routers) {
			return nil
		}
	}
	return errors.New("routers are not ready: " + strings.TrimSpace(l.dir))
}
