// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"fawnwinch.org/fawnwinch/services/knowledge"
)

// gained reports whether the state has become so much fresher than it was that others should learn
// it at once.
func (f *follower[T]) gained(before knowledge.Watermark) bool {
	if f.spreads == nil || !before.Known() || !f.spreads() {
		return false
	}
	after := f.mark()
	f.mu.Lock()
	defer f.mu.Unlock()
	return after.AsOf.Sub(before.AsOf) >= f.times.Gain
}

// staler reports whether the state is so much older than that of another router, which was sent with
// a message, that it should be confirmed by a request to that router. The message itself confirms
// nothing: it may have been in transit for long.
func (f *follower[T]) staler(now time.Time, theirs FeedProgress) bool {
	own := f.mark()
	if f.spreads == nil || !own.Known() || !theirs.Known || own.Next != theirs.position() || !f.spreads() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(own.AsOf)-theirs.Age >= f.times.Gain
}

// applyReply applies the read position of a router in its reply to a gossip message sent at a time.
func (f *follower[T]) applyReply(sent time.Time, address string, theirs FeedProgress) {
	if !theirs.Known {
		return
	}
	before := f.mark()
	f.apply(knowledge.Segment[T]{From: theirs.position(), Next: theirs.position(), AsOf: theirs.asOf(sent), Vouch: theirs.confirmation(sent), Unreadable: theirs.Unreadable})
	if f.gained(before) {
		f.notify()
	}
	f.pullIfAhead(address, theirs)
}
