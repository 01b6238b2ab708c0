// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"time"
)

// WithDeadline returns a context that ends at a time of this package. Its timer stops while the VM
// is suspended.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(at))
}
