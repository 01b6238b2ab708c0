// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/condition"
)

var begin = time.Unix(1000, 0)

// ask returns a request of a router that has just received a limit.
func ask(rate upstream.Rate, wanted int) condition.PermitRequest {
	return condition.PermitRequest{Run: upstream.Run{ID: "u"}, Limit: condition.WireLimit{Known: true, Named: rate >= 0, Rate: max(rate, 0)}, Wanted: wanted}
}

// TestGive has routers ask as often as they may and counts the permits: their rate must be close to
// the limit, without large bursts.
func TestGive(t *testing.T) {
	cases := map[string]struct {
		rate upstream.Rate
		// every is the time between two requests for permits.
		every  time.Duration
		wanted int
		want   float64
	}{
		"one a second":                {1, 50 * time.Millisecond, 1, 1},
		"one in five seconds":         {0.2, 50 * time.Millisecond, 1, 0.2},
		"many":                        {50, 10 * time.Millisecond, 4, 50},
		"few want many":               {1000, time.Second, 2, 2},
		"a limit of nothing":          {0, 50 * time.Millisecond, 1, float64(minRate)},
		"a limit beyond all measures": {1e12, 50 * time.Millisecond, 8, 160},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const last = 100 * time.Second
			l, given, most := NewLedger(), 0, 0
			for at := time.Duration(0); at < last; at += c.every {
				n := l.Grant(begin.Add(at), ask(c.rate, c.wanted), 1).Given
				given, most = given+n, max(most, n)
			}
			if got := float64(given) / last.Seconds(); got > c.want*1.01 || got < c.want*0.85 {
				t.Errorf("%.2f permits a second, want %.2f", got, c.want)
			}
			if most > c.wanted {
				t.Errorf("%d permits at once, %d were wanted", most, c.wanted)
			}
		})
	}
}

// TestBegin checks that a router that takes over has no permits at first: its predecessor may have
// granted them already.
func TestBegin(t *testing.T) {
	l := NewLedger()
	r := l.Grant(begin, ask(1, 1), 1)
	if r.Given != 0 || r.Again != time.Second {
		t.Errorf("granted %d, retry after %s, want a permit after a second", r.Given, r.Again)
	}
	if r := l.Grant(begin.Add(r.Again), ask(1, 1), 1); r.Given != 1 {
		t.Errorf("granted %d after a second, want 1", r.Given)
	}
}

// TestRetryTimes checks that routers without a permit get different retry times, and that none
// waits for long.
func TestRetryTimes(t *testing.T) {
	l, retryTimes := NewLedger(), map[time.Duration]int{}
	for range 100 {
		retryTimes[l.Grant(begin, ask(2, 1), 1).Again]++
	}
	for after := 500 * time.Millisecond; after < maxRetryAfter; after += 500 * time.Millisecond {
		if retryTimes[after] != 1 {
			t.Errorf("%d routers got the retry time %s, want 1", retryTimes[after], after)
		}
	}
	if retryTimes[maxRetryAfter] != 93 {
		t.Errorf("%d routers got the retry time %s, want all others", retryTimes[maxRetryAfter], maxRetryAfter)
	}
}

// TestEnded checks that routers learn from the permit grantor that a limit has ended, and that it
// applies again.
func TestEnded(t *testing.T) {
	l := NewLedger()
	l.Grant(begin, ask(1, 1), 1)
	end := condition.PermitRequest{Run: upstream.Run{ID: "u"}, Limit: condition.WireLimit{Known: true}}
	old := ask(1, 1)
	old.Limit.SentAge, old.Limit.HeardAge = 2*time.Second, 2*time.Second
	if r := l.Grant(begin.Add(100*time.Millisecond), end, 1); !r.Limit.Named {
		t.Error("an end that may be older than the limit has ended it")
	}
	if r := l.Grant(begin.Add(time.Second), end, 1); r.Limit.Named || r.Given != 0 {
		t.Errorf("the limit is in force after its end, or %d permits were granted without a request for any", r.Given)
	}
	if r := l.Grant(begin.Add(time.Second), old, 1); r.Limit.Named || r.Given != 1 {
		t.Errorf("a router with an old record of the limit got: limit in force %t, %d permits; want false, 1", r.Limit.Named, r.Given)
	}
	if r := l.Grant(begin.Add(3*time.Second), ask(1, 1), 1); !r.Limit.Named || r.Given != 0 {
		t.Errorf("the limit is in force again: %t, want true; %d permits were granted, want 0", r.Limit.Named, r.Given)
	}
}

// TestSweep checks that unused accounts are dropped.
func TestSweep(t *testing.T) {
	l := NewLedger()
	l.Grant(begin, ask(1, 1), 1)
	l.Sweep(begin.Add(unusedRetention))
	l.Sweep(begin.Add(unusedRetention + 1))
	if n := len(l.accounts); n != 0 {
		t.Errorf("%d accounts are left", n)
	}
}

// ExampleLedger_Grant shows a router that gets a permit, and one that gets a retry time.
func ExampleLedger_Grant() {
	l := NewLedger()
	question := condition.PermitRequest{Run: upstream.Run{ID: "i-1"}, Limit: condition.WireLimit{Known: true, Named: true, Rate: 2}, Wanted: 1}
	l.Grant(begin, question, 1)
	fmt.Println(l.Grant(begin.Add(time.Second), question, 1).Given)
	fmt.Println(l.Grant(begin.Add(time.Second), question, 1).Again)
	// Output:
	// 1
	// 250ms
}

// TestColdUpstream replays routers that send all their requests to an upstream which has just come
// back cold and looks idle. In any second, the permits stay below what the users allow: one and a
// half times its rate, plus five.
func TestColdUpstream(t *testing.T) {
	const overage, slack = 1.5, 5
	for routers := range 4 {
		n := []int{1, 14, 70, 531}[routers]
		for _, rate := range []upstream.Rate{2, 17, 90} {
			l := NewLedger()
			cold := condition.WireColdness{Rate: rate}
			nextAsk := make([]time.Duration, n)
			var given []time.Duration
			const coldFor = 3 * time.Second
			for at := time.Duration(0); at < coldFor; at += 5 * time.Millisecond {
				cold.Left = coldFor - at
				for i := range nextAsk {
					if at < nextAsk[i] {
						continue
					}
					reply := l.Grant(begin.Add(at), condition.PermitRequest{Run: upstream.Run{ID: "u"}, Cold: cold, Wanted: 4}, 1)
					nextAsk[i] = at + max(reply.Again, 5*time.Millisecond)
					for range reply.Given {
						given = append(given, at)
					}
				}
			}
			for i := range given {
				last := i
				for last < len(given) && given[last] < given[i]+time.Second {
					last++
				}
				if got, most := last-i, float64(rate)*overage+slack; float64(got) > most {
					t.Fatalf("%d routers, rate %v: %d permits in a second, want at most %.0f", n, rate, got, most)
				}
			}
			if got, want := float64(len(given)), float64(rate)*coldFor.Seconds()*0.8; got < want {
				t.Errorf("%d routers, rate %v: %.0f permits in %s, want %.0f or more", n, rate, got, coldFor, want)
			}
			if reply := l.Grant(begin.Add(coldFor+time.Second), condition.PermitRequest{Run: upstream.Run{ID: "u"}, Wanted: 9}, 1); reply.Given != 9 {
				t.Errorf("%d permits after the cold time, 9 were wanted", reply.Given)
			}
		}
	}
}
