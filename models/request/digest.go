// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest is a fingerprint of the content of a request: requests with the same content have the same
// digest, whatever their IDs. It is neither secret nor collision-resistant: whoever chooses the
// content can construct another one with the same digest.
type Digest uint64

// NewDigest returns the digest of a body and of the texts before it that belong to the content,
// such as the method and the path.
func NewDigest(body []byte, texts ...string) Digest {
	h := xxhash.New()
	for _, t := range texts {
		_, _ = h.WriteString(t + "\x00") // never fails
	}
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// String returns the digest as it is written in logs.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
