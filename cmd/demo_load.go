// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/routers"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"

	"github.com/rotisserie/eris"
)

const (
	demoWorkers      = 6
	demoTokens       = 12
	demoReadyTimeout = 20 * time.Second
	demoInterval     = 100 * time.Millisecond
)

// confirm puts the demo's intent in force and waits until all processes are ready.
func (d *demo) confirm(ctx context.Context) error {
	o := operatorFlags{routers: strings.Join(d.routers, ","), token: demoToken}
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	rev, err := d.confirmOnce(ctx, &o)
	for err != nil && ctx.Err() == nil {
		sleep.For(ctx, demoInterval)
		rev, err = d.confirmOnce(ctx, &o)
	}
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		var s directory.Status
		if err := o.get(ctx, "/api/v1/status", &s); err == nil && d.ready(s, rev) {
			return nil
		}
		sleep.For(ctx, demoInterval)
	}
	return eris.New("processes did not become ready")
}

func (d *demo) ready(s directory.Status, rev intent.Revision) bool {
	ready, slices := 0, 0
	for _, p := range s.Processes {
		if p.State == "ready" {
			ready++
		}
		slices += p.Slices
	}
	return s.HasRevision(rev) && ready == len(d.vms) && slices > 0
}

func (d *demo) confirmOnce(ctx context.Context, o *operatorFlags) (intent.Revision, error) {
	raw, err := json.Marshal(d.intent)
	if err != nil {
		return 0, wrap(err, "write intent")
	}
	a, err := o.send(ctx, http.MethodPost, "/api/v1/plans", raw)
	if err != nil {
		return 0, err
	}
	var c routers.Confirmation
	if err := json.Unmarshal(a.body, &c.Plan); err != nil || a.status != http.StatusOK {
		return 0, a.err()
	}
	c.ID = "demo"
	raw, err = json.Marshal(c)
	if err != nil {
		return 0, wrap(err, "write confirmation")
	}
	a, err = o.send(ctx, http.MethodPost, "/api/v1/plans/confirm", raw)
	if err != nil {
		return 0, err
	}
	var ca routers.ConfirmationAnswer
	if err := json.Unmarshal(a.body, &ca); err != nil || ca.Outcome.Verdict != configlog.VerdictAccepted {
		return 0, a.err()
	}
	return ca.Outcome.Revision, nil
}

func (d *demo) printUsage(out io.Writer) {
	_, _ = fmt.Fprintf(out, "routers: %s\noperator token: %s, account token: %s\n", strings.Join(d.routers, " "), demoToken, demoAccounts[0].Account)
	_, _ = fmt.Fprintf(out, "try: curl -s -H 'Authorization: Bearer %s' -d '{\"model\":\"kotoba-pool\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}' http://%s/v1/chat/completions\n", demoAccounts[0].Account, d.routers[0])
	_, _ = fmt.Fprintf(out, "try: fawnwinch status --router %s --token %s\n", d.routers[0], demoToken)
}

// summary counts the outcomes of the demo's requests.
type summary struct {
	mu sync.Mutex

	requests, complete, notRun, unknown int
	// broken counts answers that were incomplete or another caller's.
	broken int
	// lost counts holds that were answered but not placed, duplicated holds that were placed more
	// than once, and wronglyNotRun holds that were answered as not run but placed.
	lost, duplicated, wronglyNotRun int
	holds                           map[string]request.Outcome
}

func (s *summary) record(key string, o request.Outcome, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	switch {
	case o == request.OutcomeAnswered && complete:
		s.complete++
	case o == request.OutcomeAnswered:
		s.broken++
	case o == request.OutcomeNotRun:
		s.notRun++
	default:
		s.unknown++
	}
	if key != "" {
		s.holds[key] = o
	}
}

// compareEffects compares the outcomes that callers received with the effects at the upstreams.
func (s *summary) compareEffects(plains []*upstreamstandin.Plain) {
	effects := map[string]int{}
	for _, p := range plains {
		for k, n := range p.Effects() {
			effects[k] += n
		}
	}
	for k, o := range s.holds {
		n := effects[k]
		if n > 1 {
			s.duplicated++
		}
		if o == request.OutcomeAnswered && n == 0 {
			s.lost++
		}
		if o == request.OutcomeNotRun && n > 0 {
			s.wronglyNotRun++
		}
	}
}

func (s *summary) line() string {
	return fmt.Sprintf("requests=%d whole=%d refused-not-run=%d unknown=%d broken=%d lost=%d doubled=%d untrue=%d",
		s.requests, s.complete, s.notRun, s.unknown, s.broken, s.lost, s.duplicated, s.wronglyNotRun)
}

// runLoad sends requests from demoWorkers callers until ctx is cancelled.
func (d *demo) runLoad(ctx context.Context) *summary {
	s := &summary{holds: map[string]request.Outcome{}}
	var w sync.WaitGroup
	for i := range demoWorkers {
		w.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				d.sendRequest(s, i, n)
			}
		})
	}
	w.Wait()
	return s
}

func (d *demo) sendRequest(s *summary, worker, n int) {
	accountID := string(demoAccounts[worker%len(demoAccounts)].Account)
	router := d.routers[worker%len(d.routers)]
	if n%3 == 2 {
		d.placeHold(s, accountID, router, fmt.Sprintf("hold-%d-%d", worker, n))
		return
	}
	prompt := fmt.Sprintf("memo %d of worker %d", n, worker)
	body, err := json.Marshal(map[string]any{
		"model": "kotoba-pool", "max_tokens": demoTokens, "stream": n%3 == 1,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return
	}
	resp, err := post(router+"/v1/chat/completions", accountID, "", body)
	if err != nil {
		s.record("", request.OutcomeUnknown, false)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, complete := readChatAnswer(resp)
	s.record("", request.Outcome(resp.Header.Get(request.HeaderOutcome)), complete && text == upstreamstandin.Text("user:"+prompt+"\n", demoTokens))
}

func (d *demo) placeHold(s *summary, accountID, router, key string) {
	resp, err := post(router+"/svc/ledger-api/v1/holds", accountID, key, []byte(`{"yen":1200}`))
	if err != nil {
		s.record(accountID+"/"+key, request.OutcomeUnknown, false)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := httpx.ReadAll(resp.Body, request.MaxBody)
	complete := err == nil && bytes.Contains(raw, []byte(`"path":"/v1/holds"`))
	s.record(accountID+"/"+key, request.Outcome(resp.Header.Get(request.HeaderOutcome)), complete)
}

func post(address, token, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return nil, wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(request.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	return resp, wrap(err, "post")
}

// chatAnswer is the part of a chat answer that the demo reads.
type chatAnswer struct {
	Choices []struct {
		Message, Delta struct {
			Content string `json:"content"`
		}
	} `json:"choices"`
}

// readChatAnswer reads a chat answer, streamed or not, and reports whether it is complete.
func readChatAnswer(resp *http.Response) (string, bool) {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		var p chatAnswer
		if err := httpx.ReadJSON(resp.Body, request.MaxBody, &p); err != nil || len(p.Choices) == 0 {
			return "", false
		}
		return p.Choices[0].Message.Content, true
	}
	var text strings.Builder
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var p chatAnswer
		if err := json.Unmarshal([]byte(data), &p); err != nil || len(p.Choices) == 0 {
			return "", false
		}
		text.WriteString(p.Choices[0].Delta.Content)
	}
	return "", false
}
