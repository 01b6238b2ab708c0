// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package intent holds sharing intents, the plans derived from them and their records in the log.
package intent

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Revision is the number of an accepted configuration. Revision 0 is the empty configuration.
type Revision uint64

// Digest is the fingerprint of an intent.
type Digest string

// Preference says what a deployment optimizes for when expert maps change.
type Preference string

// The preferences.
const (
	// PreferSkew moves experts readily to keep steps short.
	PreferSkew Preference = "skew"
	// PreferCost moves experts only when the gain is large.
	PreferCost Preference = "cost"
)

// FormatVersion is the version of the intent format this program reads.
const FormatVersion = 1

// MaxSize is the largest size of an intent document, in bytes.
const MaxSize = 1 << 20

// Rebalance controls how expert maps may change.
type Rebalance struct {
	Prefer Preference `yaml:"prefer" json:"prefer" validate:"required,oneof=skew cost"`
	// QuietFrom and QuietTo bound the hours of the day (UTC) without voluntary moves; if they are
	// equal, there are none.
	QuietFrom int `yaml:"quiet_from_hour" json:"quiet_from_hour" validate:"gte=0,lte=23"`
	QuietTo   int `yaml:"quiet_to_hour" json:"quiet_to_hour" validate:"gte=0,lte=23"`
}

// Intent is the complete configuration that operators declare.
type Intent struct {
	Version    int               `yaml:"version" json:"version" validate:"eq=1"`
	Deployment string            `yaml:"deployment" json:"deployment" validate:"required"`
	Rebalance  Rebalance         `yaml:"rebalance" json:"rebalance"`
	Services   []service.Service `yaml:"services" json:"services" validate:"unique=ID,max=1000,dive"`
}

// ErrInvalid reports an invalid intent, with the field and its value.
type ErrInvalid struct {
	Field  string
	Value  string
	Reason string
}

func (e ErrInvalid) Error() string {
	return fmt.Sprintf("intent field %s: value %q %s", e.Field, e.Value, e.Reason)
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Parse reads an intent from strict YAML, in which unknown keys are errors, and validates it with
// Check.
func Parse(raw []byte) (*Intent, error) {
	if len(raw) > MaxSize {
		return nil, ErrInvalid{Field: "document", Value: fmt.Sprintf("%d bytes", len(raw)), Reason: fmt.Sprintf("is larger than %d bytes", MaxSize)}
	}
	in, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if err := in.Check(); err != nil {
		return nil, err
	}
	return in, nil
}

// decode parses strict YAML. The library panics on some malformed documents; decode returns an
// ErrInvalid for these as well.
func decode(raw []byte) (in *Intent, err error) {
	defer func() {
		if p := recover(); p != nil {
			in, err = nil, ErrInvalid{Field: "document", Reason: fmt.Sprintf("is not an intent: %v", p)}
		}
	}()
	in = &Intent{}
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(in); err != nil {
		return nil, ErrInvalid{Field: "document", Reason: "is not an intent: " + err.Error()}
	}
	return in, nil
}

// Check returns an ErrInvalid for the first invalid field.
func (in *Intent) Check() error {
	if err := validate.Struct(in); err != nil {
		var fields validator.ValidationErrors
		if errors.As(err, &fields) {
			f := fields[0]
			return ErrInvalid{Field: f.Namespace(), Value: fmt.Sprint(f.Value()), Reason: "breaks rule " + f.Tag() + "=" + f.Param()}
		}
		return ErrInvalid{Field: "document", Reason: err.Error()}
	}
	return in.checkMembers()
}

func (in *Intent) checkMembers() error {
	seen := map[upstream.ID]service.ID{}
	for i := range in.Services {
		s := &in.Services[i]
		if err := checkKind(s); err != nil {
			return err
		}
		for _, u := range s.Members() {
			if other, ok := seen[u]; ok {
				return ErrInvalid{Field: "services." + string(s.ID), Value: string(u), Reason: "is an upstream of " + string(other) + " already"}
			}
			seen[u] = s.ID
		}
		for _, u := range s.Closed {
			if seen[u] != s.ID {
				return ErrInvalid{Field: "services." + string(s.ID) + ".closed", Value: string(u), Reason: "is no upstream of this service"}
			}
		}
	}
	return nil
}

func checkKind(s *service.Service) error {
	field := "services." + string(s.ID)
	if s.Kind == service.KindPlain && len(s.Groups) > 0 {
		return ErrInvalid{Field: field + ".groups", Value: string(s.Groups[0].ID), Reason: "does not belong in a plain service"}
	}
	if s.Kind == service.KindModel && len(s.Upstreams) > 0 {
		return ErrInvalid{Field: field + ".upstreams", Value: string(s.Upstreams[0]), Reason: "does not belong in a model service: list ranks under groups"}
	}
	if s.Kind == service.KindModel && len(s.NonRepeatable) > 0 {
		return ErrInvalid{Field: field + ".non_repeatable", Value: s.NonRepeatable[0].Path, Reason: "does not belong in a model service"}
	}
	if len(s.Members()) == 0 {
		return ErrInvalid{Field: field, Value: "", Reason: "has no upstreams"}
	}
	return nil
}

// Digest returns the fingerprint of the intent. Equal intents have equal digests.
func (in *Intent) Digest() Digest {
	raw, err := json.Marshal(in)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return Digest(hex.EncodeToString(sum[:16]))
}

// Service returns the service with an id, or nil.
func (in *Intent) Service(id service.ID) *service.Service {
	i := slices.IndexFunc(in.Services, func(s service.Service) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return &in.Services[i]
}
