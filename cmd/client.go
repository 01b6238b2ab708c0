// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/modules/httpx"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// operatorFlags are the flags of commands that send requests to a router.
type operatorFlags struct {
	routers string
	token   string
	output  string
}

// tokenVariable is the environment variable that holds the operator's token.
const tokenVariable = "FAWNWINCH_TOKEN"

func (o *operatorFlags) add(c *cobra.Command) {
	f := c.Flags()
	f.StringVarP(&o.routers, "router", "r", "127.0.0.1:7001", "comma-separated router addresses, tried in order")
	f.StringVar(&o.token, "token", os.Getenv(tokenVariable), "bearer token (default from "+tokenVariable+")")
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
}

// check rejects an unknown output format.
func (o *operatorFlags) check() error {
	if o.output != "text" && o.output != "json" {
		return fmt.Errorf("flag --output: value %q is neither text nor json", o.output)
	}
	return nil
}

// maxAnswer is the maximum size of a router's answer, in bytes.
const maxAnswer = 64 << 20

// answer is the response of a router.
type answer struct {
	status int
	body   []byte
}

// send sends a request to the first router that can be reached. A request that a router may have
// received is not sent to another one.
func (o *operatorFlags) send(ctx context.Context, method, path string, body []byte) (answer, error) {
	var last error
	for _, address := range strings.Split(o.routers, ",") {
		a, err := o.sendTo(ctx, address, method, path, body)
		if err == nil || !httpx.NotSent(err) {
			return a, err
		}
		last = err
	}
	return answer{}, last
}

// operatorTimeout is the timeout of one request of an operator command.
const operatorTimeout = 15 * time.Second

func (o *operatorFlags) sendTo(ctx context.Context, address, method, path string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("flag --router: value %q: %w", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("ask router %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := httpx.ReadAll(resp.Body, maxAnswer)
	if err != nil {
		return answer{}, fmt.Errorf("ask router %s: %w", address, err)
	}
	return answer{status: resp.StatusCode, body: raw}, nil
}

// err returns the error for an answer that is not a success.
func (a answer) err() error {
	var p struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(a.body, &p) == nil && p.Error.Message != "" {
		return fmt.Errorf("router answered %d: %s", a.status, p.Error.Message)
	}
	return fmt.Errorf("router answered %d: %s", a.status, a.body)
}

// get requests a JSON document and decodes it into v.
func (o *operatorFlags) get(ctx context.Context, path string, v any) error {
	a, err := o.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.err()
	}
	return wrap(json.Unmarshal(a.body, v), "read answer")
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return wrap(e.Encode(v), "write json")
}

// readInput reads a file, or standard input for "-".
func readInput(c *cobra.Command, path string) ([]byte, error) {
	if path == "" {
		return nil, eris.New("flag --file: is missing")
	}
	if path == "-" {
		raw, err := io.ReadAll(c.InOrStdin())
		return raw, wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	return raw, wrap(err, "read file")
}
