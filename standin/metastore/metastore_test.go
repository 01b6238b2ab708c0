// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metastore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestNoAnswerEnds checks that calls which get no answer end when their callers disconnect. It guards
// against a soak that never ends because such a call with a body went on.
func TestNoAnswerEnds(t *testing.T) {
	for name, body := range map[string]string{"without a body": "", "with a body": "records"} {
		t.Run(name, func(t *testing.T) {
			store := New()
			store.SetFault(FaultNoAnswer)
			ended := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				store.ServeHTTP(w, r)
			}))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/fawnwinch/log-append?topic=nodes", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if !errors.Is(err, context.DeadlineExceeded) {
				t.Fatalf("error %v, want that of the deadline", err)
			}
			select {
			case <-ended:
				s.Close()
			case <-time.After(5 * time.Second):
				t.Error("the call goes on after its caller has disconnected")
			}
		})
	}
}
