// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"fawnwinch.org/fawnwinch/modules/setting"
)

// TestExamples checks the settings in custom/conf.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../custom/conf/*/*.yaml")
	if len(files) != 9 {
		t.Fatalf("found %v", files)
	}
	for _, f := range files {
		var err error
		switch {
		case strings.Contains(f, "agent"):
			_, err = setting.LoadAgent(f)
		case strings.Contains(f, "router"):
			_, err = setting.LoadRouter(f)
		}
		if err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// TestBadSettings checks that an error names the file, the field and the value.
func TestBadSettings(t *testing.T) {
	raw, err := os.ReadFile("../../custom/conf/seiryu/agent-plain.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ from, to, want string }{
		"unknown key":             {"platform:", "plattform:", "plattform"},
		"bad address":             {"http: 10.20.1.20:7002", "http: nowhere", `"nowhere"`},
		"no data centre":          {"data_centre: hakata-a", "data_centre: ''", "DataCentre"},
		"bad kind":                {"kind: plain", "kind: fancy", `"fancy"`},
		"lifetime over retention": {"lifetime: 10m", "lifetime: 10h", "once.lifetime"},
		"no room":                 {"concurrency: 64", "concurrency: 0", "Concurrency"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "agent.yaml")
			if err := os.WriteFile(path, []byte(strings.Replace(string(raw), tc.from, tc.to, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := setting.LoadAgent(path)
			var bad setting.ErrInvalid
			if !errors.As(err, &bad) || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("error %v, want one that names %s and contains %q", err, path, tc.want)
			}
		})
	}
}

// TestDocumented checks that docs/CONFIGURATION.md names every key of the settings.
func TestDocumented(t *testing.T) {
	raw, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(raw)
	for _, v := range []any{setting.Router{}, setting.Agent{}} {
		for _, key := range keys(reflect.TypeOf(v)) {
			if !strings.Contains(page, "`"+key) && !strings.Contains(page, "`."+key) && !strings.Contains(page, "."+key+"`") {
				t.Errorf("docs/CONFIGURATION.md does not name %s", key)
			}
		}
	}
}

// keys returns the last segments of all YAML keys of a struct.
func keys(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		ft := f.Type
		if ft.Kind() == reflect.Slice {
			ft = ft.Elem()
		}
		if ft.Kind() == reflect.Struct {
			out = append(out, keys(ft)...)
			continue
		}
		out = append(out, name)
	}
	return out
}
