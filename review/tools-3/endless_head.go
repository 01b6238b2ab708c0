package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	garbledShare = 0.02             // x of garble in the site file and in its days
	garbleRate   = 20 * 1000 * 1000 // bytes a second, a sixth of what a router's link carries
	deskWork     = 120 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	headTraffic  = 60 * time.Second
)

// endlessHead plays usual traffic while one of three replicas sends, in place of some of its
// answers, bytes that are not an answer. Like the platform, it kills a process that exceeds its
// memory, and starts it again.
func endlessHead(l *Lab) (bool, error) {
	l.store.put("keyed.op", "config", deskConfig)
	var replicas []*Replica
	for n := range 3 {
		p, err := l.replica(n, deskWork)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	var routers []*Proc
	for n := 1; n <= 2; n++ {
		p, err := l.add("router", n, "")
		if err != nil {
			return false, err
		}
		routers = append(routers, p)
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var w, watch sync.WaitGroup
	var mu sync.Mutex
	exceeded, peak := map[string]int{}, 0
	for _, p := range routers {
		watch.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				rss := p.residentMB()
				mu.Lock()
				peak = max(peak, rss)
				mu.Unlock()
				if rss <= memoryMb {
					continue
				}
				l.log("%s holds %d MB, more than its memoryMb of %d: the platform kills it", p.name, rss, memoryMb)
				mu.Lock()
				exceeded[p.name]++
				mu.Unlock()
				p.signal(syscall.SIGKILL)
				<-p.done
				time.Sleep(restartDelay)
				if err := p.start(); err != nil {
					l.log("%s does not start: %v", p.name, err)
				}
			}
		})
	}
	if l.trouble {
		replicas[0].garbled, replicas[0].garbleRate = garbledShare, garbleRate
	}
	c := newClients(l)
	for end := time.Now().Add(headTraffic); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		to := routers[rand.IntN(len(routers))].ip + ":8227"
		w.Go(func() {
			if rand.IntN(8) < 5 {
				c.plain("POST", "/post/x", to, 4*time.Second)
			} else {
				c.plain("GET", "/view/x", to, 4*time.Second)
			}
		})
	}
	w.Wait()
	close(done)
	watch.Wait()
	lost := 0
	for _, x := range c.all {
		sound := false
		for _, p := range replicas {
			sound = sound || p.isSound(x.id)
		}
		if x.status == 0 && x.kept && sound && x.took < 4*time.Second {
			lost++
			l.log("LOST: %s was taken from a kept connection and run by a sound replica, and the connection ended without an answer", x.id)
		}
	}
	total := 0
	for _, n := range exceeded {
		total += n
	}
	sent, served := c.between(l.began, time.Now())
	fmt.Printf("%d of %d requests were served; a router exceeded its memory %d times (peak %d MB of %d); %d requests on kept connections, run by sound replicas, got no answer\n", served, sent, total, peak, memoryMb, lost)
	l.log("exceeded %v, peak %d MB, lost %d", exceeded, peak, lost)
	return lost > 3, nil
}

// residentMB returns the memory that a process holds, in MB; 0 if it does not run.
func (p *Proc) residentMB() int {
	p.lab.mu.Lock()
	pid := p.cmd.Process.Pid
	p.lab.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() / 1000 / 1000
}
