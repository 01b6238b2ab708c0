// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
)

// SliceKey names a slice of a service.
type SliceKey struct {
	Service service.ID
	Slice   request.KeySlice
}

// SentKeys holds the keys that a router sent to owners while it could not reach the log.
// It does no I/O and reads no clock.
type SentKeys struct {
	lifetime time.Duration
	// floor holds the lowest epoch to which this router still sends.
	floor map[SliceKey]Epoch
	sent  map[SliceKey]map[KeyID]time.Time
}

// NewRegister returns an empty register that keeps keys for lifetime.
func NewRegister(lifetime time.Duration) *SentKeys {
	return &SentKeys{lifetime: lifetime, floor: map[SliceKey]Epoch{}, sent: map[SliceKey]map[KeyID]time.Time{}}
}

// ErrOldOwner reports an owner that has been replaced by a newer one.
type ErrOldOwner struct{ Have, Floor Epoch }

func (e ErrOldOwner) Error() string {
	return fmt.Sprintf("owner of epoch %d was replaced, the lowest valid epoch is %d", e.Have, e.Floor)
}

// AdmitSend must be called before a request is sent to the owner of an epoch. It returns an
// ErrOldOwner if the request must not be sent. If logOut is set, the log is unreachable and the key
// is recorded.
func (r *SentKeys) AdmitSend(now time.Time, k SliceKey, epoch Epoch, key KeyID, logOut bool) error {
	if epoch < r.floor[k] {
		return ErrOldOwner{Have: epoch, Floor: r.floor[k]}
	}
	if !logOut {
		return nil
	}
	if r.sent[k] == nil {
		r.sent[k] = map[KeyID]time.Time{}
	}
	r.sent[k][key] = now
	return nil
}

// RaiseFloor sets the lowest valid epoch of a slice, unless it is higher already.
func (r *SentKeys) RaiseFloor(k SliceKey, epoch Epoch) { r.floor[k] = max(r.floor[k], epoch) }

// Floors returns the lowest valid epochs for a router that has just started.
func (r *SentKeys) Floors() map[SliceKey]Epoch {
	out := make(map[SliceKey]Epoch, len(r.floor))
	for k, e := range r.floor {
		out[k] = e
	}
	return out
}

// FenceAndListKeys returns the keys of a slice that were sent without the log. From then on, no
// request is sent to an owner with a lower epoch.
func (r *SentKeys) FenceAndListKeys(now time.Time, k SliceKey, epoch Epoch) []KeyID {
	r.RaiseFloor(k, epoch)
	var keys []KeyID
	for id, at := range r.sent[k] {
		if now.Sub(at) > r.lifetime {
			delete(r.sent[k], id)
			continue
		}
		keys = append(keys, id)
	}
	return keys
}

// Empty reports whether there is no unexpired key that was sent without the log.
func (r *SentKeys) Empty(now time.Time) bool {
	for _, keys := range r.sent {
		for _, at := range keys {
			if now.Sub(at) <= r.lifetime {
				return false
			}
		}
	}
	return true
}
