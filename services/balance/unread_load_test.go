// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

// loadEngine has the figures of the contended deployment.
var loadEngine = &catalog.Engine{
	Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512,
	UsualPrompt: 868, UsualAnswer: 139, Layers: 16, Experts: 96, Places: 5, ExpertShare: 0.85,
}

const (
	loadPauseGoal = 120 * time.Millisecond
	loadSkew      = 1.5
)

// sizedLoad is a load of requests with given sizes on one group.
type sizedLoad struct {
	// prompt and answer return the sizes of the next request.
	prompt, answer func(*rand.Rand) int
	// perSecond is the number of requests per second.
	perSecond float64
	// withSizes reports whether decisions use the sizes, silent how many of the routers are
	// processes that do not report tokens, and alone whether the routers decide by themselves.
	withSizes bool
	silent    int
	alone     bool
}

// sizedResult is what a load has come to.
type sizedResult struct {
	// served is the fraction of the requests that is served, and longServed that of the tenth with
	// the longest prompts.
	served, longServed float64
	// longest is the longest pass, and over the fraction of the passes whose forecast exceeds the
	// part of the pause goal that it may use.
	longest time.Duration
	over    float64
}

// sizedRequest is a request of a load.
type sizedRequest struct {
	size    Size
	router  int
	run     upstream.Run
	arrived time.Time
	served  bool
	// prompt is the size of the prompt; unread and left are the tokens that are still to be read and
	// to be written.
	prompt, unread, left int
}

// sizedGroup plays a load on a group of ranks that step together.
type sizedGroup struct {
	sizedLoad
	rand     *rand.Rand
	cands    []upstream.Instance
	ids      map[string]upstream.Run
	registry *RouterRegistry
	routers  []peer.Info
	pools    []*Pool
	queues   [][]*sizedRequest
	ranks    map[upstream.Run][]*sizedRequest
	all      []*sizedRequest
	passes   []time.Duration
}

func (l sizedLoad) play(seed uint64) sizedResult {
	const ranks, routers, length = 24, 8, 10 * time.Second
	g := &sizedGroup{sizedLoad: l, rand: rand.New(rand.NewPCG(seed, 1)), registry: NewRouterRegistry(1), ranks: map[upstream.Run][]*sizedRequest{}, queues: make([][]*sizedRequest, routers)}
	g.cands, g.ids = candidates(ranks)
	for i := range routers {
		g.routers = append(g.routers, peer.Info{Name: fmt.Sprint("r", i)})
		g.pools = append(g.pools, NewPool(""))
		g.pools[i].random = rand.New(rand.NewPCG(seed, uint64(i))).Float64
	}
	owed := 0.0
	for now := begin; now.Before(begin.Add(length)); {
		g.report(now)
		pass := g.pass(now)
		for owed += l.perSecond * pass.Seconds(); owed >= 1; owed-- {
			g.arrive(now)
		}
		g.send(now)
		now = now.Add(pass)
	}
	return g.result()
}

// arrive adds a request to the queue of a router.
func (g *sizedGroup) arrive(now time.Time) {
	prompt, answer := g.prompt(g.rand), g.answer(g.rand)
	x := &sizedRequest{router: g.rand.IntN(len(g.routers)), arrived: now, prompt: prompt, unread: prompt, left: answer}
	if g.withSizes {
		x.size = NewSize(loadEngine, DeclaredSize{Prompt: prompt, Answer: answer})
	}
	g.queues[x.router] = append(g.queues[x.router], x)
	g.all = append(g.all, x)
}

