// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

// nodeStream is the stream in which fawnwinch's processes register.
const nodeStream = "keyed.fawnwinch-nodes"

// restores are ways in which the store is restored from an older copy.
var restores = map[string]func(s *site, c metastore.Snapshot){
	"between two calls": func(s *site, c metastore.Snapshot) { s.store.Restore(c) },
	"after an outage": func(s *site, c metastore.Snapshot) {
		s.store.SetFault(metastore.FaultBusy)
		s.awaitCalls(8)
		s.store.Restore(c)
		s.store.SetFault(metastore.FaultNone)
	},
	"twice": func(s *site, c metastore.Snapshot) {
		s.store.Restore(c)
		s.awaitCalls(4)
		s.store.Restore(c)
	},
	"twice, between two calls": func(s *site, c metastore.Snapshot) {
		s.store.Restore(c)
		s.store.Restore(c)
	},
	"while answers are slow": func(s *site, c metastore.Snapshot) {
		s.store.SetFault(metastore.FaultSlowAnswer)
		s.awaitCalls(4)
		s.store.Restore(c)
		s.awaitCalls(8)
		s.store.SetFault(metastore.FaultNone)
	},
	"and writes are late": func(s *site, c metastore.Snapshot) {
		s.store.SetFault(metastore.FaultLateWrite)
		s.store.Restore(c)
		s.awaitCalls(12)
		s.store.SetFault(metastore.FaultNone)
	},
	"without its history": func(s *site, c metastore.Snapshot) {
		s.store.Restore(c)
		s.store.Trim(operatorStream)
		s.store.Trim(replicaStream)
	},
}

// awaitCalls waits until the store has received some more calls.
func (s *site) awaitCalls(calls int) {
	s.t.Helper()
	first := s.store.Calls()
	eventually(s.t, "calls of the store", func() bool { return s.store.Calls() >= first+calls })
}

// copyThenChange returns a copy of the store, and then writes configurations that the copy lacks.
// They remove the only key that the copy lists.
func (s *site) copyThenChange(routers map[string]*node) metastore.Snapshot {
	s.t.Helper()
	c := s.store.Snapshot()
	s.store.Put(operatorStream, "config", operatorConfig(4, "k", "k4"))
	s.store.Put(operatorStream, "config", operatorConfig(5, "new"))
	for name, n := range routers {
		eventually(s.t, "the new key at "+name, func() bool { status, _, _ := post(s.t.Context(), s.t, n.front, "/view/x", "new"); return status == 200 })
		eventually(s.t, "no old key at "+name, func() bool { status, _, _ := post(s.t.Context(), s.t, n.front, "/view/x", "k"); return status == 401 })
	}
	return c
}

// checkKept checks that no router reverts to an older configuration while the store receives a
// number of calls.
func (s *site) checkKept(routers map[string]*node, calls int) {
	s.t.Helper()
	for first := s.store.Calls(); s.store.Calls() < first+calls; {
		for name, n := range routers {
			if status, _, _ := post(s.t.Context(), s.t, n.front, "/view/x", "new"); status == 401 || status == 404 {
				s.t.Fatalf("%s refuses a key that an accepted configuration holds: status %d", name, status)
			}
			if status, _, _ := post(s.t.Context(), s.t, n.front, "/view/x", "k"); status == 200 {
				s.t.Fatalf("%s accepts a key that an accepted configuration has removed", name)
			}
		}
	}
}

// putConfig writes a configuration with one key and waits until it is in force at all routers.
func (s *site) putConfig(routers map[string]*node, version int, key, before string) {
	s.t.Helper()
	s.store.Put(operatorStream, "config", operatorConfig(version, key))
	for name, n := range routers {
		eventually(s.t, "key "+key+" at "+name, func() bool { status, _, _ := post(s.t.Context(), s.t, n.front, "/view/x", key); return status == 200 })
		eventually(s.t, "no key "+before+" at "+name, func() bool {
			status, _, _ := post(s.t.Context(), s.t, n.front, "/view/x", before)
			return status == 401
		})
	}
}

// TestConfigurationAfterRestore restores the store without the latest configurations. The accepted
// one must stay in force, and those written next must come into force at all routers.
func TestConfigurationAfterRestore(t *testing.T) {
	for name, restore := range restores {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, routers := threeRouters(t)
			c := s.copyThenChange(routers)
			restore(s, c)
			s.checkKept(routers, 12)
			// These have the offsets of the lost configurations, and then the next ones.
			s.putConfig(routers, 7, "k7", "new")
			s.putConfig(routers, 9, "k9", "k7")
			s.putConfig(routers, 12, "k12", "k9")
		})
	}
}

