// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/entry"

	"github.com/spf13/cobra"
)

// statusTimeout is the timeout of a status request: enough for a few round trips between data
// centres and a busy router.
const statusTimeout = 2 * time.Second

// newPlatformStatusCommand returns the command that shows routers' state of the model groups and
// the store.
func newPlatformStatusCommand() *cobra.Command {
	output, serviceID := "text", ""
	c := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show the model groups and the store as routers see them; ADDRESS is a router's address for other processes",
		Long: "Show which groups report their load, their coordinators, and the ranks that no coordinator reports; then the\n" +
			"services whose requests lack room, since when, and the requests waiting, rejected and late by level; then what\n" +
			"is refused because upstreams ended under it: a content of an account, or a part of prompts; then the\n" +
			"data centres that are evacuated, and how many upstreams are cold, limit their requests, rest or leave; then how\n" +
			"far each router has read the platform's store, and whether that was recently restored from a copy.\n" +
			"The exit code is 2 if ranks are unreported at a router, and 1 if a router does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, addresses []string) error {
			if output != "text" && output != "json" {
				return setting.ErrInvalid{Field: "--output", Value: output, Reason: "is neither text nor json"}
			}
			return showGroups(c.Context(), c.OutOrStdout(), addresses, service.ID(serviceID), output == "json")
		},
	}
	c.Flags().StringVarP(&output, "output", "o", output, "text or json")
	c.Flags().StringVar(&serviceID, "service", "", "only groups of this service")
	return c
}

// showGroups queries routers for the groups of a service, or of all services if it is empty, and
// prints the answers.
func showGroups(ctx context.Context, w io.Writer, addresses []string, id service.ID, asJSON bool) error {
	pool := rpc.NewPool()
	defer pool.Close()
	var all []entry.GroupsStatus
	unreported := 0
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return setting.ErrInvalid{Field: "ADDRESS", Value: address, Reason: "is not of the form host:port"}
		}
		cctx, cancel := context.WithTimeout(ctx, statusTimeout)
		var s entry.GroupsStatus
		err := pool.Call(cctx, address, "Router.Groups", id, &s)
		cancel()
		if err != nil {
			return wrap(err, "ask router "+address)
		}
		for _, c := range s.Coverage {
			unreported += len(c.Unreported)
		}
		all = append(all, s)
	}
	if asJSON {
		if err := printJSON(w, all); err != nil {
			return err
		}
	} else if err := printAll(w, all); err != nil {
		return err
	}
	if unreported > 0 {
		return errExit{exitChanges}
	}
	return nil
}

// printAll prints the groups, the shortages, the upstreams by condition, and the state of the store.
func printAll(w io.Writer, all []entry.GroupsStatus) error {
	if err := printGroups(w, all); err != nil {
		return err
	}
	if err := printShortages(w, all); err != nil {
		return err
	}
	if err := printQuarantined(w, all); err != nil {
		return err
	}
	if err := printUpstreams(w, all); err != nil {
		return err
	}
	return printStore(w, all)
}

// printShortages prints a line for each level of each service with a shortage at each router, and
// nothing if there is none.
func printShortages(w io.Writer, all []entry.GroupsStatus) error {
	if !slices.ContainsFunc(all, func(s entry.GroupsStatus) bool { return len(s.Shortages) > 0 }) {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROUTER\tSERVICE\tSHORTAGE s\tLEVEL\tWAITING\tREJECTED\tLATE")
	for _, s := range all {
		for _, short := range s.Shortages {
			for level, c := range short.Levels {
				_, _ = fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%d\t%d\t%d\n", s.Router, short.Service, short.Lasted.Seconds(), level, c.Waiting, c.Rejected, c.Late)
			}
		}
	}
	return wrap(t.Flush(), "print shortages")
}

// printQuarantined prints a line for each content and each part of prompts that a router refuses, and
// nothing if there is none.
func printQuarantined(w io.Writer, all []entry.GroupsStatus) error {
	if !slices.ContainsFunc(all, func(s entry.GroupsStatus) bool { return len(s.Quarantined) > 0 }) {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROUTER\tREFUSED\tUPSTREAMS ENDED\tSINCE s\tLEFT s\tREQUESTS\tACCOUNTS")
	for _, s := range all {
		for _, q := range s.Quarantined {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\t%.0f\t%d\t%s\n", s.Router, q.Key, q.Crashes, q.Since.Seconds(), q.Left.Seconds(), q.Requests, strings.Trim(fmt.Sprint(q.Accounts), "[]"))
		}
	}
	return wrap(t.Flush(), "print quarantine")
}

// printUpstreams prints a line for each router with the evacuated data centres and the number of
// upstreams in each condition.
func printUpstreams(w io.Writer, all []entry.GroupsStatus) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROUTER\tEVACUATED\tCOLD\tLIMITED\tRESTING\tLEAVING")
	for _, s := range all {
		evacuated := "none"
		if len(s.Evacuated) > 0 {
			evacuated = strings.Trim(fmt.Sprint(s.Evacuated), "[]")
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", s.Router, evacuated, s.Conditions[condition.KindCold], s.Conditions[condition.KindLimited],
			s.Conditions[condition.KindResting], s.Conditions[condition.KindLeaving])
	}
	return wrap(t.Flush(), "print upstreams")
}

// printStore prints a line for each router with its state of the store.
func printStore(w io.Writer, all []entry.GroupsStatus) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROUTER\tSTORE ERA\tERA AGE s\tSTATE\tVERSION\tVERIFIED ms AGO\tCATALOGS\tUPSTREAMS")
	for _, s := range all {
		state, proven := "settled", "never"
		if s.Store.Unsettled {
			state = "restored from a copy"
		}
		if s.Store.Proven {
			proven = strconv.FormatInt(s.Store.ProvenAge.Milliseconds(), 10)
		}
		switch {
		case s.Store.Unreadable:
			state += ", newer catalog unreadable"
		case s.Store.Incomplete:
			state += ", catalog incomplete"
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.0f\t%s\t%d\t%s\t%s\t%s\n", s.Router, s.Store.Era, s.Store.Since.Seconds(), state, s.Store.Version, proven, s.Store.Catalogs, s.Store.Upstreams)
	}
	return wrap(t.Flush(), "print store")
}

// printGroups prints a line for each group at each router, and one for the unreported ranks of each
// service.
func printGroups(w io.Writer, all []entry.GroupsStatus) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROUTER\tSERVICE\tGROUP\tCOORDINATOR\tAUTHORITY\tREPORTED ms AGO\tSTATE\tRANKS\tRUNNING\tWAITING\tSKEW")
	for _, s := range all {
		for _, g := range s.Groups {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%.2f\n", s.Router, g.Service, g.Group, g.Address, g.Authority,
				g.Age.Milliseconds(), groupState(g), g.Ranks, g.Running, g.Waiting, g.Skew)
		}
		for _, c := range s.Coverage {
			if len(c.Unreported) > 0 {
				_, _ = fmt.Fprintf(t, "%s\t%s\t-\tno coordinator reports %d of %d ranks: %s\n", s.Router, c.Service, len(c.Unreported), c.Listed, strings.Join(c.Unreported, " "))
			}
		}
	}
	return wrap(t.Flush(), "print groups")
}

// groupState returns the name of a group's state.
func groupState(g entry.GroupStatus) string {
	switch {
	case g.Open:
		return "open"
	case g.Whole:
		return "forming"
	default:
		return "ranks missing"
	}
}
