// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/admission"

	"github.com/rs/zerolog"
)

// shortage is a service's shortage at this router, and the latest request that lacked room.
type shortage struct {
	admission.Shortage
	level    urgency.Level
	forecast time.Duration
}

// ServiceShortage is the shortage of a service at a router.
type ServiceShortage struct {
	Service service.ID
	// Lasted is the time since the shortage began.
	Lasted time.Duration
	// Levels counts the requests by level; 0 is the most urgent.
	Levels []admission.LevelShortage
}

// Shortages returns the services whose requests lack room at this router.
func (r *Relay) Shortages(now time.Time) []ServiceShortage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ServiceShortage
	for id, svc := range r.pools {
		if s := &svc.shortage; s.Active(now) {
			out = append(out, ServiceShortage{Service: id, Lasted: s.Lasted(now), Levels: s.Counts(svc.waitingByLevel())})
		}
	}
	slices.SortFunc(out, func(a, b ServiceShortage) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// waitingByLevel returns the number of waiting requests of each level. A service that is not ranked
// has one.
func (svc *serviceState) waitingByLevel() []int {
	if levels := svc.queue.WaitingByLevel(); levels != nil {
		return levels
	}
	return []int{svc.queue.Waiting()}
}

// noteRejected records a request that found no room. The caller holds the lock.
func (r *Relay) noteRejected(now time.Time, svc *serviceState, asked *admission.Request, f admission.Forecast) {
	if asked.Ask.Engine == nil {
		return
	}
	r.endShortage(now, svc)
	begins := svc.shortage.Reject(now, asked.Level)
	r.noteLack(now, svc, asked.Level, f, begins)
}

// noteHeld records a request that waits or has waited for room, if that was long. The caller holds
// the lock.
func (r *Relay) noteHeld(now time.Time, svc *serviceState, asked *admission.Request) {
	r.endShortage(now, svc)
	if asked.HeldLong(now) {
		begins := svc.shortage.Hold(now)
		r.noteLack(now, svc, asked.Level, asked.Forecast(), begins)
	}
}

// noteLack records what is logged of the latest request that lacked room, and logs the beginning of
// a shortage. The caller holds the lock.
func (r *Relay) noteLack(now time.Time, svc *serviceState, l urgency.Level, f admission.Forecast, begins bool) {
	svc.shortage.level, svc.shortage.forecast = l, f.Wait
	if begins {
		r.logShortage(now, svc, false)
	}
}

// noteWaited records a request that has left the queue. Rejected reports whether its permitted wait
// was over.
func (r *Relay) noteWaited(now time.Time, svc *serviceState, asked *admission.Request, rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteHeld(now, svc, asked)
	if rejected {
		r.noteRejected(now, svc, asked, asked.Forecast())
	}
}

// noteLate records a late stream.
func (r *Relay) noteLate(now time.Time, x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if svc, ok := r.pools[x.service]; ok {
		svc.shortage.Late(now, x.level)
	}
}

// checkShortage looks for a waiting request that shows a shortage, or else for the end of one. The
// caller holds the lock.
func (r *Relay) checkShortage(now time.Time, svc *serviceState) {
	if x := svc.queue.UrgentHeld(now); x != nil {
		r.noteHeld(now, svc, x)
		return
	}
	r.endShortage(now, svc)
}

// endShortage logs the end of a shortage that is over. The caller holds the lock.
func (r *Relay) endShortage(now time.Time, svc *serviceState) {
	if svc.shortage.Over(now) {
		r.logShortage(now, svc, true)
		svc.shortage.Reset()
	}
}

// logShortage logs the beginning or the end of a shortage with the inputs of the latest decision: the
// level and the forecast of the request that lacked room, the waiting requests, the age of the oldest
// load report (-1: none is valid) and whether a group may be in catch-up. There are at most two lines
// in the time after which a shortage ends. The caller holds the lock.
func (r *Relay) logShortage(now time.Time, svc *serviceState, ended bool) {
	s, age := &svc.shortage, int64(-1)
	if a, ok := svc.pool.ReportAge(now); ok {
		age = a.Milliseconds()
	}
	e := r.opts.Logger.Info().Str("service", string(svc.service)).Bool("ended", ended).Int("urgency_level", int(s.level)).Int("waiting", svc.queue.Waiting()).
		Int64("forecast_ms", s.forecast.Milliseconds()).Int64("report_age_ms", age).Bool("catch_up", svc.pool.CatchingUp(now))
	if ended {
		logCounts(e, s.Counts(svc.waitingByLevel()))
		e.Int64("lasted_ms", s.Lasted(now).Milliseconds())
	}
	e.Msg("shortage")
}

// logCounts adds the rejected and late requests to a log line, separated by commas in the order of
// levels.
func logCounts(e *zerolog.Event, levels []admission.LevelShortage) {
	rejected, late := make([]string, len(levels)), make([]string, len(levels))
	for l, c := range levels {
		rejected[l], late[l] = fmt.Sprint(c.Rejected), fmt.Sprint(c.Late)
	}
	e.Str("rejected", strings.Join(rejected, ",")).Str("late", strings.Join(late, ","))
}
