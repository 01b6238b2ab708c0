// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"

	"github.com/gin-gonic/gin"
)

// Entry is what the platform's questions are answered from.
type Entry interface {
	// Ready reports whether the process takes callers.
	Ready() bool
	// Addresses returns the addresses that callers of a data centre should use.
	Addresses(now time.Time, dc vm.DataCentre) []string
}

// Words holds the names under which the platform asks.
type Words struct {
	// ResolvePath and ReadyPath are the paths of the two questions.
	ResolvePath, ReadyPath string
	// DataCentre is the parameter that names the caller's data centre.
	DataCentre string
	// Addresses and TTL are the names of the fields of the answer.
	Addresses, TTL string
}

// addressSeconds is how long callers may keep an answer, in seconds. Some keep it three times as long,
// and a process that stops must serve for that time.
const addressSeconds = 1

// maxAddresses is the most addresses that callers look at.
const maxAddresses = 64

// NewDirectory returns the handler of the questions which routers to use and whether this one is ready.
func NewDirectory(e Entry, w Words) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET(w.ReadyPath, func(c *gin.Context) {
		if !e.Ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	g.GET(w.ResolvePath, func(c *gin.Context) {
		list := e.Addresses(clock.Now(), vm.DataCentre(c.Query(w.DataCentre)))
		if len(list) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.JSON(http.StatusOK, gin.H{w.Addresses: list[:min(len(list), maxAddresses)], w.TTL: addressSeconds})
	})
	return g
}
