// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"reflect"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

var sizedEngine = &catalog.Engine{Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139, ExpertShare: 0.85}

// sizedCatalog returns a catalog of the service "s" with an engine and a plain one, with streaming
// routes of the given priorities to both.
func sizedCatalog(priorities ...int) *catalog.Catalog {
	c := &catalog.Catalog{Version: 4, Services: []catalog.Service{{ID: "s", Engine: sizedEngine}, {ID: "plain"}}}
	for i, p := range priorities {
		route := catalog.Route{
			Name: string(rune('a' + i)), Host: "h", Prefix: "/" + string(rune('a'+i)) + "/", Kind: catalog.KindStream, Timeout: 2 * time.Second, Goal: time.Second,
			PauseGoal: 120 * time.Millisecond, MaxAttempts: 1, Priority: p, Targets: []catalog.Target{{Service: "s", Weight: 1}},
		}
		c.Routes = append(c.Routes, route)
	}
	return c
}

// TestSizeOf guards against sizes that decide where the service is not ranked.
func TestSizeOf(t *testing.T) {
	meta := &services.CallerMeta{PromptTokens: 2000, AnswerTokens: 500, MaxAnswerTokens: 300}
	cases := map[string]struct {
		priorities []int
		service    service.ID
		meta       *services.CallerMeta
		want       balance.Size
	}{
		"ranked":                     {[]int{0, 2}, "s", meta, balance.Size{Prompt: 2000, Answer: 300, PromptDeclared: true, AnswerDeclared: true}},
		"ranked, nothing declared":   {[]int{0, 2}, "s", &services.CallerMeta{}, balance.Size{Prompt: 868, Answer: 139}},
		"routes of the same urgency": {[]int{2, 2}, "s", meta, balance.Size{}},
		"without an engine":          {[]int{0, 2}, "plain", meta, balance.Size{}},
		"unknown service":            {[]int{0, 2}, "z", meta, balance.Size{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := sizeOf(catalog.NewIndex(sizedCatalog(c.priorities...)), c.service, c.meta); got != c.want {
				t.Errorf("size %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestUnreadReply guards against prompts that are not reported while they are unread, that stay
// counted after the first event or the end of the attempt, and against tokens in the replies of
// services that are not ranked.
func TestUnreadReply(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	cases := map[string]struct {
		priorities []int
		prompt     string
		// answers reports whether the upstream sends an event; otherwise it closes the connection.
		answers bool
		want    balance.Unread
	}{
		"declared":                   {[]int{0, 2}, "2000", true, balance.Unread{"": 2000}},
		"declared, the answer fails": {[]int{0, 2}, "2000", false, balance.Unread{"": 2000}},
		"not declared":               {[]int{0, 2}, "", true, nil},
		"not ranked":                 {[]int{1, 1}, "2000", true, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			arrived, proceed := make(chan struct{}), make(chan struct{})
			began, end := make(chan struct{}), make(chan struct{})
			u := newFake(t, func(_ int, _ map[string]string, c net.Conn) {
				close(arrived)
				<-proceed
				if tc.answers {
					writef(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n%s\r\n", event)
					close(began)
					<-end
					writef(c, "0\r\n\r\n")
				}
			})
			s, r := start(t, u)
			r.WithState(func(k *knowledge.State) {
				k.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{Whole: true, Next: position(2), AsOf: time.Now(), Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: sizedCatalog(tc.priorities...)}}}})
			})
			unread := func() balance.Unread {
				load := balance.Group{Service: "s", ID: "g", Open: true, Whole: true, Ranks: []balance.RankLoad{{Address: u.address, Pace: 1}}}
				return r.Report(time.Now(), load).Unread
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _, _, _ = get(t.Context(), t, s, "/a/x", map[string]string{"Prompt": tc.prompt})
			}()
			<-arrived
			var want balance.Unread
			if tc.want != nil {
				want = balance.Unread{u.address: tc.want[""]}
			}
			if got := unread(); !reflect.DeepEqual(got, want) {
				t.Errorf("reply %v before the first event, want %v", got, want)
			}
			close(proceed)
			if tc.answers {
				<-began
				close(end)
			}
			<-done
			if got := unread(); got != nil {
				t.Errorf("reply %v after the end", got)
			}
		})
	}
}

// TestWaitForPrompt guards against a request that still waits after the only rank has read the
// prompt which it waited for: without a report, no other event would admit it.
func TestWaitForPrompt(t *testing.T) {
	u := newFake(t, func(int, map[string]string, net.Conn) {})
	_, r := start(t, u)
	c := sizedCatalog(0, 2)
	r.WithState(func(k *knowledge.State) {
		k.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{Whole: true, Next: position(2), AsOf: time.Now(), Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: c}}}})
	})
	now := time.Now()
	request := func() *exchange {
		x := &exchange{r: r, route: &c.Routes[0], service: "s", arrived: now, deadline: now.Add(8 * time.Second)}
		x.size = sizeOf(catalog.NewIndex(c), "s", &services.CallerMeta{PromptTokens: 50_000})
		return x
	}
	first, second := request(), request()
	at, ok := r.acquire(t.Context(), first)
	if !ok {
		t.Fatal("a rank without unread prompts does not accept one")
	}
	granted := make(chan bool, 1)
	go func() {
		_, ok := r.acquire(t.Context(), second)
		granted <- ok
	}()
	for waiting := 0; waiting == 0; {
		r.mu.Lock()
		waiting = r.pools["s"].queue.Waiting()
		r.mu.Unlock()
		select {
		case <-granted:
			t.Fatal("two long prompts at a rank")
		default:
		}
	}
	first.started(at)
	if !<-granted {
		t.Error("the request was not admitted when the prompt before it was read")
	}
}
