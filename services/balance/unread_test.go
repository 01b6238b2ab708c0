// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

// TestAllotWithoutSizes guards against other allotments than before where routers report no tokens.
func TestAllotWithoutSizes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now, before := NewAllotter(), &referenceAllotter{credit: map[referenceKey]float64{}}
	for round := range 500 {
		ranks := make([]RankLoad, 1+r.IntN(12))
		outstanding, caps := Allotment{}, SendLimits{}
		for i := range ranks {
			ranks[i] = RankLoad{Address: fmt.Sprint(i), Running: r.IntN(9), Waiting: r.IntN(3), Unstarted: r.IntN(4), Pace: []float64{0, 1, 1, 1.5, 3}[r.IntN(5)], Silent: r.IntN(9) == 0}
			outstanding[ranks[i].Address] = r.IntN(3)
			if r.IntN(9) == 0 {
				caps[ranks[i].Address] = r.IntN(2)
			}
		}
		var demands []Demand
		for i := range r.IntN(6) {
			demands = append(demands, Demand{Router: fmt.Sprint(i), Requests: r.IntN(20)})
		}
		load := (&Group{Skew: 1 + 2*r.Float64(), Ranks: ranks}).Load()
		b := GroupBounds(loadEngine, load, loadPauseGoal)
		got := now.Allot(ranks, b.LimitUnread(loadEngine, load, loadPauseGoal).ForRanks(ranks), outstanding, demands, caps)
		if want := before.allot(ranks, b, outstanding, demands, caps); !reflect.DeepEqual(got, want) {
			t.Fatalf("round %d: allotments %v, want %v", round, got, want)
		}
	}
}

// TestPickWithoutSizes guards against other choices and replies than before where the service is
// not ranked, or where it is and no caller declares a size.
func TestPickWithoutSizes(t *testing.T) {
	undeclared := NewSize(loadEngine, DeclaredSize{})
	cands, ids := candidates(6)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		plain, ranked := NewPool(""), NewPool("")
		plain.random, ranked.random = rand.New(rand.NewPCG(seed, 2)).Float64, rand.New(rand.NewPCG(seed, 2)).Float64
		unstarted := map[upstream.Run]int{}
		for step := range 400 {
			now := begin.Add(time.Duration(step) * 10 * time.Millisecond)
			if r.IntN(7) == 0 {
				g := Group{ID: "g", Open: true, Skew: 1.5}
				for _, c := range cands {
					g.Ranks = append(g.Ranks, RankLoad{Address: c.Address, Running: r.IntN(8), Unstarted: r.IntN(4), Pace: 1})
				}
				if r.IntN(2) == 0 {
					g.Places = Allotment{cands[r.IntN(6)].Address: 1 + r.IntN(3)}
				}
				want, got := plain.Report(now, g, ids), ranked.Report(now, g, ids)
				if unread := ranked.Unread(&g, ids); !reflect.DeepEqual(got, want) || unread != nil {
					t.Fatalf("seed %d, step %d: reply %v and %v, want %v", seed, step, got, unread, want)
				}
			}
			ask := PickOptions{Engine: loadEngine, Bounds: GroupBounds(loadEngine, plain.GroupLoad(now), loadPauseGoal), Routers: 3}
			sized := ask
			sized.Size, sized.Bounds = undeclared, ask.Bounds.LimitUnread(loadEngine, plain.GroupLoad(now), loadPauseGoal)
			want, ok := plain.Pick(now, cands, ask)
			got, sizedOK := ranked.Pick(now, cands, sized)
			if got != want || ok != sizedOK {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, step, got.ID, want.ID)
			}
			if ok {
				plain.Sent(now, want.Run())
				ranked.Sent(now, want.Run())
				ranked.SentPrompt(want.Run(), undeclared)
				unstarted[want.Run()]++
			}
			for run, n := range unstarted {
				if n > 0 && r.IntN(4) == 0 {
					unstarted[run]--
					plain.Done(now, run, ResultCancelled, 0, false)
					ranked.Done(now, run, ResultCancelled, 0, false)
					ranked.PromptRead(run, undeclared)
				}
			}
		}
	}
}

