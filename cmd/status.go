// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/routers"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/expertswitch"

	"github.com/spf13/cobra"
)

func newStatusCommand() *cobra.Command {
	var o operatorFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Show every process with its revision, load and state",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			var s directory.Status
			if err := o.get(c.Context(), "/api/v1/status", &s); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c.OutOrStdout(), s)
			}
			return printStatus(c.OutOrStdout(), s)
		},
	}
	o.add(c)
	return c
}

func printStatus(w io.Writer, s directory.Status) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "PROCESS\tROLE\tDATA CENTRE\tSTATE\tREVISION\tIN FLIGHT\tQUEUED\tSTEP ms\tMAP ROUND\tSKEW\tSLICES\n")
	for _, p := range s.Processes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%d\t%.2f\t%d\n", p.ID, p.Role, p.DataCentre, p.State, p.Revision,
			p.InFlight, p.Queued, float64(p.StepMicros)/float64(time.Millisecond/time.Microsecond), expertswitch.Counter(expertswitch.Ballot(p.Map)), p.Skew, p.Slices)
	}
	return wrap(t.Flush(), "print status")
}

func newTimelineCommand() *cobra.Command {
	var o operatorFlags
	var since, every time.Duration
	var f struct{ request, group, kind string }
	var follow bool
	c := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in one causal order",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			from := clock.Now().Add(-since)
			for {
				q := url.Values{"since": {from.Format(time.RFC3339Nano)}, "request": {f.request}, "group": {f.group}, "kind": {f.kind}}
				var a routers.TimelineAnswer
				if err := o.get(c.Context(), "/api/v1/timeline?"+q.Encode(), &a); err != nil {
					return err
				}
				if err := printTimeline(c, &o, a); err != nil || !follow {
					return err
				}
				if n := len(a.Events); n > 0 {
					from = time.UnixMicro(a.Events[n-1].Stamp.Micros + 1)
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(every):
				}
			}
		},
	}
	o.add(c)
	fl := c.Flags()
	fl.DurationVar(&since, "since", 5*time.Minute, "how far to look back")
	fl.StringVar(&f.request, "request", "", "only events of this request id")
	fl.StringVar(&f.group, "group", "", "only events of this group")
	fl.StringVar(&f.kind, "kind", "", "only events of this kind")
	fl.BoolVar(&follow, "follow", false, "keep printing new events")
	fl.DurationVar(&every, "every", time.Second, "poll interval with --follow")
	return c
}

func printTimeline(c *cobra.Command, o *operatorFlags, a routers.TimelineAnswer) error {
	if o.output == "json" {
		return printJSON(c.OutOrStdout(), a)
	}
	for _, e := range a.Events {
		if _, err := fmt.Fprintln(c.OutOrStdout(), e.Line()); err != nil {
			return wrap(err, "print time line")
		}
	}
	for _, s := range a.Silent {
		_, _ = fmt.Fprintln(c.ErrOrStderr(), "no answer from", s)
	}
	return nil
}

func newEndpointsCommand() *cobra.Command {
	var o operatorFlags
	var near string
	c := &cobra.Command{
		Use:   "endpoints",
		Short: "Show which routers a caller should use, best first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			var a struct {
				TTLMillis int64    `json:"ttl_ms"`
				Routers   []string `json:"routers"`
			}
			if err := o.get(c.Context(), "/api/v1/endpoints?near="+url.QueryEscape(near), &a); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c.OutOrStdout(), a)
			}
			for _, r := range a.Routers {
				if _, err := fmt.Fprintln(c.OutOrStdout(), r); err != nil {
					return wrap(err, "print endpoints")
				}
			}
			return nil
		},
	}
	o.add(c)
	c.Flags().StringVar(&near, "near", "", "data centre of the caller")
	return c
}
