// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hupPollInterval is how often hup checks whether a process has started.
const hupPollInterval = 5 * time.Millisecond

// process is one running program of the soak. Faults end only these processes, by their handles.
type process struct {
	w    *world
	name string
	args []string
	logs string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// logged is the size of the logs when the process was started.
	logged int64
	// endRequested reports whether the soak has requested the end of the process.
	endRequested bool
	// disturbances holds when the process was disturbed.
	disturbances disturbances
	// unplanned holds those that were no planned stops, and planned the planned stops.
	unplanned, planned disturbances
	// freezes holds when the process was suspended.
	freezes disturbances
	// lifecycle is held while the process is ended and restarted.
	lifecycle sync.Mutex
}

func (p *process) start() {
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.w.fail("start %s: %v", p.name, err)
		return
	}
	logged := p.logSize()
	cmd := exec.Command(binary, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The race detector would delay the exit by a second.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2", "GORACE=atexit_sleep_ms=0")
	if err := cmd.Start(); err != nil {
		p.w.fail("start %s: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.endRequested, p.logged = cmd, done, false, logged
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		unexpected := !p.endRequested && p.cmd == cmd
		p.mu.Unlock()
		if unexpected {
			p.w.fail("%s ended unexpectedly: %s", p.name, cmd.ProcessState)
		}
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// hup sends SIGHUP to the process once it has written a line of its logs. Until its main function
// runs it cannot catch the signal, whose default action terminates it.
func (p *process) hup() {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); pause(hupPollInterval) {
		if p.hupIfRunning() {
			return
		}
	}
}

// hupIfRunning sends SIGHUP if the process has written a line of its logs.
func (p *process) hupIfRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logSize() <= p.logged {
		return false
	}
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	return true
}

// logSize returns the size of the logs; 0 if they cannot be read.
func (p *process) logSize() int64 {
	info, err := os.Stat(p.logs)
	if err != nil {
		return 0
	}
	return info.Size()
}

// end sends the process a signal to end, and waits until it has ended.
func (p *process) end(s syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	p.endRequested = true
	done := p.done
	p.mu.Unlock()
	p.signal(s)
	requestedAt := time.Now()
	select {
	case <-done:
	case <-time.After(limit):
		if p.freezes.none(requestedAt, time.Now()) {
			p.w.fail("%s has not ended %s after %s", p.name, limit, s)
		}
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// freeze suspends the process for some time.
func (p *process) freeze(duration time.Duration) {
	defer p.disturb()()
	defer p.freezes.begin()()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// kill ends the process immediately, even if it is frozen.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.end(syscall.SIGKILL, 5*time.Second)
}

// usage returns the number of open descriptors and the resident memory in bytes; 0 if the process
// does not exist.
func (p *process) usage() (descriptors int, memory int64) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		descriptors = len(entries)
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return descriptors, 0
	}
	for line := range strings.Lines(string(raw)) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &memory); err == nil {
			return descriptors, memory << 10
		}
	}
	return descriptors, 0
}

// disturb records the start of a disturbance that is not planned, and returns a function that records
// its end.
func (p *process) disturb() (end func()) {
	endAll, endUnplanned := p.disturbances.begin(), p.unplanned.begin()
	return func() {
		endAll()
		endUnplanned()
	}
}

// disturbances holds the time spans in which something was disturbed; a span in progress has no
// end.
type disturbances struct {
	mu    sync.Mutex
	spans []span
}

type span struct{ from, to time.Time }

// begin records the start of a disturbance, and returns a function that records its end.
func (d *disturbances) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.spans)
	d.spans = append(d.spans, span{from: time.Now()})
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[i].to = time.Now()
	}
}

// none reports whether nothing was disturbed between two times.
func (d *disturbances) none(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}
