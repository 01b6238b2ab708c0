package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engine's figures are those of the configuration in `fleetbench wire sites/scst-tourney.toml`.
const (
	ranks, sets, experts, places = 12, 4, 72, 8
	stride                       = 4
	stepMs, perSeqMs             = 4.55, 0.905
	copyTime                     = 98 * time.Millisecond // expert_mb 2,200 over linkMbps 180,000
	choicesPerToken              = 8
)

type expertMap [][][]int // by set and rank, the experts

// Group is a group of model replicas that make every pass together. An idle group makes none.
type Group struct {
	lab *Lab

	mu     sync.Mutex
	cond   *sync.Cond
	ranks  [ranks]*rank
	step   uint64
	topic  int
	mixed  int
	rand   *rand.Rand
	late   float64 // share of the orders without an answer, carried out late
	passes int
}

type rank struct {
	id, address     string
	version         uint64
	experts         expertMap
	newest          uint64
	prepared        uint64
	next            expertMap
	readyAt         time.Time
	armed, armedAt  uint64
	holds           bool
	held            uint64
	fence, sequence uint64
	counts          []uint64
	running         map[*generation]bool
	born            int64
}

// generation is a stream that a rank runs.
type generation struct {
	tokens, events, done int
	out                  chan int
}

func newGroup(l *Lab) *Group {
	g := &Group{lab: l, rand: rand.New(rand.NewPCG(rand.Uint64(), 1))}
	g.cond = sync.NewCond(&g.mu)
	first := make(expertMap, sets)
	for s := range first {
		first[s] = make([][]int, ranks)
		for e := range experts {
			first[s][e%ranks] = append(first[s][e%ranks], e)
		}
	}
	for n := range g.ranks {
		g.ranks[n] = &rank{
			id: fmt.Sprintf("i-rank%02d", n), address: fmt.Sprintf("%s:8228", l.ip(21+n)), experts: first,
			counts: make([]uint64, sets*experts), running: map[*generation]bool{}, born: time.Now().UnixMilli(),
		}
	}
	return g
}

func (g *Group) start() error {
	for n, r := range g.ranks {
		if err := g.lab.serve(r.address, g.handler(n)); err != nil {
			return err
		}
		g.lab.store.put("keyed.servers", r.id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":"kolkata-hall","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":1}`, r.address))
	}
	go g.run()
	return nil
}

// run makes passes while any rank has a request and no rank holds the next pass.
func (g *Group) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		for !g.busy() || g.isHeld() {
			g.cond.Wait()
		}
		g.begin()
		most := 0
		for _, r := range g.ranks {
			most = max(most, len(r.running))
		}
		g.mu.Unlock()
		time.Sleep(time.Duration(stride * (stepMs + perSeqMs*float64(most)) * float64(time.Millisecond)))
		g.mu.Lock()
		g.end()
	}
}

func (g *Group) busy() bool {
	for _, r := range g.ranks {
		if len(r.running) > 0 {
			return true
		}
	}
	return false
}

func (g *Group) isHeld() bool {
	for _, r := range g.ranks {
		if r.holds && r.held <= g.step+1 {
			return true
		}
	}
	return false
}

// begin begins a pass: ranks take the maps that they are armed with.
func (g *Group) begin() {
	g.step++
	g.passes++
	for n, r := range g.ranks {
		if r.armed != 0 && r.armedAt <= g.step {
			r.version, r.experts, r.armed, r.prepared, r.next = r.armed, r.next, 0, 0, nil
			if n == 0 {
				g.lab.log("pass %d begins with map %d", g.step, r.version)
			}
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version || !reflect.DeepEqual(r.experts, g.ranks[0].experts) {
			g.mixed++
			g.lab.log("MAP: pass %d begins with different maps", g.step)
			break
		}
	}
	for _, r := range g.ranks {
		for x := range r.running {
			g.count(r, x.tokens)
			x.tokens = stride
		}
	}
}

// end ends a pass: each stream gets an event.
func (g *Group) end() {
	for _, r := range g.ranks {
		for x := range r.running {
			x.done++
			x.out <- x.done
			if x.done == x.events {
				delete(r.running, x)
				close(x.out)
			}
		}
	}
}

// count counts which experts the tokens of a request have chosen. Half of the choices fall on six
// experts of each set, which depend on the topic.
func (g *Group) count(r *rank, tokens int) {
	for s := range sets {
		for range tokens * choicesPerToken {
			e := g.rand.IntN(experts)
			if g.rand.IntN(2) == 0 {
				e = (g.topic*17 + s*5 + 12*g.rand.IntN(6)) % experts
			}
			r.counts[s*experts+e]++
		}
	}
}

func (g *Group) handler(n int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fawnwinch/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, g.report(n)) })
	mux.HandleFunc("GET /fawnwinch/picked", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, 200, g.picked(n, r.URL.Query().Has("lists")))
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Fawnwinch-Instance-Id", g.ranks[n].id)
	})
	mux.HandleFunc("POST /fawnwinch/order", func(w http.ResponseWriter, r *http.Request) { g.order(n, w, r) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { g.generate(n, w, r) })
	return mux
}

