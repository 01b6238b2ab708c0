// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package usage

import (
	"fmt"
	"testing"
	"time"
)

// TestCPUTime checks that the processor time of a busy process increases.
func TestCPUTime(t *testing.T) {
	before, err := CPUTime()
	if err != nil {
		t.Fatal(err)
	}
	for after := before; after == before; {
		if after, err = CPUTime(); err != nil || after < before {
			t.Fatalf("%s after %s: %v", after, before, err)
		}
	}
}

func ExampleMeter() {
	var m Meter
	begin := time.Unix(1000, 0)
	for second := range 20 {
		m.Observe(begin.Add(time.Duration(second)*time.Second), time.Duration(second)*200*time.Millisecond)
	}
	fmt.Printf("%.2f cores\n", m.Observe(begin.Add(20*time.Second), 4*time.Second))
	// Output: 0.20 cores
}