// TestMessagesWithoutSizes guards against bytes for tokens in messages where none are declared.
func TestMessagesWithoutSizes(t *testing.T) {
	g, l := loadOf(72, false)
	if r := l.Pack(g, l.Number); r.Unread != nil {
		t.Errorf("unread %v in a report", r.Unread)
	}
	if got := l.PackUnread(nil); got != nil {
		t.Errorf("unread %v in a reply", got)
	}
	plain := encodedSize(t, ReportReply{List: 1, Unstarted: make([]uint, 72), Wanted: 3})
	if none := encodedSize(t, ReportReply{List: 1, Unstarted: make([]uint, 72), Wanted: 3, Unread: l.PackUnread(nil)}); none != plain {
		t.Errorf("%d bytes, want %d", none, plain)
	}
}

// TestPackUnread guards against tokens that are lost or assigned to other ranks on the way.
func TestPackUnread(t *testing.T) {
	l := RankList{Number: 1, Addresses: []string{"a", "b", "c"}}
	cases := map[string]struct {
		unread Unread
		units  []uint
		want   Unread
	}{
		"none":                    {nil, nil, nil},
		"rounded up":              {Unread{"a": 1, "b": 64, "c": 65}, []uint{1, 1, 2}, Unread{"a": 64, "b": 64, "c": 128}},
		"nothing unread":          {Unread{}, []uint{0, 0, 0}, Unread{}},
		"a rank that is not":      {Unread{"z": 900}, []uint{0, 0, 0}, Unread{}},
		"negative":                {Unread{"a": -900}, []uint{0, 0, 0}, Unread{}},
		"more than can be summed": {Unread{"a": math.MaxInt - 64}, []uint{maxUnreadUnits, 0, 0}, Unread{"a": maxUnreadUnits * UnreadUnit}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			units := l.PackUnread(c.unread)
			if !reflect.DeepEqual(units, c.units) {
				t.Errorf("packed %v, want %v", units, c.units)
			}
			if got := l.UnpackUnread(units); !reflect.DeepEqual(got, c.want) {
				t.Errorf("unpacked %v, want %v", got, c.want)
			}
		})
	}
	if got := l.UnpackUnread([]uint{1}); got != nil {
		t.Errorf("unpacked %v from a list of other length", got)
	}
	if got := l.UnpackUnread([]uint{math.MaxUint, 0, 0}); got["a"] != maxUnreadUnits*UnreadUnit {
		t.Errorf("unpacked %v from more than can be", got)
	}
}

// TestReportUnread guards against tokens that a report to routers loses or shifts.
func TestReportUnread(t *testing.T) {
	g := Group{ID: "g", Ranks: []RankLoad{{Address: "a", Pace: 1}, {Address: "b", Unstarted: 2, Unread: 1856, Pace: 1}}}
	l := RankList{}.Next(g.Ranks)
	report := roundTrip(t, l.Pack(g, l.Number))
	if got, ok := l.Unpack(report); !ok || !reflect.DeepEqual(got.Ranks, g.Ranks) {
		t.Errorf("ranks %+v, want %+v", got.Ranks, g.Ranks)
	}
	report.Unread = report.Unread[:1]
	if got, ok := l.Unpack(report); !ok || got.Ranks[0].Unread != 0 || got.Ranks[1].Unread != 0 {
		t.Errorf("ranks %+v from a report with tokens of other ranks", got.Ranks)
	}
}

