// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting reads and checks the settings of a process from strict YAML.
package setting

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Process holds the identity and the addresses of a process.
type Process struct {
	// ID is the unique name of the process.
	ID string `yaml:"id" validate:"required"`
	// DataCentre is the data centre the process runs in.
	DataCentre vm.DataCentre `yaml:"data_centre" validate:"required"`
	// RPC is the host:port for calls from other fawnwinch processes.
	RPC string `yaml:"rpc" validate:"required,hostname_port"`
	// HTTP is the host:port for callers (router) or routers (agent).
	HTTP string `yaml:"http" validate:"required,hostname_port"`
	// AdvertiseRPC and AdvertiseHTTP are the addresses that others use, if they differ from those
	// above.
	AdvertiseRPC  string `yaml:"advertise_rpc,omitempty" validate:"omitempty,hostname_port"`
	AdvertiseHTTP string `yaml:"advertise_http,omitempty" validate:"omitempty,hostname_port"`
	// Heartbeat is the heartbeat interval, which is the same for all processes. A process that
	// sends none for five intervals receives no new work.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=100ms,max=10s"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"omitempty,oneof=debug info warn error"`
}

// Platform says how to reach the platform's services.
type Platform struct {
	// Address is the host:port of the platform.
	Address string `yaml:"address" validate:"required,hostname_port"`
	// Retention is how long the log keeps records.
	Retention time.Duration `yaml:"retention" validate:"required,min=1s"`
}

// Credential maps a caller's bearer token to its client account.
type Credential struct {
	Account account.ID `yaml:"account" validate:"required"`
	// TokenSHA256 is the SHA-256 of the caller's bearer token, in hex.
	TokenSHA256 string `yaml:"token_sha256" validate:"required,len=64,hexadecimal"`
	// Operator also permits use of the intent API.
	Operator bool `yaml:"operator"`
}

