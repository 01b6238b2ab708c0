// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services/peer"
)

// Report is the wire form of a Group. Ranks are identified by their position in a list of addresses
// that a router receives once, so that a report takes only a few bytes per rank.
type Report struct {
	// Authority is the authority of the sender, and Coordinator the address at which it accepts
	// calls.
	Authority   uint64
	Coordinator string
	Service     string
	ID          group.ID
	Open, Whole bool
	Stalled     bool
	Skew        float64
	// List is the number of the rank list. Addresses holds the list if the router does not have it.
	List      uint64
	Addresses []string
	// Running, Waiting and Unstarted hold the request counts of each rank.
	Running, Waiting, Unstarted []uint
	// Unread holds the unread prompt tokens of each rank, in units of UnreadUnit; nil if routers do
	// not report them.
	Unread []uint
	// Slow holds the pace of the ranks that are slower than normal.
	Slow map[int]float64
	// Silent holds the positions in the list of the ranks that do not answer the coordinator.
	Silent []int
	// Backlog is the group's backlog.
	Backlog Backlog
	// Allotted reports whether Places is set.
	Allotted bool
	Places   []uint
}

// IncludedList returns the rank list if the report includes it.
func (r *Report) IncludedList() (RankList, bool) {
	if len(r.Addresses) != len(r.Running) {
		return RankList{}, false
	}
	return RankList{Number: r.List, Addresses: r.Addresses}, true
}

// ReportReply is a router's reply to a report.
type ReportReply struct {
	// List is the number of the rank list with which the router has read the report. It is 0 if the
	// router could not read the report; the other fields are then empty.
	List uint64
	// Unstarted counts, for each rank, the router's requests whose answers have not begun; nil if
	// there are none.
	Unstarted []uint
	// Wanted is the number of requests that the router wants to send until the next report, and
	// Waiting the number of these that wait already.
	Wanted, Waiting int
	// Rate is the number of requests that the router sends to the group per second.
	Rate float64
	// Levels divides Wanted and Waiting by level; nil if the service has no levels.
	Levels []LevelDemand
	// Unread holds the prompt tokens of the unstarted requests for each rank, in units of
	// UnreadUnit; nil if there are none or the service has no levels.
	Unread []uint
	// Idle reports whether the router has had no recent requests for the group's service, so that
	// reports to it may be infrequent.
	Idle bool
	// Most limits the requests to some ranks, by their positions in the list.
	Most map[int]uint
	// Resting holds the positions in the list of the ranks that have asked the router to back off.
	Resting []int
}

// LoadRequest is a router's request for the load of a group. The router gets reports from then on,
// until it is idle.
type LoadRequest struct {
	Router peer.Info
	// List is the number of the rank list that the router has. Unstarted and Wanted are as in
	// ReportReply.
	List      uint64
	Unstarted []uint
	Wanted    int
	Levels    []LevelDemand
}

// UnreadUnit is the number of prompt tokens in which routers report unread prompts, so that an
// entry takes a byte or two.
const UnreadUnit = 64

// RankList is a numbered list of the addresses of a group's ranks.
type RankList struct {
	Number    uint64
	Addresses []string
}

// Next returns the list for the ranks: the same list if the ranks are unchanged, otherwise one with
// the next number.
func (l RankList) Next(ranks []RankLoad) RankList {
	addresses := make([]string, len(ranks))
	for i, r := range ranks {
		addresses[i] = r.Address
	}
	if slices.Equal(addresses, l.Addresses) {
		return l
	}
	return RankList{Number: l.Number + 1, Addresses: addresses}
}