// send has each router send its waiting requests in order, until one finds no room.
func (g *sizedGroup) send(now time.Time) {
	for i, p := range g.pools {
		load := p.GroupLoad(now)
		for len(g.queues[i]) > 0 {
			x := g.queues[i][0]
			ask := PickOptions{Engine: loadEngine, Bounds: GroupBounds(loadEngine, load, loadPauseGoal), Routers: len(g.routers), Size: x.size}
			if x.size.Prompt > 0 {
				ask.Bounds = ask.Bounds.LimitUnread(loadEngine, load, loadPauseGoal)
			}
			u, ok := p.Pick(now, g.cands, ask)
			if !ok {
				break
			}
			g.queues[i], x.run, x.served = g.queues[i][1:], u.Run(), true
			p.Sent(now, x.run)
			p.SentPrompt(x.run, x.size)
			g.ranks[x.run] = append(g.ranks[x.run], x)
		}
	}
}

// report has the coordinator report the load to the routers, which reply.
func (g *sizedGroup) report(now time.Time) {
	group := Group{ID: "g", Open: true, Whole: true, Skew: loadSkew}
	for _, c := range g.cands {
		r := RankLoad{Address: c.Address, Pace: 1, Unstarted: g.registry.Unstarted(now, c.Address), Unread: g.registry.Unread(now, c.Address, int(loadEngine.UsualPrompt))}
		for _, x := range g.ranks[c.Run()] {
			if x.unread <= 0 {
				r.Running++
			}
		}
		group.Ranks = append(group.Ranks, r)
	}
	bounds := GroupBounds(loadEngine, group.Load(), loadPauseGoal).LimitUnread(loadEngine, group.Load(), loadPauseGoal).ForRanks(group.Ranks)
	number, allotments := g.registry.StartReport(now, g.routers, group.Ranks, &bounds)
	for i, n := range g.routers {
		own := group
		if !g.alone {
			own.Places = allotments[n.Name]
		}
		report, list := g.registry.Pack(n.Name, own)
		received, _ := list.Unpack(report)
		p := g.pools[i]
		unstarted, unread := p.Report(now, received, g.ids), p.Unread(&received, g.ids)
		if i < g.silent {
			unread = nil
		}
		g.registry.RecordReply(now, n, number, list, ReportReply{List: list.Number, Unstarted: list.PackUnstarted(unstarted), Unread: list.PackUnread(unread), Wanted: len(g.queues[i]) + 1, Waiting: len(g.queues[i])})
	}
}

// pass makes one pass: ranks read prompts in the order of their arrival, up to what a pass can read,
// and streams get an event. It returns the duration of the pass.
func (g *sizedGroup) pass(now time.Time) time.Duration {
	load := PassLoad{Context: loadEngine.UsualPrompt, Skew: loadSkew}
	for _, c := range g.cands {
		run := c.Run()
		writers, read := 0, 0
		for _, x := range g.ranks[run] {
			if x.unread <= 0 {
				writers++
				x.left -= loadEngine.Stride
				continue
			}
			n := min(x.unread, loadEngine.Chunk*loadEngine.Stride-read)
			read += n
			if x.unread -= n; x.unread == 0 {
				g.pools[x.router].Started(now, run)
				g.pools[x.router].PromptRead(run, x.size)
			}
		}
		g.ranks[run] = slices.DeleteFunc(g.ranks[run], func(x *sizedRequest) bool {
			if x.unread > 0 || x.left > 0 {
				return false
			}
			g.pools[x.router].Done(now, run, ResultOK, now.Sub(x.arrived), true)
			return true
		})
		load.Mean += float64(writers) / float64(len(g.cands))
		load.Max = max(load.Max, float64(writers))
		load.Reading = max(load.Reading, float64(read))
	}
	length := Pass(loadEngine, load)
	g.passes = append(g.passes, length)
	return length
}

func (g *sizedGroup) result() sizedResult {
	r := sizedResult{longest: slices.Max(g.passes)}
	for _, length := range g.passes {
		if length > time.Duration(passFraction*float64(loadPauseGoal)) {
			r.over += 1 / float64(len(g.passes))
		}
	}
	served := func(list []*sizedRequest) float64 {
		n := 0
		for _, x := range list {
			if x.served {
				n++
			}
		}
		return float64(n) / float64(len(list))
	}
	r.served = served(g.all)
	slices.SortStableFunc(g.all, func(x, y *sizedRequest) int { return y.prompt - x.prompt })
	r.longServed = served(g.all[:len(g.all)/10])
	return r
}

