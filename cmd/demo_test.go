// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestDemo runs the demo command and checks its summary.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	var out, errs bytes.Buffer
	if code := Execute([]string{"demo", "--duration", "2s"}, &out, &errs); code != exitOK {
		t.Fatalf("exit code %d\n%s%s", code, out.String(), errs.String())
	}
	last := out.String()[strings.LastIndex(strings.TrimSpace(out.String()), "\n")+1:]
	if !regexp.MustCompile(`^requests=\d+ whole=\d+ .* broken=0 lost=0 doubled=0 untrue=0\n$`).MatchString(last) {
		t.Errorf("summary %q", last)
	}
}

// BenchmarkPath sends plain requests through a router and an agent in one process, for profiling.
func BenchmarkPath(b *testing.B) {
	d := &demo{logs: io.Discard}
	defer d.stop()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	if err := d.start(ctx); err != nil {
		b.Fatal(err)
	}
	if err := d.confirm(ctx); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.routers[0]+"/svc/ledger-api/v1/balance", nil)
			req.Header.Set("Authorization", "Bearer itoshima-cu")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