// TestRegistryUnread guards against requests that are not counted because their router reports no
// tokens, and against tokens that are assumed although no router reports any.
func TestRegistryUnread(t *testing.T) {
	const usual = 868
	ranks := []RankLoad{{Address: "e"}}
	cases := map[string]struct {
		replies []ReportReply
		// again holds routers that have asked for the load since.
		again []string
		after time.Duration
		want  int
	}{
		"no router":                    {nil, nil, 0, 0},
		"none reports tokens":          {[]ReportReply{{Unstarted: []uint{2}}, {Unstarted: []uint{1}}}, nil, 0, 0},
		"all report tokens":            {[]ReportReply{{Unstarted: []uint{2}, Unread: []uint{30}}, {Unstarted: []uint{1}, Unread: []uint{1}}}, nil, 0, 31 * UnreadUnit},
		"one reports no tokens":        {[]ReportReply{{Unstarted: []uint{2}, Unread: []uint{30}}, {Unstarted: []uint{2}}}, nil, 0, 30*UnreadUnit + 2*usual},
		"one has nothing unread":       {[]ReportReply{{Unstarted: []uint{2}, Unread: []uint{30}}, {}}, nil, 0, 30 * UnreadUnit},
		"tokens of another list":       {[]ReportReply{{Unstarted: []uint{2}, Unread: []uint{30, 9}}}, nil, 0, 0},
		"the replies are old":          {[]ReportReply{{Unstarted: []uint{2}, Unread: []uint{30}}}, nil, 2 * time.Second, 0},
		"the router has started again": {[]ReportReply{{Unstarted: []uint{2}, Unread: []uint{30}}}, []string{"0"}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewRouterRegistry(1)
			number, _ := b.StartReport(begin, nil, ranks, nil)
			for i, reply := range c.replies {
				_, list := b.Pack(fmt.Sprint(i), Group{Ranks: ranks})
				reply.List = list.Number
				b.RecordReply(begin, peer.Info{Name: fmt.Sprint(i)}, number, list, reply)
			}
			for _, name := range c.again {
				b.HandleLoadRequest(begin, LoadRequest{Router: peer.Info{Name: name}, List: b.list.Number}, Group{Ranks: ranks})
			}
			if got := b.Unread(begin.Add(c.after), "e", usual); got != c.want {
				t.Errorf("%d tokens, want %d", got, c.want)
			}
		})
	}
}

// TestOwnPromptsOnce guards against a router's own prompts that are counted twice, as its own and as
// part of the coordinator's report, also if the coordinator reports no tokens.
func TestOwnPromptsOnce(t *testing.T) {
	const usual = 868
	size := Size{Prompt: 1000, PromptDeclared: true}
	report := func(p *Pool, unstarted, unread int) Unread {
		_, ids := candidates(1)
		g := Group{ID: "g", Open: true, Ranks: []RankLoad{{Address: "a0", Unstarted: unstarted, Unread: unread}}}
		p.Report(begin, g, ids)
		return p.Unread(&g, ids)
	}
	send := func(p *Pool) {
		p.Sent(begin, run("u0"))
		p.SentPrompt(run("u0"), size)
	}
	read := func(p *Pool) {
		p.Started(begin, run("u0"))
		p.PromptRead(run("u0"), size)
	}
	cases := map[string]struct {
		do   func(p *Pool)
		want int
	}{
		"own only":                    {send, 1000},
		"own, not reported yet":       {func(p *Pool) { report(p, 1, 640); send(p) }, 1640},
		"own, the report is older":    {func(p *Pool) { send(p); report(p, 1, 640) }, 1640},
		"own and others in a report":  {func(p *Pool) { send(p); report(p, 0, 0); report(p, 2, 1024+640) }, 1640},
		"own are read since":          {func(p *Pool) { send(p); report(p, 0, 0); report(p, 2, 1024+640); read(p) }, 640},
		"own alone are read since":    {func(p *Pool) { send(p); report(p, 0, 0); report(p, 1, 1024); read(p) }, 0},
		"another is sent since":       {func(p *Pool) { send(p); report(p, 0, 0); report(p, 1, 1024); send(p) }, 2000},
		"coordinator without tokens":  {func(p *Pool) { send(p); report(p, 0, 0); report(p, 3, 0) }, 1000 + 2*usual},
		"less than own in the report": {func(p *Pool) { send(p); report(p, 0, 0); report(p, 1, 64) }, 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool("")
			c.do(p)
			if got := p.state(run("u0")).allUnread(usual); got != c.want {
				t.Errorf("%d unread tokens, want %d", got, c.want)
			}
		})
	}
	p := NewPool("")
	send(p)
	if got := report(p, 0, 0); !reflect.DeepEqual(got, Unread{"a0": 1000}) {
		t.Errorf("reply %v, want 1000 tokens", got)
	}
	read(p)
	if got := report(p, 0, 0); got != nil {
		t.Errorf("reply %v after the prompt was read", got)
	}
}

