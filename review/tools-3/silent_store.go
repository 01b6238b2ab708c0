package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second // contactMs
	applyTime   = 2 * time.Second // configApplyMs
	changeAfter = 900 * time.Millisecond
)

// silentStore lets the open connections to the store go silent, while new ones work. Then a
// configuration moves the routes to another service.
func silentStore(l *Lab) (bool, error) {
	before := strings.Replace(deskConfig, `"services":[`, `"services":[{"name":"desk2","healthCheckPath":"/healthz","maxConnections":48,"protocol":"h1","tls":false},`, 1)
	after := strings.ReplaceAll(strings.Replace(before, `"version":7`, `"version":9`, 1), `"service":"desk"`, `"service":"desk2"`)
	l.store.put("keyed.op", "config", before)
	old, err := l.replicaOf("desk", 0, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := l.replicaOf("desk2", 1, 30*time.Millisecond); err != nil {
		return false, err
	}
	var routers []*Proc
	for i, zone := range []string{"kolkata-hall", "durgapur-hall"} {
		r, err := l.addNamed("front-"+zone+"-1", zone, "router", i+1, "")
		if err != nil {
			return false, err
		}
		routers = append(routers, r)
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second)
	c := newClients(l)
	var w sync.WaitGroup
	silentAt := time.Now()
	if l.trouble {
		l.store.silence()
		l.log("the open connections to the store go silent")
	}
	time.Sleep(changeAfter)
	l.store.put("keyed.op", "config", after)
	changed := time.Now()
	l.log("the store has acknowledged version 9, which moves the routes from desk to desk2")
	for time.Since(changed) < 12*time.Second {
		for _, r := range routers {
			w.Go(func() { c.plain("POST", "/post/x", r.ip+":8227", 4*time.Second) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.Wait()
	stale := 0
	var latest time.Duration
	for _, x := range c.all {
		_, ran := old.arrived[x.id]
		if after := x.sent.Sub(changed); ran && after > applyTime && x.sent.Sub(silentAt) > contactTime {
			stale++
			latest = max(latest, after)
			l.log("CONFIG: %s, sent to %s %d ms after the acknowledgement and %d ms after the silence, was run by the old service", x.id, x.router, after.Milliseconds(), x.sent.Sub(silentAt).Milliseconds())
		}
	}
	fmt.Printf("%d requests, sent more than %v after the acknowledgement to machines in touch, were run by the old service; the latest %d ms after it\n", stale, applyTime, latest.Milliseconds())
	return stale > 0, nil
}
