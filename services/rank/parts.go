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
	// maxDirectAgents is the number of agents up to which a coordinator calls each itself. A call
	// costs it about a tenth of a millisecond: 32 of them, fourteen times a second, are a fifth of
	// a quarter of a core.
	maxDirectAgents = 32
	// relayBackoff is how long an agent that failed to answer for its part is not used as a relay.
	relayBackoff = 2 * time.Second
)

// part is a set of agents of one data centre. Where there are many agents, a coordinator calls one
// agent of each part, the relay, which calls the others.
type part []peer.Info

// split divides agents into about as many parts as each has agents, so that neither the coordinator
// nor a relay has many to call. Up to maxDirectAgents agents are parts by themselves.
func split(agents []peer.Info) []part {
	if len(agents) <= maxDirectAgents {
		return singles(agents)
	}
	sorted := slices.SortedFunc(slices.Values(agents), func(a, b peer.Info) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	maxSize := int(math.Ceil(math.Sqrt(float64(len(agents)))))
	var parts []part
	for _, local := range byDataCentre(sorted) {
		n := (len(local) + maxSize - 1) / maxSize
		for i := range n {
			parts = append(parts, part(local[i*len(local)/n:(i+1)*len(local)/n]))
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

// byDataCentre splits agents that are sorted by data centre.
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

// relay returns the agent that calls the others of a part: the first that has not failed recently.
func (p part) relay(now time.Time, failed map[string]time.Time) (peer.Info, bool) {
	for _, n := range p {
		if at, ok := failed[n.Name]; !ok || now.Sub(at) > relayBackoff {
			return n, true
		}
	}
	return peer.Info{}, false
}
