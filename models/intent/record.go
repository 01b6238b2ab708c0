// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package intent

import (
	"encoding/json"
	"fmt"
)

// RecordKind tells what a record of the configuration stream is.
type RecordKind string

// The kinds of record.
const (
	// RecordConfirm proposes the next revision.
	RecordConfirm RecordKind = "confirm"
	// RecordCheckpoint repeats the newest revision so that it outlives the log's retention.
	RecordCheckpoint RecordKind = "checkpoint"
)

// RecordVersion is the version of the record format this program writes and reads.
const RecordVersion = 1

// ConfirmID identifies one confirmation. An operator who got no answer asks for it by this id.
type ConfirmID string

// Record is one entry of the configuration stream.
type Record struct {
	Version int        `json:"version"`
	Kind    RecordKind `json:"kind"`
	ID      ConfirmID  `json:"id,omitempty"`
	// Revision is the revision that the intent becomes or, in a checkpoint, has.
	Revision Revision `json:"revision"`
	// BaseDigest is the digest of revision Revision-1 in a confirmation.
	BaseDigest Digest `json:"base_digest,omitempty"`
	// AsOf is the first offset that the writer of a checkpoint had not applied.
	AsOf   uint64  `json:"as_of,omitempty"`
	Intent *Intent `json:"intent"`
}

// ErrBadRecord reports a record that cannot be read.
type ErrBadRecord struct {
	Reason string
	// Later says that a later program wrote the record: others may understand it.
	Later bool
}

func (e ErrBadRecord) Error() string { return "configuration record " + e.Reason }

// Encode returns the bytes of a record.
func (r *Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	return raw, nil
}

// DecodeRecord reads a record and checks its form, not its place in the log.
func DecodeRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, ErrBadRecord{Reason: "is not JSON: " + err.Error()}
	}
	if r.Version != RecordVersion {
		return nil, ErrBadRecord{Reason: fmt.Sprintf("has version %d, this program reads %d", r.Version, RecordVersion), Later: r.Version > RecordVersion}
	}
	if r.Kind != RecordConfirm && r.Kind != RecordCheckpoint {
		return nil, ErrBadRecord{Reason: fmt.Sprintf("has kind %q", r.Kind)}
	}
	if r.Intent == nil || r.Revision == 0 {
		return nil, ErrBadRecord{Reason: "has no intent or no revision"}
	}
	if err := r.Intent.Check(); err != nil {
		return nil, fmt.Errorf("configuration record: %w", err)
	}
	return &r, nil
}
