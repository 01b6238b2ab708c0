// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
)

// Key identifies what may crash upstreams: the content of a request of a client account, or a part
// of the prompts of a service. Part is empty for contents.
type Key struct {
	Account account.ID
	Digest  request.Digest
	Service service.ID
	Part    prompt.Part
}

// ContentKey returns the key of a content.
func ContentKey(a account.ID, d request.Digest) Key { return Key{Account: a, Digest: d} }

// PartKey returns the key of a part of the prompts of a service.
func PartKey(s service.ID, p prompt.Part) Key { return Key{Service: s, Part: p} }

// IsPart reports whether the key is that of a part of prompts.
func (k Key) IsPart() bool { return k.Part != "" }

// String returns the key as it is written in logs.
func (k Key) String() string {
	if k.IsPart() {
		return fmt.Sprintf("part %s of service %s", k.Part, k.Service)
	}
	return fmt.Sprintf("content %s of account %s", k.Digest, k.Account)
}

// name returns the key's name in the store. It is a digest, as names of client accounts are too long
// for a store key.
func (k Key) name() string {
	if k.IsPart() {
		return request.NewDigest([]byte(k.Part), "part", string(k.Service)).String()
	}
	return request.NewDigest([]byte(k.Account), k.Digest.String()).String()
}

// Subject is a request as the register knows it.
type Subject struct {
	Content Key
	// Parts are the parts of its prompt that other requests may share, in order.
	Parts []Key
}

// NewSubject returns the subject of a request to a service.
func NewSubject(a account.ID, d request.Digest, s service.ID, parts []prompt.Part) Subject {
	out := Subject{Content: ContentKey(a, d)}
	for _, p := range parts {
		out.Parts = append(out.Parts, PartKey(s, p))
	}
	return out
}

// JoinParts returns the parts as they are written in logs.
func (s Subject) JoinParts() string {
	var parts []prompt.Part
	for _, k := range s.Parts {
		parts = append(parts, k.Part)
	}
	return prompt.Join(parts)
}

// Keys returns the keys of the request's content and of all its parts.
func (s Subject) Keys() []Key { return append([]Key{s.Content}, s.Parts...) }
