// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/configlog"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
)

// plan responds with the changes that an intent would make, without applying them.
func (w *Web) plan(c *gin.Context) {
	raw, err := httpx.ReadAll(c.Request.Body, intent.MaxSize)
	if err != nil {
		reject(c, http.StatusRequestEntityTooLarge, "bad-request", err.Error())
		return
	}
	proposal, err := intent.Parse(raw)
	if err != nil {
		reject(c, http.StatusBadRequest, "bad-intent", err.Error())
		return
	}
	if w.requireConfiguration(c) {
		c.JSON(http.StatusOK, intent.NewPlan(w.Follower.State(), proposal))
	}
}

// Confirmation requests that a plan is put in force.
type Confirmation struct {
	// ID identifies the confirmation in later requests for its outcome. If empty, the router
	// generates one.
	ID   intent.ConfirmID `json:"id"`
	Plan intent.Plan      `json:"plan"`
}

// ConfirmationAnswer reports the outcome of a confirmation.
type ConfirmationAnswer struct {
	ID      intent.ConfirmID  `json:"id"`
	Outcome configlog.Outcome `json:"outcome"`
	Message string            `json:"message,omitempty"`
	// Changes lists what the plan would change now, if the plan is stale.
	Changes []intent.Change `json:"changes,omitempty"`
}

// confirmTimeout is the maximum wait for a confirmation to be read back from the log.
const confirmTimeout = 8 * time.Second

func (w *Web) confirm(c *gin.Context) {
	var in Confirmation
	if err := httpx.ReadJSON(c.Request.Body, 2*intent.MaxSize, &in); err != nil {
		reject(c, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	if in.Plan.Intent == nil {
		reject(c, http.StatusBadRequest, "bad-request", "field plan.intent: is missing")
		return
	}
	if err := in.Plan.Intent.Check(); err != nil {
		reject(c, http.StatusBadRequest, "bad-intent", err.Error())
		return
	}
	if in.ID == "" {
		in.ID = intent.ConfirmID(uuid.NewString())
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), confirmTimeout)
	defer cancel()
	out, err := w.Follower.Confirm(ctx, in.ID, in.Plan)
	answerConfirm(c, in.ID, out, err)
}

func answerConfirm(c *gin.Context, id intent.ConfirmID, out configlog.Outcome, err error) {
	var conflict configlog.ErrConflict
	var unknown configlog.ErrOutcomeUnknown
	var invalid intent.ErrInvalid
	a := ConfirmationAnswer{ID: id, Outcome: out}
	switch {
	case errors.As(err, &conflict):
		a.Message, a.Changes = err.Error(), conflict.Changes
		a.Outcome = configlog.Outcome{Verdict: configlog.VerdictRejected, Revision: conflict.Have}
		c.JSON(http.StatusConflict, a)
	case errors.As(err, &unknown):
		a.Message = err.Error()
		c.Header("Retry-After", "2")
		c.JSON(http.StatusAccepted, a)
	case errors.As(err, &invalid):
		reject(c, http.StatusBadRequest, "bad-request", err.Error())
	case err != nil:
		c.Header("Retry-After", "2")
		reject(c, http.StatusServiceUnavailable, "log-unreachable", err.Error())
	case out.Verdict == configlog.VerdictRejected:
		a.Message = "another confirmation was faster: make a new plan"
		c.JSON(http.StatusConflict, a)
	default:
		c.JSON(http.StatusOK, a)
	}
}

func (w *Web) confirmation(c *gin.Context) {
	id := intent.ConfirmID(c.Param("id"))
	c.JSON(http.StatusOK, ConfirmationAnswer{ID: id, Outcome: w.Follower.Outcome(id)})
}

func (w *Web) intents(c *gin.Context) {
	if w.requireConfiguration(c) {
		c.JSON(http.StatusOK, w.Follower.State())
	}
}

// requireConfiguration reports whether this router has the configuration, and rejects the request
// if not.
func (w *Web) requireConfiguration(c *gin.Context) bool {
	if w.Directory.Ready(clock.Now()) {
		return true
	}
	c.Header("Retry-After", "1")
	reject(c, http.StatusServiceUnavailable, "not-ready", "this router does not know the configuration yet")
	return false
}

func (w *Web) status(c *gin.Context) {
	c.JSON(http.StatusOK, w.Directory.Status(clock.Now()))
}

// TimelineAnswer is the merged time line of all processes.
type TimelineAnswer struct {
	Events []timeline.Event `json:"events"`
	// Silent lists the processes that did not respond.
	Silent []string `json:"silent"`
}

func (w *Web) timeline(c *gin.Context) {
	f := timeline.Filter{Request: c.Query("request"), Group: c.Query("group"), Kind: timeline.Kind(c.Query("kind"))}
	if s := c.Query("since"); s != "" {
		at, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			reject(c, http.StatusBadRequest, "bad-request", "query since: "+err.Error())
			return
		}
		f.Since = at
	}
	events, silent := w.Directory.CollectEvents(c.Request.Context(), f)
	c.JSON(http.StatusOK, TimelineAnswer{Events: events, Silent: silent})
}
