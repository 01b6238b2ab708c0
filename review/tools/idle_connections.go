package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// phone is a caller that makes a request now and then. It keeps its connection and takes it up
// again if it has rested for no more than four fifths of idleTimeoutMs; otherwise it opens another.
type phone struct {
	closes bool
	conn   net.Conn
	reader *bufio.Reader
	to     string
	rested time.Time
	left   []net.Conn
}

// connect returns the phone's connection if it may be taken up again, or else a new one. The old one
// is left for the router to close when idleTimeoutMs has passed, or closed if the phone closes its
// connections itself.
func (p *phone) connect(address string, keep time.Duration, deadline time.Time) error {
	if p.conn != nil && time.Since(p.rested) <= keep {
		return nil
	}
	if p.conn != nil {
		if p.closes {
			_ = p.conn.Close()
		} else {
			p.left = append(p.left, p.conn)
		}
		p.conn = nil
	}
	c, err := net.DialTimeout("tcp", address, min(time.Second, time.Until(deadline)))
	if err != nil {
		return err
	}
	p.conn, p.reader, p.to = c, bufio.NewReaderSize(c, 1024), address
	return nil
}

// request makes one request.
func (p *phone) request(address, key string, keep, deadline time.Duration) *attempt {
	a := &attempt{id: newID(), key: key, path: pathSafe, began: time.Now()}
	defer func() { a.ended = time.Now() }()
	end := a.began.Add(deadline)
	if a.err = p.connect(address, keep, end); a.err != nil {
		a.to = address
		return a
	}
	a.dialed, a.to = true, p.to
	_ = p.conn.SetDeadline(end)
	_, a.err = fmt.Fprintf(p.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Fawnwinch-Request-Id: %s\r\nX-Fawnwinch-Deadline-Ms: %d\r\nApi-Key: %s\r\n\r\n", pathSafe, host, a.id, deadline.Milliseconds(), key)
	a.sent = time.Now()
	defer func() {
		if a.err != nil {
			_ = p.conn.Close()
			p.conn = nil
		}
	}()
	if a.err == nil {
		var resp *http.Response
		if resp, a.err = http.ReadResponse(p.reader, nil); a.err == nil {
			_, a.err = io.Copy(io.Discard, resp.Body)
			p.rested = time.Now()
			a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Fawnwinch-Response-Seal")
			if resp.Close {
				p.rested = time.Time{} // the router closes it
			}
		}
	}
	return a
}

// idleConnections: many callers make a request every quarter of a minute. The configuration allows
// connections to rest for idleTimeoutMs; callers leave those that have rested for longer to the
// routers. Requests must still be answered, at the latest half a second after their route's
// timeoutMs.
func idleConnections(l *Lab, trouble bool) (int, error) {
	const (
		routers   = 2
		idle      = 15 * time.Second // idleTimeoutMs
		keep      = idle * 4 / 5
		timeout   = 1500 * time.Millisecond
		deadline  = 3 * time.Second
		perSecond = 108.0 // 63.8 a second times 1.7
		pause     = 16 * time.Second
		runTime   = 95 * time.Second
		// ownFiles is the number of descriptors that the callers need.
		ownFiles = 2*maxFds + 1000
		// few is how many late answers may be chance.
		few = 8
	)
	cfg := &Config{version: 4, routes: 110, timeoutMs: int(timeout.Milliseconds()), keys: map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {"key-b"}}}
	l.store.put("keyed.op", "config", cfg.text())
	if err := l.deployment(routers, 12, func() time.Duration { return 60 * time.Millisecond }); err != nil {
		return exitNotRun, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return exitNotRun, err
	}
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < ownFiles {
		return exitNotRun, fmt.Errorf("the callers need %d descriptors, %d are allowed: %v", ownFiles, own.Cur, err)
	}
	time.Sleep(time.Second)

	var mu sync.Mutex
	var attempts []*attempt
	var wg sync.WaitGroup
	began := time.Now()
	count := int(perSecond * pause.Seconds())
	use := func(p *phone, first time.Duration) {
		defer wg.Done()
		time.Sleep(first)
		for time.Since(began) < runTime {
			a := p.request(l.routers[rand.IntN(routers)].front, "key-b", keep, deadline)
			mu.Lock()
			attempts = append(attempts, a)
			mu.Unlock()
			time.Sleep(time.Duration((0.8 + 0.4*rand.Float64()) * float64(pause)))
		}
	}
	for range count {
		wg.Add(1)
		go use(&phone{closes: !trouble}, time.Duration(rand.Float64()*float64(pause)))
	}
	files := func() {
		for time.Since(began) < runTime {
			for _, p := range l.routers {
				l.note("%s has %d descriptors open", p.name, p.files())
			}
			time.Sleep(5 * time.Second)
		}
	}
	go files()
	time.Sleep(time.Until(began.Add(runTime)))
	mu.Lock()
	defer mu.Unlock()

	// The rule: of the requests without an answer at their route's timeoutMs, more than half have
	// none half a second later.
	unanswered, later, ok := 0, 0, 0
	for _, a := range attempts {
		took := a.ended.Sub(a.sent)
		l.note("request %s to=%s sent=%.3f took=%.3f status=%d runs=%d err=%v", a.id, a.to, l.at(a.sent), took.Seconds(), a.status, len(l.runs.of(a.id)), a.err)
		switch {
		case a.status != 0:
			ok++
		case !a.dialed:
			continue
		}
		if took > timeout {
			unanswered++
		}
		if took > timeout+500*time.Millisecond {
			later++
			l.note("BROKEN: request %s had no answer %.3f s after it was sent", a.id, took.Seconds())
		}
	}
	l.note("sum: %d requests, %d answered, %d without an answer at timeoutMs, %d without one half a second later", len(attempts), ok, unanswered, later)
	fmt.Printf("requests=%d answered=%d unanswered=%d later=%d\n", len(attempts), ok, unanswered, later)
	switch {
	case ok == 0:
		return exitNotRun, fmt.Errorf("no request was answered")
	case later > few && 2*later > unanswered:
		return exitBroken, nil
	}
	return exitHeld, nil
}
