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

// laboratory holds the checkouts of a trial.
type laboratory struct {
	t       *testing.T
	dir     string
	entries int
}

func (l *laboratory) trial(more string) string {
	l.t.Helper()
	text := "why: who waits\nplay: bin/play run\nflags: [--quiet]\nsites: [a/small.toml, b/large.toml]\ndays: [busy, own/crash.toml]\nbase: old\nvariants:\n"
	for _, v := range []string{"old", "new"} {
		text += fmt.Sprintf("  - {name: %s, checkout: %s}\n", v, filepath.Join(l.dir, v))
	}
	file := filepath.Join(l.dir, "trial.yaml")
	if err := os.WriteFile(file, []byte(text+more), 0o600); err != nil {
		l.t.Fatal(err)
	}
	return file
}

// played writes the journal entry of a play.
func (l *laboratory) played(v, site, day string, worth float64, change func(map[string]any)) {
	l.t.Helper()
	l.entries++
	e := map[string]any{
		"argv": []string{site + ".toml", day}, "why": "who waits, variant=" + v, "site": site, "ok": true,
		"days": []map[string]any{{"G": worth, "name": day, "seed": 40, "served": worth, "rules": map[string]any{}, "fault": nil}},
	}
	if change != nil {
		change(e)
	}
	raw, err := json.Marshal(e)
	if err != nil {
		l.t.Fatal(err)
	}
	dir := filepath.Join(l.dir, v, "journal")
	if err := os.MkdirAll(dir, 0o750); err != nil {
		l.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%03d.json", l.entries)), raw, 0o600); err != nil {
		l.t.Fatal(err)
	}
}

func (l *laboratory) run(args ...string) string {
	l.t.Helper()
	var out bytes.Buffer
	root := newRoot(&out)
	root.SetErr(&bytes.Buffer{})
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		l.t.Fatal(err)
	}
	return out.String()
}

// TestPlan checks that a series that was broken off goes on with what is missing, the variants of a day one after the other.
func TestPlan(t *testing.T) {
	l := &laboratory{t: t, dir: t.TempDir()}
	file := l.trial("seeds: [1, 2]\n")
	lines := strings.Split(strings.TrimSpace(l.run("plan", file)), "\n")
	if len(lines) != 16 {
		t.Fatalf("%d plays, want 2 variants x 2 sites x 2 days x 2 seeds", len(lines))
	}
	want := fmt.Sprintf("cd '%s' && bin/play run 'a/small.toml' 'busy' --seed 1 --quiet --why 'who waits, variant=new'", filepath.Join(l.dir, "new"))
	if lines[1] != want {
		t.Errorf("got  %s\nwant %s", lines[1], want)
	}
	l.played("new", "small", "crash", 0.5, func(e map[string]any) {
		e["argv"] = []string{"a/small.toml", "own/crash.toml", "--seed", "2"}
		e["days"].([]map[string]any)[0]["seed"] = 2 //nolint:forcetypeassert // written above
	})
	l.played("new", "small", "busy", 0.5, func(e map[string]any) { e["why"] = "another trial" })
	if n := strings.Count(l.run("plan", file), "\n"); n != 15 {
		t.Errorf("%d plays are missing, want 15", n)
	}
}

