// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package service describes services, each provided by one or more upstreams.
package service

import (
	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// ID identifies a service.
type ID string

// Kind determines how a service is routed.
type Kind string

// The kinds of service.
const (
	// KindModel is a pool of model groups.
	KindModel Kind = "model"
	// KindPlain is a plain HTTP service.
	KindPlain Kind = "plain"
)

// Route selects requests by method and path prefix.
type Route struct {
	Method string `yaml:"method" json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path   string `yaml:"path" json:"path" validate:"required,startswith=/"`
}

// Group lists the ranks of one model group in rank order.
type Group struct {
	ID    group.ID      `yaml:"id" json:"id" validate:"required"`
	Ranks []upstream.ID `yaml:"ranks" json:"ranks" validate:"min=1,max=128,unique,dive,required"`
}

// Service is one service of a sharing intent.
type Service struct {
	ID   ID   `yaml:"id" json:"id" validate:"required"`
	Kind Kind `yaml:"kind" json:"kind" validate:"required,oneof=model plain"`
	// Groups lists the groups of a model service.
	Groups []Group `yaml:"groups,omitempty" json:"groups,omitempty" validate:"dive"`
	// Upstreams lists the replicas of a plain service.
	Upstreams []upstream.ID `yaml:"upstreams,omitempty" json:"upstreams,omitempty" validate:"unique,dive,required"`
	// NonRepeatable lists the routes whose requests run at most once.
	NonRepeatable []Route `yaml:"non_repeatable,omitempty" json:"non_repeatable,omitempty" validate:"dive"`
	// Closed lists upstreams that receive no new work.
	Closed []upstream.ID `yaml:"closed,omitempty" json:"closed,omitempty" validate:"unique"`
	// Shares lists the relative entitlements of client accounts to the service.
	Shares []account.Share `yaml:"shares" json:"shares" validate:"min=1,max=10000,unique=Account,dive"`
}

// Members returns the upstreams of the service, in the order of the intent.
func (s *Service) Members() []upstream.ID {
	if s.Kind == KindPlain {
		return s.Upstreams
	}
	var all []upstream.ID
	for _, g := range s.Groups {
		all = append(all, g.Ranks...)
	}
	return all
}

// Weight returns the weight of a client account, or 0 if it has no share.
func (s *Service) Weight(id account.ID) float64 {
	for _, sh := range s.Shares {
		if sh.Account == id {
			return sh.Weight
		}
	}
	return 0
}
