// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"slices"
	"testing"

	"fawnwinch.org/fawnwinch/services/membership"
)

// TestServingRouters guards against callers that get no address while all routers leave.
func TestServingRouters(t *testing.T) {
	cases := map[string]struct {
		states []membership.RouterState
		want   []string
	}{
		"none":                 {nil, nil},
		"one leaves":           {[]membership.RouterState{membership.RouterLeaving, membership.RouterReady, membership.RouterStarting}, []string{"b"}},
		"all leave":            {[]membership.RouterState{membership.RouterLeaving, membership.RouterLeaving}, []string{"a", "b"}},
		"the others start":     {[]membership.RouterState{membership.RouterStarting, membership.RouterLeaving}, []string{"b"}},
		"all are just started": {[]membership.RouterState{membership.RouterStarting}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var live []membership.RouterInfo
			for i, s := range c.states {
				live = append(live, membership.RouterInfo{ID: string(rune('a' + i)), State: s})
			}
			var got []string
			for _, r := range servingRouters(live) {
				got = append(got, r.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("routers %v, want %v", got, c.want)
			}
		})
	}
}