// TestOldConfigurationsAfterRestore lets the operator write the lost configurations again, one
// after the other.
func TestOldConfigurationsAfterRestore(t *testing.T) {
	t.Parallel()
	s, routers := threeRouters(t)
	c := s.copyThenChange(routers)
	s.store.Restore(c)
	for _, config := range []string{operatorConfig(4, "k", "k4"), operatorConfig(5, "new")} {
		s.store.Put(operatorStream, "config", config)
		s.checkKept(routers, 6)
	}
	s.putConfig(routers, 8, "k8", "new")
}

// TestStartAfterRestore starts routers after a restore of the store without the latest
// configuration.
func TestStartAfterRestore(t *testing.T) {
	t.Run("beside others", func(t *testing.T) {
		t.Parallel()
		s, routers := threeRouters(t)
		c := s.copyThenChange(routers)
		s.store.Restore(c)
		routers["d"] = s.router("d", routers["a"].control)
		s.checkKept(routers, 12)
		eventually(t, "the key in force at the new router", func() bool {
			status, _, _ := post(t.Context(), t, routers["d"].front, "/view/x", "new")
			return status == 200
		})
		s.putConfig(routers, 7, "k7", "new")
	})
	t.Run("all at once", func(t *testing.T) {
		t.Parallel()
		s, routers := threeRouters(t)
		c := s.copyThenChange(routers)
		for _, n := range routers {
			n.kill()
		}
		s.store.Restore(c)
		for _, n := range routers {
			n.start()
		}
		// No router knows which configuration was in force: a key that the copy lists may have been
		// removed.
		s.awaitCalls(6)
		for name, n := range routers {
			if status, _, _ := post(t.Context(), t, n.front, "/view/x", "k"); status == 200 {
				t.Errorf("%s accepts a key that an accepted configuration has removed", name)
			}
		}
		s.putConfig(routers, 5, "new", "k")
	})
	t.Run("all at once, long after it", func(t *testing.T) {
		t.Parallel()
		s, routers := threeRouters(t)
		c := s.copyThenChange(routers)
		s.store.Restore(c)
		s.putConfig(routers, 7, "k7", "new")
		eventually(t, "a settled era in the store", func() bool {
			for name := range routers {
				if strings.Contains(s.store.Newest(nodeStream, name), `"settled_era":1`) {
					return true
				}
			}
			return false
		})
		for _, n := range routers {
			n.kill()
			if err := os.Remove(n.logs); err != nil {
				t.Fatal(err)
			}
		}
		for _, n := range routers {
			n.start()
		}
		for name, n := range routers {
			eventually(t, "the key at "+name, func() bool { status, _, _ := post(t.Context(), t, n.front, "/view/x", "k7"); return status == 200 })
			raw, err := os.ReadFile(n.logs)
			_, after, proven := strings.Cut(string(raw), "event=catalog-proven after_ms=")
			ms := 0
			if _, scanErr := fmt.Sscan(after, &ms); err != nil || proven && (scanErr != nil || ms >= rewriteWindowMs) {
				t.Errorf("%s has waited %d ms for the operator, %v, %v", name, ms, err, scanErr)
			}
		}
	})
}

// rewriteWindowMs is the time in which the operator writes lost configurations again, in
// milliseconds.
const rewriteWindowMs = 2000

// TestReplicasAfterRestore restores the store without the latest entries of replicas. Routers must
// send no work to a replica that has left.
func TestReplicasAfterRestore(t *testing.T) {
	t.Parallel()
	s, routers := threeRouters(t)
	two, three := newReplica(t, "i-2", nil), newReplica(t, "i-3", nil)
	s.store.Put(replicaStream, "i-2", two.entry("ready"))
	eventually(t, "work for the second", func() bool {
		_, body, _ := post(t.Context(), t, routers["a"].front, "/view/x", "k")
		return body == "i-2 for seiryu"
	})
	c := s.store.Snapshot()
	s.store.Put(replicaStream, "i-3", three.entry("ready"))
	s.store.Put(replicaStream, "i-2", two.entry("draining"))
	s.store.Put(replicaStream, "i-1", "")
	for name, n := range routers {
		eventually(t, "work for the third only at "+name, func() bool {
			for range 12 {
				if _, body, _ := post(t.Context(), t, n.front, "/view/x", "k"); body != "i-3 for seiryu" {
					return false
				}
			}
			return true
		})
	}
	before := two.requests.Load()
	s.store.Restore(c)
	for first := s.store.Calls(); s.store.Calls() < first+10; {
		for name, n := range routers {
			if _, body, _ := post(t.Context(), t, n.front, "/view/x", "k"); body == "i-1 for seiryu" || body == "i-2 for seiryu" {
				t.Fatalf("%s sends work to a replica that has left: %s", name, body)
			}
		}
	}
	s.store.Put(replicaStream, "i-3", three.entry("ready"))
	for name, n := range routers {
		eventually(t, "work for the third again at "+name, func() bool {
			_, body, _ := post(t.Context(), t, n.front, "/view/x", "k")
			return body == "i-3 for seiryu"
		})
	}
	if two.requests.Load() != before {
		t.Errorf("a replica that leaves ran %d requests after the restore", two.requests.Load()-before)
	}
}

