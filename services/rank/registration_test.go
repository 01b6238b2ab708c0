// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"errors"
	"net/rpc"
	"testing"

	"fawnwinch.org/fawnwinch/services/peer"
)

// registerStore counts the registrations made without a router.
type registerStore struct {
	claimStore
	calls int
	err   error
}

func (s *registerStore) PutNodes(context.Context, []peer.Info) error {
	s.calls++
	return s.err
}

// TestRegister checks through whom an agent registers while routers or the store fail.
func TestRegister(t *testing.T) {
	silent, away := errors.New("silent"), rpc.ServerError("store is away")
	cases := map[string]struct {
		seeds []string
		// answers are those of the routers, one for each call; the last one repeats.
		answers []error
		store   error
		// tries is the number of tries until the agent is registered; 0 if it is not within ten.
		tries int
		// calls are the calls of the store that the agent makes itself.
		calls int
	}{
		"through a router":                       {[]string{"a"}, []error{nil}, nil, 1, 0},
		"through the second router":              {[]string{"a", "b"}, []error{silent, nil}, nil, 1, 0},
		"no router answers":                      {[]string{"a", "b"}, []error{silent}, nil, 1, 1},
		"no seeds":                               {nil, nil, nil, 1, 1},
		"the router is cut off from the store":   {[]string{"a"}, []error{away}, nil, 2, 1},
		"the store is back after a while":        {[]string{"a"}, []error{away, away, nil}, silent, 5, 2},
		"nobody reaches the store":               {[]string{"a"}, []error{away}, silent, 0, 5},
		"no router answers, and the store fails": {[]string{"a"}, []error{silent}, silent, 0, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &registerStore{err: c.store}
			a := claimAgent(s)
			a.opts.Seeds = c.seeds
			asked := 0
			a.opts.Pool = callFunc(func(method string) error {
				if method != "Router.RegisterAgent" {
					t.Errorf("called %s", method)
				}
				asked++
				return c.answers[min(asked, len(c.answers))-1]
			})
			tries := 0
			for i := range 10 {
				if a.register(t.Context()) == nil {
					tries = i + 1
					break
				}
			}
			if tries != c.tries || s.calls != c.calls {
				t.Errorf("registered after %d tries with %d own calls of the store, want %d and %d", tries, s.calls, c.tries, c.calls)
			}
		})
	}
}
