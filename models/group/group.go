// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package group names model groups and their ranks.
package group

// ID identifies a group of ranks that step together.
type ID string

// Rank is the index of a rank within its group, from 0.
type Rank int

// Step counts the steps of a group since its engines started.
type Step uint64
