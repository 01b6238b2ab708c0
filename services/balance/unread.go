// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// Unread maps rank addresses to the prompt tokens of the router's unstarted requests. Routers
// report it to a coordinator; nil if no caller of these requests has declared a prompt.
type Unread map[string]int

// unreadPrompts holds the prompts of a router's unstarted requests at an upstream.
type unreadPrompts struct {
	// tokens is the number of prompt tokens. lastReported and counted are as the fields of state
	// for unstarted requests.
	tokens, lastReported, counted int
	// declared counts the requests whose callers have declared the prompt.
	declared int
}

// report records that the tokens are reported to the coordinator. It counts the requests of a
// router that reports no tokens with usual prompts, as this router does.
func (u *unreadPrompts) report() {
	u.counted, u.lastReported = u.lastReported, tokensOf(unreadUnits(u.tokens))
}

// SentPrompt records the prompt of an attempt, after Sent.
func (p *Pool) SentPrompt(id upstream.Run, size Size) {
	u := &p.state(id).unread
	u.tokens += size.Prompt
	if size.PromptDeclared {
		u.declared++
	}
}

// PromptRead records that the prompt of an attempt is no longer unread, after Started, or after
// Done for an attempt whose answer had not begun.
func (p *Pool) PromptRead(id upstream.Run, size Size) {
	s := p.state(id)
	s.unread.tokens -= size.Prompt
	if size.PromptDeclared {
		s.unread.declared--
	}
}

// Unread returns the prompt tokens of this router's unstarted requests at the ranks of a group. IDs
// maps the addresses of the ranks to upstreams.
func (p *Pool) Unread(g *Group, ids map[string]upstream.Run) Unread {
	out, declared := Unread{}, false
	for _, r := range g.Ranks {
		id, ok := ids[r.Address]
		if !ok {
			continue
		}
		if u := p.state(id).unread; u.tokens > 0 {
			out[r.Address] = u.tokens
			declared = declared || u.declared > 0
		}
	}
	if !declared {
		return nil
	}
	return out
}

// bySize reports whether prompt tokens are known for an upstream.
func (s *state) bySize(a *PickOptions) bool {
	return a.Size.Prompt > 0 && a.Bounds.Unread > 0 && (a.Size.PromptDeclared || s.unread.declared > 0 || s.report.Unread > 0)
}

// allUnread estimates the prompt tokens of the unstarted requests of all routers. Those of other
// routers count with usual prompts if the coordinator reports no tokens.
func (s *state) allUnread(usual int) int {
	others := s.report.Unread - s.unread.counted
	if s.report.Unread == 0 {
		others = usual * (s.report.Unstarted - s.counted)
	}
	return max(others, 0) + s.unread.tokens
}

// misfitPenalty is added to the score of an upstream that cannot read the prompt of a request beside
// the others, so that any other place is used first.
const misfitPenalty = 1000

// mayRead reports whether an upstream may get the prompt of a request. Places that a coordinator has
// allotted are limited already; in trials without this exception, half of the requests with long
// prompts and short answers were not served, as routers could not use most of their places.
func (s *state) mayRead(now time.Time, a *PickOptions) bool {
	return s.fits(now, a) || s.allotted && s.reported(now) && s.slots > 0
}

// fits reports whether an upstream can read the prompt of a request beside those that it has still
// to read.
func (s *state) fits(now time.Time, a *PickOptions) bool {
	if !s.bySize(a) {
		return true
	}
	unread := s.unread.tokens
	if s.fresh(now) {
		unread = s.allUnread(a.Bounds.Prompt)
	}
	// Less than a unit may be a remainder of rounding.
	return unread < UnreadUnit || unread+a.Size.Prompt <= a.Bounds.Unread
}

// unreadPrompts estimates the unread prompts of all routers at an upstream; larger ones than usual
// count more. Smaller ones do not count less: in trials routers that decided by themselves sent so
// many short prompts to the same rank that passes exceeded the pause goal.
func (s *state) unreadPrompts(a *PickOptions) float64 {
	prompts := float64(s.allUnstarted())
	if s.bySize(a) {
		prompts = max(prompts, float64(s.allUnread(a.Bounds.Prompt))/float64(a.Bounds.Prompt))
	}
	return prompts
}

// readTime returns how long a rank may read prompts in a pass beside its streams.
func readTime(e *catalog.Engine, l GroupLoad, pauseGoal time.Duration) time.Duration {
	return min(time.Duration(readFraction*float64(pauseGoal)), time.Duration(passFraction*float64(pauseGoal))-l.pass(e, 0))
}

