// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package account names the client accounts that share the upstreams.
package account

// ID identifies a client account. Sharing intents and settings use the same id.
type ID string

// Share is the relative entitlement of one client account to a service. Shares have no unit: an
// account with share 4 is entitled to twice as much as one with share 2.
type Share struct {
	Account ID      `yaml:"account" json:"account" validate:"required"`
	Weight  float64 `yaml:"weight" json:"weight" validate:"gt=0,lte=1000000"`
}
