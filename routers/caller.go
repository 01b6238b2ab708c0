// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/dispatch"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/routing"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
)

// errorBody is the error in a response that the router generates itself.
type errorBody struct {
	Outcome   request.Outcome `json:"outcome"`
	Reason    string          `json:"reason"`
	Message   string          `json:"message"`
	RequestID request.ID      `json:"request_id,omitempty"`
	// RetryAfterSeconds repeats the Retry-After header.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

func abort(c *gin.Context, status int, p errorBody) {
	c.Header(request.HeaderOutcome, string(p.Outcome))
	c.Header(request.HeaderReason, p.Reason)
	if p.RetryAfterSeconds > 0 {
		c.Header("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	c.AbortWithStatusJSON(status, gin.H{"error": p})
}

// servingRouters returns the routers that callers are sent to: the ready ones, or those that leave
// while there is none.
func servingRouters(live []membership.RouterInfo) []membership.RouterInfo {
	var ready, leaving []membership.RouterInfo
	for _, r := range live {
		switch r.State {
		case membership.RouterReady:
			ready = append(ready, r)
		case membership.RouterLeaving:
			leaving = append(leaving, r)
		case membership.RouterStarting:
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return leaving
}

// rankedRouters returns the addresses of the routers that callers are sent to, in order of preference
// for an account and the data centre near.
func rankedRouters(now time.Time, d *directory.Directory, id account.ID, near string) []string {
	var entries []routing.Entry
	for _, r := range servingRouters(d.Live(now)) {
		entries = append(entries, routing.Entry{ID: r.ID, Address: r.HTTP, DataCentre: r.DataCentre})
	}
	var out []string
	for _, e := range routing.Rank(id, vm.DataCentre(near), entries) {
		out = append(out, e.Address)
	}
	return out
}

// HeaderTimeout is the header in which a caller sets the timeout of its request, in milliseconds.
const HeaderTimeout = "Fawnwinch-Timeout-Ms"

// maxTimeout is the longest timeout that a caller may set.
const maxTimeout = 10 * time.Minute

func requestTimeout(c *gin.Context) (time.Duration, error) {
	v := c.GetHeader(HeaderTimeout)
	if v == "" {
		return request.DefaultBudget, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms <= 0 || ms > int(maxTimeout.Milliseconds()) {
		return 0, fmt.Errorf("header %s: value %q is not a number of milliseconds up to %d", HeaderTimeout, v, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// newRequest builds a request from the parts that all requests of callers share. It rejects the
// request and returns false if one of them is invalid.
func (w *Web) newRequest(c *gin.Context) (*dispatch.Request, bool) {
	if !w.requireConfiguration(c) {
		return nil, false
	}
	d, err := requestTimeout(c)
	if err != nil {
		reject(c, http.StatusBadRequest, "bad-request", err.Error())
		return nil, false
	}
	deadline := clock.Now().Add(d)
	body, err := httpx.ReadBody(c.Writer, c.Request, request.MaxBody, d)
	var incomplete httpx.ErrIncomplete
	switch {
	case errors.As(err, &incomplete):
		reject(c, http.StatusRequestTimeout, "body-incomplete", err.Error())
		return nil, false
	case err != nil:
		reject(c, http.StatusRequestEntityTooLarge, "bad-request", err.Error())
		return nil, false
	}
	id, err := uuid.NewV7()
	if err != nil {
		reject(c, http.StatusInternalServerError, "internal", err.Error())
		return nil, false
	}
	return &dispatch.Request{
		ID: request.ID(id.String()), Account: caller(c).account, Method: c.Request.Method, Query: c.Request.URL.RawQuery,
		ContentType: c.GetHeader("Content-Type"), Priority: c.GetHeader("Priority"), Body: body, Deadline: deadline,
	}, true
}

// resolveService sets the service of a request after checking that the account has a share of it.
func (w *Web) resolveService(c *gin.Context, r *dispatch.Request, id string, kind service.Kind) bool {
	s := w.Follower.State().Intent.Service(service.ID(id))
	if s == nil || s.Kind != kind {
		reject(c, http.StatusNotFound, "no-service", fmt.Sprintf("there is no %s service %q", kind, id))
		return false
	}
	if s.Weight(r.Account) <= 0 {
		reject(c, http.StatusForbidden, "no-share", fmt.Sprintf("account %q has no share of service %q", r.Account, id))
		return false
	}
	r.Service = s
	return true
}

func (w *Web) chat(c *gin.Context) {
	r, ok := w.newRequest(c)
	if !ok {
		return
	}
	var params struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(r.Body, &params); err != nil {
		reject(c, http.StatusBadRequest, "bad-request", "body: "+err.Error())
		return
	}
	if !w.resolveService(c, r, params.Model, service.KindModel) {
		return
	}
	r.Path, r.Stream = "/v1/chat/completions", params.Stream
	w.serve(c, r)
}

func (w *Web) plain(c *gin.Context) {
	r, ok := w.newRequest(c)
	if !ok || !w.resolveService(c, r, c.Param("service"), service.KindPlain) {
		return
	}
	r.Path = c.Param("path")
	r.Key = request.Key(c.GetHeader(request.HeaderKey))
	r.Once = nonRepeatable(r)
	if r.Once || r.Key != "" {
		if err := request.CheckKey(r.Key); err != nil {
			reject(c, http.StatusBadRequest, "bad-key", err.Error())
			return
		}
	}
	w.serve(c, r)
}

func nonRepeatable(r *dispatch.Request) bool {
	for _, route := range r.Service.NonRepeatable {
		if route.Method == r.Method && strings.HasPrefix(r.Path, route.Path) {
			return true
		}
	}
	return false
}

// callerStream forwards a streamed answer to the caller. It sends the headers with the first event.
type callerStream struct {
	c       *gin.Context
	id      request.ID
	started bool
}

// Part forwards one event.
func (s *callerStream) Part(event []byte) error {
	if !s.started {
		s.started = true
		s.c.Header(request.HeaderID, string(s.id))
		s.c.Header(request.HeaderOutcome, string(request.OutcomeAnswered))
		s.c.Header("Content-Type", "text/event-stream")
		s.c.Status(http.StatusOK)
	}
	if _, err := s.c.Writer.Write(event); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	s.c.Writer.Flush()
	return nil
}

func (w *Web) serve(c *gin.Context, r *dispatch.Request) {
	start := clock.Now()
	w.Ring.Add(start, timeline.Event{Kind: timeline.KindRequest, Name: "arrived", Request: string(r.ID), Detail: fmt.Sprintf("account=%s service=%s method=%s path=%s", r.Account, r.Service.ID, r.Method, r.Path)})
	sink := &callerStream{c: c, id: r.ID}
	res := w.Dispatcher.Do(c.Request.Context(), r, sink)
	now := clock.Now()
	w.Metrics.ObserveRequest(string(r.Service.ID), string(res.Outcome), shortReason(res.Reason), now.Sub(start), res.Attempts)
	w.Ring.Add(now, timeline.Event{Kind: timeline.KindRequest, Name: "ended", Request: string(r.ID), Detail: fmt.Sprintf("outcome=%s reason=%q attempts=%d", res.Outcome, res.Reason, res.Attempts)})
	if sink.started {
		finishStream(c, r, res)
		return
	}
	c.Header(request.HeaderID, string(r.ID))
	if res.Outcome == request.OutcomeAnswered {
		c.Header(request.HeaderOutcome, string(res.Outcome))
		c.Data(res.Status, res.ContentType, res.Body)
		return
	}
	abort(c, failureStatus(res), errorBody{
		Outcome: res.Outcome, Reason: res.Reason, RequestID: r.ID, Message: outcomeMessage(res.Outcome),
		RetryAfterSeconds: int(math.Ceil(res.RetryAfter.Seconds())),
	})
}

// shortReason returns the part of a reason before the first colon, for use as a metric label.
func shortReason(r string) string {
	short, _, _ := strings.Cut(r, ":")
	return short
}

// finishStream ends an incomplete stream with an error event instead of the end marker, so that
// the caller does not take the answer for complete.
func finishStream(c *gin.Context, r *dispatch.Request, res dispatch.Result) {
	if res.Outcome == request.OutcomeAnswered {
		return
	}
	raw, err := json.Marshal(gin.H{"error": errorBody{Outcome: res.Outcome, Reason: res.Reason, RequestID: r.ID, Message: "the stream broke off and could not be resumed"}})
	if err != nil {
		return
	}
	_, _ = c.Writer.WriteString("event: error\ndata: " + string(raw) + "\n\n")
	c.Writer.Flush()
}

func failureStatus(res dispatch.Result) int {
	switch {
	case res.Outcome == request.OutcomeUnknown:
		return http.StatusBadGateway
	case res.Reason == "key-reused":
		return http.StatusUnprocessableEntity
	case res.Reason == "queue-full" || res.Reason == "over-share":
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func outcomeMessage(o request.Outcome) string {
	if o == request.OutcomeNotRun {
		return "the request has not run and will not run; it may be sent again"
	}
	return "the request may have run and was not repeated; asking again with the same key is safe"
}