// TestAllotBySize guards against ranks that get more prompts than they can read in a pass, and
// against ranks without unread prompts that get none.
func TestAllotBySize(t *testing.T) {
	bounds := Bounds{Rank: 9, Mean: 9, Unstarted: 3, Unread: 3000, Prompt: 868}
	cases := map[string]struct {
		rank        RankLoad
		bounds      Bounds
		outstanding int
		want        int
	}{
		"nothing unread":                      {RankLoad{}, bounds, 0, 3},
		"one long prompt":                     {RankLoad{Unstarted: 1, Unread: 2880}, bounds, 0, 0},
		"two short prompts":                   {RankLoad{Unstarted: 2, Unread: 256}, bounds, 0, 3},
		"six short prompts":                   {RankLoad{Unstarted: 6, Unread: 6 * 64}, bounds, 0, 3},
		"two usual prompts":                   {RankLoad{Unstarted: 2, Unread: 2 * 868}, bounds, 0, 1},
		"places of before may be in use":      {RankLoad{Unstarted: 1, Unread: 868}, bounds, 1, 1},
		"the rank knows of one more":          {RankLoad{Unstarted: 1, Waiting: 2, Unread: 128}, bounds, 0, 2},
		"a place is larger than the limit":    {RankLoad{}, Bounds{Rank: 9, Mean: 9, Unstarted: 1, Unread: 900, Prompt: 2000}, 0, 1},
		"one may be in use already":           {RankLoad{}, Bounds{Rank: 9, Mean: 9, Unstarted: 1, Unread: 900, Prompt: 2000}, 1, 0},
		"a place is larger than what is left": {RankLoad{Unstarted: 1, Unread: 64}, Bounds{Rank: 9, Mean: 9, Unstarted: 1, Unread: 900, Prompt: 2000}, 0, 0},
		"other bounds hold as well":           {RankLoad{Running: 8}, bounds, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.rank.Address = "a"
			got := NewAllotter().Allot([]RankLoad{c.rank}, c.bounds, Allotment{"a": c.outstanding}, []Demand{{Router: "r", Requests: 9}}, nil)
			if got["r"]["a"] != c.want {
				t.Errorf("%d places, want %d", got["r"]["a"], c.want)
			}
		})
	}
}

