// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package intent

import (
	"encoding/json"
	"fmt"
)

// RecordKind is the kind of a record in the configuration stream.
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

// ConfirmID identifies one confirmation. An operator who received no answer queries the result by
// this ID.
type ConfirmID string

// Record is one entry of the configuration stream.
type Record struct {
	Version int        `json:"version"`
	Kind    RecordKind `json:"kind"`
	ID      ConfirmID  `json:"id,omitempty"`
	// Revision is the number that the intent is to get or, in a checkpoint, already has.
	Revision Revision `json:"revision"`
	// BaseDigest is the digest of revision Revision-1 in a confirmation.
	BaseDigest Digest `json:"base_digest,omitempty"`
	// AsOf is the first offset that the writer of a checkpoint had not applied.
	AsOf   uint64  `json:"as_of,omitempty"`
	Intent *Intent `json:"intent"`
}

// ErrBadRecord reports a record that cannot be decoded.
type ErrBadRecord struct {
	Reason string
	// Later reports whether a newer version of the program wrote the record; newer processes may
	// understand it.
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

// DecodeRecord decodes a record and checks its contents, but not its position in the log.
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
