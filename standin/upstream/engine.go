// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"container/list"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/services"

	"github.com/cespare/xxhash/v2"
)

// ChatRequest holds the fields of an OpenAI-style chat completion request that the engine reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// ResumeFrom is the index of the first token to send.
	ResumeFrom int `json:"resume_from"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	defaultMaxTokens = 16
	maxTokensLimit   = 100000
	// charsPerToken and tokensPerStep convert the length of a prompt into a number of prefill
	// steps.
	charsPerToken = 4
	tokensPerStep = 512
	// prefixBlock is the length of one cached block of a prompt, in characters.
	prefixBlock = 64
	// prefixBlocks is the number of blocks that a rank caches.
	prefixBlocks = 4096
)

// Token returns the text of a token, which depends only on the prompt and the index.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%04x.%d ", xxhash.Sum64String(prompt)&0xffff, i)
}

// Text returns the complete answer to a prompt, of n tokens.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// prefixCache is an LRU cache of blocks of prompts.
type prefixCache struct {
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), blocks: map[uint64]*list.Element{}}
}

// hit returns the number of leading characters of the prompt that are cached, and caches the
// prompt.
func (c *prefixCache) hit(prompt string) int {
	h := xxhash.New()
	matched, missing := 0, false
	for i := 0; i+prefixBlock <= len(prompt); i += prefixBlock {
		_, _ = h.WriteString(prompt[i : i+prefixBlock])
		id := h.Sum64()
		if e, ok := c.blocks[id]; ok && !missing {
			c.order.MoveToFront(e)
			matched += prefixBlock
			continue
		}
		missing = true
		c.blocks[id] = c.order.PushFront(id)
		if c.order.Len() > prefixBlocks {
			oldest := c.order.Back()
			if id, ok := c.order.Remove(oldest).(uint64); ok {
				delete(c.blocks, id)
			}
		}
	}
	return matched
}

// RankHandler returns the HTTP interface of one rank.
func (g *Group) RankHandler(n group.Rank) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { g.chat(n, w, r) })
	m.HandleFunc("GET /engine/state", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, g.State(n)) })
	m.HandleFunc("GET /engine/map", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, g.CurrentMap(n)) })
	m.HandleFunc("GET /engine/experts", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, g.TokenCounts())
	})
	m.HandleFunc("POST /engine/orders", func(w http.ResponseWriter, r *http.Request) { g.handleOrder(n, w, r) })
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /control/report", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, g.Report()) })
	m.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		f := Fault{Rank: n}
		if err := httpx.ReadJSON(r.Body, 4096, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		g.SetFault(f)
		httpx.WriteJSON(w, http.StatusOK, f)
	})
	return m
}

func (g *Group) handleOrder(n group.Rank, w http.ResponseWriter, r *http.Request) {
	var o services.Order
	if err := httpx.ReadJSON(r.Body, request.MaxBody, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.Order(n, o); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, g.State(n))
}

func (g *Group) chat(n group.Rank, w http.ResponseWriter, r *http.Request) {
	var c ChatRequest
	if err := httpx.ReadJSON(r.Body, request.MaxBody, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxTokensLimit || c.ResumeFrom < 0 || c.ResumeFrom >= c.MaxTokens {
		http.Error(w, fmt.Sprintf("max_tokens %d, resume_from %d: out of range", c.MaxTokens, c.ResumeFrom), http.StatusBadRequest)
		return
	}
	var prompt strings.Builder
	for _, msg := range c.Messages {
		prompt.WriteString(msg.Role + ":" + msg.Content + "\n")
	}
	s := g.newSequence(n, r, c, prompt.String())
	g.submit(n, s)
	id := r.Header.Get(request.HeaderID)
	w.Header().Set(request.HeaderID, id)
	if c.Stream {
		streamAnswer(w, id, c, prompt.String(), s)
		return
	}
	completeAnswer(w, id, c, prompt.String(), s)
}

func (g *Group) newSequence(n group.Rank, r *http.Request, c ChatRequest, prompt string) *sequence {
	g.mu.Lock()
	cached := g.ranks[n].cache.hit(prompt)
	g.mu.Unlock()
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	return &sequence{
		ctx: r.Context(), prefill: 1 + (len(prompt)-cached)/charsPerToken/tokensPerStep,
		next: c.ResumeFrom, end: c.MaxTokens, priority: priority,
		tokens: make(chan int, c.MaxTokens-c.ResumeFrom),
	}
}

type choice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	// Token is the index of the token in a streamed answer.
	Token int `json:"token"`
}

func completeAnswer(w http.ResponseWriter, id string, c ChatRequest, prompt string, s *sequence) {
	var text strings.Builder
	count := c.ResumeFrom
	for t := range s.tokens {
		text.WriteString(Token(prompt, t))
		count++
	}
	if count < c.MaxTokens {
		panic(http.ErrAbortHandler)
	}
	httpx.WriteJSON(w, http.StatusOK, completion{
		ID: id, Object: "chat.completion", Token: count,
		Choices: []choice{{Message: &ChatMessage{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
	})
}

func streamAnswer(w http.ResponseWriter, id string, c ChatRequest, prompt string, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	count := c.ResumeFrom
	for t := range s.tokens {
		chunk := completion{ID: id, Object: "chat.completion.chunk", Token: t, Choices: []choice{{Delta: &ChatMessage{Content: Token(prompt, t)}}}}
		raw, err := json.Marshal(chunk)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
		flusher.Flush()
		count++
	}
	if count < c.MaxTokens {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
