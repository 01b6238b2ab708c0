// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services/quarantine"

	"github.com/spf13/cobra"
)

// digestBits is the size of a digest, which is written in hexadecimal digits.
const digestBits = 64

// newPlatformReleaseCommand returns the command that ends the refusal of a content or a part of
// prompts.
func newPlatformReleaseCommand() *cobra.Command {
	var serviceID, part, accountID, digest string
	c := &cobra.Command{
		Use:   "release ADDRESS",
		Short: "Serve again what is refused because upstreams ended under it; ADDRESS is a router's address for other processes",
		Long: "End the refusal of a part of the prompts of a service (--service, --part), or of a content of a client account\n" +
			"(--account, --digest), as 'platform status' shows them. The other routers learn it within seconds. If upstreams end\n" +
			"under it again, it is refused again. The exit code is 2 if it was not refused.",
		Example: "  fawnwinch platform release 10.1.0.40:7340 --service arbiter-llm --part 91bd3f06",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			k, err := releaseKey(serviceID, part, accountID, digest)
			if err != nil {
				return err
			}
			released, err := release(c.Context(), args[0], k)
			if err != nil {
				return err
			}
			if !released {
				_, _ = fmt.Fprintf(c.OutOrStdout(), "%s was not refused\n", k)
				return errExit{exitChanges}
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s is served again\n", k)
			return wrap(err, "print")
		},
	}
	c.Flags().StringVar(&serviceID, "service", "", "service of the part")
	c.Flags().StringVar(&part, "part", "", "part of prompts")
	c.Flags().StringVar(&accountID, "account", "", "client account of the content")
	c.Flags().StringVar(&digest, "digest", "", "digest of the content, in hexadecimal digits")
	return c
}

// releaseKey returns the key that the flags name.
func releaseKey(serviceID, part, accountID, digest string) (quarantine.Key, error) {
	switch {
	case part != "" && digest != "":
		return quarantine.Key{}, setting.ErrInvalid{Field: "--digest", Value: digest, Reason: "cannot be given beside --part"}
	case part != "" && serviceID == "":
		return quarantine.Key{}, setting.ErrInvalid{Field: "--service", Value: serviceID, Reason: "is required with --part"}
	case part != "":
		// A part is known by its form in requests, as if another one followed.
		parts := prompt.SharedParts([]string{part, ""})
		if len(parts) == 0 {
			return quarantine.Key{}, setting.ErrInvalid{Field: "--part", Value: part, Reason: "is blank"}
		}
		return quarantine.PartKey(service.ID(serviceID), parts[0]), nil
	}
	d, err := strconv.ParseUint(digest, 16, digestBits)
	if err != nil {
		return quarantine.Key{}, setting.ErrInvalid{Field: "--digest", Value: digest, Reason: "is not a digest in hexadecimal digits"}
	}
	return quarantine.ContentKey(account.ID(accountID), request.Digest(d)), nil
}

// release asks a router to end the refusal of a key, and reports whether it was refused there.
func release(ctx context.Context, address string, k quarantine.Key) (bool, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return false, setting.ErrInvalid{Field: "ADDRESS", Value: address, Reason: "is not of the form host:port"}
	}
	pool := rpc.NewPool()
	defer pool.Close()
	cctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	released := false
	if err := pool.Call(cctx, address, "Router.Release", k, &released); err != nil {
		return false, wrap(err, "ask router "+address)
	}
	return released, nil
}
