// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/membership"
)

const (
	// probeUpstreamInterval is the time between two probes of the upstream.
	probeUpstreamInterval = 100 * time.Millisecond
	// probeUpstreamTimeout bounds one probe.
	probeUpstreamTimeout = time.Second
	// maxFailedProbes is the number of consecutive failed probes after which the upstream counts as
	// down.
	maxFailedProbes = 3
)

// engineLoad is the latest state of a model engine.
type engineLoad struct {
	state services.EngineState
	known bool
}

func (e *engineLoad) fill(l *membership.Load) {
	if e == nil || !e.known {
		return
	}
	l.Running, l.Waiting = e.state.Running, e.state.Waiting
	l.StepMicros, l.Step = e.state.StepMicros, uint64(e.state.Step)
	l.Map, l.Skew = uint64(e.state.Map), e.state.Load
}

// watchUpstreamState keeps the upstream's state and load up to date until ctx ends.
func (a *Agent) watchUpstreamState(ctx context.Context) {
	ticker := time.NewTicker(probeUpstreamInterval)
	defer ticker.Stop()
	failed := 0
	for {
		if a.probeUpstream(ctx) {
			failed = 0
		} else {
			failed++
		}
		if failed == 0 || failed >= maxFailedProbes {
			a.setUpstreamState(clock.Now(), failed == 0)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) probeUpstream(ctx context.Context) bool {
	lctx, cancel := context.WithTimeout(ctx, probeUpstreamTimeout)
	defer cancel()
	if a.set.Upstream.Kind == service.KindModel {
		s, err := a.engine.State(lctx)
		if err != nil {
			return false
		}
		a.load.Store(&engineLoad{state: s, known: true})
		return true
	}
	req, err := http.NewRequestWithContext(lctx, http.MethodGet, "http://"+a.set.Upstream.Address+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

func (a *Agent) setUpstreamState(now time.Time, up bool) {
	next := upstream.StateReady
	if !up {
		next = upstream.StateDown
	}
	if old := a.state.Swap(next); old != next {
		a.ring.Add(now, timeline.Event{Kind: timeline.KindFault, Name: "upstream-" + string(next)})
		a.logger.Info().Str("state", string(next)).Msg("upstream changed")
		a.links.wakeUp()
	}
}