// Pack returns the report of a group whose ranks are those of the list, in list order. Has is the
// number of the list that the router has; if that is another list, the addresses are included.
func (l RankList) Pack(g Group, has uint64) Report {
	n := len(g.Ranks)
	r := Report{
		Service: g.Service, ID: g.ID, Open: g.Open, Whole: g.Whole, Stalled: g.Stalled, Skew: g.Skew, Backlog: g.Backlog, List: l.Number,
		Running: make([]uint, n), Waiting: make([]uint, n), Unstarted: make([]uint, n), Allotted: g.Places != nil,
	}
	if has != l.Number {
		r.Addresses = l.Addresses
	}
	for i, load := range g.Ranks {
		r.Running[i], r.Waiting[i], r.Unstarted[i] = count(load.Running), count(load.Waiting), count(load.Unstarted)
		if load.Pace > 1 {
			if r.Slow == nil {
				r.Slow = map[int]float64{}
			}
			r.Slow[i] = load.Pace
		}
		if load.Silent {
			r.Silent = append(r.Silent, i)
		}
	}
	r.Unread = packUnread(g.Ranks)
	if r.Allotted {
		r.Places = l.counts(g.Places)
	}
	return r
}

// Unpack returns the group of a report, or false if the report refers to another list.
func (l RankList) Unpack(r Report) (Group, bool) {
	n := len(l.Addresses)
	if r.List != l.Number || len(r.Running) != n || len(r.Waiting) != n || len(r.Unstarted) != n || r.Allotted && len(r.Places) != n {
		return Group{}, false
	}
	g := Group{Service: r.Service, ID: r.ID, Open: r.Open, Whole: r.Whole, Stalled: r.Stalled, Skew: r.Skew, Backlog: r.Backlog, Ranks: make([]RankLoad, n)}
	for i, address := range l.Addresses {
		g.Ranks[i] = RankLoad{Address: address, Running: int(r.Running[i]), Waiting: int(r.Waiting[i]), Unstarted: int(r.Unstarted[i]), Pace: max(r.Slow[i], 1), Silent: slices.Contains(r.Silent, i)}
	}
	unpackUnread(g.Ranks, r.Unread)
	if r.Allotted {
		g.Places = l.byAddress(r.Places)
	}
	return g, true
}

// PackUnstarted returns the counts in list order.
func (l RankList) PackUnstarted(u Unstarted) []uint {
	if len(u) == 0 {
		return nil
	}
	return l.counts(u)
}

// UnpackUnstarted returns counts in list order by address; nil if their number is not that of the
// list.
func (l RankList) UnpackUnstarted(counts []uint) Unstarted {
	if len(counts) != len(l.Addresses) {
		return nil
	}
	return l.byAddress(counts)
}

// PackLimits returns limits by the positions of ranks in the list.
func (l RankList) PackLimits(m SendLimits) map[int]uint {
	if len(m) == 0 {
		return nil
	}
	out := map[int]uint{}
	for i, address := range l.Addresses {
		if most, ok := m[address]; ok {
			out[i] = count(most)
		}
	}
	return out
}

// UnpackLimits returns limits by rank address. Positions outside the list are dropped.
func (l RankList) UnpackLimits(m map[int]uint) SendLimits {
	out := SendLimits{}
	for i, most := range m {
		if i >= 0 && i < len(l.Addresses) {
			out[l.Addresses[i]] = int(most)
		}
	}
	return out
}

// PackRanks returns the positions of ranks in the list.
func (l RankList) PackRanks(addresses []string) []int {
	var out []int
	for _, address := range addresses {
		if i := slices.Index(l.Addresses, address); i >= 0 {
			out = append(out, i)
		}
	}
	return out
}

// UnpackRanks returns the addresses of ranks by their positions. Positions outside the list are
// dropped.
func (l RankList) UnpackRanks(positions []int) []string {
	var out []string
	for _, i := range positions {
		if i >= 0 && i < len(l.Addresses) {
			out = append(out, l.Addresses[i])
		}
	}
	return out
}

func (l RankList) counts(of map[string]int) []uint {
	out := make([]uint, len(l.Addresses))
	for i, address := range l.Addresses {
		out[i] = count(of[address])
	}
	return out
}

func (l RankList) byAddress(counts []uint) map[string]int {
	out := map[string]int{}
	for i, n := range counts {
		if n > 0 {
			out[l.Addresses[i]] = int(n)
		}
	}
	return out
}

// count converts a number of requests for a report; negative numbers become 0.
func count(n int) uint { return uint(max(n, 0)) }
