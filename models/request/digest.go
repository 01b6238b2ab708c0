// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest stands for the content of a request: two requests with the same content have the same digest, whatever their ids. It is
// no secret and no proof: whoever chooses the content can find another one with the same digest.
type Digest uint64

// NewDigest returns the digest of a body and of the texts before it that belong to the content, such as the method and the path.
func NewDigest(body []byte, texts ...string) Digest {
	h := xxhash.New()
	for _, t := range texts {
		_, _ = h.WriteString(t + "\x00") // a digest takes everything
	}
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// String returns the digest as it stands in logs.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
