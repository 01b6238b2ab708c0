// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"fawnwinch.org/fawnwinch/models/intent"

	"github.com/spf13/cobra"
)

func newPlanCommand() *cobra.Command {
	var o operatorFlags
	var file, out string
	c := &cobra.Command{
		Use:   "plan -f intent.yaml",
		Short: "Show what a sharing intent would change; exit code 2 if there are changes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			raw, err := readInput(c, file)
			if err != nil {
				return err
			}
			p, err := makePlan(c, &o, raw)
			if err != nil {
				return err
			}
			return showPlan(c, &o, p, out)
		},
	}
	o.add(c)
	c.Flags().StringVarP(&file, "file", "f", "", "intent file, or - for standard input")
	c.Flags().StringVar(&out, "out", "", "file to write the plan to, for confirm --plan")
	return c
}

func makePlan(c *cobra.Command, o *operatorFlags, raw []byte) (intent.Plan, error) {
	var p intent.Plan
	a, err := o.send(c.Context(), http.MethodPost, "/api/v1/plans", raw)
	if err != nil {
		return p, err
	}
	if a.status != http.StatusOK {
		return p, a.err()
	}
	return p, wrap(json.Unmarshal(a.body, &p), "read plan")
}

func showPlan(c *cobra.Command, o *operatorFlags, p intent.Plan, out string) error {
	if out != "" {
		if err := writeJSONFile(out, p); err != nil {
			return err
		}
	}
	if o.output == "json" {
		if err := printJSON(c.OutOrStdout(), p); err != nil {
			return err
		}
	} else if err := printPlan(c.OutOrStdout(), p); err != nil {
		return err
	}
	if len(p.Changes) > 0 {
		return errExit{code: exitChanges}
	}
	return nil
}

// actionSigns maps the actions of a plan to the signs that mark them in the output.
var actionSigns = map[intent.Action]string{intent.ActionAdd: "+", intent.ActionRemove: "-", intent.ActionSet: "~"}

func printPlan(w io.Writer, p intent.Plan) error {
	if len(p.Changes) == 0 {
		_, err := fmt.Fprintf(w, "no changes against revision %d\n", p.Base)
		return wrap(err, "print plan")
	}
	for _, ch := range p.Changes {
		line := fmt.Sprintf("%s %s", actionSigns[ch.Action], ch.Field)
		switch ch.Action {
		case intent.ActionAdd:
			line += " = " + ch.After
		case intent.ActionRemove:
			line += " (was " + ch.Before + ")"
		case intent.ActionSet:
			line += ": " + ch.Before + " -> " + ch.After
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return wrap(err, "print plan")
		}
	}
	_, err := fmt.Fprintf(w, "%d changes against revision %d: %d upstreams opened, %d closed, %d accounts affected\n",
		len(p.Changes), p.Base, p.Cost.UpstreamsOpened, p.Cost.UpstreamsClosed, p.Cost.AccountsAffected)
	return wrap(err, "print plan")
}
