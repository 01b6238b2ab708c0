// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

// evacuationBound is the time after which no request may reach an evacuated data centre.
const evacuationBound = 5 * time.Second

// evacuationSite is three routers with one replica in each of two data centres.
type evacuationSite struct {
	*site
	routers map[string]*node
	// replicas holds the replica of each data centre.
	replicas map[string]*replica
}

func newEvacuationSite(t *testing.T) *evacuationSite {
	t.Helper()
	s := &evacuationSite{site: newSite(t), replicas: map[string]*replica{}}
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	for _, zone := range []string{"a", "b"} {
		rp := newReplica(t, "i-"+zone, nil)
		s.replicas[zone] = rp
		s.store.Put(replicaStream, rp.id, strings.Replace(rp.entry("ready"), `"zone":"a"`, `"zone":"`+zone+`"`, 1))
	}
	s.routers = s.startThree()
	return s
}

// evacuate writes or removes the record of an evacuation.
func (s *evacuationSite) evacuate(zone string, on bool) {
	body := ""
	if on {
		body = "{}"
	}
	s.store.Put(operatorStream, "evacuate/"+zone, body)
}

// onlyServedBy reports whether some requests to each router are all answered by one data centre.
func (s *evacuationSite) onlyServedBy(zone string) bool {
	for _, n := range s.routers {
		for range 6 {
			if status, body, _ := post(s.t.Context(), s.t, n.front, "/view/x", "k"); status != http.StatusOK || !strings.HasPrefix(body, "i-"+zone) {
				return false
			}
		}
	}
	return true
}

// awaitEvacuated waits until no router sends requests to a data centre, which must be within the
// bound.
func (s *evacuationSite) awaitEvacuated(zone, other string) {
	s.t.Helper()
	began := time.Now()
	eventually(s.t, "requests served by data centre "+other+" alone", func() bool { return s.onlyServedBy(other) })
	for name, n := range s.routers {
		p := &process{t: s.t, name: "status", args: []string{"platform", "status", n.control}, logs: filepath.Join(s.dir, "status-"+name+".log")}
		p.start()
		<-p.done
		out, err := os.ReadFile(p.logs)
		_, upstreams, found := strings.Cut(string(out), "EVACUATED")
		if row := strings.Fields(upstreams); err != nil || !found || len(row) < 6 || row[4] != name || row[5] != zone {
			s.t.Errorf("status of %s: %v\n%s", name, err, out)
		}
	}
	if took := time.Since(began); took > evacuationBound {
		s.t.Errorf("data centre %s got requests for %s after its evacuation, want at most %s", zone, took, evacuationBound)
	}
}

// TestEvacuation evacuates the data centre of the routers, whose replica they prefer, while routers
// and the store fail. No request may reach it until the evacuation ends, also from routers that
// start meanwhile.
func TestEvacuation(t *testing.T) {
	cases := map[string]func(s *evacuationSite){
		"alone": func(*evacuationSite) {},
		"the store fails afterwards": func(s *evacuationSite) {
			s.store.SetFault(metastore.FaultBusy)
			s.routers["a"].kill()
			s.routers["a"].start()
		},
		"each router restarts": func(s *evacuationSite) {
			for _, n := range s.routers {
				n.kill()
				n.start()
			}
		},
		"the history of the store is dropped": func(s *evacuationSite) { s.store.Trim(operatorStream) },
		"a new configuration comes":           func(s *evacuationSite) { s.store.Put(operatorStream, "config", operatorConfig(5, "k")) },
		"it is ordered once more":             func(s *evacuationSite) { s.evacuate("a", true) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEvacuationSite(t)
			s.evacuate("a", true)
			s.awaitEvacuated("a", "b")
			disturb(s)
			for name, n := range s.routers {
				eventually(t, "a ready router "+name, n.isReady)
			}
			s.replicas["a"].requests.Store(0)
			eventually(t, "requests served by data centre b alone", func() bool { return s.onlyServedBy("b") })
			if n := s.replicas["a"].requests.Load(); n > 0 {
				t.Errorf("%d requests reached data centre a during its evacuation", n)
			}
			s.store.SetFault(metastore.FaultNone)
			s.evacuate("a", false)
			eventually(t, "requests served by data centre a after the evacuation", func() bool {
				for _, n := range s.routers {
					_, _, _ = post(t.Context(), t, n.front, "/view/x", "k")
				}
				return s.replicas["a"].requests.Load() > 0
			})
		})
	}
}

// TestEvacuateAll evacuates all data centres: callers are rejected at once and told when to return.
func TestEvacuateAll(t *testing.T) {
	s := newEvacuationSite(t)
	s.evacuate("a", true)
	s.evacuate("b", true)
	for name, n := range s.routers {
		eventually(t, "a rejection by "+name, func() bool {
			began := time.Now()
			status, _, header := post(t.Context(), t, n.front, "/view/x", "k")
			return status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" && time.Since(began) < 300*time.Millisecond
		})
	}
	s.evacuate("b", false)
	s.awaitEvacuated("a", "b")
}
