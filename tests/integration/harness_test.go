// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package integration runs the real processes against stand-ins and faults.
package integration

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/routers"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"

	"github.com/goccy/go-yaml"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fawnwinch")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "fawnwinch")
	args := []string{"build", "-race", "-o", binary, "../.."}
	if os.Getenv("FAWNWINCH_BENCH") != "" {
		// Benchmarks measure the program as it ships, without the race detector.
		args = slices.Delete(args, 1, 2)
	}
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	t    testing.TB
	name string
	args []string
	cmd  *exec.Cmd
	logs string
	done chan struct{}
}

func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(binary, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The race detector would delay the exit by a second.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2", "GORACE=atexit_sleep_ms=0")
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); _ = out.Close(); close(done) }()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// term sends SIGTERM and waits until the process has ended.
func (p *process) term(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s did not stop within %s", p.name, limit)
	}
}

// cluster is a complete deployment on its own loopback address.
type cluster struct {
	t        testing.TB
	dir      string
	ip       string
	port     int
	platform string
	procs    map[string]*process
	routers  []string
	seeds    []string
	vms      []vm.VM
	intent   intent.Intent
	// plain and ranks hold the control addresses of the stand-ins.
	plain map[upstream.ID]string
	ranks map[upstream.ID]string
	opts  options
}

// options change the deployment.
type options struct {
	routers, groups, ranks, plains int
	// platformArgs are flags of the platform stand-in.
	platformArgs []string
	agent        func(*setting.Agent)
	router       func(*setting.Router)
}

var clusters atomic.Int32

// firstPort is below the range of ephemeral ports, which outgoing connections use.
const firstPort = 20000

// loopback returns an address that no other test uses.
func loopback() string {
	n := clusters.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/250, 1+n%250)
}

var accounts = []account.Share{{Account: "large", Weight: 4}, {Account: "small", Weight: 1}}

func newCluster(t testing.TB, o options) *cluster {
	t.Helper()
	var c *cluster
	return newClusterInto(t, &c, o)
}

// newClusterInto sets *into before it starts processes, for options that need the cluster.
func newClusterInto(t testing.TB, into **cluster, o options) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), ip: loopback(), port: firstPort,
		procs: map[string]*process{}, plain: map[upstream.ID]string{}, ranks: map[upstream.ID]string{}, opts: o,
	}
	*into = c
	t.Cleanup(c.stop)
	c.platform = c.address()
	c.launch("platform", append([]string{"standin", "platform", "--listen", c.platform}, o.platformArgs...)...)
	c.addRouters()
	c.intent = intent.Intent{Version: 1, Deployment: "test", Rebalance: intent.Rebalance{Prefer: intent.PreferSkew}}
	c.addGroups()
	c.addPlain()
	c.setVMs()
	c.await("first confirmation", 20*time.Second, func() bool { return c.confirm(0, "first", c.intent) == configlog.VerdictAccepted })
	c.awaitReady(1)
	return c
}

func (c *cluster) address() string {
	c.port++
	return fmt.Sprintf("%s:%d", c.ip, c.port)
}

func (c *cluster) launch(name string, args ...string) *process {
	p := &process{t: c.t, name: name, args: args, logs: filepath.Join(c.dir, name+".log")}
	p.start()
	c.procs[name] = p
	return p
}

