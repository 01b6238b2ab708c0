// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// fewAgents is the number of agents up to which a coordinator speaks to each itself. A call takes it about a tenth of
	// a millisecond: 32 of them, fourteen times a second, are a fifth of a quarter of a core.
	fewAgents = 32
	// relayRest is how long an agent that did not answer for its part is not asked to do so again.
	relayRest = 2 * time.Second
)

// part is some agents of one data centre. Where there are many agents, a coordinator speaks to one agent of each part,
// the relay, which speaks to the others.
type part []peer.Info

// split parts agents: into as many parts as each has agents, so that neither the coordinator nor a relay has many to
// speak to. Few agents are parts by themselves.
func split(agents []peer.Info) []part {
	if len(agents) <= fewAgents {
		return singles(agents)
	}
	sorted := slices.SortedFunc(slices.Values(agents), func(a, b peer.Info) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	most := int(math.Ceil(math.Sqrt(float64(len(agents)))))
	var parts []part
	for _, near := range byDataCentre(sorted) {
		n := (len(near) + most - 1) / most
		for i := range n {
			parts = append(parts, part(near[i*len(near)/n:(i+1)*len(near)/n]))
		}
	}
	return parts
}

func singles(agents []peer.Info) []part {
	out := make([]part, len(agents))
	for i := range agents {
		out[i] = part(agents[i : i+1])
	}
	return out
}

// byDataCentre parts agents that are sorted by data centre.
func byDataCentre(sorted []peer.Info) [][]peer.Info {
	var out [][]peer.Info
	for begin, i := 0, 0; i < len(sorted); i++ {
		if i+1 == len(sorted) || sorted[i+1].DataCentre != sorted[begin].DataCentre {
			out = append(out, sorted[begin:i+1])
			begin = i + 1
		}
	}
	return out
}

// relay returns the agent that speaks to the others of a part: the first that has not failed to lately.
func (p part) relay(now time.Time, failed map[string]time.Time) (peer.Info, bool) {
	for _, n := range p {
		if at, ok := failed[n.Name]; !ok || now.Sub(at) > relayRest {
			return n, true
		}
	}
	return peer.Info{}, false
}
