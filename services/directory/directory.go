// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory is a router's cluster view, kept up to date by heartbeats, the platform's VM
// list and the configuration.
package directory

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/once"
	"fawnwinch.org/fawnwinch/services/retry"
	"fawnwinch.org/fawnwinch/services/routing"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Options holds the settings and dependencies of a Directory.
type Options struct {
	Interval  membership.Interval
	Self      membership.RouterInfo
	Seeds     []string
	VMs       services.VMList
	Follower  *configlog.Follower
	Pool      *rpc.Pool
	Ring      *timeline.Ring
	Logger    zerolog.Logger
	Retention time.Duration
	Tracker   routing.Options
}

// Directory guards the router's membership, routing and once state with one lock. It is safe for
// use by several goroutines.
type Directory struct {
	opts Options

	mu       sync.Mutex
	table    *membership.Table
	routers  *membership.Routers
	tracker  *routing.Tracker
	register *once.SentKeys
	// floorsKnown reports whether another router's floors were merged or there is no other router.
	floorsKnown bool
	// sharers counts the routers that share the slack of the retry budgets.
	sharers retry.Routers
	started time.Time
	lists   map[service.ID]*agentLists
	outbox  *membership.Outbox
	// peerLists maps each router's address to the list of routers that it sent last.
	peerLists map[string]routerList
	// unavailable maps each upstream to whether it was suspect or leaving at the last check, to report
	// changes in the timeline.
	unavailable map[upstream.ID]bool
}

// New returns a directory that has only the seed addresses.
func New(o Options) *Directory {
	return &Directory{
		opts: o, table: membership.NewTable(o.Interval), routers: membership.NewRouters(o.Interval, o.Self, o.Seeds),
		tracker: routing.NewTracker(o.Tracker), register: once.NewRegister(o.Retention),
		started: clock.Now(), lists: map[service.ID]*agentLists{}, outbox: membership.NewOutbox(), peerLists: map[string]routerList{}, unavailable: map[upstream.ID]bool{},
	}
}

const (
	// listInterval is the time between two reads of the platform's VM list.
	listInterval = time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 3 * time.Second
	// outageConfirmAfter is the uptime from which a router may confirm an outage of the log.
	outageConfirmAfter = 10 * time.Second
)

// Run keeps the directory up to date until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { d.every(ctx, listInterval, d.readList) })
	w.Go(func() { d.every(ctx, d.opts.Interval.Heartbeat(), d.sendBeats) })
	w.Go(func() { d.every(ctx, time.Second, d.maintain) })
	w.Wait()
}