func (c *cluster) settings(name string, v any) string {
	raw, err := yaml.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func (c *cluster) addRouters() {
	var sets []setting.Router
	for i := range c.opts.routers {
		s := setting.DefaultRouter()
		s.Process = setting.Process{ID: fmt.Sprintf("router-%d", i), DataCentre: "a", RPC: c.address(), HTTP: c.address(), LogLevel: "debug", Heartbeat: setting.DefaultHeartbeat}
		s.Platform.Address = c.platform
		s.AddressTTL = 300 * time.Millisecond
		s.Credentials = []setting.Credential{{Account: "operator", TokenSHA256: sha256Hex("operator"), Operator: true}}
		for _, a := range accounts {
			s.Credentials = append(s.Credentials, setting.Credential{Account: a.Account, TokenSHA256: sha256Hex(string(a.Account))})
		}
		c.seeds = append(c.seeds, s.Process.RPC)
		c.routers = append(c.routers, s.Process.HTTP)
		sets = append(sets, s)
	}
	for _, s := range sets {
		s.Routers = c.seeds
		if c.opts.router != nil {
			c.opts.router(&s)
		}
		c.vms = append(c.vms, vm.VM{ID: vm.ID(s.Process.ID), DataCentre: "a", Role: vm.RoleRouter, State: vm.StateLive, RPC: s.Process.RPC})
		c.launch(s.Process.ID, "router", "-c", c.settings(s.Process.ID, s))
	}
}

func (c *cluster) addAgent(id upstream.ID, sv service.ID, kind service.Kind, address string) {
	s := setting.DefaultAgent()
	s.Process = setting.Process{ID: string(id), DataCentre: "a", RPC: c.address(), HTTP: c.address(), LogLevel: "debug", Heartbeat: setting.DefaultHeartbeat}
	s.Platform.Address, s.Routers = c.platform, c.seeds
	s.Upstream.ID, s.Upstream.Service, s.Upstream.Kind, s.Upstream.Address = id, sv, kind, address
	if c.opts.agent != nil {
		c.opts.agent(&s)
	}
	c.vms = append(c.vms, vm.VM{ID: vm.ID(id), DataCentre: "a", Role: vm.RoleAgent, State: vm.StateLive, RPC: s.Process.RPC})
	c.launch(string(id), "agent", "-c", c.settings(string(id), s))
}

func (c *cluster) addGroups() {
	if c.opts.groups == 0 {
		return
	}
	sv := service.Service{ID: "model", Kind: service.KindModel, Shares: accounts}
	for g := range c.opts.groups {
		id := fmt.Sprintf("group-%d", g)
		sg := service.Group{ID: group.ID(id)}
		var addresses []string
		for r := range c.opts.ranks {
			u := upstream.ID(fmt.Sprintf("%s-%d", id, r))
			c.ranks[u] = c.address()
			addresses = append(addresses, c.ranks[u])
			sg.Ranks = append(sg.Ranks, u)
		}
		c.launch(id, "standin", "upstream", "--kind", "group", "--group", id, "--listen", strings.Join(addresses, ","))
		for i, u := range sg.Ranks {
			c.addAgent(u, sv.ID, service.KindModel, addresses[i])
		}
		sv.Groups = append(sv.Groups, sg)
	}
	c.intent.Services = append(c.intent.Services, sv)
}

func (c *cluster) addPlain() {
	if c.opts.plains == 0 {
		return
	}
	sv := service.Service{
		ID: "ledger", Kind: service.KindPlain, Shares: accounts,
		NonRepeatable: []service.Route{{Method: http.MethodPost, Path: "/v1/holds"}},
	}
	for i := range c.opts.plains {
		u := upstream.ID(fmt.Sprintf("ledger-%d", i))
		c.plain[u] = c.address()
		c.launch("standin-"+string(u), "standin", "upstream", "--listen", c.plain[u])
		c.addAgent(u, sv.ID, service.KindPlain, c.plain[u])
		sv.Upstreams = append(sv.Upstreams, u)
	}
	c.intent.Services = append(c.intent.Services, sv)
}

func (c *cluster) stop() {
	var w sync.WaitGroup
	for _, p := range c.procs {
		w.Go(p.kill)
	}
	w.Wait()
	for name, p := range c.procs {
		raw, _ := os.ReadFile(p.logs)
		if bytes.Contains(raw, []byte("DATA RACE")) || bytes.Contains(raw, []byte("panic:")) {
			c.t.Errorf("%s: race or panic:\n%s", name, raw)
		}
		if c.t.Failed() && os.Getenv("FAWNWINCH_TEST_LOGS") != "" {
			c.t.Logf("%s:\n%s", name, raw)
		}
	}
}

// await polls until cond holds.
func (c *cluster) await(what string, limit time.Duration, cond func() bool) {
	c.t.Helper()
	if !poll(limit, cond) {
		c.t.Fatalf("%s: not within %s", what, limit)
	}
}

func poll(limit time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(limit)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for time.Now().Before(deadline) {
		if cond() {
			return true
		}
		<-tick.C
	}
	return false
}

// do sends a request and returns the response and its body, or an error if the body is incomplete.
func do(method, url, token string, header map[string]string, body []byte) (*http.Response, []byte, error) {
	return doWith(http.DefaultClient, method, url, token, header, body)
}

func doWith(client *http.Client, method, url, token string, header map[string]string, body []byte) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 45*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		if v == "" {
			continue
		}
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp, raw, err
}

func getJSON(url, token string, v any) error {
	resp, raw, err := do(http.MethodGet, url, token, nil, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	return json.Unmarshal(raw, v)
}

func (c *cluster) put(url string, v any) {
	c.t.Helper()
	raw, _ := json.Marshal(v)
	resp, out, err := do(http.MethodPut, url, "", nil, raw)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.t.Fatalf("put %s: %v %s", url, err, out)
	}
}

func (c *cluster) setVMs() {
	c.await("platform up", 10*time.Second, func() bool {
		raw, _ := json.Marshal(c.vms)
		_, _, err := do(http.MethodPut, c.platform+"/control/vms", "", nil, raw)
		return err == nil
	})
}

func (c *cluster) fault(f platformstandin.Fault) { c.put(c.platform+"/control/fault", f) }

func (c *cluster) plan(router int, in intent.Intent) (intent.Plan, error) {
	raw, _ := yaml.Marshal(in)
	var p intent.Plan
	resp, out, err := do(http.MethodPost, c.routers[router]+"/api/v1/plans", "operator", nil, raw)
	if err != nil {
		return p, err
	}
	if resp.StatusCode != http.StatusOK {
		return p, fmt.Errorf("plan: %d %s", resp.StatusCode, out)
	}
	return p, json.Unmarshal(out, &p)
}

