// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// costCalls is the number of calls in one measurement.
const costCalls = 2000

// measure calls a function from several goroutines and returns the delays in microseconds.
func measure(workers int, call func(client *http.Client, n int) error) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var first error
	var w sync.WaitGroup
	for i := range workers {
		w.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := range costCalls / workers {
				began := time.Now()
				err := call(client, i*costCalls+n)
				mu.Lock()
				_ = h.RecordValue(time.Since(began).Microseconds())
				if first == nil {
					first = err
				}
				mu.Unlock()
			}
		})
	}
	w.Wait()
	return h, first
}

// BenchmarkAddedDelay compares calls through a router and an agent with direct ones in the same
// run.
func BenchmarkAddedDelay(b *testing.B) {
	c := newCluster(b, options{routers: 2, plains: 2})
	paths := map[string]func(client *http.Client, n int) error{
		"direct": func(client *http.Client, n int) error {
			return plainGet(client, c.plain["ledger-0"]+"/v1/balance/1", n)
		},
		"through": func(client *http.Client, n int) error {
			return plainGet(client, c.routers[0]+"/svc/ledger/v1/balance/1", n)
		},
		"hold": func(client *http.Client, n int) error {
			key := fmt.Sprintf("cost-%d-%d", n, time.Now().UnixNano())
			resp, raw, err := doWith(client, http.MethodPost, c.routers[0]+"/svc/ledger/v1/holds", "small", map[string]string{request.HeaderKey: key}, []byte("{}"))
			if err == nil && resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("hold: %d %s", resp.StatusCode, raw)
			}
			return err
		},
	}
	for _, workers := range []int{1, 8} {
		direct := map[float64]float64{}
		for _, name := range []string{"direct", "through", "hold"} {
			b.Run(fmt.Sprintf("%d/%s", workers, name), func(b *testing.B) {
				for range b.N {
					h, err := measure(workers, paths[name])
					if err != nil {
						b.Fatal(err)
					}
					for _, q := range []float64{50, 99} {
						v := float64(h.ValueAtQuantile(q))
						b.ReportMetric(v, fmt.Sprintf("p%.0f-us", q))
						if name == "direct" {
							direct[q] = v
						}
						b.ReportMetric(v/direct[q], fmt.Sprintf("p%.0f-ratio", q))
					}
				}
			})
		}
	}
}

func plainGet(client *http.Client, url string, _ int) error {
	resp, _, err := doWith(client, http.MethodGet, url, "small", nil, nil)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}
