// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routers implements the HTTP interface of a router for callers, operators and monitoring.
package routers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/dispatch"
	"fawnwinch.org/fawnwinch/services/membership"

	"github.com/gin-gonic/gin"
)

// Dispatcher sends requests to upstreams.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) dispatch.Result
}

// Web holds the dependencies of the HTTP handlers.
type Web struct {
	Settings   setting.Router
	Directory  *directory.Directory
	Follower   *configlog.Follower
	Dispatcher Dispatcher
	Metrics    *metrics.Metrics
	Ring       *timeline.Ring

	credentials map[string]setting.Credential
}

// identity is the authenticated identity of a caller.
type identity struct {
	account  account.ID
	operator bool
}

const identityKey = "identity"

// Handler returns the handler of the router's HTTP interface.
func (w *Web) Handler() http.Handler {
	w.credentials = map[string]setting.Credential{}
	for _, c := range w.Settings.Credentials {
		w.credentials[strings.ToLower(c.TokenSHA256)] = c
	}
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.Recovery())
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", w.ready)
	g.GET("/metrics", gin.WrapH(w.Metrics.Handler()))

	callers := g.Group("/", w.identify, w.closeWhenLeaving)
	callers.POST("/v1/chat/completions", w.chat)
	callers.Any("/svc/:service/*path", w.plain)
	callers.GET("/api/v1/endpoints", w.endpoints)

	operators := g.Group("/api/v1", w.identify, operatorsOnly)
	operators.POST("/plans", w.plan)
	operators.POST("/plans/confirm", w.confirm)
	operators.GET("/confirmations/:id", w.confirmation)
	operators.GET("/intents", w.intents)
	operators.GET("/status", w.status)
	operators.GET("/timeline", w.timeline)
	return g
}

// identify authenticates a request by its bearer token and stores the caller's identity.
func (w *Web) identify(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	cred, known := w.credentials[hex.EncodeToString(sum[:])]
	if !ok || !known {
		reject(c, http.StatusUnauthorized, "unauthorized", "header Authorization: no known bearer token")
		return
	}
	c.Set(identityKey, identity{account: cred.Account, operator: cred.Operator})
}

func caller(c *gin.Context) identity {
	id, _ := c.MustGet(identityKey).(identity)
	return id
}

func operatorsOnly(c *gin.Context) {
	if !caller(c).operator {
		reject(c, http.StatusForbidden, "forbidden", "this credential is not an operator's")
	}
}

// closeWhenLeaving closes callers' connections while this router is leaving, so that they reconnect
// to other routers.
func (w *Web) closeWhenLeaving(c *gin.Context) {
	if w.Directory.Self().State == membership.RouterLeaving {
		c.Header("Connection", "close")
	}
}

func (w *Web) ready(c *gin.Context) {
	switch {
	case w.Directory.Self().State == membership.RouterLeaving:
		c.String(http.StatusServiceUnavailable, "leaving\n")
	case !w.Directory.Ready(clock.Now()):
		c.String(http.StatusServiceUnavailable, "configuration not known\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

// reject responds to a request that was not run.
func reject(c *gin.Context, status int, reason, message string) {
	abort(c, status, errorBody{Outcome: "not-run", Reason: reason, Message: message})
}

// endpointsAnswer lists the routers that a caller should use, best first.
type endpointsAnswer struct {
	// TTLMillis is how long the answer may be cached, in milliseconds.
	TTLMillis int64    `json:"ttl_ms"`
	Routers   []string `json:"routers"`
}

func (w *Web) endpoints(c *gin.Context) {
	ranked := rankedRouters(clock.Now(), w.Directory, caller(c).account, c.Query("near"))
	if len(ranked) == 0 {
		c.Header("Retry-After", "1")
		reject(c, http.StatusServiceUnavailable, "no-router", "no router is ready")
		return
	}
	c.JSON(http.StatusOK, endpointsAnswer{TTLMillis: w.Settings.AddressTTL.Milliseconds(), Routers: ranked})
}
