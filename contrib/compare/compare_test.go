// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnwinch.org/fawnwinch/modules/setting"
)

// testTrial is a directory with a trial and its checkouts.
type testTrial struct {
	t     *testing.T
	dir   string
	plays int
}

func (tt *testTrial) writeTrial(extra string) string {
	tt.t.Helper()
	text := "why: who waits\nplay: bin/play run\nflags: [--quiet]\nsites: [a/small.toml, b/large.toml]\ndays: [busy, own/crash.toml]\nbase: old\nvariants:\n"
	for _, v := range []string{"old", "new"} {
		text += fmt.Sprintf("  - {name: %s, checkout: %s}\n", v, filepath.Join(tt.dir, v))
	}
	file := filepath.Join(tt.dir, "trial.yaml")
	if err := os.WriteFile(file, []byte(text+extra), 0o600); err != nil {
		tt.t.Fatal(err)
	}
	return file
}

// addPlay writes the journal entry of a play.
func (tt *testTrial) addPlay(v, site, day string, worth float64, change func(map[string]any)) {
	tt.t.Helper()
	tt.plays++
	e := map[string]any{
		"argv": []string{site + ".toml", day}, "why": "who waits, variant=" + v, "site": site, "ok": true,
		"days": []map[string]any{{"G": worth, "name": day, "seed": 40, "served": worth, "rules": map[string]any{}, "fault": nil}},
	}
	if change != nil {
		change(e)
	}
	raw, err := json.Marshal(e)
	if err != nil {
		tt.t.Fatal(err)
	}
	dir := filepath.Join(tt.dir, v, "journal")
	if err := os.MkdirAll(dir, 0o750); err != nil {
		tt.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%03d.json", tt.plays)), raw, 0o600); err != nil {
		tt.t.Fatal(err)
	}
}

func (tt *testTrial) run(args ...string) string {
	tt.t.Helper()
	var out bytes.Buffer
	root := newRoot(&out)
	root.SetErr(&bytes.Buffer{})
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		tt.t.Fatal(err)
	}
	return out.String()
}

// TestPlan checks that the plan of an interrupted series contains the missing plays, with the
// variants of a day in succession.
func TestPlan(t *testing.T) {
	tt := &testTrial{t: t, dir: t.TempDir()}
	file := tt.writeTrial("seeds: [1, 2]\n")
	lines := strings.Split(strings.TrimSpace(tt.run("plan", file)), "\n")
	if len(lines) != 16 {
		t.Fatalf("%d plays, want 2 variants x 2 sites x 2 days x 2 seeds", len(lines))
	}
	want := fmt.Sprintf("cd '%s' && bin/play run 'a/small.toml' 'busy' --seed 1 --quiet --why 'who waits, variant=new'", filepath.Join(tt.dir, "new"))
	if lines[1] != want {
		t.Errorf("got  %s\nwant %s", lines[1], want)
	}
	tt.addPlay("new", "small", "crash", 0.5, func(e map[string]any) {
		e["argv"] = []string{"a/small.toml", "own/crash.toml", "--seed", "2"}
		e["days"].([]map[string]any)[0]["seed"] = 2 //nolint:forcetypeassert // written above
	})
	tt.addPlay("new", "small", "busy", 0.5, func(e map[string]any) { e["why"] = "another trial" })
	if n := strings.Count(tt.run("plan", file), "\n"); n != 15 {
		t.Errorf("%d plays are missing, want 15", n)
	}
}

