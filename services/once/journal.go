// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/services"
)

// Apply processes a page of the journal that was read from Next on.
func (c *Core) Apply(now time.Time, p services.Page) {
	c.lastContact = now
	c.checkBounds(p)
	for _, r := range p.Records {
		if r.Offset < c.next {
			continue
		}
		c.next = r.Offset + 1
		rec, err := DecodeRecord(r.Data)
		if err != nil {
			continue
		}
		at := now.Add(r.At.Sub(p.Now))
		if rec.Kind == RecordTake {
			c.applyTakes(now, r.Offset, rec)
			continue
		}
		c.applyClaims(at, rec)
	}
}

// Contact records that the log answered an append.
func (c *Core) Contact(now time.Time) { c.lastContact = now }

// checkBounds checks the page against the read position: it initialises the core on the first read,
// and resets ownership if records were dropped unread.
func (c *Core) checkBounds(p services.Page) {
	switch {
	case !c.started:
		c.started, c.tail = true, p.Tail
		for i := range c.slices {
			c.slices[i].known = p.First == 0
		}
	case p.First <= c.next && p.Tail >= c.next:
		return
	default:
		c.resetOwnership()
	}
	c.next, c.window = p.First, p.First
}

// resetOwnership drops all ownership, because takes may have been dropped unread.
func (c *Core) resetOwnership() {
	for i := range c.slices {
		c.refuseWaiting(request.KeySlice(i))
		c.slices[i] = sliceState{}
	}
}

// applyTakes applies the takes of a record at an offset. A take that is not based on the latest
// take of its slice is ignored: another process was faster. While the owner of a slice is unknown,
// a take is applied only if its writer had read all records that this process cannot judge.
func (c *Core) applyTakes(now time.Time, off services.Offset, rec *Record) {
	for _, t := range rec.Takes {
		sl := &c.slices[t.Slice]
		switch {
		case sl.known && !followsLatest(sl, t, rec):
		case !sl.known && (rec.AsOf < c.window || rec.AsOf < sl.undecidedEnd):
			sl.undecidedEnd = off + 1
		default:
			c.setOwner(now, t, Epoch(off)+1, rec.Owner)
		}
	}
}

// followsLatest reports whether a take is based on the latest take of its slice.
func followsLatest(sl *sliceState, t Take, rec *Record) bool {
	if t.Prev == 0 {
		return sl.epoch <= Epoch(rec.Window)
	}
	return sl.epoch == t.Prev
}

// setOwner applies a valid take. A slice that this process takes is settled at once in three cases:
// the take renews a settled one, the slice never had an owner, or the previous owner has handed
// over its table.
func (c *Core) setOwner(now time.Time, t Take, epoch Epoch, owner Owner) {
	sl := &c.slices[t.Slice]
	refresh := sl.known && sl.owner == owner && sl.settled
	first := sl.known && sl.epoch == 0
	wasMine := sl.owner == c.self
	*sl = sliceState{owner: owner, epoch: epoch, known: true, takenAt: now}
	if owner != c.self {
		if wasMine {
			c.refuseWaiting(t.Slice)
		}
		return
	}
	table, handed := c.receivedTables[t.Slice]
	delete(c.receivedTables, t.Slice)
	sl.settled = refresh || first
	if handed && table.Epoch == t.Prev && t.Prev != 0 {
		c.merge(now, t.Slice, epoch, table)
		sl.settled = true
	}
	if refresh {
		c.renewEpoch(t.Slice, epoch)
	}
}

// renewEpoch moves the keys that have not run yet to the new epoch of a slice whose take this
// process has renewed. Claims that were not read back are queued again, because a claim of an
// earlier epoch is ignored.
func (c *Core) renewEpoch(s request.KeySlice, epoch Epoch) {
	for _, e := range c.entries {
		if e.slice != s || e.epoch == epoch {
			continue
		}
		if e.state == StatePending && !e.journaled {
			e.epoch = epoch
			c.unsent = append(c.unsent, e.key)
		} else if e.state == StatePending || e.state == StateIdle {
			e.epoch = epoch
		}
	}
}