func (g *Group) report(n int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	out := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "utilization": false, "sequence": r.sequence,
		"waiting": 0, "running": len(r.running), "kvUsed": 0, "kvTotal": 280000, "handles": 0, "born": r.born,
		"group": map[string]any{"name": "g0-0", "epoch": 1, "rank": n, "state": "open"}, "size": ranks, "pace": 1, "step": g.step, "map": r.version,
	}
	if r.prepared != 0 && !time.Now().Before(r.readyAt) {
		out["prepared"] = r.prepared
	}
	if r.armed != 0 {
		out["armed"] = map[string]any{"version": r.armed, "step": r.armedAt}
	}
	if r.holds {
		out["held"] = r.held
	}
	return out
}

func (g *Group) picked(n int, lists bool) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	if !lists {
		return map[string]any{"step": g.step, "epoch": 1, "counts": append([]uint64(nil), r.counts...)}
	}
	held := make([][]int, sets)
	for s := range held {
		held[s] = r.experts[s][n]
	}
	return map[string]any{"map": map[string]any{"version": r.version, "experts": held}}
}

type order struct {
	Op                          string
	Fence, Epoch, Version, Step uint64
	Map                         expertMap
}

// order carries out an order, or leaves it without an answer and carries it out 2 to 12 s later.
func (g *Group) order(n int, w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	lost := g.rand.Float64() < g.late
	after := 2*time.Second + time.Duration(g.rand.Int64N(int64(10*time.Second)))
	g.mu.Unlock()
	if lost {
		if o.Op == "hold" || o.Op == "go" {
			g.lab.log("rank %d: order %s step %d fence %d gets no answer, and is carried out in %.1f s", n, o.Op, o.Step, o.Fence, after.Seconds())
		}
		time.AfterFunc(after, func() { g.apply(n, o, true) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(g.apply(n, o, false))
}

func (g *Group) apply(n int, o order, late bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.cond.Broadcast()
	status := g.applyLocked(g.ranks[n], o)
	if status == http.StatusAccepted {
		g.ranks[n].sequence++
	}
	if o.Op == "hold" || o.Op == "go" {
		g.lab.log("rank %d: order %s step %d fence %d, late %v: %d (last pass begun %d)", n, o.Op, o.Step, o.Fence, late, status, g.step)
	}
	return status
}

func (g *Group) applyLocked(r *rank, o order) int {
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	if o.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = o.Fence
	now := time.Now()
	switch o.Op {
	case "prepare":
		switch {
		case r.prepared == o.Version:
			return http.StatusOK
		case o.Version <= r.newest || r.armed != 0:
			return http.StatusConflict
		}
		r.prepared, r.newest, r.next = o.Version, o.Version, o.Map
		r.readyAt = now.Add(time.Duration(fresh(r.experts, o.Map)) * copyTime)
		return http.StatusAccepted
	case "arm":
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return http.StatusOK
		case r.prepared != o.Version || now.Before(r.readyAt) || o.Step <= g.step:
			return http.StatusConflict
		}
		r.armed, r.armedAt = o.Version, o.Step
		return http.StatusAccepted
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == o.Version {
			r.armed = 0
		}
		return http.StatusOK
	case "hold":
		switch {
		case r.holds && r.held == o.Step:
			return http.StatusOK
		case r.holds || o.Step <= g.step:
			return http.StatusConflict
		}
		r.holds, r.held = true, o.Step
		return http.StatusAccepted
	case "go":
		if !r.holds || r.held != o.Step {
			return http.StatusConflict
		}
		r.holds = false
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// fresh returns the largest number of experts that are new to a rank.
func fresh(old, next expertMap) int {
	most := 0
	for r := range ranks {
		n := 0
		for s := range next {
			had := map[int]bool{}
			for _, e := range old[s][r] {
				had[e] = true
			}
			for _, e := range next[s][r] {
				if !had[e] {
					n++
				}
			}
		}
		most = max(most, n)
	}
	return most
}

// generate runs a stream.
func (g *Group) generate(n int, w http.ResponseWriter, r *http.Request) {
	rk := g.ranks[n]
	id := r.Header.Get("X-Fawnwinch-Request-Id")
	w.Header().Set("X-Fawnwinch-Request-Id", id)
	if r.Header.Get("X-Fawnwinch-Expected-Instance") != rk.id {
		w.Header().Set("X-Fawnwinch-Instance-Id", rk.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, answer, _ := strings.Cut(r.Header.Get("X-Fawnwinch-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	most, _ := strconv.Atoi(answer)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	deadline, _ := strconv.Atoi(r.Header.Get("X-Fawnwinch-Deadline-Ms"))
	x := &generation{tokens: tokens, events: max(most/stride, 1), done: from, out: make(chan int, 1024)}
	g.mu.Lock()
	rk.running[x] = true
	g.cond.Broadcast()
	g.mu.Unlock()
	g.lab.log("rank %d runs %s", n, id)
	stop := func() {
		g.mu.Lock()
		delete(rk.running, x)
		g.mu.Unlock()
	}
	timeout := time.After(time.Duration(deadline) * time.Millisecond)
	begun := false
	for {
		select {
		case event, more := <-x.out:
			if !more {
				return
			}
			if !begun {
				begun = true
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Fawnwinch-Response-Seal", "seal."+id)
				w.Header().Set("Versions", "1")
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, id, event)
			_ = http.NewResponseController(w).Flush()
		case <-r.Context().Done():
			stop()
			return
		case <-timeout:
			stop()
			if !begun {
				w.Header().Set("X-Fawnwinch-Response-Seal", "seal."+id)
				w.WriteHeader(http.StatusGatewayTimeout)
			}
			return
		}
	}
}