// LimitUnread returns bounds that also limit the unread prompt tokens of a rank. They equal b if b
// does not limit unstarted requests.
func (b Bounds) LimitUnread(e *catalog.Engine, l GroupLoad, pauseGoal time.Duration) Bounds {
	usual := int(e.UsualPrompt)
	if b.Unstarted <= 0 || usual <= 0 {
		return b
	}
	one := PassLoad{Reading: e.UsualPrompt, Skew: max(l.Skew, 1)}
	each := Pass(e, one) - Pass(e, PassLoad{Skew: one.Skew})
	b.Unread = max(usual, int(e.UsualPrompt*float64(readTime(e, l, pauseGoal))/float64(each)))
	b.Prompt = usual
	return b
}

// ForRanks returns bounds by which a coordinator allots places: without a limit of unread tokens if
// routers report none. A place counts with the mean of the reported prompts if that is more than
// the usual one, as the coordinator does not know which request will use it.
func (b Bounds) ForRanks(ranks []RankLoad) Bounds {
	tokens, requests := 0, 0
	for _, r := range ranks {
		tokens, requests = tokens+r.Unread, requests+r.Unstarted
	}
	if tokens == 0 {
		b.Unread, b.Prompt = 0, 0
		return b
	}
	b.Prompt = max(b.Prompt, tokens/max(requests, 1))
	return b
}

// unread returns the unread prompt tokens of a rank. Requests that only the rank reports count like
// places.
func (b *Bounds) unread(r *RankLoad) int {
	return r.Unread + max(r.Waiting-r.Unstarted, 0)*b.Prompt
}

// unstarted returns the requests at a rank that count against Unstarted. If tokens are limited, it is
// chosen so that as many places are left as prompts may be added: at least one if there are no
// unread ones.
func (b *Bounds) unstarted(r *RankLoad) int {
	if b.Unread <= 0 || b.Unstarted <= 0 {
		return max(r.Waiting, r.Unstarted)
	}
	unread := b.unread(r)
	places := max(b.Unread-unread, 0) / b.Prompt
	if unread == 0 {
		places = max(places, 1)
	}
	return b.Unstarted - places
}

// unreadPrompts returns the unread prompts of a rank; larger ones than a place's count more if tokens
// are limited.
func (b *Bounds) unreadPrompts(r *RankLoad) float64 {
	prompts := float64(max(r.Waiting, r.Unstarted))
	if b.Unread > 0 {
		prompts = max(prompts, float64(b.unread(r))/float64(b.Prompt))
	}
	return prompts
}

// Unread returns the prompt tokens of the requests at a rank whose answers have not begun, from
// valid replies of routers. It is 0 if no router reports tokens; otherwise the requests of those
// that do not count with usual prompts.
func (b *RouterRegistry) Unread(now time.Time, engine string, usual int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, reported := 0, false
	for _, e := range b.routers {
		switch {
		case now.Sub(e.answeredAt) >= b.valid():
		case e.unread != nil:
			sum, reported = sum+e.unread[engine], true
		default:
			sum += usual * e.unstarted[engine]
		}
	}
	if !reported {
		return 0
	}
	return sum
}

// PackUnread returns the tokens in list order, in units of UnreadUnit.
func (l RankList) PackUnread(u Unread) []uint {
	if u == nil {
		return nil
	}
	out := make([]uint, len(l.Addresses))
	for i, address := range l.Addresses {
		out[i] = unreadUnits(u[address])
	}
	return out
}

// UnpackUnread returns tokens by rank address; nil if their number is not that of the list.
func (l RankList) UnpackUnread(units []uint) Unread {
	if len(units) != len(l.Addresses) || len(units) == 0 {
		return nil
	}
	out := Unread{}
	for i, n := range units {
		if n > 0 {
			out[l.Addresses[i]] = tokensOf(n)
		}
	}
	return out
}

// packUnread returns the unread tokens of ranks in units of UnreadUnit; nil if there are none.
func packUnread(ranks []RankLoad) []uint {
	var out []uint
	for i, r := range ranks {
		if r.Unread <= 0 {
			continue
		}
		if out == nil {
			out = make([]uint, len(ranks))
		}
		out[i] = unreadUnits(r.Unread)
	}
	return out
}

// unpackUnread sets the unread tokens of ranks. It ignores units that are not those of these ranks.
func unpackUnread(ranks []RankLoad, units []uint) {
	if len(units) != len(ranks) {
		return
	}
	for i, n := range units {
		ranks[i].Unread = tokensOf(n)
	}
}

// maxUnreadUnits bounds the units of an entry, so that sums of entries of a faulty process do not
// overflow.
const maxUnreadUnits = 1 << 24

func unreadUnits(tokens int) uint {
	return min(uint((max(tokens, 0)+UnreadUnit-1)/UnreadUnit), maxUnreadUnits)
}

func tokensOf(units uint) int { return int(min(units, maxUnreadUnits)) * UnreadUnit }
