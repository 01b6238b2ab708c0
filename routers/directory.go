// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/entry"
	"fawnwinch.org/fawnwinch/services/shutdown"

	"github.com/gin-gonic/gin"
)

// Resolver provides the answers to the platform's resolve and readiness requests.
type Resolver interface {
	// Ready reports whether the process accepts requests from callers.
	Ready() bool
	// Addresses returns the router addresses that a caller should use.
	Addresses(now time.Time, c entry.Caller) []string
}

// DirectoryNames holds the paths, parameters and fields of the platform's directory protocol.
type DirectoryNames struct {
	// ResolvePath and ReadyPath are the paths of the resolve and readiness requests.
	ResolvePath, ReadyPath string
	// DataCentre, Region and Host are the query parameters with the caller's data centre and region
	// and with the host name of its requests.
	DataCentre, Region, Host string
	// Addresses and TTL are the names of the fields in the response.
	Addresses, TTL string
}

// maxAddresses is the maximum number of addresses that callers use.
const maxAddresses = 64

// NewDirectory returns the handler of requests for the routers to use and for this router's
// readiness.
func NewDirectory(r Resolver, names DirectoryNames) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET(names.ReadyPath, func(c *gin.Context) {
		if !r.Ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	g.GET(names.ResolvePath, func(c *gin.Context) {
		list := r.Addresses(clock.Now(), entry.Caller{
			DataCentre: vm.DataCentre(c.Query(names.DataCentre)), Region: vm.Region(c.Query(names.Region)), Host: c.Query(names.Host),
		})
		if len(list) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.JSON(http.StatusOK, gin.H{names.Addresses: list[:min(len(list), maxAddresses)], names.TTL: int(shutdown.AddressTTL.Seconds())})
	})
	return g
}