// Router holds the settings of a router.
type Router struct {
	Process  Process  `yaml:"process"`
	Platform Platform `yaml:"platform"`
	// Routers lists the RPC addresses of initial routers; the VM list adds others.
	Routers     []string     `yaml:"routers" validate:"dive,hostname_port"`
	Credentials []Credential `yaml:"credentials" validate:"min=1,unique=TokenSHA256,dive"`
	// AddressTTL is how long callers keep an answer about which router to use.
	AddressTTL time.Duration `yaml:"address_ttl" validate:"min=100ms,max=10m"`
	// RetryRatio and RetrySlack bound the retries of a service at all routers together, in any
	// RetryWindow: RetryRatio times the answered requests, plus RetrySlack.
	RetryRatio  float64       `yaml:"retry_ratio" validate:"gte=0,lte=1"`
	RetrySlack  float64       `yaml:"retry_slack" validate:"gte=0"`
	RetryWindow time.Duration `yaml:"retry_window" validate:"min=1s,max=10m"`
	// EjectLimit is the largest fraction of a service's groups that may be ejected for slowness.
	EjectLimit float64 `yaml:"eject_limit" validate:"gte=0,lt=1"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Process  Process  `yaml:"process"`
	Platform Platform `yaml:"platform"`
	// Routers lists the RPC addresses of initial routers; the VM list adds others.
	Routers  []string      `yaml:"routers" validate:"min=1,dive,hostname_port"`
	Upstream AgentUpstream `yaml:"upstream"`
	Once     AtMostOnce    `yaml:"once"`
}

// AgentUpstream says which upstream an agent serves.
type AgentUpstream struct {
	ID      upstream.ID  `yaml:"id" validate:"required"`
	Service service.ID   `yaml:"service" validate:"required"`
	Kind    service.Kind `yaml:"kind" validate:"required,oneof=model plain"`
	// Address is the host:port of the upstream.
	Address string `yaml:"address" validate:"required,hostname_port"`
	// ChecksFence reports whether the upstream itself rejects orders with an old fence.
	ChecksFence bool `yaml:"checks_fence"`
	// ExpertBytes is the size of one expert's weights in one layer, in bytes.
	ExpertBytes int64 `yaml:"expert_bytes" validate:"gte=0"`
	// Concurrency is the number of requests that the upstream processes concurrently.
	Concurrency int `yaml:"concurrency" validate:"min=1,max=100000"`
	// QueueLimit is the number of requests that may wait.
	QueueLimit int `yaml:"queue_limit" validate:"min=0,max=1000000"`
}

// AtMostOnce holds the settings for requests that may not be repeated.
type AtMostOnce struct {
	// Lifetime is how long a key is remembered. It is at most the log's retention, since a new
	// owner restores the keys from the log.
	Lifetime time.Duration `yaml:"lifetime" validate:"omitempty,min=1s"`
	// Batch is the minimum time between two journal appends of this agent.
	Batch time.Duration `yaml:"batch" validate:"omitempty,min=1ms,max=10s"`
	// Capacity is the number of keys an agent remembers.
	Capacity int `yaml:"capacity" validate:"gte=0"`
	// OutageAfter is how long the log must be unreachable before an owner continues without its
	// journal; 0 means never.
	OutageAfter time.Duration `yaml:"outage_after" validate:"omitempty,min=1s"`
}

// ErrInvalid reports an invalid setting, with the file, the field and its value.
type ErrInvalid struct {
	File, Field, Value, Reason string
}

func (e ErrInvalid) Error() string {
	return fmt.Sprintf("settings %s: field %s: value %q %s", e.File, e.Field, e.Value, e.Reason)
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// DefaultHeartbeat is the default heartbeat interval, chosen for the size of current deployments.
// With it, a process that sends no heartbeat receives no new work after 2 s (five intervals).
const DefaultHeartbeat = 400 * time.Millisecond

// DefaultRouter returns the settings of a router with the defaults for what a file may omit. By
// default, retries are at most a tenth of the answered requests and twenty in 10 s, and at most half
// of a service's groups are ejected for slowness.
func DefaultRouter() Router {
	return Router{
		Process:     Process{LogLevel: "info", Heartbeat: DefaultHeartbeat},
		Platform:    Platform{Retention: time.Hour},
		AddressTTL:  5 * time.Second,
		RetryRatio:  0.1,
		RetrySlack:  20,
		RetryWindow: 10 * time.Second,
		EjectLimit:  0.5,
	}
}

// DefaultAgent returns the settings of an agent with the defaults for what a file may omit.
func DefaultAgent() Agent {
	return Agent{
		Process:  Process{LogLevel: "info", Heartbeat: DefaultHeartbeat},
		Platform: Platform{Retention: time.Hour},
		Upstream: AgentUpstream{Concurrency: 64, QueueLimit: 512, ExpertBytes: 8 << 20},
		Once:     AtMostOnce{Lifetime: 10 * time.Minute, Batch: 20 * time.Millisecond, Capacity: 200000, OutageAfter: 5 * time.Second},
	}
}

// LoadRouter reads the settings of a router from a file.
func LoadRouter(path string) (Router, error) {
	s := DefaultRouter()
	err := Load(path, &s)
	return s, err
}

// LoadAgent reads the settings of an agent from a file. It also checks that the lifetime of keys is
// at most the log's retention.
func LoadAgent(path string) (Agent, error) {
	s := DefaultAgent()
	if err := Load(path, &s); err != nil {
		return s, err
	}
	if s.Once.Lifetime > s.Platform.Retention {
		return s, ErrInvalid{File: path, Field: "once.lifetime", Value: s.Once.Lifetime.String(), Reason: "is longer than platform.retention " + s.Platform.Retention.String()}
	}
	return s, nil
}

// Load reads a YAML file into a struct and validates it by its tags. It returns an ErrInvalid for
// an unknown field or an invalid value.
func Load(path string, into any) error {
	raw, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(into); err != nil {
		return ErrInvalid{File: path, Field: "document", Reason: "cannot be read: " + err.Error()}
	}
	return check(path, into)
}

func check(path string, v any) error {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return ErrInvalid{File: path, Field: "document", Reason: err.Error()}
	}
	f := fields[0]
	return ErrInvalid{File: path, Field: f.Namespace(), Value: fmt.Sprint(f.Value()), Reason: "violates rule " + f.Tag() + " " + f.Param()}
}
