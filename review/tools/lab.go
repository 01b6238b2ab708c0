package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The ports of the machines. Each machine has a loopback address of its own.
const (
	portFront     = 8227
	portReady     = 8220
	portControl   = 8229
	portDirectory = 8224
	portStore     = 8223
	portApp       = 8228
	portFirst     = 7340
	portLast      = 7355
)

// Lab is a small deployment: routers and agents as processes, all else as stand-ins.
type Lab struct {
	dir    string
	subnet string
	began  time.Time
	store  *Store
	runs   *Runs
	// doors holds the door to the store of each machine by its name.
	doors map[string]*storeDoor

	routers []*Proc
	agents  []*Proc
	beats   []func(sequence int)

	recordMu sync.Mutex
	record   *os.File
	stop     context.CancelFunc
	ctx      context.Context
}

// note writes a line of the record.
func (l *Lab) note(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%10.3f ", time.Since(l.began).Seconds())
	_, _ = fmt.Fprintf(l.record, format+"\n", args...)
}

// at returns seconds since the start of the record.
func (l *Lab) at(t time.Time) float64 { return t.Sub(l.began).Seconds() }

func newLab(recordPath string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Lab{
		dir: dir, subnet: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250)), began: time.Now(),
		store: newStore(), runs: newRuns(), doors: map[string]*storeDoor{}, record: f, ctx: ctx, stop: stop,
	}, nil
}

func (l *Lab) address(host, port int) string { return fmt.Sprintf("%s%d:%d", l.subnet, host, port) }

// close ends all processes.
func (l *Lab) close() {
	for _, p := range append(append([]*Proc{}, l.routers...), l.agents...) {
		p.end()
	}
	l.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
	_ = l.record.Close()
}

// maxFds is the number of descriptors that the platform grants a process.
const maxFds = 4200

// limitFiles applies the platform's limit of descriptors to a process that the lab has started.
func limitFiles(pid int, most uint64) error {
	limits := syscall.Rlimit{Cur: most, Max: most}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limits)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// files returns the number of descriptors that the process has open.
func (p *Proc) files() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// Proc is a process of the system on a machine of its own.
type Proc struct {
	lab                       *Lab
	name, role                string
	host                      int
	front, ready, control, di string
	settings                  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// addMachine writes the settings of a machine. Its store door listens at its own loopback address.
func (l *Lab) addMachine(name, role string, host int, app, service string) (*Proc, error) {
	p := &Proc{
		lab: l, name: name, role: role, host: host, front: l.address(host, portFront), ready: l.address(host, portReady),
		control: l.address(host, portControl), di: l.address(host, portDirectory),
	}
	door := &storeDoor{store: l.store}
	door.onCall = func(path, query string, status, bytes int) {
		if strings.HasSuffix(path, "log-read") && strings.Contains(query, "keyed.op") && (status != 200 || bytes > 16) {
			l.note("store %s read %s status=%d bytes=%d", name, query, status, bytes)
		}
	}
	storeAddress := l.address(100+host, portStore)
	listener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return nil, err
	}
	go door.serve(listener)
	l.doors[name] = door
	class, serves := "front", `["front","directory","control"]`
	if role == "agent" {
		class, serves = "side", `["side"]`
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName = %q\nrole = %q\nmachineClass = %q\nserves = %s", name, role, class, serves)
	line("ip = %q\nzone = %q\nregion = \"r\"", fmt.Sprintf("%s%d", l.subnet, host), zones[host%len(zones)])
	line("internalPortRange = [%d, %d]\nseeds = [%q, %q]", portFirst, portLast, l.address(1, portControl), l.address(2, portControl))
	line("bootstrap = true\nfailureDomainMember = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200")
	line(`contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]`)
	if role == "agent" {
		line("app = %q\nservice = %q", app, service)
	}
	line("[zones]")
	for _, z := range zones {
		line("%s = \"r\"", z)
	}
	line("[listen]")
	if role == "router" {
		line("front = %q\nready = %q\ncontrol = %q\ndirectory = %q", p.front, p.ready, p.control, p.di)
	}
	line("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0")
	line("[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0")
	line("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200")
	line("configApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nstrictRevocation = true\nrevokeMs = 5000")
	line("retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 90\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\nstall_ms = 1500\nenforceFencing = true\nttl_max_s = 5")
	line("[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\nappend_ms = 2.0\npart_mb_per_s = 20.0", storeAddress)
	line("read_mb_per_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npart_mb = 200\nttl_min_ms = 1000")
	p.settings = filepath.Join(l.dir, name+".toml")
	if err := os.WriteFile(p.settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	if role == "router" {
		l.routers = append(l.routers, p)
	} else {
		l.agents = append(l.agents, p)
	}
	return p, nil
}

// start starts the process with the command of the deploy file.
func (p *Proc) start() error {
	out, err := os.OpenFile(filepath.Join(p.lab.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/fawnwinch", "platform", p.role, "--metrics", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FAWNWINCH_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	if err := limitFiles(cmd.Process.Pid, maxFds); err != nil {
		p.lab.note("descriptor limit of %s: %v", p.name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.lab.note("process %s ended: %v", p.name, err)
		close(exited)
	}()
	p.lab.note("process %s started", p.name)
	return nil
}

func (p *Proc) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	p.lab.note("signal %s to %s", s, p.name)
	_ = cmd.Process.Signal(s)
}

// end kills the process for good.
func (p *Proc) end() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// beat keeps the entries of replicas alive and writes each anew every heartbeatMs.
func (l *Lab) beat() {
	for sequence := 1; l.ctx.Err() == nil; sequence++ {
		for _, f := range l.beats {
			f(sequence)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// addReplica starts a plain replica and lists it.
func (l *Lab) addReplica(service string, number, slots int, work func() time.Duration) error {
	p := &Replica{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, address: l.address(40+number, 8080), zone: zones[number%len(zones)], slots: slots, work: work, runs: l.runs}
	if err := p.listen(); err != nil {
		return err
	}
	l.beats = append(l.beats, func(sequence int) { l.store.put("keyed.servers", p.id, p.entry(sequence)) })
	return nil
}

// addRank starts a rank of the model group and lists it.
func (l *Lab) addRank(service string, number, size int) (*Rank, error) {
	k := &Rank{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, address: l.address(10+number, portApp), zone: zones[(10+number)%len(zones)], rank: number, size: size}
	if err := k.listen(); err != nil {
		return nil, err
	}
	l.beats = append(l.beats, func(sequence int) { l.store.put("keyed.servers", k.id, k.entry(sequence)) })
	return k, nil
}

// deployment sets up routers, four machines with ranks and three plain replicas.
func (l *Lab) deployment(routers, slots int, work func() time.Duration) error {
	for i := range 3 {
		if err := l.addReplica("plain", i, slots, work); err != nil {
			return err
		}
	}
	for i := range routers {
		if _, err := l.addMachine(fmt.Sprintf("front-%d", i+1), "router", 1+i, "", ""); err != nil {
			return err
		}
	}
	for i := range 4 {
		k, err := l.addRank("pool", i, 4)
		if err != nil {
			return err
		}
		if _, err := l.addMachine(fmt.Sprintf("side-%d", i+1), "agent", 10+i, k.address, "pool"); err != nil {
			return err
		}
	}
	go l.beat()
	for _, p := range append(append([]*Proc{}, l.routers...), l.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}
