package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// call is one attempt of a client and its outcome.
type call struct {
	id, path, router string
	sent             time.Time
	status           int
	events           int
	served           bool
	note             string
	took             time.Duration
	// kept reports whether the connection had carried a request before.
	kept bool
}

// clients sends requests and keeps their outcomes.
type clients struct {
	lab *Lab
	mu  sync.Mutex
	all []*call
	wg  sync.WaitGroup
	// used is the transport of clients that keep their connections.
	kept *http.Transport
}

func newClients(l *Lab) *clients {
	return &clients{lab: l, kept: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
}

const apiKey = "n2ctnfzs989anu6wsjnb"

func (c *clients) request(method, path, body string, deadline time.Duration, to string) (*call, *http.Request) {
	x := &call{id: fmt.Sprintf("q%06d", requestCount.Add(1)), path: path, sent: time.Now()}
	if to == "" {
		if all := c.lab.addresses(); len(all) > 0 {
			to = all[rand.IntN(len(all))]
		}
	}
	x.router = to
	c.mu.Lock()
	c.all = append(c.all, x)
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		x.note = err.Error()
		return x, nil
	}
	req.Host = "h.example"
	req.Header.Set("X-Fawnwinch-Request-Id", x.id)
	req.Header.Set("X-Fawnwinch-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Api-Key", apiKey)
	return x, req
}

func (c *clients) finish(x *call) {
	x.took = time.Since(x.sent)
	c.lab.log("request %s %s by %s sent at %.3f: status %d, %d events, served %v, after %d ms %s", x.id, x.path, x.router, x.sent.Sub(c.lab.began).Seconds(), x.status, x.events, x.served, x.took.Milliseconds(), x.note)
}

// stream asks for a stream of events. Like the clients of the pages, it gives up after a gap of two
// seconds.
func (c *clients) stream(path string, prompt, events int) *call {
	x, req := c.request(http.MethodPost, path, "x", 8*time.Second, "")
	defer c.finish(x)
	if req == nil {
		return x
	}
	req.Header.Set("X-Fawnwinch-Model-Name", "m")
	req.Header.Set("X-Fawnwinch-Token-Usage", fmt.Sprintf("%d,%d", prompt, events*stride))
	req.Header.Set("X-Fawnwinch-Prompt-Prefix-Hash", fmt.Sprintf("5c1e07a2:40,%s:%d", x.id[1:], prompt-40))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(2*time.Second, cancel)
	defer gap.Stop()
	resp, err := c.kept.RoundTrip(req.WithContext(ctx))
	if err != nil {
		x.note = err.Error()
		return x
	}
	defer resp.Body.Close()
	x.status = resp.StatusCode
	in := bufio.NewReader(resp.Body)
	last := ""
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				x.note = err.Error()
			}
			x.served = err == io.EOF && x.status == 200 && x.events == events && last == fmt.Sprintf("id: %d", events)
			return x
		}
		if strings.HasPrefix(line, "id:") {
			x.events++
			last = strings.TrimSpace(line)
			gap.Reset(2 * time.Second)
		}
	}
}

// plain makes a request to the plain service.
func (c *clients) plain(method, path, to string, deadline time.Duration) *call {
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("b", 600)
	}
	x, req := c.request(method, path, body, deadline, to)
	defer c.finish(x)
	if req == nil {
		return x
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { x.kept = i.Reused }})
	resp, err := c.kept.RoundTrip(req.WithContext(ctx))
	if err != nil {
		x.note = err.Error()
		return x
	}
	defer resp.Body.Close()
	x.status = resp.StatusCode
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		x.note = err.Error()
		return x
	}
	x.served = x.status == 200 && strings.HasPrefix(string(got), x.id+" ") && resp.Header.Get("X-Fawnwinch-Response-Seal") != ""
	return x
}

// between returns how many requests were sent from one time to another, and how many were served.
func (c *clients) between(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.all {
		if x.sent.Before(from) || !x.sent.Before(to) {
			continue
		}
		sent++
		if x.served {
			served++
		}
	}
	return sent, served
}
