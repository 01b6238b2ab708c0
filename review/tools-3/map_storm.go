package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// mapStorm kills and freezes agents at random while orders are carried out late, with lulls of the
// traffic. It is a search for faults, not a case.
func mapStorm(l *Lab) (bool, error) {
	l.store.put("keyed.op", "config", llmConfig)
	g := newGroup(l)
	if err := g.start(); err != nil {
		return false, err
	}
	if _, err := l.add("router", 1, ""); err != nil {
		return false, err
	}
	var agents []*Proc
	for n := range ranks {
		p, err := l.add("agent", 21+n, g.ranks[n].address)
		if err != nil {
			return false, err
		}
		agents = append(agents, p)
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(l)
	lulls := os.Getenv("LULLS") != "0"
	late, _ := strconv.ParseFloat(os.Getenv("LATE"), 64)
	stop := time.Now().Add(95 * time.Second)
	var w sync.WaitGroup
	w.Go(func() {
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
			p := agents[rand.IntN(len(agents))]
			if rand.IntN(2) == 0 {
				p = agents[rand.IntN(3)]
			}
			if rand.IntN(2) == 0 {
				p.kill()
				time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
				_ = p.start()
				continue
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		}
	})
	g.mu.Lock()
	g.late = late
	g.mu.Unlock()
	for n := 0; time.Now().Before(stop); n++ {
		g.setTopic(n)
		until := time.Now().Add(time.Duration(200+rand.IntN(4000)) * time.Millisecond)
		for time.Now().Before(until) {
			w.Go(func() { c.stream("/llm/x", 714, 4+rand.IntN(20)) })
			time.Sleep(100 * time.Millisecond)
		}
		if lulls {
			time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
		}
	}
	w.Wait()
	g.mu.Lock()
	g.late = 0
	g.mu.Unlock()
	time.Sleep(13 * time.Second)
	from := time.Now()
	g.traffic(c, 5*time.Second)
	sent, ok := c.between(from, time.Now())
	fmt.Printf("mixed %d, passes %d; at the end %d of %d served; held %v\n", g.mixed, g.passes, ok, sent, g.isHeld())
	return g.mixed > 0 || 2*ok < sent, nil
}