func (d *Directory) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Directory) readList(ctx context.Context) {
	lctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := d.opts.VMs.VMs(lctx)
	if err != nil {
		d.opts.Logger.Debug().Err(err).Msg("vm list read failed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetVMs(list)
	d.routers.SetVMs(clock.Now(), list)
}

// maintain expires old entries and keeps the configuration in the log by checkpoints.
func (d *Directory) maintain(ctx context.Context) {
	now := clock.Now()
	d.mu.Lock()
	d.table.Expire(now)
	for _, run := range d.routers.Expire(now, d.opts.Retention) {
		d.table.ForgetRouter(run)
	}
	if n, known := d.routers.Known(now); known {
		d.sharers.Set(now, n)
	}
	live := d.routers.Live(now)
	anchored := d.routers.AnchoredElsewhere(now)
	d.recordUnavailable(now)
	d.mu.Unlock()
	routerIndex := 0
	for i, r := range live {
		if r.Incarnation == d.opts.Self.Incarnation {
			routerIndex = i
		}
	}
	if err := d.opts.Follower.AppendDueCheckpoint(ctx, now, d.opts.Retention, routerIndex, anchored); err != nil {
		d.opts.Logger.Debug().Err(err).Msg("checkpoint failed")
	}
}

// recordUnavailable adds a timeline event for each upstream whose state has changed. The caller
// holds the lock.
func (d *Directory) recordUnavailable(now time.Time) {
	for id, e := range d.table.All(now) {
		out := e.Suspect || e.Leaving
		if was, ok := d.unavailable[id]; ok && was == out {
			continue
		}
		d.unavailable[id] = out
		d.opts.Ring.Add(now, timeline.Event{Kind: timeline.KindMembership, Name: "upstream", Detail: fmt.Sprintf("upstream=%s suspect=%t leaving=%t", id, e.Suspect, e.Leaving)})
	}
}

// confirmedLogAge returns how long the log has been unreachable for this router. It returns 0 if
// the router has just started or does not know which owners were replaced, since it cannot confirm
// an outage then.
func (d *Directory) confirmedLogAge(now time.Time) time.Duration {
	contact := d.opts.Follower.LastContact()
	if contact.IsZero() || now.Sub(d.started) < outageConfirmAfter || !d.floorsKnown {
		return 0
	}
	return now.Sub(contact)
}

// logUnreachableFor returns how long the log has been unreachable for this router, counted from its
// start if it has had no contact yet.
func (d *Directory) logUnreachableFor(now time.Time) time.Duration {
	if contact := d.opts.Follower.LastContact(); !contact.IsZero() {
		return now.Sub(contact)
	}
	return now.Sub(d.started)
}

// Pick chooses the upstream of a service for a request and counts the request as sent.
func (d *Directory) Pick(now time.Time, s *service.Service, exclude map[upstream.ID]bool) (membership.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cands := d.candidates(now, s, exclude)
	d.tracker.SetRouters(len(d.routers.Live(now)))
	id, ok := d.tracker.Pick(now, cands)
	if !ok {
		return membership.Entry{}, false
	}
	e, _ := d.table.Entry(now, id)
	d.tracker.RequestSent(now, id)
	return e, true
}

// RetryShare returns this router's share of the slack of the retry budgets.
func (d *Directory) RetryShare() retry.Share {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sharers.Share()
}

// candidates lists the upstreams that may get new work. The caller holds the lock.
func (d *Directory) candidates(now time.Time, s *service.Service, exclude map[upstream.ID]bool) []routing.Candidate {
	closed := map[upstream.ID]bool{}
	for _, u := range s.Closed {
		closed[u] = true
	}
	var out []routing.Candidate
	add := func(u upstream.ID, g group.ID) {
		e, ok := d.table.Entry(now, u)
		if !ok || closed[u] || exclude[u] || e.Suspect || e.Leaving || e.Beat.State != upstream.StateReady || e.Beat.Service != s.ID {
			return
		}
		out = append(out, routing.Candidate{Upstream: u, Group: g})
	}
	for _, g := range s.Groups {
		for _, u := range g.Ranks {
			add(u, g.ID)
		}
	}
	for _, u := range s.Upstreams {
		add(u, "")
	}
	return out
}

// Done records the end of a request that was sent to the upstream returned by Pick.
func (d *Directory) Done(now time.Time, id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RequestDone(now, id)
}

// StreamStarted records that the response of such a request is streamed.
func (d *Directory) StreamStarted(now time.Time, id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.StreamStarted(now, id)
}

// StreamProgress records a token of a streamed response.
func (d *Directory) StreamProgress(now time.Time, id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Progress(now, id)
}

// StreamEnded records the end of a streamed response.
func (d *Directory) StreamEnded(id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.StreamEnded(id)
}

// MarkUnreachable records that an agent is unreachable.
func (d *Directory) MarkUnreachable(e membership.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.MarkUnreachable(clock.Now(), e.Beat.Upstream, e.Beat.Incarnation)
}

// ErrNoOwner reports a slice without a live owner.
type ErrNoOwner struct {
	Service service.ID
	Slice   request.KeySlice
}

func (e ErrNoOwner) Error() string {
	return fmt.Sprintf("slice %d of %s has no live owner", e.Slice, e.Service)
}

// ErrLogUnreachable reports that the log has been unreachable for so long that no slice can change
// its owner soon.
var ErrLogUnreachable = eris.New("the log is out of reach")

// outageCertainAfter is how long the log must be unreachable before requests no longer wait for it.
const outageCertainAfter = 3 * time.Second

// Ownership is the owner that a request which must not be repeated is sent to.
type Ownership struct {
	Entry membership.Entry
	Epoch once.Epoch
	// LogAge is how long the log has been unreachable for this router, or 0 if it cannot confirm an
	// outage.
	LogAge time.Duration
	// NoVoucher reports whether the log is unreachable but this router cannot confirm the outage,
	// because it has started since.
	NoVoucher bool
}

// Owner returns the owner of a slice. If the log is unreachable, the key is recorded in the
// register first.
func (d *Directory) Owner(now time.Time, s service.ID, sl request.KeySlice, key once.KeyID) (Ownership, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, epoch, ok := d.table.Owner(now, s, sl)
	age := d.confirmedLogAge(now)
	if !ok || e.Suspect {
		noOwner := ErrNoOwner{Service: s, Slice: sl}
		if d.logUnreachableFor(now) > outageCertainAfter {
			return Ownership{}, fmt.Errorf("%w: %w", noOwner, ErrLogUnreachable)
		}
		return Ownership{}, noOwner
	}
	if err := d.register.AdmitSend(now, once.SliceKey{Service: s, Slice: sl}, epoch, key, age > 0 && age > minConfirmedOutage); err != nil {
		return Ownership{}, fmt.Errorf("slice %d of %s: %w", sl, s, err)
	}
	if age <= minConfirmedOutage {
		age = 0
	}
	return Ownership{Entry: e, Epoch: epoch, LogAge: age, NoVoucher: age == 0 && d.logUnreachableFor(now) > outageCertainAfter}, nil
}

// minConfirmedOutage is the shortest outage that a router confirms. The outage_after of every agent
// is longer.
const minConfirmedOutage = 900 * time.Millisecond

// Live returns the live routers, including this one.
func (d *Directory) Live(now time.Time) []membership.RouterInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers.Live(now)
}

// SetState changes this router's own state.
func (d *Directory) SetState(s membership.RouterState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers.SetState(s)
}

// Self returns this router's own description.
func (d *Directory) Self() membership.RouterInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers.Self()
}

// Ready reports whether this router may serve callers: it has the configuration and, for each
// service with upstreams, one that accepts work. A router that has run for longer than
// Interval.SuspectAfter serves also without such an upstream, because then none is alive.
func (d *Directory) Ready(now time.Time) bool {
	d.mu.Lock()
	others := len(d.routers.Live(now)) - 1
	discovered := now.Sub(d.started) > d.opts.Interval.SuspectAfter()
	d.mu.Unlock()
	if !d.opts.Follower.Ready(min(others, minConfigPeers)) {
		return false
	}
	return discovered || d.hasUpstreams(now, d.opts.Follower.State().Intent)
}

// hasUpstreams reports whether each service of an intent that has upstreams has one that accepts
// work.
func (d *Directory) hasUpstreams(now time.Time, in *intent.Intent) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range in.Services {
		s := &in.Services[i]
		if len(s.Members()) > 0 && len(d.candidates(now, s, nil)) == 0 {
			return false
		}
	}
	return true
}

// minConfigPeers is the number of routers whose configuration is adopted before serving while the
// log is unreachable.
const minConfigPeers = 2
