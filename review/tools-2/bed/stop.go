//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// eventPause is the time between two events of a stream. A pause of up to 120 ms is in time.
	eventPause = 75 * time.Millisecond
	// tokensPerEvent is the number of tokens that an event holds.
	tokensPerEvent = 4
	// usualEvents is the mean length of a stream, and longEvents a long one, below the largest of the
	// sheet (60.8).
	usualEvents, longEvents = 24, 60
	// usualCalm is how long streams of the usual length are sent before the stop, and longAfter how
	// long after the order to stop the long ones are sent.
	usualCalm = 5 * time.Second
	longAfter = 4200 * time.Millisecond
)

// streamOut runs a request for a stream: the prompt's tokens and the most tokens of the answer are
// named in the request.
func (b *bed) streamOut(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		name := q.Header.Get("X-Fawnwinch-Request-Id")
		_, out, _ := strings.Cut(q.Header.Get("X-Fawnwinch-Token-Usage"), ",")
		tokens, _ := strconv.Atoi(out)
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		b.log("replica %s: runs %s, %d events", id, name, tokens/tokensPerEvent)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		flush := http.NewResponseController(w)
		for i := from + 1; i <= tokens/tokensPerEvent; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", i); err != nil || flush.Flush() != nil || q.Context().Err() != nil {
				b.log("replica %s: the connection of %s was closed before event %d", id, name, i)
				return
			}
			time.Sleep(eventPause)
		}
		b.log("replica %s: %s is complete", id, name)
	}
}

// resolve asks the directory for the addresses of routers.
func resolve(address, host string) ([]string, error) {
	resp, err := http.Get("http://" + address + "/fawnwinch/resolve?name=" + host + "&region=r&zone=a")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return body.Addresses, json.NewDecoder(resp.Body).Decode(&body)
}

// outcome is what a client has seen of a stream.
type outcome struct {
	status, events int
	complete       bool
	// closes reports whether the connection is closed after the answer.
	closes bool
	took   time.Duration
	err    error
}

// stream sends one request for a stream on a kept connection, and reads its answer.
func (b *bed) stream(w *wire, id string, events int) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
	defer cancel()
	_ = w.conn.SetDeadline(began.Add(9 * time.Second))
	resp, err := w.send(ctx, http.MethodPost, "/draft/x", b.host, map[string]string{
		"X-Fawnwinch-Request-Id": id, "X-Fawnwinch-Deadline-Ms": "8000", "Api-Key": "k-one",
		"X-Fawnwinch-Model-Name": "m", "X-Fawnwinch-Token-Usage": fmt.Sprintf("674,%d", events*tokensPerEvent),
	}, []byte("prompt"))
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	out := outcome{status: resp.StatusCode, closes: resp.Close}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			out.events++
		}
	}
	out.err, out.took = lines.Err(), time.Since(began)
	out.complete = out.err == nil && (out.events == events || resp.StatusCode != http.StatusOK)
	return out
}

// runStop stops and starts the router while a client asks for streams.
func runStop(b *bed) error {
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i+1)
		if _, err := b.startReplica(id, "drafts", 12, b.streamOut(id)); err != nil {
			return err
		}
	}
	b.operate(`{"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"gap_aim_ms":120,"priority":1,"service":"drafts","maxAttempts":2,"streamResume":true}`,
		`{"name":"drafts"}`, `[{"name":"seiryu","apiKeys":["k-one"]}]`)
	r, err := b.startRouter()
	if err != nil {
		return err
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	var mu sync.Mutex
	serial := 0
	var stopped time.Time
	ask := func(w *wire, events int) outcome {
		mu.Lock()
		serial++
		id := fmt.Sprintf("q%04d", serial)
		since := ""
		if !stopped.IsZero() {
			since = fmt.Sprintf(", %.3f s after SIGTERM", time.Since(stopped).Seconds())
		}
		mu.Unlock()
		b.log("client: sends %s for %d events%s", id, events, since)
		out := b.stream(w, id, events)
		b.log("client: %s: status %d, %d events, complete %t, %.3f s, error %v", id, out.status, out.events, out.complete, out.took.Seconds(), out.err)
		return out
	}
	connect := func() (*wire, error) {
		list, err := resolve(r.directory, b.host)
		if err != nil {
			return nil, fmt.Errorf("directory: %w", err)
		}
		if !slices.Contains(list, r.front) {
			return nil, fmt.Errorf("directory names %v", list)
		}
		return dial(r.front)
	}
	// Two clients with a kept connection each.
	var kept []*wire
	for range 2 {
		w, err := connect()
		if err != nil {
			return err
		}
		defer w.close()
		kept = append(kept, w)
	}
	var all sync.WaitGroup
	for _, w := range kept {
		all.Go(func() {
			for end := time.Now().Add(usualCalm); time.Now().Before(end); {
				if out := ask(w, usualEvents); !out.complete || out.status != http.StatusOK {
					return
				}
			}
		})
	}
	all.Wait()
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	if b.trouble {
		r.signal(syscall.SIGTERM)
		go func() { // the platform kills what still runs after the grace period, and starts it again
			at := stopped.Add(graceTime)
			select {
			case <-r.ended:
			case <-time.After(time.Until(at)):
				r.kill()
			}
			time.Sleep(300 * time.Millisecond)
			_ = r.start()
		}()
	}
	lost := 0
	for i := range kept {
		all.Go(func() {
			for time.Since(stopped) < longAfter-usualEvents*eventPause {
				w, err := connect()
				if err != nil {
					b.log("client: %v", err)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				if out := ask(w, usualEvents); !out.complete {
					b.log("client: the usual stream of client %d was cut", i)
				}
				w.close()
			}
			time.Sleep(time.Until(stopped.Add(longAfter)))
			w, err := connect()
			if err != nil {
				b.log("client: nothing is sent: %v", err)
				return
			}
			defer w.close()
			out := ask(w, longEvents)
			if out.status == http.StatusOK && !out.complete {
				mu.Lock()
				lost++
				mu.Unlock()
				b.log("BROKEN: the connection closed %.3f s after SIGTERM, after %d of %d events", time.Since(stopped).Seconds(), out.events, longEvents)
			}
		})
	}
	all.Wait()
	if lost > 0 {
		return fmt.Errorf("%w: %d streams that were sent more than 3 s after SIGTERM, and passed on, were cut", errBroken, lost)
	}
	return nil
}
