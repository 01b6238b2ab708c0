// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package memory accounts for the bytes that the bodies of requests and answers hold together.
package memory

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"fawnwinch.org/fawnwinch/modules/httpx"
)

// Account bounds the bytes that are held at the same time. It is safe for concurrent use.
type Account struct {
	mu    sync.Mutex
	limit int64
	held  int64
	// evictable are the holds that may be ended for others.
	evictable map[*Hold]struct{}
	// refused and evicted count the holds that could not grow and those that were ended for others.
	refused, evicted uint64
}

// NewAccount returns an account of a number of bytes; without a bound if it is 0.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, evictable: map[*Hold]struct{}{}}
}

// Hold is the memory of one body. It is used by one goroutine.
type Hold struct {
	account *Account
	bytes   int64
	// evict ends the reading of the body; nil if it may not be ended. ended reports whether it was.
	evict func()
	ended bool
}

// ErrFull reports that a body does not fit into the account.
type ErrFull struct{ Held, Limit int64 }

func (e ErrFull) Error() string {
	return fmt.Sprintf("bodies hold %d of at most %d bytes", e.Held, e.Limit)
}

// Hold returns a hold without bytes. If evict is not nil, it is called once if the bytes are needed
// for others and this hold is the largest; it must not block. The caller releases the hold at the end.
func (a *Account) Hold(evict func()) *Hold {
	h := &Hold{account: a, evict: evict}
	if evict != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.evictable[h] = struct{}{}
	}
	return h
}

// Grow adds bytes to the hold. If they do not fit, the largest hold that may be ended makes room, or
// else an ErrFull is returned.
func (h *Hold) Grow(n int64) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for h.ended || a.limit > 0 && a.held+n > a.limit {
		victim := a.largest()
		if h.ended || victim == nil || victim == h || victim.bytes < h.bytes+n {
			a.refused++
			return ErrFull{Held: a.held, Limit: a.limit}
		}
		a.evicted++
		victim.ended = true
		victim.evict()
		a.drop(victim)
	}
	h.bytes += n
	a.held += n
	return nil
}

// largest returns the largest hold that may be ended, or nil. The caller holds the lock.
func (a *Account) largest() *Hold {
	var best *Hold
	for h := range a.evictable {
		if best == nil || h.bytes > best.bytes {
			best = h
		}
	}
	return best
}

// drop removes the bytes of a hold. The caller holds the lock.
func (a *Account) drop(h *Hold) {
	delete(a.evictable, h)
	a.held -= h.bytes
	h.bytes = 0
}

// Keep keeps the hold until it is released: it is not ended for others any more. It returns false if it
// was ended before.
func (h *Hold) Keep() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.evictable, h)
	return !h.ended
}

// Release ends the hold.
func (h *Hold) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.drop(h)
}

// Usage returns the bytes that are held, and how many holds could not grow or were ended for others.
func (a *Account) Usage() (held int64, refused, evicted uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held, a.refused, a.evicted
}

const (
	// minRead is the size of the first buffer of a body whose length is not known.
	minRead = 4 << 10
	// maxTrusted bounds the buffer that is allocated for a body because of its declared length.
	maxTrusted = 1 << 20
)

// ReadAll reads a body of at most limit bytes into memory of the hold. length is its declared length;
// negative if it is not known.
func (h *Hold) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, httpx.ErrTooLarge{Limit: limit}
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := h.enlarge(body, length, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, httpx.ErrTooLarge{Limit: limit}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// enlarge returns a larger buffer with the same bytes. There is a byte more than the body has, to
// read its end.
func (h *Hold) enlarge(body []byte, length, limit int64) ([]byte, error) {
	size := max(2*int64(cap(body)), minRead)
	if length >= 0 {
		size = min(max(size, maxTrusted), length+1)
	}
	if size = min(size, limit+1); size <= int64(cap(body)) {
		size = int64(cap(body)) + minRead // more than was declared: the next read finds that out
	}
	if err := h.Grow(size - int64(cap(body))); err != nil {
		return nil, err
	}
	out := make([]byte, len(body), size)
	copy(out, body)
	return out, nil
}