// recoveryTimeout is the time within which everything that the system itself keeps in the store has
// to be there again after a restore.
const recoveryTimeout = 5 * time.Second

// TestRegistrationAfterRestore restores the store without the registrations of the processes, which
// must be written again.
func TestRegistrationAfterRestore(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.store.Snapshot()
	rp := newReplica(t, "i-1", nil)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	s.store.Put(replicaStream, "i-1", rp.entry("ready"))
	routers := s.startThree()
	registered := func() bool {
		for name := range routers {
			if s.store.Newest(nodeStream, name) == "" {
				return false
			}
		}
		return true
	}
	eventually(t, "registered routers", registered)
	// The list is read at ever longer intervals.
	s.awaitCalls(24)
	s.store.Restore(c)
	began := time.Now()
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	s.store.Put(replicaStream, "i-1", rp.entry("ready"))
	eventually(t, "registered routers again", registered)
	if took := time.Since(began); took > recoveryTimeout {
		t.Errorf("the routers are registered again after %s, want %s at most", took, recoveryTimeout)
	}
}

// TestRanksAfterRestore restores the store with fewer claims to coordinate a group, or without its
// agents, and kills the coordinator. Another agent must lead, maps must follow popularity, and no
// pass may begin with two of them.
func TestRanksAfterRestore(t *testing.T) {
	// changeCoordinator kills the coordinator and waits for another one.
	changeCoordinator := func(r *ranks) {
		p := r.coordinator()
		p.kill()
		eventually(t, "another coordinator", func() bool { return r.coordinator() != p })
		p.start()
	}
	cases := map[string]func(r *ranks) metastore.Snapshot{
		"with fewer claims": func(r *ranks) metastore.Snapshot {
			c := r.store.Snapshot()
			changeCoordinator(r)
			changeCoordinator(r)
			changeCoordinator(r)
			return c
		},
		"without its agents": func(r *ranks) metastore.Snapshot {
			c := metastore.New()
			c.Put(operatorStream, "config", r.store.Newest(operatorStream, "config"))
			changeCoordinator(r)
			return c.Snapshot()
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRanks(t, 7)
			r.awaitMaps("a first map", 1)
			r.store.Restore(lose(r))
			r.awaitMaps("a map that follows after the restore", 2)
			p := r.coordinator()
			p.kill()
			began := time.Now()
			p.start()
			r.awaitMaps("a map that follows after the end of the coordinator", 2)
			if took := time.Since(began); took > recoveryTimeout {
				t.Errorf("maps follow again %s after the end of the coordinator, want %s at most", took, recoveryTimeout)
			}
		})
	}
}

// TestStatusAfterRestore checks that operators see a restore of the store at each router: in its
// log and in its status.
func TestStatusAfterRestore(t *testing.T) {
	t.Parallel()
	s, routers := threeRouters(t)
	c := s.copyThenChange(routers)
	s.store.Restore(c)
	s.putConfig(routers, 7, "k7", "new")
	for name, n := range routers {
		eventually(t, "the restore in the log of "+name, func() bool {
			raw, err := os.ReadFile(n.logs)
			return err == nil && strings.Contains(string(raw), "event=feed-returned") && strings.Contains(string(raw), "event=catalog-proven")
		})
		p := &process{t: t, name: "status", args: []string{"platform", "status", n.control}, logs: filepath.Join(s.dir, "status-"+name+".log")}
		p.start()
		<-p.done
		out, err := os.ReadFile(p.logs)
		fields := strings.Fields(lastLine(string(out)))
		// Router, era, seconds, state, version and the proof's age.
		if err != nil || len(fields) < 6 || fields[0] != name || fields[1] != "1" || fields[3] != "settled" || fields[4] != "7" {
			t.Errorf("status of %s: %v\n%s", name, err, out)
		}
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
