// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/setting"
)

// cost holds the resources that a process has used so far.
type cost struct {
	cpu        float64 // seconds
	rss        float64 // MB
	sent, recv float64 // bytes of control traffic
}

// ticksPerSecond is the unit of CPU time in /proc/PID/stat.
const ticksPerSecond = 100

func (p *process) cost(metricsURL string) cost {
	pid := p.cmd.Process.Pid
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		p.t.Fatal(err)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	var c cost
	for _, i := range []int{11, 12} {
		n, _ := strconv.ParseFloat(fields[i], 64)
		c.cpu += n / ticksPerSecond
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	c.rss = pages * float64(os.Getpagesize()) / (1 << 20)
	_, out, err := do(http.MethodGet, metricsURL, "", nil, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	c.sent, c.recv = metric(out, "fawnwinch_control_sent_bytes_total"), metric(out, "fawnwinch_control_received_bytes_total")
	return c
}

func metric(raw []byte, name string) float64 {
	for _, line := range strings.Split(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(v, 64)
			return n
		}
	}
	return 0
}

// observationTime is the time over which the cost of a cluster is measured.
const observationTime = 10 * time.Second

// BenchmarkControl reports the CPU time, memory and control traffic of each role without load, by
// the number of routers and agents.
func BenchmarkControl(b *testing.B) {
	current, target := setting.DefaultHeartbeat, 3*setting.DefaultHeartbeat
	for _, size := range []struct {
		routers, agents int
		heartbeat       time.Duration
	}{{2, 8, current}, {2, 16, current}, {2, 32, current}, {4, 16, current}, {7, 16, current}, {7, 32, current}, {7, 64, current}, {7, 16, target}, {7, 64, target}} {
		b.Run(fmt.Sprintf("%drouters-%dagents-%s", size.routers, size.agents, size.heartbeat), func(b *testing.B) {
			urls := map[string]string{}
			c := newCluster(b, options{
				routers: size.routers, plains: size.agents,
				agent: func(s *setting.Agent) {
					s.Process.Heartbeat = size.heartbeat
					urls[s.Process.ID] = s.Process.HTTP + "/fawnwinch/metrics"
				},
				router: func(s *setting.Router) {
					s.Process.Heartbeat = size.heartbeat
					urls[s.Process.ID] = s.Process.HTTP + "/metrics"
				},
			})
			for range b.N {
				before, after := map[string]cost{}, map[string]cost{}
				for name, url := range urls {
					before[name] = c.procs[name].cost(url)
				}
				began := time.Now()
				c.await("time", 2*observationTime, func() bool { return time.Since(began) >= observationTime })
				for name, url := range urls {
					after[name] = c.procs[name].cost(url)
				}
				report(b, "router", time.Since(began).Seconds(), before, after)
				report(b, "ledger", time.Since(began).Seconds(), before, after)
			}
		})
	}
}

// report reports the means of the costs over the processes of a role.
func report(b *testing.B, role string, seconds float64, before, after map[string]cost) {
	var n, cpu, rss, sent, recv float64
	for name, a := range after {
		if !strings.HasPrefix(name, role) {
			continue
		}
		n++
		cpu += a.cpu - before[name].cpu
		rss += a.rss
		sent += a.sent - before[name].sent
		recv += a.recv - before[name].recv
	}
	b.ReportMetric(100*cpu/seconds/n, role+"-cpu%")
	b.ReportMetric(rss/n, role+"-MB")
	b.ReportMetric(sent/seconds/n/1000, role+"-out-KB/s")
	b.ReportMetric(recv/seconds/n/1000, role+"-in-KB/s")
}
