//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stressTime is how long the stress lasts.
const stressTime = 60 * time.Second

type stress struct {
	b       *bed
	mu      sync.Mutex
	sent    map[string]string // id to hash of method, path, body
	runs    map[string]int
	unsafe  map[string]bool
	promise map[string]bool
	broken  atomic.Int64
}

func (s *stress) fail(format string, a ...any) {
	if s.broken.Add(1) <= 20 {
		s.b.log("BROKEN: "+format, a...)
	}
}

func digest(method, uri string, body []byte) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(method+" "+uri+" "+string(body))))
}

// answerTo returns the body of the answer to a request.
func answerTo(id string, n int) string {
	return strings.Repeat(id+";", n)
}

// serveRaw serves one connection of a faulty replica.
func (s *stress) serveRaw(c net.Conn, id string) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 64<<10)
	if !s.b.trouble {
		rand.Int()
	}
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		name := q.Header.Get("X-Fawnwinch-Request-Id")
		head := "X-Fawnwinch-Request-Id: " + name + "\r\n"
		notRun := func(status string) string {
			return "HTTP/1.1 " + status + "\r\n" + head + "X-Fawnwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		if q.Header.Get("X-Fawnwinch-Expected-Instance") != id {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, notRun("421 Misdirected Request"))
			continue
		}
		dice := rand.IntN(100)
		if !s.b.trouble {
			dice = 99
		}
		if dice < 3 && q.ContentLength > 20000 { // early: it reads the rest later
			_, _ = io.WriteString(c, notRun("503 Service Unavailable"))
			time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			continue
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if dice >= 3 && dice < 6 {
			_, _ = io.WriteString(c, notRun("503 Service Unavailable"))
			if dice == 3 {
				time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
				_, _ = io.WriteString(c, notRun("503 Service Unavailable"))
			}
			continue
		}
		s.mu.Lock()
		want, known := s.sent[name]
		s.runs[name]++
		n, once, promised := s.runs[name], s.unsafe[name], s.promise[name]
		s.mu.Unlock()
		switch {
		case !known:
			s.fail("replica %s runs %q, which nobody sent", id, name)
		case want != digest(q.Method, q.RequestURI, body):
			s.fail("replica %s runs %q, which was changed", id, name)
		case once && n > 1:
			s.fail("replica %s runs %q for the time %d", id, name, n)
		case promised:
			s.fail("replica %s runs %q after it was refused", id, name)
		}
		if q.Header.Get("X-Fawnwinch-Tenant-Id") != "seiryu" || q.Header.Get("Api-Key") != "" {
			s.fail("replica %s: %q has the tenant %q", id, name, q.Header.Get("X-Fawnwinch-Tenant-Id"))
		}
		time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
		size, _ := strconv.Atoi(q.Header.Get("X-Size"))
		text := answerTo(name, size)
		head += "X-Fawnwinch-Response-Seal: " + id + "." + name + "\r\n"
		if strings.HasPrefix(q.URL.Path, "/draft/") {
			if !s.streamRaw(c, q, head, size, dice) {
				return
			}
			continue
		}
		full := "HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
		switch {
		case dice < 9: // broken off
			_, _ = io.WriteString(c, full[:rand.IntN(len(full))])
			if dice == 8 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		case dice < 12: // a second answer, at once or late
			_, _ = io.WriteString(c, full)
			if dice > 9 {
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
			_, _ = io.WriteString(c, full)
		case dice < 14: // no length
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+text)
			return
		case dice < 15: // bytes that are no answer
			_, _ = io.WriteString(c, "garbage garbage\r\n\r\n")
			return
		case dice < 17: // its answer is lost
			return
		case dice < 19:
			_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Length: 4\r\n\r\nfail")
		case dice < 22:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+head+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
			return
		case dice < 60:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
		default:
			_, _ = io.WriteString(c, full)
		}
	}
}

