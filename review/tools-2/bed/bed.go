//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command bed runs the scripts of the second review. It starts routers with the command of the
// deploy file as separate processes on loopback addresses, and holds the stand-ins for the store,
// the replicas and the clients.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

// The bounds of the pages' small sites.
const (
	revokeTime = 5 * time.Second
	applyTime  = 2 * time.Second
	graceTime  = 8 * time.Second
	memoryMB   = 284
)

// errBroken reports that a rule was broken.
var errBroken = errors.New("rule broken")

// bed is one deployment.
type bed struct {
	root, dir string
	trouble   bool
	began     time.Time
	store     *metastore.Store
	storeAt   string
	host      string
	mu        sync.Mutex
	record    *os.File
	routers   []*router
	version   int
	// starts receives the starts of processes; closing reports whether none is started any more. life
	// guards closing and routers.
	starts  chan func()
	life    sync.Mutex
	closing bool
}

func main() {
	cases := map[string]func(*bed) error{"tenant": runTenant, "stop": runStop, "memory": runMemory, "drain": runDrain, "priority": runPriority, "stress": runStress, "roll": runRoll}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: bed CASE FOLDER")
		os.Exit(2)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](b)
	b.close()
	switch {
	case err == nil:
		b.log("verdict: held")
	case errors.Is(err, errBroken):
		b.log("verdict: broken: %v", err)
		os.Exit(1)
	default:
		b.log("verdict: could not run: %v", err)
		os.Exit(2)
	}
}

func newBed(folder string) (*bed, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	b := &bed{root: root, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: metastore.New(), host: "desk.example", starts: make(chan func())}
	if b.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if b.dir, err = os.MkdirTemp("", "bed"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, b.store) }()
	go b.runStarts()
	go b.awaitSignal()
	b.log("trouble: %t", b.trouble)
	return b, nil
}

// log writes a line to the record and to the output.
func (b *bed) log(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, a...)
	_, _ = fmt.Fprintln(b.record, line)
	fmt.Println(line)
}

// runStarts starts processes from one thread that never ends: the kernel kills them when the thread
// that has started them is gone, also where this program is killed.
func (b *bed) runStarts() {
	runtime.LockOSThread()
	for start := range b.starts {
		start()
	}
}

// awaitSignal ends all processes when this program is ordered to stop.
func (b *bed) awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s := <-signals
	b.close()
	b.log("verdict: could not run: %v", s)
	os.Exit(2)
}

// close ends all processes. None is started afterwards.
func (b *bed) close() {
	b.life.Lock()
	b.closing = true
	all := b.routers
	b.life.Unlock()
	for _, r := range all {
		r.kill()
	}
	_ = os.RemoveAll(b.dir)
}

// operate writes a configuration, and returns when the store has acknowledged it.
func (b *bed) operate(routes, services, tenants string) time.Time {
	b.version += 3
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":20000},"tenants":%s}`, b.version, routes, services, tenants)
	b.store.Put("keyed.op", "config", text)
	at := time.Now()
	b.log("operator: version %d acknowledged, tenants %s", b.version, tenants)
	return at
}

// router is one router process.
type router struct {
	b                        *bed
	name, ip, settings       string
	front, ready, directory  string
	control                  string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	ended                    chan struct{}
	peakMB, ends, killedOver int
}

// startRouter starts a router on a loopback address of its own.
func (b *bed) startRouter(seeds ...string) (*router, error) {
	n := len(b.routers) + 1
	r := &router{b: b, name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%120, os.Getpid()/120%250+1, n)}
	at := func(port int) string { return net.JoinHostPort(r.ip, strconv.Itoa(port)) }
	r.front, r.ready, r.directory, r.control = at(8227), at(8220), at(8224), at(8229)
	if len(seeds) == 0 {
		seeds = []string{r.control}
	}
	r.settings = filepath.Join(b.dir, r.name+".toml")
	text := fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","directory","control"]
ip = %q
zone = "a"
region = "r"
internalPortRange = [7340,7355]
seeds = ["%s"]
bootstrap = true
failureDomainMember = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","stream","tenants","platform"]
[zones]
a = "r"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = %d
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revokeMs = %d
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 90
recoveryS = 12
pass_ms = 120
ttl_max_s = 5
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
keep_s = 300
ttl_min_ms = 1000
`, r.name, r.ip, strings.Join(seeds, `","`), r.front, r.ready, r.control, r.directory, memoryMB, graceTime/time.Second, applyTime.Milliseconds(), revokeTime.Milliseconds(), b.storeAt)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.life.Lock()
	b.routers = append(b.routers, r)
	b.life.Unlock()
	return r, r.start()
}

// errClosing reports that no process is started any more.
var errClosing = errors.New("all processes are being ended")

func (r *router) start() error {
	r.b.life.Lock()
	defer r.b.life.Unlock()
	if r.b.closing {
		return errClosing
	}
	cmd := exec.Command(filepath.Join(r.b.root, "target/fawnwinch"), "platform", "router", "--metrics", "9464")
	cmd.Env = append(os.Environ(), "FAWNWINCH_NODE_FILE="+r.settings)
	logs, err := os.OpenFile(filepath.Join(r.b.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	r.b.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended = cmd, ended
	r.mu.Unlock()
	r.b.log("%s: process %d started", r.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.b.log("%s: process %d ended: %v", r.name, cmd.Process.Pid, err)
		_ = logs.Close()
		close(ended)
	}()
	return nil
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.log("%s: %v", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

func (r *router) kill() {
	r.mu.Lock()
	cmd, ended := r.cmd, r.ended
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// awaitReady waits until a router reports that it is ready.
func (r *router) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + r.ready + "/fawnwinch/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.b.log("%s: ready", r.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", r.name)
}

// replica is a stand-in for a plain replica.
type replica struct {
	id, service, address string
}

// startReplica starts a replica whose requests are run by f, and lists it in the store.
func (b *bed) startReplica(id, service string, slots int, f http.HandlerFunc) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rp := &replica{id: id, service: service, address: l.Addr().String()}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("X-Fawnwinch-Request-Id", q.Header.Get("X-Fawnwinch-Request-Id"))
			if q.Header.Get("X-Fawnwinch-Expected-Instance") != id {
				w.Header().Set("X-Fawnwinch-Not-Executed", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			w.Header().Set("X-Fawnwinch-Response-Seal", "seal-"+id+"-"+q.Header.Get("X-Fawnwinch-Request-Id"))
			f(w, q)
		}))
	}()
	b.list(rp, slots, "ready")
	return rp, nil
}

func (b *bed) list(rp *replica, slots int, state string) {
	b.store.Put("keyed.servers", rp.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":1,"slots":%d,"state":%q,"coldRemainingMs":0,"sequence":1}`, rp.service, rp.address, slots, state))
}

// wire is one connection of a client. It keeps to the pages: one request at a time.
type wire struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(address string) (*wire, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &wire{conn: c, in: bufio.NewReader(c)}, nil
}

func (w *wire) close() { _ = w.conn.Close() }

// send sends one request and reads the head of its answer.
func (w *wire) send(ctx context.Context, method, url, host string, header map[string]string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+url, nil)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Body = newBody(body)
		req.ContentLength = int64(len(body))
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if err := req.Write(w.conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(w.in, req)
}