// TestReport checks what pairs amount to.
func TestReport(t *testing.T) {
	cases := map[string]struct {
		play func(l *laboratory)
		want string
	}{
		"nothing played": {func(*laboratory) {}, "| new | not played | not played | not played | +0.000 | not played |"},
		"a play without its pair": {func(l *laboratory) {
			l.played("new", "small", "busy", 0.9, nil)
		}, "| new | not played | not played | not played | +0.000 | not played |"},
		"better on both": {func(l *laboratory) {
			for i, site := range []string{"small", "large"} {
				for j, day := range []string{"busy", "crash"} {
					worth := 0.5 + 0.01*float64(i+j)
					l.played("old", site, day, worth, nil)
					l.played("new", site, day, worth+0.05+0.001*float64(j), nil)
				}
			}
		}, "| new | +0.051 ± 0.001 (2/2) | +0.051 ± 0.001 (2/2) | +0.051 ± 0.001 (4/4) | +0.051 | better |"},
		"better on one and worse on the other": {func(l *laboratory) {
			l.played("old", "small", "busy", 0.5, nil)
			l.played("new", "small", "busy", 0.6, nil)
			l.played("old", "large", "busy", 0.5, nil)
			l.played("new", "large", "busy", 0.47, nil)
		}, "| new | +0.100 ± 0.000 (1/1) | -0.030 ± 0.000 (0/1) | +0.035 ± 0.092 (1/2) | +0.035 | does harm |"},
		"a mean within the spread": {func(l *laboratory) {
			l.played("old", "small", "busy", 0.5, nil)
			l.played("new", "small", "busy", 0.49, nil)
			l.played("old", "small", "crash", 0.5, nil)
			l.played("new", "small", "crash", 0.52, nil)
		}, "| new | +0.005 ± 0.021 (1/2) | not played | +0.005 ± 0.021 (1/2) | +0.005 | no difference |"},
		"a rule is broken": {func(l *laboratory) {
			l.played("old", "small", "busy", 0.5, nil)
			l.played("new", "small", "busy", 0.9, func(e map[string]any) {
				e["days"].([]map[string]any)[0]["rules"] = map[string]any{"ONCE": 1} //nolint:forcetypeassert // written above
			})
		}, "| new | +0.400 ± 0.000 (1/1), 1 rules broken | not played | +0.400 ± 0.000 (1/1), 1 rules broken | +0.400 | breaks rules |"},
		"a play that was given up": {func(l *laboratory) {
			l.played("old", "small", "busy", 0.5, nil)
			l.played("new", "small", "busy", 0, func(e map[string]any) { e["ok"] = false })
		}, "| new | +0.000 ± 0.000 (0/0), 1 without a figure | not played | +0.000 ± 0.000 (0/0), 1 without a figure | +0.000 | breaks rules |"},
		"played twice: the later counts": {func(l *laboratory) {
			l.played("old", "small", "busy", 0.5, nil)
			l.played("new", "small", "busy", 0.9, nil)
			l.played("new", "small", "busy", 0.5, nil)
		}, "| new | +0.000 ± 0.000 (0/1) | not played | +0.000 ± 0.000 (0/1) | +0.000 | no difference |"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &laboratory{t: t, dir: t.TempDir()}
			c.play(l)
			if got := l.run("report", l.trial("")); !strings.Contains(got, c.want+"\n") {
				t.Errorf("got\n%s\nwant the row\n%s", got, c.want)
			}
		})
	}
}

// TestExample checks that the example of the documentation is a trial.
func TestExample(t *testing.T) {
	if _, err := loadTrial("example.yaml"); err != nil {
		t.Error(err)
	}
}

// TestPicture checks that a plot is drawn.
func TestPicture(t *testing.T) {
	l := &laboratory{t: t, dir: t.TempDir()}
	l.played("old", "small", "busy", 0.5, nil)
	l.played("new", "small", "busy", 0.6, nil)
	file := filepath.Join(l.dir, "plot.svg")
	l.run("report", l.trial(""), "--plot", file)
	raw, err := os.ReadFile(file)
	if err != nil || !bytes.Contains(raw, []byte("small")) {
		t.Errorf("plot of %d bytes without its site, %v", len(raw), err)
	}
}

// TestBadTrial checks that a trial that cannot be played is refused with its field and value.
func TestBadTrial(t *testing.T) {
	cases := map[string]struct{ text, field, value string }{
		"unknown field":    {"why: a\nseats: 3\n", "document", ""},
		"no sites":         {"why: a\nplay: p\ndays: [d]\nbase: x\nvariants: [{name: x, checkout: c}, {name: y, checkout: c}]\n", "trial.Sites", "[]"},
		"base of no name":  {"why: a\nplay: p\nsites: [s]\ndays: [d]\nbase: z\nvariants: [{name: x, checkout: c}, {name: y, checkout: c}]\n", "base", "z"},
		"a variant twice":  {"why: a\nplay: p\nsites: [s]\ndays: [d]\nbase: x\nvariants: [{name: x, checkout: c}, {name: x, checkout: d}]\n", "variants.name", "x"},
		"one variant only": {"why: a\nplay: p\nsites: [s]\ndays: [d]\nbase: x\nvariants: [{name: x, checkout: c}]\n", "trial.Variants", "[{x c}]"},
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
