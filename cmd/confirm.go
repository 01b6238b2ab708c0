// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/routers"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
)

// inForceTimeout is the maximum wait for a revision to be in force at all processes.
const inForceTimeout = 10 * time.Second

// confirmPollInterval is the interval at which the status is polled.
const confirmPollInterval = 200 * time.Millisecond

func newConfirmCommand() *cobra.Command {
	var o operatorFlags
	var file, planFile, id string
	c := &cobra.Command{
		Use:   "confirm (-f intent.yaml | --plan plan.json | --id ID)",
		Short: "Put a planned intent in force, and wait until all processes apply it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			if file == "" && planFile == "" && id != "" {
				return queryConfirmation(c, &o, intent.ConfirmID(id))
			}
			p, err := loadPlan(c, &o, file, planFile)
			if err != nil {
				return err
			}
			if id == "" {
				id = uuid.NewString()
			}
			return confirmPlan(c, &o, intent.ConfirmID(id), p)
		},
	}
	o.add(c)
	c.Flags().StringVarP(&file, "file", "f", "", "intent file to plan and confirm at once, or - for standard input")
	c.Flags().StringVar(&planFile, "plan", "", "plan file written by plan --out")
	c.Flags().StringVar(&id, "id", "", "id of the confirmation; without -f and --plan: show its outcome")
	return c
}

func loadPlan(c *cobra.Command, o *operatorFlags, file, planFile string) (intent.Plan, error) {
	if planFile == "" {
		raw, err := readInput(c, file)
		if err != nil {
			return intent.Plan{}, err
		}
		return makePlan(c, o, raw)
	}
	var p intent.Plan
	raw, err := os.ReadFile(planFile) //nolint:gosec // the operator names the file
	if err != nil {
		return p, wrap(err, "read plan")
	}
	return p, wrap(json.Unmarshal(raw, &p), "read plan "+planFile)
}

func writeJSONFile(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return wrap(err, "write plan")
	}
	return wrap(os.WriteFile(path, append(raw, '\n'), 0o600), "write plan")
}

func confirmPlan(c *cobra.Command, o *operatorFlags, id intent.ConfirmID, p intent.Plan) error {
	if len(p.Changes) == 0 {
		_, err := fmt.Fprintf(c.OutOrStdout(), "no changes against revision %d\n", p.Base)
		return wrap(err, "print")
	}
	body, err := json.Marshal(routers.Confirmation{ID: id, Plan: p})
	if err != nil {
		return wrap(err, "write confirmation")
	}
	a, err := o.send(c.Context(), http.MethodPost, "/api/v1/plans/confirm", body)
	if err != nil {
		return fmt.Errorf("outcome unknown, ask again with confirm --id %s: %w", id, err)
	}
	return handleConfirmation(c, o, a)
}

func queryConfirmation(c *cobra.Command, o *operatorFlags, id intent.ConfirmID) error {
	a, err := o.send(c.Context(), http.MethodGet, "/api/v1/confirmations/"+string(id), nil)
	if err != nil {
		return err
	}
	return handleConfirmation(c, o, a)
}

func handleConfirmation(c *cobra.Command, o *operatorFlags, a answer) error {
	var ca routers.ConfirmationAnswer
	if err := json.Unmarshal(a.body, &ca); err != nil || ca.ID == "" {
		return a.err()
	}
	switch ca.Outcome.Verdict {
	case configlog.VerdictRejected:
		for _, ch := range ca.Changes {
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "would change now: %s %s\n", ch.Action, ch.Field)
		}
		return fmt.Errorf("rejected: revision %d is in force: %s", ca.Outcome.Revision, ca.Message)
	case configlog.VerdictUnknown:
		return fmt.Errorf("outcome unknown, ask again with confirm --id %s", ca.ID)
	case configlog.VerdictAccepted:
	}
	return awaitInForce(c, o, ca)
}

// awaitInForce waits until every live process has a revision in force. On timeout it lists the
// processes that do not.
func awaitInForce(c *cobra.Command, o *operatorFlags, ca routers.ConfirmationAnswer) error {
	ctx, cancel := context.WithTimeout(c.Context(), inForceTimeout)
	defer cancel()
	var s directory.Status
	_, _ = fmt.Fprintf(c.ErrOrStderr(), "accepted as revision %d, waiting until it is in force everywhere\n", ca.Outcome.Revision)
	for ctx.Err() == nil {
		if err := o.get(ctx, "/api/v1/status", &s); err == nil && s.HasRevision(ca.Outcome.Revision) {
			if o.output == "json" {
				return printJSON(c.OutOrStdout(), ca)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "accepted: revision %d is in force at %d processes\n", ca.Outcome.Revision, len(s.Processes))
			return wrap(err, "print")
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmPollInterval):
		}
	}
	for _, p := range s.Processes {
		if p.Revision < ca.Outcome.Revision {
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "not yet in force: %s %s has revision %d\n", p.Role, p.ID, p.Revision)
		}
	}
	return fmt.Errorf("accepted as revision %d, but not seen in force everywhere within %s", ca.Outcome.Revision, inForceTimeout)
}