// refuseWaiting refuses the waiting attempts of a slice that this process no longer owns. Running
// requests continue.
func (c *Core) refuseWaiting(s request.KeySlice) {
	for _, e := range c.entries {
		if e.slice != s || e.state != StatePending || e.runner != 0 {
			continue
		}
		c.refuse(e, ReasonNotOwner)
		c.releaseIdle(e)
	}
}

// applyClaims applies the claims of a record. A claim is ignored if it is not of the current owner
// and epoch of its slice. A key that another owner claimed may have run there.
func (c *Core) applyClaims(at time.Time, rec *Record) {
	for _, cl := range rec.Claims {
		sl := &c.slices[cl.Slice]
		if sl.known && (sl.epoch != cl.Epoch || sl.owner != rec.Owner) {
			continue
		}
		e, ok := c.entries[cl.Key]
		if ok && rec.Owner == c.self {
			c.confirmClaim(e)
			continue
		}
		if !ok || (e.epoch != cl.Epoch && e.state != StateRunning && e.state != StateDone) {
			c.entries[cl.Key] = &entry{key: cl.Key, slice: cl.Slice, epoch: cl.Epoch, state: StateForeign, at: at, journaled: true}
		}
	}
}

// confirmClaim records that the log contains the claim of a key.
func (c *Core) confirmClaim(e *entry) {
	e.journaled = true
	if e.state != StatePending || e.runner != 0 {
		return
	}
	c.promote(e)
	if e.runner == 0 {
		e.state = StateIdle
	}
}

// maxClaims bounds the claims in one record.
const maxClaims = 4000

// Batch returns a record with the claims that wait for the journal, or nil if there are none.
func (c *Core) Batch() *Record {
	rec := &Record{Version: recordVersion, Kind: RecordClaims, Owner: c.self}
	n := min(len(c.unsent), maxClaims)
	for _, k := range c.unsent[:n] {
		e, ok := c.entries[k]
		if !ok || e.journaled || c.slices[e.slice].epoch != e.epoch {
			continue
		}
		rec.Claims = append(rec.Claims, Claim{Slice: e.slice, Epoch: e.epoch, Key: k})
	}
	c.unsent = append([]KeyID(nil), c.unsent[n:]...)
	if len(rec.Claims) == 0 {
		return nil
	}
	return rec
}

// Requeue queues the claims of a record again whose append failed or may have failed.
// A duplicate claim in the log has no effect.
func (c *Core) Requeue(rec *Record) {
	for _, cl := range rec.Claims {
		if e, ok := c.entries[cl.Key]; ok && !e.journaled {
			c.unsent = append(c.unsent, cl.Key)
		}
	}
}

// TakeRecord returns the record that makes this process the owner of slices.
func (c *Core) TakeRecord(wanted []request.KeySlice) *Record {
	rec := &Record{Version: recordVersion, Kind: RecordTake, Owner: c.self, AsOf: c.next, Window: c.window}
	for _, s := range wanted {
		t := Take{Slice: s}
		if c.slices[s].known {
			t.Prev = c.slices[s].epoch
		}
		rec.Takes = append(rec.Takes, t)
	}
	return rec
}

// SliceView is the state of a slice that Decide uses to choose changes of ownership.
type SliceView struct {
	Slice request.KeySlice
	Owner Owner
	Epoch Epoch
	// Mine reports whether this process owns the slice.
	Mine    bool
	Settled bool
	Frozen  bool
	// FrozenAt is the time of the handover that froze the slice.
	FrozenAt time.Time
	TakenAt  time.Time
}

// View returns the state of all slices.
func (c *Core) View() []SliceView {
	out := make([]SliceView, Slices)
	for i := range c.slices {
		s := &c.slices[i]
		out[i] = SliceView{
			Slice: request.KeySlice(i), Owner: s.owner, Epoch: s.epoch, Mine: s.known && s.owner == c.self,
			Settled: s.settled, Frozen: s.frozen, FrozenAt: s.frozenAt, TakenAt: s.takenAt,
		}
	}
	return out
}

// Settle marks a slice as settled. keys lists all keys that its former owners may have run without
// a journal. It returns false if this process does not own the slice in the given epoch.
func (c *Core) Settle(now time.Time, s request.KeySlice, epoch Epoch, keys []KeyID) bool {
	sl := &c.slices[s]
	if sl.owner != c.self || sl.epoch != epoch {
		return false
	}
	for _, k := range keys {
		c.markForeign(now, k, s, epoch)
	}
	sl.settled = true
	return true
}