// TestReport checks the statistics and the conclusion of a comparison.
func TestReport(t *testing.T) {
	cases := map[string]struct {
		play func(tt *testTrial)
		want string
	}{
		"nothing played": {func(*testTrial) {}, "| new | not played | not played | not played | +0.000 | not played |"},
		"a play without its pair": {func(tt *testTrial) {
			tt.addPlay("new", "small", "busy", 0.9, nil)
		}, "| new | not played | not played | not played | +0.000 | not played |"},
		"better on both": {func(tt *testTrial) {
			for i, site := range []string{"small", "large"} {
				for j, day := range []string{"busy", "crash"} {
					worth := 0.5 + 0.01*float64(i+j)
					tt.addPlay("old", site, day, worth, nil)
					tt.addPlay("new", site, day, worth+0.05+0.001*float64(j), nil)
				}
			}
		}, "| new | +0.051 ± 0.001 (2/2) | +0.051 ± 0.001 (2/2) | +0.051 ± 0.001 (4/4) | +0.051 | better |"},
		"better on one and worse on the other": {func(tt *testTrial) {
			tt.addPlay("old", "small", "busy", 0.5, nil)
			tt.addPlay("new", "small", "busy", 0.6, nil)
			tt.addPlay("old", "large", "busy", 0.5, nil)
			tt.addPlay("new", "large", "busy", 0.47, nil)
		}, "| new | +0.100 ± 0.000 (1/1) | -0.030 ± 0.000 (0/1) | +0.035 ± 0.092 (1/2) | +0.035 | does harm |"},
		"a mean within the spread": {func(tt *testTrial) {
			tt.addPlay("old", "small", "busy", 0.5, nil)
			tt.addPlay("new", "small", "busy", 0.49, nil)
			tt.addPlay("old", "small", "crash", 0.5, nil)
			tt.addPlay("new", "small", "crash", 0.52, nil)
		}, "| new | +0.005 ± 0.021 (1/2) | not played | +0.005 ± 0.021 (1/2) | +0.005 | no difference |"},
		"a rule is broken": {func(tt *testTrial) {
			tt.addPlay("old", "small", "busy", 0.5, nil)
			tt.addPlay("new", "small", "busy", 0.9, func(e map[string]any) {
				e["days"].([]map[string]any)[0]["rules"] = map[string]any{"ONCE": 1} //nolint:forcetypeassert // written above
			})
		}, "| new | +0.400 ± 0.000 (1/1), 1 rules broken | not played | +0.400 ± 0.000 (1/1), 1 rules broken | +0.400 | breaks rules |"},
		"a play without a result": {func(tt *testTrial) {
			tt.addPlay("old", "small", "busy", 0.5, nil)
			tt.addPlay("new", "small", "busy", 0, func(e map[string]any) { e["ok"] = false })
		}, "| new | +0.000 ± 0.000 (0/0), 1 without a figure | not played | +0.000 ± 0.000 (0/0), 1 without a figure | +0.000 | breaks rules |"},
		"played twice: the later counts": {func(tt *testTrial) {
			tt.addPlay("old", "small", "busy", 0.5, nil)
			tt.addPlay("new", "small", "busy", 0.9, nil)
			tt.addPlay("new", "small", "busy", 0.5, nil)
		}, "| new | +0.000 ± 0.000 (0/1) | not played | +0.000 ± 0.000 (0/1) | +0.000 | no difference |"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tt := &testTrial{t: t, dir: t.TempDir()}
			c.play(tt)
			if got := tt.run("report", tt.writeTrial("")); !strings.Contains(got, c.want+"\n") {
				t.Errorf("got\n%s\nwant the row\n%s", got, c.want)
			}
		})
	}
}

// TestExample checks that example.yaml is a valid trial.
func TestExample(t *testing.T) {
	if _, err := loadTrial("example.yaml"); err != nil {
		t.Error(err)
	}
}

// TestPlot checks that a plot is drawn and contains the site's name.
func TestPlot(t *testing.T) {
	tt := &testTrial{t: t, dir: t.TempDir()}
	tt.addPlay("old", "small", "busy", 0.5, nil)
	tt.addPlay("new", "small", "busy", 0.6, nil)
	file := filepath.Join(tt.dir, "plot.svg")
	tt.run("report", tt.writeTrial(""), "--plot", file)
	raw, err := os.ReadFile(file)
	if err != nil || !bytes.Contains(raw, []byte("small")) {
		t.Errorf("plot of %d bytes without its site, %v", len(raw), err)
	}
}

// TestBadTrial checks that an invalid trial is rejected with its field and value.
func TestBadTrial(t *testing.T) {
	cases := map[string]struct{ text, field, value string }{
		"unknown field":     {"why: a\nseats: 3\n", "document", ""},
		"no sites":          {"why: a\nplay: p\ndays: [d]\nbase: x\nvariants: [{name: x, checkout: c}, {name: y, checkout: c}]\n", "trial.Sites", "[]"},
		"unknown base":      {"why: a\nplay: p\nsites: [s]\ndays: [d]\nbase: z\nvariants: [{name: x, checkout: c}, {name: y, checkout: c}]\n", "base", "z"},
		"duplicate variant": {"why: a\nplay: p\nsites: [s]\ndays: [d]\nbase: x\nvariants: [{name: x, checkout: c}, {name: x, checkout: d}]\n", "variants.name", "x"},
		"one variant only":  {"why: a\nplay: p\nsites: [s]\ndays: [d]\nbase: x\nvariants: [{name: x, checkout: c}]\n", "trial.Variants", "[{x c}]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "trial.yaml")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := loadTrial(file)
			var bad setting.ErrInvalid
			if !errors.As(err, &bad) || bad.Field != c.field || bad.Value != c.value {
				t.Errorf("got %v, want field %s with value %q", err, c.field, c.value)
			}
		})
	}
}
