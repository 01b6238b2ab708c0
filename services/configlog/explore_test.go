// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configlog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/services"
)

// explorer runs several cores on one log with concurrent and duplicate confirmations, delayed
// records, checkpoints of outdated states, trims, restarts and states adopted from peers.
type explorer struct {
	rnd       *rand.Rand
	now       time.Time
	firstKept int
	log       []services.LogRecord
	cores     []*Core
	pending   []*intent.Record
	// accepted maps each revision to the digest at the first core that had it in force.
	accepted map[intent.Revision]intent.Digest
	highest  []intent.Revision
	intents  int
	err      error
	naive    bool
}

func newExplorer(seed uint64, naive bool) *explorer {
	x := &explorer{rnd: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), accepted: map[intent.Revision]intent.Digest{}, naive: naive}
	for range 4 {
		x.cores = append(x.cores, NewCore())
		x.highest = append(x.highest, 0)
	}
	return x
}

func (x *explorer) append(rec *intent.Record) {
	raw, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	x.log = append(x.log, services.LogRecord{Offset: services.Offset(len(x.log)), At: x.now, Data: raw})
}

func (x *explorer) step() {
	x.now = x.now.Add(time.Second)
	i := x.rnd.IntN(len(x.cores))
	c := x.cores[i]
	switch p := x.rnd.IntN(100); {
	case p < 40:
		x.read(i)
	case p < 60:
		x.confirm(c)
	case p < 70:
		x.emit()
	case p < 78:
		if _, exact := c.Judged(); exact && c.judged.Revision > 0 {
			x.pending = append(x.pending, c.Checkpoint())
		}
	case p < 86:
		j := x.rnd.IntN(len(x.cores))
		c.Adopt(x.now, x.cores[j].Peer())
		x.check(i)
	case p < 89:
		x.trim()
	case p < 91:
		x.cores[i], x.highest[i] = NewCore(), 0
	}
}

// confirm makes a confirmation based on the core's judged state. emit appends it later, possibly
// more than once.
func (x *explorer) confirm(c *Core) {
	judged, exact := c.Judged()
	if !exact {
		return
	}
	x.intents++
	in := &intent.Intent{Version: 1, Deployment: fmt.Sprint("d", x.intents), Rebalance: intent.Rebalance{Prefer: intent.PreferCost}}
	x.pending = append(x.pending, &intent.Record{
		Version: 1, Kind: intent.RecordConfirm, ID: intent.ConfirmID(fmt.Sprint(x.intents)),
		Revision: judged.Revision + 1, BaseDigest: judged.Digest, Intent: in,
	})
}

func (x *explorer) emit() {
	if len(x.pending) == 0 {
		return
	}
	k := x.rnd.IntN(len(x.pending))
	x.append(x.pending[k])
	if x.rnd.IntN(3) > 0 {
		x.pending = append(x.pending[:k], x.pending[k+1:]...)
	}
}

// trim drops old records, but only up to a point that a current checkpoint follows. In production
// the checkpoints of the routers ensure that.
func (x *explorer) trim() {
	for _, c := range x.cores {
		if _, exact := c.Judged(); exact && c.next == services.Offset(len(x.log)) && c.judged.Revision > 0 {
			x.append(c.Checkpoint())
			x.firstKept = len(x.log) - 1 - x.rnd.IntN(min(3, len(x.log)-x.firstKept))
			return
		}
	}
}

func (x *explorer) read(i int) {
	c := x.cores[i]
	from := max(int(c.Next()), x.firstKept)
	to := min(len(x.log), from+x.rnd.IntN(6))
	page := services.Page{First: services.Offset(x.firstKept), Tail: services.Offset(len(x.log)), Now: x.now}
	if from < to {
		page.Records = x.log[from:to]
	}
	if x.naive {
		x.readNaive(c, page)
	} else {
		c.Apply(x.now, page)
	}
	x.check(i)
}

// readNaive accepts the latest record without judging it.
func (x *explorer) readNaive(c *Core, p services.Page) {
	c.started, c.anchored = true, true
	for _, r := range p.Records {
		rec, err := intent.DecodeRecord(r.Data)
		if err == nil {
			c.judged = intent.State{Revision: rec.Revision, Digest: rec.Intent.Digest(), Intent: rec.Intent}
			c.inForce = c.judged
		}
		c.next = r.Offset + 1
	}
}

// check verifies that a revision has the same intent at all cores and that no core goes back to an
// earlier revision.
func (x *explorer) check(i int) {
	s := x.cores[i].State()
	if x.err != nil {
		return
	}
	if s.Revision < x.highest[i] {
		x.err = fmt.Errorf("core %d went from revision %d to %d", i, x.highest[i], s.Revision)
	}
	x.highest[i] = s.Revision
	if d, ok := x.accepted[s.Revision]; ok && d != s.Digest {
		x.err = fmt.Errorf("revision %d is %s at core %d and %s elsewhere", s.Revision, s.Digest, i, d)
	}
	x.accepted[s.Revision] = s.Digest
}

// catchUp lets every core read to the end of the log and checks that all exact cores agree.
func (x *explorer) catchUp() {
	for range len(x.log) + 8 {
		for i := range x.cores {
			x.read(i)
		}
	}
	for i, c := range x.cores {
		if _, exact := c.Judged(); exact && c.State().Digest != x.cores[0].State().Digest && x.err == nil {
			if _, exact0 := x.cores[0].Judged(); exact0 {
				x.err = fmt.Errorf("core %d ends at revision %d, core 0 at %d", i, c.State().Revision, x.cores[0].State().Revision)
			}
		}
	}
}

func explore(seed uint64, naive bool) *explorer {
	x := newExplorer(seed, naive)
	for range 300 {
		x.step()
	}
	x.catchUp()
	return x
}

// TestExplore runs random schedules. A failure reports its seed.
func TestExplore(t *testing.T) {
	revisions := 0
	for seed := range uint64(1500) {
		x := explore(seed, false)
		if x.err != nil {
			t.Fatalf("seed %d: %v", seed, x.err)
		}
		revisions += len(x.accepted)
	}
	if revisions < 1500*5 {
		t.Errorf("only %d revisions: the schedules cover too little", revisions)
	}
}

// TestExploreNaive checks that the schedules detect a reader that accepts the latest record
// without judging it.
func TestExploreNaive(t *testing.T) {
	for seed := range uint64(50) {
		if explore(seed, true).err != nil {
			return
		}
	}
	t.Error("no schedule broke the naive reader")
}
