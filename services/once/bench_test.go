// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/services"
)

// journal returns a journal in which an owner claims n keys, several per record.
func journal(b *testing.B, self Owner, n int) services.Page {
	b.Helper()
	now := time.Unix(1000, 0)
	p := services.Page{Now: now}
	add := func(r *Record) {
		raw, err := r.Encode()
		if err != nil {
			b.Fatal(err)
		}
		p.Records = append(p.Records, services.LogRecord{Offset: p.Tail, At: now, Data: raw})
		p.Tail++
	}
	add(&Record{Version: recordVersion, Kind: RecordTake, Owner: self, Takes: []Take{{}}})
	const batch = 10
	for i := 0; i < n; i += batch {
		rec := &Record{Version: recordVersion, Kind: RecordClaims, Owner: self}
		for k := range batch {
			rec.Claims = append(rec.Claims, Claim{Epoch: 1, Key: NewKeyID("account", request.Key(fmt.Sprint(i+k)))})
		}
		add(rec)
	}
	return p
}

// BenchmarkReplay measures the time and memory that a new agent needs to read a journal of claims.
func BenchmarkReplay(b *testing.B) {
	for _, n := range []int{10000, 100000, 400000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := journal(b, Owner{Upstream: "other"}, n)
			var bytes int
			for _, r := range p.Records {
				bytes += len(r.Data)
			}
			for b.Loop() {
				before := heap()
				c := NewCore(Config{Lifetime: time.Hour, Capacity: n}, Owner{Upstream: "self"})
				c.Apply(p.Now, p)
				b.ReportMetric(float64(heap()-before)/float64(n), "heap-bytes/key")
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(bytes)/float64(n), "log-bytes/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/key")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