// TestUnreadBounds guards against a limit of tokens that differs from that of requests for usual
// prompts, and against one where none may apply.
func TestUnreadBounds(t *testing.T) {
	for _, writers := range []float64{0, 3, 6, 9} {
		load := GroupLoad{Skew: 1.5, Pace: 1, Writers: writers}
		b := GroupBounds(loadEngine, load, loadPauseGoal)
		limited := b.LimitUnread(loadEngine, load, loadPauseGoal)
		if limited.Unread/limited.Prompt != b.Unstarted || limited.Unstarted != b.Unstarted {
			t.Errorf("%.0f writers: %d tokens, want those of %d prompts", writers, limited.Unread, b.Unstarted)
		}
	}
	b := GroupBounds(loadEngine, GroupLoad{}, 0)
	if got := b.LimitUnread(loadEngine, GroupLoad{}, 0); got != b {
		t.Errorf("bounds %+v without a pause goal", got)
	}
	sized := Bounds{Unstarted: 3, Unread: 3000, Prompt: 868}
	if got := sized.ForRanks([]RankLoad{{Unstarted: 2}}); got.Unread != 0 || got.Prompt != 0 {
		t.Errorf("bounds %+v although no router reports tokens", got)
	}
	if got := sized.ForRanks([]RankLoad{{Unstarted: 2, Unread: 4000}, {}}); got.Prompt != 2000 {
		t.Errorf("a place counts %d, want the mean prompt", got.Prompt)
	}
	if got := sized.ForRanks([]RankLoad{{Unstarted: 2, Unread: 128}}); got.Prompt != 868 {
		t.Errorf("a place counts %d, want the usual prompt", got.Prompt)
	}
}

// TestPickBySize guards against two long prompts at a rank, and against requests that no rank
// accepts.
func TestPickBySize(t *testing.T) {
	cands, ids := candidates(2)
	bounds := Bounds{Rank: 9, Mean: 9, Unstarted: 3, Unread: 3000, Prompt: 868}
	load := func(p *Pool, places Allotment, unread ...int) {
		g := Group{ID: "g", Open: true, Places: places}
		for i, n := range unread {
			g.Ranks = append(g.Ranks, RankLoad{Address: cands[i].Address, Running: 3 * i, Unstarted: min(n, 1), Unread: n, Pace: 1})
		}
		p.Report(begin, g, ids)
	}
	own := func(p *Pool, id upstream.ID, tokens int) {
		p.Sent(begin, run(id))
		p.SentPrompt(run(id), Size{Prompt: tokens, PromptDeclared: true})
	}
	cases := map[string]struct {
		do     func(p *Pool)
		prompt int
		want   upstream.ID
	}{
		"a long one beside a long one":           {func(p *Pool) { load(p, nil, 2880, 2880) }, 2880, ""},
		"a long one beside a short one":          {func(p *Pool) { load(p, nil, 2880, 128) }, 2880, ""},
		"a long one at a rank without any":       {func(p *Pool) { load(p, nil, 2880, 0) }, 2880, "u1"},
		"one that is larger than the limit":      {func(p *Pool) { load(p, nil, 64, 0) }, 50_000, "u1"},
		"a short one beside a long one":          {func(p *Pool) { load(p, nil, 2880, 2880) }, 64, "u0"},
		"a short one where there is room":        {func(p *Pool) { load(p, nil, 2990, 64) }, 64, "u1"},
		"own prompts, without a report":          {func(p *Pool) { own(p, "u0", 2880); own(p, "u1", 100) }, 2950, ""},
		"own prompts, room is left":              {func(p *Pool) { own(p, "u0", 2880); own(p, "u1", 100) }, 800, "u1"},
		"a place of the coordinator":             {func(p *Pool) { load(p, Allotment{"a0": 1}, 2880, 0) }, 2880, "u0"},
		"the place where less is to be read":     {func(p *Pool) { load(p, Allotment{"a0": 1, "a1": 1}, 2880, 868) }, 868, "u1"},
		"the place where it fits":                {func(p *Pool) { load(p, Allotment{"a0": 1, "a1": 1}, 600, 0) }, 2880, "u1"},
		"no place":                               {func(p *Pool) { load(p, Allotment{}, 0, 0) }, 868, ""},
		"tokens are counted that are undeclared": {func(p *Pool) { load(p, nil, 2880, 0); own(p, "u1", 2500) }, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool("")
			p.random = func() float64 { return 0 }
			c.do(p)
			size := NewSize(loadEngine, DeclaredSize{Prompt: c.prompt})
			got, _ := p.Pick(begin, cands, PickOptions{Engine: loadEngine, Bounds: bounds, Routers: 1, Size: size})
			if got.ID != c.want {
				t.Errorf("upstream %q, want %q", got.ID, c.want)
			}
		})
	}
}

