// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory is what a router knows of the processes around it, kept up to date by
// heartbeats, the platform's VM list and the configuration.
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
	"fawnwinch.org/fawnwinch/services/routing"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Options holds what a Directory needs.
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

// Directory joins the router's cores behind one lock. It is safe for use by several goroutines.
type Directory struct {
	opts Options

	mu       sync.Mutex
	table    *membership.Table
	routers  *membership.Routers
	tracker  *routing.Tracker
	register *once.Register
	// floorsKnown says that another router's floors were taken in, or that there is no other router.
	floorsKnown bool
	started     time.Time
	lists       map[service.ID]*lists
	outbox      *membership.Outbox
	// listsOf holds the lists of routers heard from each address.
	listsOf map[string]routerList
	// suspects holds the last known suspicion, to tell changes in the time line.
	suspects map[upstream.ID]bool
}

// New returns a directory that knows only the seeds.
func New(o Options) *Directory {
	return &Directory{
		opts: o, table: membership.NewTable(o.Interval), routers: membership.NewRouters(o.Interval, o.Self, o.Seeds),
		tracker: routing.NewTracker(o.Tracker), register: once.NewRegister(o.Retention),
		started: clock.Now(), lists: map[service.ID]*lists{}, outbox: membership.NewOutbox(), listsOf: map[string]routerList{}, suspects: map[upstream.ID]bool{},
	}
}

const (
	// listInterval is the time between two reads of the platform's VM list.
	listInterval = time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 3 * time.Second
	// attestAfter is how long a router must have run before it may vouch that the log is out.
	attestAfter = 10 * time.Second
)

// Run keeps the directory up to date until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { d.every(ctx, listInterval, d.readList) })
	w.Go(func() { d.every(ctx, d.opts.Interval.Beat(), d.beat) })
	w.Go(func() { d.every(ctx, time.Second, d.keep) })
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
	d.table.VMs(list)
	d.routers.VMs(clock.Now(), list)
}

// keep expires old knowledge and keeps the configuration alive in the log.
func (d *Directory) keep(ctx context.Context) {
	now := clock.Now()
	d.mu.Lock()
	d.table.Expire(now)
	for _, run := range d.routers.Expire(now, d.opts.Retention) {
		d.table.ForgetRouter(run)
	}
	live := d.routers.Live(now)
	anchored := d.routers.AnchoredElsewhere(now)
	d.noteSuspects(now)
	d.mu.Unlock()
	turn := 0
	for i, r := range live {
		if r.Incarnation == d.opts.Self.Incarnation {
			turn = i
		}
	}
	if err := d.opts.Follower.KeepAlive(ctx, now, d.opts.Retention, turn, anchored); err != nil {
		d.opts.Logger.Debug().Err(err).Msg("checkpoint failed")
	}
}

// noteSuspects tells the time line whose state has changed. The caller holds the lock.
func (d *Directory) noteSuspects(now time.Time) {
	for id, e := range d.table.All(now) {
		out := e.Suspect || e.Leaving
		if was, ok := d.suspects[id]; ok && was == out {
			continue
		}
		d.suspects[id] = out
		d.opts.Ring.Add(now, timeline.Event{Kind: timeline.KindMembership, Name: "upstream", Detail: fmt.Sprintf("upstream=%s suspect=%t leaving=%t", id, e.Suspect, e.Leaving)})
	}
}

// logAge returns how long the log has been out of this router's reach; a router that has only just
// started, or does not know which owners were replaced, says 0: it cannot vouch for an outage.
func (d *Directory) logAge(now time.Time) time.Duration {
	contact := d.opts.Follower.Contact()
	if contact.IsZero() || now.Sub(d.started) < attestAfter || !d.floorsKnown {
		return 0
	}
	return now.Sub(contact)
}

// logOut returns how long the log has been out of this router's reach, since its start if need be.
func (d *Directory) logOut(now time.Time) time.Duration {
	if contact := d.opts.Follower.Contact(); !contact.IsZero() {
		return now.Sub(contact)
	}
	return now.Sub(d.started)
}

