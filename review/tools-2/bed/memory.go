//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is the size of a body, below the maxBodyBytes of 4,194,304.
	bodyBytes = 1_000_000
	// usualClients is the number of clients at each router, and burstClients that of a burst of 1.7
	// times the traffic.
	usualClients, burstClients = 70, 119
	// calmTime is how long the usual clients ask before and after the burst of burstTime.
	calmTime, burstTime = 5 * time.Second, 5 * time.Second
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = 300 * time.Millisecond
	// faultEnds is the number of ends on at least two machines from which a day has failed.
	faultEnds = 3
)

// rssMB returns the resident memory of a process, in MB.
func rssMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// guard does what the platform does: it kills a process that exceeds its memory, and starts it again.
func (r *router) guard(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		cmd, ended := r.cmd, r.ended
		r.mu.Unlock()
		used := rssMB(cmd.Process.Pid)
		r.peakMB = max(r.peakMB, used)
		if used <= memoryMB {
			continue
		}
		r.killedOver++
		r.b.log("platform: %s uses %d MB of %d MB and is killed", r.name, used, memoryMB)
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			r.b.log("%s: %v", r.name, err)
			return
		}
	}
}

// runMemory lets many clients come at once. Their bodies are as large as the configuration allows.
func runMemory(b *bed) error {
	for i := range 12 {
		id := fmt.Sprintf("i-%d", i+1)
		if _, err := b.startReplica(id, "ledger", 12, func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		}); err != nil {
			return err
		}
	}
	b.operate(`{"name":"post","host":"desk.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":1000,"priority":2,"service":"ledger","maxAttempts":1}`, `{"name":"ledger"}`, `[{"name":"seiryu","apiKeys":["k-one"]}]`)
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var guards, clients sync.WaitGroup
	for _, r := range all {
		if err := r.awaitReady(); err != nil {
			return err
		}
		guards.Go(func() { r.guard(ctx) })
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var served, refused, lost atomic.Int64
	ask := func(r *router, c int, until time.Time) {
		var w *wire
		for i := 0; time.Now().Before(until); i++ {
			if w == nil {
				var err error
				if w, err = dial(r.front); err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
			}
			_ = w.conn.SetDeadline(time.Now().Add(8 * time.Second))
			resp, err := w.send(context.Background(), http.MethodPost, "/post/x", b.host, map[string]string{"X-Fawnwinch-Request-Id": fmt.Sprintf("q%s-%d-%d", r.name, c, i), "X-Fawnwinch-Deadline-Ms": "8000", "Api-Key": "k-one"}, body)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			switch {
			case err != nil:
				lost.Add(1)
				w.close()
				w = nil
			case resp.StatusCode == http.StatusOK:
				served.Add(1)
			default:
				refused.Add(1)
				time.Sleep(300 * time.Millisecond)
			}
			if w != nil && resp.Close {
				w.close()
				w = nil
			}
		}
		if w != nil {
			w.close()
		}
	}
	began := time.Now()
	end := began.Add(2*calmTime + burstTime)
	for _, r := range all {
		for c := range usualClients {
			clients.Go(func() { ask(r, c, end) })
		}
	}
	time.Sleep(calmTime)
	calmKills := all[0].killedOver + all[1].killedOver
	b.log("clients: %d at each router so far; served %d, refused %d, without an answer %d; memory at most %d and %d MB", usualClients, served.Load(), refused.Load(), lost.Load(), all[0].peakMB, all[1].peakMB)
	if b.trouble {
		b.log("clients: %d at each router for %s", burstClients, burstTime)
		for _, r := range all {
			for c := usualClients; c < burstClients; c++ {
				clients.Go(func() { ask(r, c, began.Add(calmTime+burstTime)) })
			}
		}
	}
	clients.Wait()
	cancel()
	guards.Wait()
	b.log("clients: served %d, refused %d, without an answer %d; memory at most %d and %d MB", served.Load(), refused.Load(), lost.Load(), all[0].peakMB, all[1].peakMB)
	first, second := all[0].killedOver, all[1].killedOver
	if calmKills > 0 {
		return fmt.Errorf("%d ends before the burst", calmKills)
	}
	if first > 0 && second > 0 && first+second >= faultEnds {
		return fmt.Errorf("%w: processes of two machines ended %d and %d times over their memory", errBroken, first, second)
	}
	return nil
}