// streamRaw writes a stream, and reports whether the connection may go on.
func (s *stress) streamRaw(c net.Conn, q *http.Request, head string, size, dice int) bool {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	name := q.Header.Get("X-Fawnwinch-Request-Id")
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n")
	for i := from + 1; i <= size; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, name)
		if dice < 20 && rand.IntN(size) == 0 {
			part := event[:rand.IntN(len(event)+1)]
			_, _ = fmt.Fprintf(c, "%x\r\n%s", len(event), part)
			if dice < 10 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if rand.IntN(3) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func runStress(b *bed) error {
	s := &stress{b: b, sent: map[string]string{}, runs: map[string]int{}, unsafe: map[string]bool{}, promise: map[string]bool{}}
	for i := range 6 {
		id := fmt.Sprintf("i-%d", i+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serveRaw(c, id)
			}
		}()
		b.list(&replica{id: id, service: "ledger", address: l.Addr().String()}, 48, "ready")
	}
	route := func(name, kind, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"desk.example","pathPrefix":"/%s/","kind":%q,"timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":3%s}`, name, name, kind, more)
	}
	b.operate(route("peek", "unsafe", "")+","+route("view", "safe", "")+","+route("draft", "streaming", `,"streamResume":true`), `{"name":"ledger"}`, `[{"name":"seiryu","apiKeys":["k-one"]}]`)
	var all []*router
	for range 2 {
		var seeds []string
		if len(all) > 0 {
			seeds = []string{all[0].control}
		}
		r, err := b.startRouter(seeds...)
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	for _, r := range all {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	if os.Getenv("STOPS") == "1" {
		go func() {
			for i := 0; ; i++ {
				time.Sleep(2 * time.Second)
				r := all[i%2]
				if i%3 == 2 {
					r.signal(syscall.SIGKILL)
				} else {
					r.signal(syscall.SIGTERM)
				}
				r.mu.Lock()
				ended := r.ended
				r.mu.Unlock()
				<-ended
				time.Sleep(200 * time.Millisecond)
				_ = r.start()
				_ = r.awaitReady()
			}
		}()
	}
	var clients sync.WaitGroup
	var statuses [600]atomic.Int64
	end := time.Now().Add(stressTime)
	for c := range 160 {
		clients.Go(func() {
			var w *wire
			for i := 0; time.Now().Before(end); i++ {
				if w == nil {
					var err error
					if w, err = dial(all[rand.IntN(2)].front); err != nil {
						continue
					}
				}
				id := fmt.Sprintf("q%d-%d", c, i)
				path := []string{"/peek/", "/view/", "/draft/"}[rand.IntN(3)]
				uri := path + id + "?a=" + id
				size := 1 + rand.IntN(50)
				var body []byte
				method := http.MethodGet
				if path != "/view/" {
					method = http.MethodPost
					n := rand.IntN(300)
					if rand.IntN(5) == 0 {
						n = 30000 + rand.IntN(200000)
					}
					body = bytes.Repeat([]byte(id), n/len(id)+1)
				}
				s.mu.Lock()
				s.sent[id] = digest(method, uri, body)
				s.unsafe[id] = path == "/peek/"
				s.mu.Unlock()
				_ = w.conn.SetDeadline(time.Now().Add(6 * time.Second))
				leaves := rand.IntN(40) == 0
				if leaves {
					conn := w.conn
					time.AfterFunc(time.Duration(rand.IntN(6))*time.Millisecond, func() { _ = conn.Close() })
				}
				resp, err := w.send(context.Background(), method, uri, b.host, map[string]string{"X-Fawnwinch-Request-Id": id, "X-Fawnwinch-Deadline-Ms": "4000", "Api-Key": "k-one", "X-Size": strconv.Itoa(size)}, body)
				if err != nil {
					w.close()
					w = nil
					continue
				}
				got, err := io.ReadAll(resp.Body)
				statuses[resp.StatusCode].Add(1)
				if resp.Header.Get("X-Fawnwinch-Request-Id") != id {
					s.fail("client: %s gets the answer to %q", id, resp.Header.Get("X-Fawnwinch-Request-Id"))
				}
				switch {
				case err != nil:
				case resp.StatusCode == http.StatusOK && path == "/draft/":
					var want strings.Builder
					for k := 1; k <= size; k++ {
						fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", k, id)
					}
					if want.String() != string(got) {
						s.fail("client: %s gets another stream: %d bytes, want %d", id, len(got), want.Len())
					}
				case resp.StatusCode == http.StatusOK:
					if string(got) != answerTo(id, size) || !strings.HasSuffix(resp.Header.Get("X-Fawnwinch-Response-Seal"), "."+id) {
						s.fail("client: %s gets another body (%d bytes)", id, len(got))
					}
				case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusRequestTimeout:
					s.mu.Lock()
					s.promise[id] = true
					if s.runs[id] > 0 && s.unsafe[id] {
						s.fail("client: %s is refused with %d, and ran", id, resp.StatusCode)
					}
					s.mu.Unlock()
				}
				if err != nil || resp.Close || leaves {
					w.close()
					w = nil
				}
			}
		})
	}
	clients.Wait()
	for i := range statuses {
		if n := statuses[i].Load(); n > 0 {
			b.log("status %d: %d", i, n)
		}
	}
	if n := s.broken.Load(); n > 0 {
		return fmt.Errorf("%w: %d times", errBroken, n)
	}
	return nil
}
