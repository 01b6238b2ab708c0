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

// operatorFlags are the flags of commands that ask a router.
type operatorFlags struct {
	routers string
	token   string
	output  string
}

// tokenVariable is the environment variable that holds the operator's token.
const tokenVariable = "FAWNWINCH_TOKEN"

func (o *operatorFlags) add(c *cobra.Command) {
	f := c.Flags()
	f.StringVarP(&o.routers, "router", "r", "127.0.0.1:7001", "router addresses to ask in turn, with commas between")
	f.StringVar(&o.token, "token", os.Getenv(tokenVariable), "bearer token (default from "+tokenVariable+")")
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
}

// check refuses an unknown output format.
func (o *operatorFlags) check() error {
	if o.output != "text" && o.output != "json" {
		return fmt.Errorf("flag --output: value %q is neither text nor json", o.output)
	}
	return nil
}

// maxAnswer bounds an answer of a router, in bytes.
const maxAnswer = 64 << 20

// answer is what a router said.
type answer struct {
	status int
	body   []byte
}

// ask sends a request to the first router that can be reached. A request that may have been taken
// is not sent to another one.
func (o *operatorFlags) ask(ctx context.Context, method, path string, body []byte) (answer, error) {
	var last error
	for _, address := range strings.Split(o.routers, ",") {
		a, err := o.askOne(ctx, address, method, path, body)
		if err == nil || !httpx.NotSent(err) {
			return a, err
		}
		last = err
	}
	return answer{}, last
}

// operatorTimeout bounds one call of an operator command.
const operatorTimeout = 15 * time.Second

func (o *operatorFlags) askOne(ctx context.Context, address, method, path string, body []byte) (answer, error) {
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

// errAnswer reports an answer that is not a success.
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

// get asks for a JSON document.
func (o *operatorFlags) get(ctx context.Context, path string, v any) error {
	a, err := o.ask(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.err()
	}
	return wrap(json.Unmarshal(a.body, v), "read answer")
}

// printJSON writes v for other programs to read.
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
