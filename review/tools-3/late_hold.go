package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const llmConfig = `{"version":7,"routes":[{"name":"r-llm","host":"h.example","pathPrefix":"/llm/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"priority":1,"service":"llm","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"streamResume":true,"gap_aim_ms":120}],
"services":[{"name":"llm","healthCheckPath":"/healthz","maxConnections":268,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacityTokens":280000,"kvTokenBytes":35136,"linkMbps":180000.0,"stride":4,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":835,"answer":97},"sets":4,"experts":72,"places":8,"spare":3,"expert_mb":2200.0,"expert_share":0.85,"form_ms":600.0}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["` + apiKey + `"],"priority":1}]}`

const (
	recovery   = 12 * time.Second // recoveryS
	downTime   = 1200 * time.Millisecond
	lateShare  = 0.5              // x of applied_late in the output of fleetbench kinds
	lateFor    = 6 * time.Second  // for_s of applied_late in the site file
	quietRound = 13 * time.Second // late orders are carried out within 12 s
	quietCount = 5
)

// lateHold plays a quiet time after all processes were killed, in which orders to the replicas are
// carried out late, and then usual traffic. FINAL_FAULT=0 leaves only the kill of all processes out.
func lateHold(l *Lab) (bool, error) {
	l.store.put("keyed.op", "config", llmConfig)
	g := newGroup(l)
	if err := g.start(); err != nil {
		return false, err
	}
	for n := 1; n <= 2; n++ {
		if _, err := l.add("router", n, ""); err != nil {
			return false, err
		}
	}
	for n := range ranks {
		if _, err := l.add("agent", 21+n, g.ranks[n].address); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(l)
	before := time.Now()
	g.traffic(c, 8*time.Second)
	sentBefore, servedBefore := c.between(before, time.Now())
	l.log("before the fault %d of %d requests were served", servedBefore, sentBefore)

	if l.trouble && os.Getenv("FINAL_FAULT") != "0" {
		l.log("fault: all processes are killed")
		var w sync.WaitGroup
		for _, p := range l.procs {
			w.Go(p.kill)
		}
		w.Wait()
		time.Sleep(downTime)
		for _, p := range l.procs {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	returned := time.Now()
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for round := range quietCount {
		began := time.Now()
		g.setTopic(100 + round)
		g.setLate(l.trouble)
		c.stream("/llm/quiet", 714, 8)
		time.Sleep(lateFor - time.Since(began))
		g.setLate(false)
		time.Sleep(quietRound - time.Since(began))
	}
	g.traffic(c, 20*time.Second)
	sent, served := c.between(returned.Add(recovery), time.Now())
	l.log("of the requests sent more than %v after the return, %d of %d were served", recovery, served, sent)
	fmt.Printf("before the fault %d of %d requests were served; of those sent more than %v after the return, %d of %d; passes with different maps: %d\n", servedBefore, sentBefore, recovery, served, sent, g.mixed)
	return 4*servedBefore >= sentBefore && 4*served < sent || g.mixed > 0, nil
}

// traffic sends four streams a second for a time, and waits for their ends.
func (g *Group) traffic(c *clients, length time.Duration) {
	var w sync.WaitGroup
	for end, n := time.Now().Add(length), 0; time.Now().Before(end); n++ {
		if n%12 == 0 {
			g.setTopic(n)
		}
		w.Go(func() { c.stream("/llm/usual", 714, 24) })
		time.Sleep(250 * time.Millisecond)
	}
	w.Wait()
}

func (g *Group) setTopic(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.topic = n
}

func (g *Group) setLate(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.late = 0; on {
		g.late = lateShare
	}
}
