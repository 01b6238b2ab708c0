package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second         // drainMs
	linger    = 250 * time.Millisecond  // "a little longer"
	cutTime   = 5500 * time.Millisecond // for_s of core_cut in the site file
	leadTime  = 100 * time.Millisecond
)

// goneReplica cuts the router that reads the list of replicas off from the store. Then the last replica of a service
// leaves without having said so: its entry goes, and it serves on for drainMs and a little longer.
func goneReplica(l *Lab) (bool, error) {
	l.store.put("keyed.op", "config", deskConfig)
	p, err := l.replica(0, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	routers := map[string]*Proc{}
	for n := 1; n <= 3; n++ {
		r, err := l.add("router", n, "")
		if err != nil {
			return false, err
		}
		routers[r.name] = r
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	reader := routers[l.store.reader("keyed.servers")]
	if reader == nil {
		return false, fmt.Errorf("no router reads the list of replicas")
	}
	l.store.awaitRead("keyed.servers", reader.name)
	if l.trouble {
		l.log("%s is cut off from the store", reader.name)
		l.store.setCut(reader.name)
	}
	time.Sleep(leadTime)
	l.store.put("keyed.servers", p.id, "")
	gone := time.Now()
	l.log("the store has acknowledged that %s is gone", p.id)
	c := newClients(l)
	var w sync.WaitGroup
	end := time.AfterFunc(drainTime+linger, func() {
		_ = p.server.Close()
		l.log("replica %s ends", p.id)
	})
	defer end.Stop()
	for time.Since(gone) < drainTime+linger+500*time.Millisecond {
		for _, r := range routers {
			if r != reader {
				w.Go(func() { c.plain("POST", "/post/x", r.ip+":8227", 1500*time.Millisecond) })
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.Wait()
	if l.trouble {
		time.Sleep(time.Until(gone.Add(cutTime - leadTime)))
		l.store.setCut("")
	}
	late := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.arrived {
		if after := at.Sub(gone); after > drainTime {
			late++
			l.log("DRAIN: %s reached the replica %d ms after it was acknowledged to be gone", id, after.Milliseconds())
		}
	}
	lost := 0
	for _, x := range c.all {
		if at, ran := p.arrived[x.id]; ran && !x.served && at.Sub(gone) > drainTime {
			lost++
			l.log("%s was run after that, and got no answer of the replica", x.id)
		}
	}
	fmt.Printf("%d requests reached the replica later than %v after the store had acknowledged that it was gone; %d of them were lost\n", late, drainTime, lost)
	return late > 0, nil
}
