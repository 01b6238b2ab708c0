package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// rollingStop: the three routers get SIGTERM in turn, one second apart, and each starts again when
// it has ended, while callers go on. No request that a router has passed on to a replica may lose
// its connection without an answer.
func rollingStop(l *Lab, trouble bool) (int, error) {
	const (
		routers  = 3
		grace    = 8 * time.Second
		gap      = time.Second
		deadline = 4 * time.Second
		users    = 180
		perUser  = 2.0 // requests a second
	)
	cfg := &Config{version: 4, routes: 110, timeoutMs: 4000, keys: map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {"key-b"}}}
	l.store.put("keyed.op", "config", cfg.text())
	work := func() time.Duration { return time.Duration(350+rand.IntN(100)) * time.Millisecond }
	if err := l.deployment(routers, 64, work); err != nil {
		return exitNotRun, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)

	var directories []string
	for _, p := range l.routers {
		directories = append(directories, p.di)
	}
	var mu sync.Mutex
	var attempts []*attempt
	var wg sync.WaitGroup
	stop := make(chan struct{})
	request := func(r *resolver, to, path string) {
		defer wg.Done()
		a := send(to, "key-b", path, deadline)
		if !a.dialed {
			r.failed(to)
		}
		mu.Lock()
		attempts = append(attempts, a)
		mu.Unlock()
	}
	user := func(r *resolver) {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perUser * float64(time.Second))):
			}
			if to := r.pick(); to != "" {
				wg.Add(1)
				go request(r, to, []string{pathSafe, pathUnsafe}[i%2])
			}
		}
	}
	for i := range users {
		r := &resolver{directories: directories, times: 1}
		if i%3 == 0 {
			r.times = 3 // some clients hold an answer for three times as long
		}
		wg.Add(1)
		go user(r)
	}
	time.Sleep(4 * time.Second)

	termed := map[string]time.Time{}
	var stops sync.WaitGroup
	for i, p := range l.routers {
		if !trouble {
			time.Sleep(3 * time.Second)
			continue
		}
		if i > 0 {
			time.Sleep(gap)
		}
		p.signal(syscall.SIGTERM)
		termed[p.front] = time.Now()
		stops.Add(1)
		go func() {
			defer stops.Done()
			select {
			case <-p.exited:
			case <-time.After(grace):
				p.signal(syscall.SIGKILL)
				<-p.exited
			}
			time.Sleep(300 * time.Millisecond)
			if err := p.start(); err != nil {
				l.note("start: %v", err)
			}
		}()
	}
	stops.Wait()
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()

	answered := 0
	cut := map[string]int{}
	for _, a := range attempts {
		runs := l.runs.of(a.id)
		l.note("request %s %s to=%s sent=%.3f ended=%.3f status=%d runs=%d err=%v", a.id, a.path, a.to, l.at(a.sent), l.at(a.ended), a.status, len(runs), a.err)
		if a.status == 200 && a.seal != "" {
			answered++
		}
		at, ok := termed[a.to]
		if !ok || a.err == nil || !a.dialed || a.timedOut() || len(runs) == 0 {
			continue
		}
		since, ended := a.sent.Sub(at), a.ended.Sub(at)
		switch {
		case since < 0 || ended > grace+time.Second:
			continue // not around the planned work
		case a.ended.Sub(a.began) >= deadline*7/10:
			continue // the deadline and the route's timeout are near
		case since <= 3*time.Second && ended >= grace*5/6:
			continue // the replica was still at work in the last sixth of graceS
		}
		cut[a.path]++
		l.note("BROKEN: request %s %s to %s was sent %.3f s after SIGTERM and passed on to %s; its connection closed %.3f s after SIGTERM and %.3f s after it was sent, without an answer: %v",
			a.id, a.path, a.to, since.Seconds(), runs[0].replica, ended.Seconds(), a.ended.Sub(a.sent).Seconds(), a.err)
	}
	l.note("sum: %d requests, %d answered; cut after they were passed on: %d safe, %d unsafe", len(attempts), answered, cut[pathSafe], cut[pathUnsafe])
	fmt.Printf("requests=%d answered=%d cut-safe=%d cut-unsafe=%d\n", len(attempts), answered, cut[pathSafe], cut[pathUnsafe])
	switch {
	case answered == 0:
		return exitNotRun, fmt.Errorf("no request was answered")
	case len(cut) > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}
