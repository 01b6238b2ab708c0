// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"time"
)

// ConnDeadline returns the deadline for a connection that ends after the given time. It is no time of
// this package: the timers of connections stop while the VM is suspended.
func ConnDeadline(after time.Duration) time.Time { return time.Now().Add(after) }

// WithDeadline returns a context that ends at a time of this package. Its timer stops while the VM
// is suspended.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(at))
}
