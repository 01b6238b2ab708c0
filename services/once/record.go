// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package once ensures that requests which must not be repeated run at most once.
//
// The keys of a service are divided into slices. A record in the log assigns each slice to one
// owner, an incarnation of an agent; the offset of that record gives the slice's epoch. Before an
// owner runs a request, it appends a claim of the key to the journal. It runs the request only
// after it has read the claim back while its own epoch is still the current one. The order of the
// log alone therefore decides between two owners, however long either was paused.
package once

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

// Slices is the number of slices in the key space of each service.
const Slices = 32

// Epoch numbers the owners of a slice: the offset of the record that made the owner, plus 1.
// Epoch 0 means that the slice has had no owner.
type Epoch uint64

// KeyID is the hash of an account and its idempotency key.
type KeyID string

// NewKeyID returns the hash of an account and its key.
func NewKeyID(a account.ID, k request.Key) KeyID {
	sum := sha256.Sum256([]byte(string(a) + "\x00" + string(k)))
	return KeyID(base64.RawURLEncoding.EncodeToString(sum[:16]))
}

// Owner is one incarnation of an agent.
type Owner struct {
	Upstream    upstream.ID          `json:"upstream"`
	Incarnation upstream.Incarnation `json:"incarnation"`
	RPC         string               `json:"rpc"`
}

// RecordKind is the kind of a journal record.
type RecordKind string

// The kinds of record.
const (
	// RecordTake makes the writer the owner of slices.
	RecordTake RecordKind = "take"
	// RecordClaims records that the owner is about to run keys, or has run them.
	RecordClaims RecordKind = "claims"
)

// recordVersion is the version of the journal format.
const recordVersion = 1

// Take claims ownership of a slice whose epoch was Prev. Prev 0 means that the writer has read no
// take of the slice since Window.
type Take struct {
	Slice request.KeySlice `json:"slice"`
	Prev  Epoch            `json:"prev"`
}

// Claim records that the owner of a slice may run a key.
type Claim struct {
	Slice request.KeySlice `json:"slice"`
	Epoch Epoch            `json:"epoch"`
	Key   KeyID            `json:"key"`
}

// Record is one entry of a service's journal.
type Record struct {
	Version int        `json:"version"`
	Kind    RecordKind `json:"kind"`
	Owner   Owner      `json:"owner"`
	// AsOf is the first offset that the writer of a take had not applied.
	AsOf services.Offset `json:"as_of,omitempty"`
	// Window is the first offset that the writer of a take has read.
	Window services.Offset `json:"window,omitempty"`
	Takes  []Take          `json:"takes,omitempty"`
	Claims []Claim         `json:"claims,omitempty"`
}

// StreamOf returns the log stream of a service's journal.
func StreamOf(id service.ID) services.Stream { return services.Stream("once." + string(id)) }

// Encode returns the bytes of a record.
func (r *Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode journal record: %w", err)
	}
	return raw, nil
}

// ErrBadRecord reports an invalid journal record.
type ErrBadRecord struct{ Reason string }

func (e ErrBadRecord) Error() string { return "journal record " + e.Reason }

// DecodeRecord decodes and validates a journal record.
func DecodeRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, ErrBadRecord{Reason: "is not JSON: " + err.Error()}
	}
	if r.Version != recordVersion {
		return nil, ErrBadRecord{Reason: fmt.Sprintf("has version %d, this program reads %d", r.Version, recordVersion)}
	}
	for _, t := range r.Takes {
		if t.Slice < 0 || t.Slice >= Slices {
			return nil, ErrBadRecord{Reason: fmt.Sprintf("takes invalid slice %d", t.Slice)}
		}
	}
	for _, c := range r.Claims {
		if c.Slice < 0 || c.Slice >= Slices {
			return nil, ErrBadRecord{Reason: fmt.Sprintf("claims a key in invalid slice %d", c.Slice)}
		}
	}
	return &r, nil
}