func (c *cluster) confirmPlan(router int, id string, p intent.Plan) (routers.ConfirmationAnswer, error) {
	var a routers.ConfirmationAnswer
	raw, _ := json.Marshal(routers.Confirmation{ID: intent.ConfirmID(id), Plan: p})
	_, out, err := do(http.MethodPost, c.routers[router]+"/api/v1/plans/confirm", "operator", nil, raw)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(out, &a)
}

func (c *cluster) confirm(router int, id string, in intent.Intent) configlog.Verdict {
	p, err := c.plan(router, in)
	if err != nil {
		return configlog.VerdictUnknown
	}
	a, err := c.confirmPlan(router, id, p)
	if err != nil {
		return configlog.VerdictUnknown
	}
	return a.Outcome.Verdict
}

func (c *cluster) status(router int) (directory.Status, error) {
	var s directory.Status
	err := getJSON(c.routers[router]+"/api/v1/status", "operator", &s)
	return s, err
}

// awaitReady waits until every router lists every process as ready at a revision and all slices as
// owned.
func (c *cluster) awaitReady(rev intent.Revision) {
	c.t.Helper()
	for r := range c.routers {
		c.await(fmt.Sprintf("router %d sees all ready", r), 30*time.Second, func() bool {
			s, err := c.status(r)
			ready, slices := 0, 0
			for _, p := range s.Processes {
				slices += p.Slices
				if p.State == "ready" && p.Revision >= rev {
					ready++
				}
			}
			return err == nil && ready == len(c.vms) && (c.opts.plains == 0 || slices == 32)
		})
	}
}

// effects sums the effects of all plain stand-ins, each of which must answer.
func (c *cluster) effects() map[string]int {
	sum := map[string]int{}
	for _, address := range c.plain {
		var e map[string]int
		if err := getJSON(address+"/control/effects", "", &e); err != nil {
			c.t.Fatalf("effects: %v", err)
		}
		for k, n := range e {
			sum[k] += n
		}
	}
	return sum
}

// callResult is the result of a call as its caller sees it.
type callResult struct {
	outcome request.Outcome
	reason  string
	status  int
	body    string
	took    time.Duration
}

func (c *cluster) hold(router int, who, key string, timeout time.Duration) callResult {
	began := time.Now()
	resp, raw, err := do(http.MethodPost, c.routers[router]+"/svc/ledger/v1/holds", who, map[string]string{
		request.HeaderKey: key, routers.HeaderTimeout: fmt.Sprint(timeout.Milliseconds()),
	}, []byte(`{"yen":1}`))
	if err != nil {
		return callResult{outcome: request.OutcomeUnknown, reason: err.Error(), took: time.Since(began)}
	}
	return callResult{
		outcome: request.Outcome(resp.Header.Get(request.HeaderOutcome)), reason: resp.Header.Get(request.HeaderReason),
		status: resp.StatusCode, body: string(raw), took: time.Since(began),
	}
}

func chatBody(prompt string, tokens int, stream bool) []byte {
	raw, _ := json.Marshal(upstreamstandin.ChatRequest{
		Model: "model", MaxTokens: tokens, Stream: stream, Messages: []upstreamstandin.ChatMessage{{Role: "user", Content: prompt}},
	})
	return raw
}

// chat returns the text of an answer and the result of the call. An incomplete answer has the
// outcome unknown.
func (c *cluster) chat(router int, who, prompt string, tokens int, stream bool) (string, callResult) {
	began := time.Now()
	resp, raw, err := do(http.MethodPost, c.routers[router]+"/v1/chat/completions", who, nil, chatBody(prompt, tokens, stream))
	if err != nil {
		return "", callResult{outcome: request.OutcomeUnknown, reason: err.Error(), took: time.Since(began)}
	}
	end := callResult{outcome: request.Outcome(resp.Header.Get(request.HeaderOutcome)), reason: resp.Header.Get(request.HeaderReason), status: resp.StatusCode, body: string(raw), took: time.Since(began)}
	text, complete := chatText(raw, stream)
	if end.outcome == request.OutcomeAnswered && !complete {
		end.outcome = request.OutcomeUnknown
	}
	return text, end
}

func chatText(raw []byte, stream bool) (string, bool) {
	type chunk struct {
		Choices []struct {
			Message, Delta struct{ Content string }
		}
	}
	if !stream {
		var p chunk
		if json.Unmarshal(raw, &p) != nil || len(p.Choices) == 0 {
			return "", false
		}
		return p.Choices[0].Message.Content, true
	}
	var text strings.Builder
	for _, line := range strings.Split(string(raw), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var p chunk
		if json.Unmarshal([]byte(data), &p) == nil && len(p.Choices) > 0 {
			text.WriteString(p.Choices[0].Delta.Content)
		}
	}
	return text.String(), false
}

func wantText(prompt string, tokens int) string {
	return upstreamstandin.Text("user:"+prompt+"\n", tokens)
}
