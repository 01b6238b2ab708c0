// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/platform"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/entry"
	"fawnwinch.org/fawnwinch/services/rank"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
)

// TestPrintGroups checks the lines of groups and of ranks that no coordinator reports.
func TestPrintGroups(t *testing.T) {
	g := entry.GroupStatus{
		Coordinator: entry.Coordinator{Group: "g0", Service: "m", Authority: 3, Address: "10.1.0.1:80"},
		Age:         70 * time.Millisecond, Open: true, Ranks: 2, Running: 9, Waiting: 1, Skew: 1.5,
	}
	forming, missing := g, g
	forming.Open, forming.Whole, forming.Group = false, true, "g1"
	missing.Open, missing.Whole, missing.Group = false, false, "g2"
	s := entry.GroupsStatus{
		Router: "r", Groups: []entry.GroupStatus{g, forming, missing},
		Coverage: []relay.Coverage{{Service: "m", Listed: 8, Unreported: []string{"a:1", "b:1"}}, {Service: "n", Listed: 2}},
	}
	var out bytes.Buffer
	if err := printGroups(&out, []entry.GroupsStatus{s}); err != nil {
		t.Fatal(err)
	}
	want := `ROUTER  SERVICE  GROUP  COORDINATOR  AUTHORITY  REPORTED ms AGO  STATE          RANKS  RUNNING  WAITING  SKEW
r       m        g0     10.1.0.1:80  3          70               open           2      9        1        1.50
r       m        g1     10.1.0.1:80  3          70               forming        2      9        1        1.50
r       m        g2     10.1.0.1:80  3          70               ranks missing  2      9        1        1.50
r       m        -      no coordinator reports 2 of 8 ranks: a:1 b:1
`
	if got := out.String(); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
}

// TestPrintShortages checks the lines of services with a shortage, and guards against output for
// routers without one that differs from the output of earlier versions.
func TestPrintShortages(t *testing.T) {
	short := entry.GroupsStatus{Router: "a", Shortages: []relay.ServiceShortage{
		{Service: "m", Lasted: 4250 * time.Millisecond, Levels: []admission.LevelShortage{{}, {Waiting: 3, Rejected: 12, Late: 1}}},
		{Service: "n", Lasted: time.Minute, Levels: []admission.LevelShortage{{Waiting: 1}}},
	}}
	var out bytes.Buffer
	if err := printShortages(&out, []entry.GroupsStatus{{Router: "b"}, short}); err != nil {
		t.Fatal(err)
	}
	want := `ROUTER  SERVICE  SHORTAGE s  LEVEL  WAITING  REJECTED  LATE
a       m        4.2         0      0        0         0
a       m        4.2         1      3        12        1
a       n        60.0        0      1        0         0
`
	if got := out.String(); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
	out.Reset()
	if err := printShortages(&out, []entry.GroupsStatus{{Router: "b"}}); err != nil || out.Len() > 0 {
		t.Errorf("without a shortage printed %q, %v", out.String(), err)
	}
	if err := printJSON(&out, entry.GroupsStatus{Router: "b"}); err != nil || strings.Contains(out.String(), "Shortages") {
		t.Errorf("without a shortage printed %s, %v", out.String(), err)
	}
}

// TestPrintStore checks the lines with routers' state of the store.
func TestPrintStore(t *testing.T) {
	at := func(era services.Era, o services.Offset) services.Position {
		return services.Position{Era: era, Offset: o}
	}
	all := []entry.GroupsStatus{
		{Router: "a", Store: entry.StoreStatus{Era: 1, Since: 90 * time.Second, Catalogs: at(1, 15), Upstreams: at(1, 27), Version: 48, Proven: true, ProvenAge: 70 * time.Millisecond}},
		{Router: "b", Store: entry.StoreStatus{Era: 2, Since: time.Second, Unsettled: true, Catalogs: at(2, 11), Upstreams: at(1, 27), Version: 48}},
	}
	var out bytes.Buffer
	if err := printStore(&out, all); err != nil {
		t.Fatal(err)
	}
	want := `ROUTER  STORE ERA  ERA AGE s  STATE                 VERSION  VERIFIED ms AGO  CATALOGS  UPSTREAMS
a       1          90         settled               48       70               1/15      1/27
b       2          1          restored from a copy  48       never            2/11      1/27
`
	if got := out.String(); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
}

// TestPrintUpstreams checks the lines with evacuations and conditions of upstreams.
func TestPrintUpstreams(t *testing.T) {
	all := []entry.GroupsStatus{
		{Router: "a", Evacuated: []vm.DataCentre{"north-1", "north-2"}, Conditions: map[condition.Kind]int{condition.KindCold: 21, condition.KindLeaving: 1}},
		{Router: "b"},
	}
	var out bytes.Buffer
	if err := printUpstreams(&out, all); err != nil {
		t.Fatal(err)
	}
	want := `ROUTER  EVACUATED        COLD  LIMITED  RESTING  LEAVING
a       north-1 north-2  21    0        0        1
b       none             0     0        0        0
`
	if got := out.String(); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
}

// TestPlatformStatusRefuses checks that the command rejects invalid arguments, and that it fails if
// a router does not answer.
func TestPlatformStatusRefuses(t *testing.T) {
	cases := map[string]struct {
		args []string
		want string
	}{
		"no address":     {nil, "requires at least 1 arg"},
		"no port":        {[]string{"10.0.0.1"}, "ADDRESS"},
		"unknown format": {[]string{"-o", "xml", "127.0.0.1:1"}, "--output"},
		"no answer":      {[]string{"127.0.0.1:1"}, "ask router 127.0.0.1:1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := Execute(append([]string{"platform", "status"}, c.args...), &out, &errs); code != exitFailed || !strings.Contains(errs.String(), c.want) {
				t.Errorf("exit code %d, %q; want %d and %q", code, errs.String(), exitFailed, c.want)
			}
		})
	}
}

// TestAlerts checks that the alerts on leadership refer to metrics which agents and routers serve.
func TestAlerts(t *testing.T) {
	m := metrics.New("p")
	a := rank.New(time.Now(), rank.Options{Engine: platform.NewEngine("127.0.0.1:1"), Logger: zerolog.Nop()})
	registerLeadershipMetrics(m, a)
	rl := relay.New(relay.Options{Metrics: m, Logger: zerolog.Nop()})
	defer rl.Close()
	registerCoverageMetrics(m, rl)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if want := `fawnwinch_group_led{group=""} 0`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("metrics lack %q", want)
	}
	served, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{"fawnwinch_ranks_unreported": true, "fawnwinch_ranks_listed": true} // no samples: there is no service in this test
	for _, f := range served {
		names[f.GetName()] = true
	}
	raw, err := os.ReadFile("../docs/alerts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`fawnwinch_(group|ranks)_[a-z_]+`).FindAllString(string(raw), -1) {
		if !names[name] {
			t.Errorf("an alert refers to %s, which no process serves", name)
		}
	}
}