// TestFirstEventOf guards against forecasts for long prompts that end before the prompt is read.
func TestFirstEventOf(t *testing.T) {
	load := GroupLoad{Skew: 1.5, Pace: 1, Writers: 6}
	perPass := loadEngine.Chunk * loadEngine.Stride
	full := load.pass(loadEngine, float64(perPass))
	usual := FirstEvent(loadEngine, load)
	cases := map[string]struct {
		prompt int
		want   time.Duration
	}{
		"not declared":      {0, usual},
		"usual":             {868, usual},
		"short":             {64, load.pass(loadEngine, 0) + load.pass(loadEngine, 64)},
		"one pass":          {perPass, load.pass(loadEngine, 0) + full},
		"a token more":      {perPass + 1, load.pass(loadEngine, 0) + full + load.pass(loadEngine, 1)},
		"three full passes": {3 * perPass, load.pass(loadEngine, 0) + 3*full},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := FirstEventOf(loadEngine, load, c.prompt); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
	if b := (Bounds{Mean: 8}); DrainRateOf(loadEngine, load, b, 2*loadEngine.UsualAnswer) != DrainRate(loadEngine, load, b)/2 {
		t.Error("answers of twice the usual length do not halve the rate")
	}
}

// loadOf returns the load of a group under load and its rank list. Every second rank has unread
// prompts.
func loadOf(ranks int, unread bool) (Group, RankList) {
	g := Group{Service: "chat", ID: "group-0", Open: true, Whole: true, Skew: 1.2, Places: Allotment{}}
	for i := range ranks {
		r := RankLoad{Address: fmt.Sprintf("10.20.%d.%d:8000", i/200, i%200), Running: 10, Unstarted: i % 2, Pace: 1}
		if unread {
			r.Unread = 900 * (i % 2)
		}
		g.Ranks = append(g.Ranks, r)
		g.Places[r.Address] = i % 2
	}
	return g, RankList{}.Next(g.Ranks)
}

// encodedSize returns the size of a message on a connection that has carried one before.
func encodedSize(t testing.TB, v any) int {
	t.Helper()
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	from := 0
	for range 2 {
		from = b.Len()
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return b.Len() - from
}

// BenchmarkUnread measures the size of a report and of a reply, and the time to pack and encode both,
// with and without unread tokens.
func BenchmarkUnread(b *testing.B) {
	for _, ranks := range []int{72, 260} {
		for _, unread := range []bool{false, true} {
			b.Run(fmt.Sprintf("ranks=%d/unread=%t", ranks, unread), func(b *testing.B) {
				g, l := loadOf(ranks, unread)
				unstarted, tokens := Unstarted{}, Unread(nil)
				for i := 0; i < ranks; i += 12 { // one of many routers has prompts at some ranks
					unstarted[g.Ranks[i].Address] = 1
				}
				if unread {
					tokens = Unread{}
					for address := range unstarted {
						tokens[address] = 1400
					}
				}
				reply := func() ReportReply {
					return ReportReply{List: l.Number, Unstarted: l.PackUnstarted(unstarted), Unread: l.PackUnread(tokens), Wanted: 7, Waiting: 2, Rate: 31.5}
				}
				report, answer := encodedSize(b, l.Pack(g, l.Number)), encodedSize(b, reply())
				var out bytes.Buffer
				enc := gob.NewEncoder(&out)
				b.ReportAllocs()
				for b.Loop() {
					out.Reset()
					if err := enc.Encode(l.Pack(g, l.Number)); err != nil {
						b.Fatal(err)
					}
					if err := enc.Encode(reply()); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(report), "report-bytes")
				b.ReportMetric(float64(answer), "reply-bytes")
			})
		}
	}
}
