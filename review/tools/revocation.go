package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// revocation: the store turns both routers away for some seconds and serves the operator, who
// writes a storm of configurations and then takes a key away. Once the store serves the routers
// again, requests with that key are sent on. None of those sent later than revokeMs after the
// acknowledgement may run.
func revocation(l *Lab, trouble bool) (int, error) {
	const (
		revokeBound = 5 * time.Second
		turnedAway  = 9 * time.Second
		stormGap    = 330 * time.Millisecond
		routes      = 110 + 400 + 400
	)
	cfg := &Config{version: 4, routes: routes, timeoutMs: 1500, keys: map[string][]string{"tenant-a": {"key-a-kept", "key-a-taken"}, "tenant-b": {"key-b"}}}
	write := func(what string) time.Time {
		text := cfg.text()
		at := l.store.put("keyed.op", "config", text)
		acked := time.Now()
		l.note("operator: version %d acknowledged at offset %d, %d bytes (%s)", cfg.version, at, len(text), what)
		return acked
	}
	write("first")
	if err := l.deployment(2, 12, func() time.Duration { return 20 * time.Millisecond }); err != nil {
		return exitNotRun, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var attempts []*attempt
	var wg sync.WaitGroup
	stop := make(chan struct{})
	traffic := func(key string, perSecond float64) {
		defer wg.Done()
		for {
			gap := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := send(l.routers[rand.IntN(len(l.routers))].front, key, pathSafe, 1500*time.Millisecond)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
			}()
		}
	}
	wg.Add(2)
	go traffic("key-a-taken", 100)
	go traffic("key-b", 20)
	time.Sleep(time.Second)

	began := time.Now()
	if trouble {
		for _, p := range l.routers {
			l.doors[p.name].set(storeBusy)
		}
		l.note("store: turns away front-1 and front-2 (503), serves the operator and the others")
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 11 {
		cfg.version += 1 + i%3
		cfg.timeoutMs = 1500 + i%2*100
		write("storm")
		time.Sleep(stormGap)
	}
	cfg.version += 2
	cfg.keys["tenant-a"] = []string{"key-a-kept"}
	revoked := write("key-a-taken is taken away")
	time.Sleep(time.Until(began.Add(turnedAway)))
	if trouble {
		for _, p := range l.routers {
			l.doors[p.name].set(storeServes)
		}
		l.note("store: serves front-1 and front-2 again, %.3f s after the key was taken away", time.Since(revoked).Seconds())
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()

	late, ran, kept := 0, 0, 0
	for _, a := range attempts {
		runs := l.runs.of(a.id)
		l.note("request %s key=%s to=%s sent=%.3f status=%d runs=%d err=%v", a.id, a.key, a.to, l.at(a.sent), a.status, len(runs), a.err)
		if a.key == "key-b" && len(runs) > 0 {
			kept++
		}
		// The first byte counts as sent: none of the request was sent before.
		if a.key != "key-a-taken" || a.began.Sub(revoked) <= revokeBound {
			continue
		}
		late++
		if len(runs) > 0 {
			ran++
			l.note("BROKEN: request %s was sent %.3f s after the acknowledgement that took its key away, and ran at %s for %q: status %d", a.id, a.began.Sub(revoked).Seconds(), runs[0].replica, runs[0].tenant, a.status)
		}
	}
	l.note("sum: %d requests; %d with the key that was taken away were sent later than %s after the acknowledgement, %d of them ran; %d with another key ran", len(attempts), late, revokeBound, ran, kept)
	fmt.Printf("late=%d ran=%d\n", late, ran)
	switch {
	case late == 0 || kept == 0:
		return exitNotRun, fmt.Errorf("no traffic: late %d, kept %d", late, kept)
	case ran > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}