// lognormalPrompt returns prompts of mean 868, standard deviation 868 and at most 2,880 tokens.
func lognormalPrompt(r *rand.Rand) int {
	sigma := math.Sqrt(math.Ln2)
	return max(1, min(2880, int(868*math.Exp(sigma*r.NormFloat64()-math.Ln2/2))))
}

func fixed(n int) func(*rand.Rand) int { return func(*rand.Rand) int { return n } }

// TestLoadsBySize plays loads of prompts and answers of different sizes with and without the use of
// sizes. It guards against passes that become longer, requests that are served less often, and long
// prompts that starve.
func TestLoadsBySize(t *testing.T) {
	long := func(r *rand.Rand) int { return 1736 + r.IntN(1144) }
	usual, usualAnswer := fixed(868), fixed(139)
	cases := map[string]struct {
		load sizedLoad
		// shorter reports whether fewer passes exceed the goal than without sizes.
		shorter bool
	}{
		"lognormal prompts":                         {sizedLoad{prompt: lognormalPrompt, answer: usualAnswer, perSecond: 95}, true},
		"lognormal prompts, no places":              {sizedLoad{prompt: lognormalPrompt, answer: usualAnswer, perSecond: 95, alone: true}, true},
		"long prompts":                              {sizedLoad{prompt: long, answer: usualAnswer, perSecond: 95}, true},
		"long prompts, no places":                   {sizedLoad{prompt: long, answer: usualAnswer, perSecond: 95, alone: true}, true},
		"long prompts, half do not report":          {sizedLoad{prompt: long, answer: usualAnswer, perSecond: 95, silent: 4}, true},
		"long prompts, none reports":                {sizedLoad{prompt: long, answer: usualAnswer, perSecond: 95, silent: 8}, false},
		"short prompts":                             {sizedLoad{prompt: fixed(108), answer: usualAnswer, perSecond: 130}, false},
		"short prompts, no places":                  {sizedLoad{prompt: fixed(108), answer: usualAnswer, perSecond: 130, alone: true}, false},
		"long answers":                              {sizedLoad{prompt: usual, answer: fixed(556), perSecond: 27}, false},
		"short answers":                             {sizedLoad{prompt: usual, answer: fixed(48), perSecond: 200}, false},
		"usual prompts and answers":                 {sizedLoad{prompt: usual, answer: usualAnswer, perSecond: 95}, false},
		"lognormal prompts, more than it can carry": {sizedLoad{prompt: lognormalPrompt, answer: usualAnswer, perSecond: 130, alone: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const seeds = 2
			mean := func(withSizes bool) sizedResult {
				var sum sizedResult
				for seed := range uint64(seeds) {
					l := c.load
					l.withSizes = withSizes
					r := l.play(seed)
					sum.served, sum.longServed, sum.over = sum.served+r.served/seeds, sum.longServed+r.longServed/seeds, sum.over+r.over/seeds
					sum.longest = max(sum.longest, r.longest)
				}
				return sum
			}
			without, with := mean(false), mean(true)
			t.Logf("without sizes %+v, with sizes %+v", without, with)
			if with.served < 0.97*without.served || with.longServed < 0.5*with.served {
				t.Errorf("served %.3f, of the longest prompts %.3f; without sizes %.3f", with.served, with.longServed, without.served)
			}
			// Passes within the goal make no stream late.
			if limit := max(1.03*float64(without.longest), passFraction*float64(loadPauseGoal)); float64(with.longest) > limit {
				t.Errorf("the longest pass takes %s, without sizes %s", with.longest, without.longest)
			}
			if c.shorter && with.over >= without.over {
				t.Errorf("%.3f of the passes exceed the goal, without sizes %.3f", with.over, without.over)
			}
		})
	}
}
