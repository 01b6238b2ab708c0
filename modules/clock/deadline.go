// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"time"
)

// WithDeadline returns a context that ends at one of this package's times. Its timer stands still while the VM is suspended.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(at))
}