// markForeign records that a former owner of a slice may have run a key. An entry of a run at this
// process stays. One that has not run here, left by an earlier ownership of the slice, says nothing
// about the runs at the owners since, and its waiting attempts get the outcome unknown.
func (c *Core) markForeign(now time.Time, key KeyID, s request.KeySlice, epoch Epoch) {
	e, ok := c.entries[key]
	if ok && e.state != StateIdle && e.state != StatePending {
		return
	}
	if ok {
		for _, w := range e.waiting {
			c.actions = append(c.actions, Action{Kind: ActionResolve, Token: w.token, Answer: unknown(ReasonOtherOwner).Answer})
		}
	}
	c.entries[key] = &entry{key: key, slice: s, epoch: epoch, state: StateForeign, at: now}
}

// KeyRecord is one key of a table that is handed over.
type KeyRecord struct {
	Key    KeyID
	State  State
	Digest request.Digest
	Age    time.Duration
	Answer Answer
}

// Table holds the keys of a slice that an owner hands over to the next one.
type Table struct {
	Slice request.KeySlice
	Epoch Epoch
	Keys  []KeyRecord
	// Lost reports whether the asked process no longer knows the slice's owner. The slice is then
	// taken without a table, as from a dead owner.
	Lost bool
}

// ErrBusy reports a slice that still has keys pending or running.
type ErrBusy struct{ Slice request.KeySlice }

func (e ErrBusy) Error() string { return "slice has requests in progress" }

// Handover freezes a slice and returns its table once none of its keys is in progress. If the
// journal dropped records before this process read them, the table is marked as lost. The slice
// stays frozen until a take of it is read.
func (c *Core) Handover(now time.Time, s request.KeySlice) (Table, error) {
	sl := &c.slices[s]
	if c.started && !sl.known {
		// After a refusal the others would retry forever: they have read the take that was dropped
		// before this process read it, and the heartbeats of this process show that the owner is
		// alive.
		return Table{Slice: s, Lost: true}, nil
	}
	if sl.owner != c.self {
		return Table{}, ErrNotOwner{Slice: s}
	}
	if !sl.settled {
		return Table{}, ErrUnsettled{Slice: s}
	}
	if !sl.frozen {
		sl.frozen, sl.frozenAt = true, now
	}
	t := Table{Slice: s, Epoch: sl.epoch}
	for _, e := range c.entries {
		if e.slice != s {
			continue
		}
		if e.busy() {
			return Table{}, ErrBusy{Slice: s}
		}
		state := e.state
		if state == StatePending {
			state = StateIdle
		}
		t.Keys = append(t.Keys, KeyRecord{Key: e.key, State: state, Digest: e.digest, Age: now.Sub(e.at), Answer: e.answer})
	}
	return t, nil
}

// ErrUnsettled reports a slice whose table cannot be handed over yet: a router that may have sent
// further keys has not reported them.
type ErrUnsettled struct{ Slice request.KeySlice }

func (e ErrUnsettled) Error() string { return "slice is not settled" }

// ErrNotOwner reports a slice that this process cannot hand over.
type ErrNotOwner struct{ Slice request.KeySlice }

func (e ErrNotOwner) Error() string { return "slice is not owned here" }

// Receive keeps the table of a slice that this process is about to take.
func (c *Core) Receive(t Table) {
	if t.Lost {
		delete(c.receivedTables, t.Slice)
		return
	}
	c.receivedTables[t.Slice] = t
}

// merge adds the table of the former owner.
func (c *Core) merge(now time.Time, s request.KeySlice, epoch Epoch, t Table) {
	for _, k := range t.Keys {
		if k.State == StateIdle {
			delete(c.entries, k.Key)
			continue
		}
		e := &entry{key: k.Key, slice: s, epoch: epoch, state: k.State, digest: k.Digest, at: now.Add(-k.Age), answer: k.Answer, journaled: true}
		c.entries[k.Key] = e
		c.answerBytes += len(k.Answer.Body)
	}
}
