// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services/entry"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/relay"
)

// TestReleaseKey checks which keys the flags of the command name, and which field an error names.
func TestReleaseKey(t *testing.T) {
	cases := map[string]struct {
		service, part, account, digest string
		want                           quarantine.Key
		field                          string
	}{
		"a part":                {"m", "91BD3F06 ", "", "", quarantine.PartKey("m", "91bd3f06"), ""},
		"a content":             {"", "", "x", "00ff", quarantine.ContentKey("x", 255), ""},
		"without an account":    {"", "", "", "1", quarantine.ContentKey("", 1), ""},
		"a part of no service":  {"", "a", "", "", quarantine.Key{}, "--service"},
		"a blank part":          {"m", " ", "", "", quarantine.Key{}, "--part"},
		"a part and a content":  {"m", "a", "x", "1", quarantine.Key{}, "--digest"},
		"neither":               {"m", "", "x", "", quarantine.Key{}, "--digest"},
		"a digest of no digits": {"", "", "x", "0x1", quarantine.Key{}, "--digest"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := releaseKey(c.service, c.part, c.account, c.digest)
			var invalid setting.ErrInvalid
			if got != c.want || errors.As(err, &invalid) != (c.field != "") || invalid.Field != c.field {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
	if _, err := release(t.Context(), "nowhere", quarantine.Key{}); err == nil {
		t.Error("no error for an address without a port")
	}
}

// TestPrintQuarantined checks the lines of what is refused.
func TestPrintQuarantined(t *testing.T) {
	s := entry.GroupsStatus{Router: "a", Quarantined: []relay.QuarantineStatus{
		{Key: quarantine.ContentKey("x", 255), Since: time.Second, Left: time.Minute, Crashes: 3, Requests: 2, Accounts: []account.ID{"x"}},
		{Key: quarantine.PartKey("m", "91bd3f06"), Since: 90 * time.Second, Left: 510 * time.Second, Crashes: 2, Requests: 7, Accounts: []account.ID{"x", "y"}},
	}}
	var out bytes.Buffer
	if err := printQuarantined(&out, []entry.GroupsStatus{{Router: "b"}, s}); err != nil {
		t.Fatal(err)
	}
	want := `ROUTER  REFUSED                                UPSTREAMS ENDED  SINCE s  LEFT s  REQUESTS  ACCOUNTS
a       content 00000000000000ff of account x  3                1        60      2         x
a       part 91bd3f06 of service m             2                90       510     7         x y
`
	if got := out.String(); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
	out.Reset()
	if err := printQuarantined(&out, []entry.GroupsStatus{{Router: "b"}}); err != nil || out.Len() > 0 {
		t.Errorf("printed %q, %v although nothing is refused", out.String(), err)
	}
}
