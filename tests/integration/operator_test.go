// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/routers"

	"github.com/goccy/go-yaml"
)

// command runs an operator command against the first router.
func (c *cluster) command(args ...string) (out, errs string, code int) {
	cmd := exec.Command(binary, append(args, "--router", c.routers[0], "--token", "operator")...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	_ = cmd.Run()
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// TestOperator follows an operator from a plan to a revision in force, and one request through all
// processes.
func TestOperator(t *testing.T) {
	c := newCluster(t, options{routers: 2, groups: 1, ranks: 2, plains: 2})
	write := func(name string, weight float64) string {
		raw, _ := yaml.Marshal(c.variant(weight))
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	same, other, third := write("same.yaml", 1), write("other.yaml", 5), write("third.yaml", 7)
	kept := filepath.Join(t.TempDir(), "plan.json")
	steps := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"plan of an unchanged file", []string{"plan", "-f", same}, 0, "no changes"},
		{"plan of a changed file", []string{"plan", "-f", other}, 2, "~ services.ledger.shares.small: 1 -> 5"},
		{"plan that is kept", []string{"plan", "-f", third, "--out", kept}, 2, "2 changes"},
		{"confirm", []string{"confirm", "-f", other}, 0, "accepted: revision 2 is in force at 6 processes"},
		{"confirm what is out of date", []string{"confirm", "--plan", kept}, 1, "revision 2 is in force"},
		{"plan after it", []string{"plan", "-f", other, "-o", "json"}, 0, `"changes": []`},
		{"ask for an unknown confirmation", []string{"confirm", "--id", "nobody"}, 1, "outcome unknown"},
		{"status", []string{"status"}, 0, "ledger-1"},
		{"endpoints", []string{"endpoints"}, 0, c.routers[1]},
		{"bad output", []string{"status", "-o", "xml"}, 1, `"xml"`},
		{"no file", []string{"plan"}, 1, "--file"},
	}
	for _, s := range steps {
		out, errs, code := c.command(s.args...)
		if code != s.code || !strings.Contains(out+errs, s.want) {
			t.Errorf("%s: exit code %d, want %d and %q:\n%s%s", s.name, code, s.code, s.want, out, errs)
		}
	}
	c.followRequest()
}

// followRequest checks that the time line shows one hold at the router and the agent in causal
// order.
func (c *cluster) followRequest() {
	t := c.t
	c.hold(1, "small", "followed", 5*time.Second)
	var a routers.TimelineAnswer
	if err := getJSON(c.routers[0]+"/api/v1/timeline?kind=request", "operator", &a); err != nil || len(a.Events) == 0 {
		t.Fatalf("time line: %v %v", err, a)
	}
	id := a.Events[len(a.Events)-1].Request
	out, _, _ := c.command("timeline", "--request", id)
	at := -1
	for _, want := range []string{"process=router-1 kind=request event=arrived", "kind=request event=sent-to-upstream", "event=once-answered", "process=router-1 kind=request event=ended"} {
		i := strings.Index(out, want)
		if i <= at {
			t.Errorf("time line of request %s: %q is missing or out of order:\n%s", id, want, out)
		}
		at = i
	}
	c.procs["ledger-1"].kill()
	if err := getJSON(c.routers[0]+"/api/v1/timeline", "operator", &a); err != nil || len(a.Silent) != 1 {
		t.Errorf("silent processes: %v %v, want one", err, a.Silent)
	}
	for i := 1; i < len(a.Events); i++ {
		if a.Events[i].Stamp.Compare(a.Events[i-1].Stamp) < 0 {
			t.Errorf("events %d and %d are out of order", i-1, i)
		}
	}
}