// Pick returns the upstream of a service that should take a request.
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
	d.tracker.Sent(now, id)
	return e, true
}

// candidates lists the upstreams that may take new work. The caller holds the lock.
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

// Done notes the end of a request that Pick had placed.
func (d *Directory) Done(now time.Time, id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Done(now, id)
}

// StreamBegan notes that a request placed by Pick streams.
func (d *Directory) StreamBegan(now time.Time, id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Streaming(now, id)
}

// StreamProgress notes a token of a streamed request.
func (d *Directory) StreamProgress(now time.Time, id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Progress(now, id)
}

// StreamEnded notes the end of a streamed request.
func (d *Directory) StreamEnded(id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.StreamEnded(id)
}

// Gone notes that an agent cannot be reached.
func (d *Directory) Gone(e membership.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Gone(clock.Now(), e.Beat.Upstream, e.Beat.Incarnation)
}

// ErrNoOwner reports a slice that has no live owner at present.
type ErrNoOwner struct {
	Service service.ID
	Slice   request.Slice
}

func (e ErrNoOwner) Error() string {
	return fmt.Sprintf("slice %d of %s has no live owner", e.Slice, e.Service)
}

// ErrLogOut reports that the log has been out of reach for so long that no slice can change hands soon.
var ErrLogOut = eris.New("the log is out of reach")

// outageCertain is how long the log must be out of reach before waiting for it is no use.
const outageCertain = 3 * time.Second

// Ownership is the owner a request that may not be repeated goes to.
type Ownership struct {
	Entry membership.Entry
	Epoch once.Epoch
	// LogAge is how long the log has been out of this router's reach, if it can vouch for that.
	LogAge time.Duration
	// NoVoucher says that the log is out and this router cannot vouch for it: it has started since.
	NoVoucher bool
}

// Owner returns the owner of a slice. If the log is out of reach, the key is noted in the register first.
func (d *Directory) Owner(now time.Time, s service.ID, sl request.Slice, key once.KeyID) (Ownership, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, epoch, ok := d.table.Owner(now, s, sl)
	age := d.logAge(now)
	if !ok || e.Suspect {
		none := ErrNoOwner{Service: s, Slice: sl}
		if d.logOut(now) > outageCertain {
			return Ownership{}, fmt.Errorf("%w: %w", none, ErrLogOut)
		}
		return Ownership{}, none
	}
	if err := d.register.Send(now, once.SliceKey{Service: s, Slice: sl}, epoch, key, age > 0 && age > minOutage); err != nil {
		return Ownership{}, fmt.Errorf("slice %d of %s: %w", sl, s, err)
	}
	if age <= minOutage {
		age = 0
	}
	return Ownership{Entry: e, Epoch: epoch, LogAge: age, NoVoucher: age == 0 && d.logOut(now) > outageCertain}, nil
}

// minOutage is the shortest outage that a router vouches for. Every agent's outage_after is longer.
const minOutage = 900 * time.Millisecond

// Live returns the routers that are alive, this one included.
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

// Ready reports whether this router may serve: it knows the configuration and, for each service that
// has upstreams, one that takes work. A router that has looked for longer than a silent agent is given
// serves without: there is none.
func (d *Directory) Ready(now time.Time) bool {
	d.mu.Lock()
	others := len(d.routers.Live(now)) - 1
	settled := now.Sub(d.started) > d.opts.Interval.Suspect()
	d.mu.Unlock()
	if !d.opts.Follower.Ready(min(others, peersWanted)) {
		return false
	}
	return settled || d.serves(now, d.opts.Follower.State().Intent)
}

// serves reports whether each service of an intent has an upstream that takes work.
func (d *Directory) serves(now time.Time, in *intent.Intent) bool {
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

// peersWanted is the number of routers to ask for the configuration while the log is out of reach.
const peersWanted = 2
