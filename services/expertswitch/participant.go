// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package expertswitch

import "fawnwinch.org/fawnwinch/services"

// Participant decides for one rank which coordinator to obey. It does no I/O and reads no clock.
type Participant struct {
	promised Ballot
	// recovered reports whether the promise has been restored since the start.
	recovered bool
}

// Recover restores the promise after a start: it is the highest ballot that the engine or any other
// rank has seen.
func (p *Participant) Recover(engine Ballot, others ...Ballot) {
	p.promised = max(p.promised, engine)
	for _, o := range others {
		p.promised = max(p.promised, o)
	}
	p.recovered = true
}

// Recovered reports whether the rank may obey a coordinator yet.
func (p *Participant) Recovered() bool { return p.recovered }

// Promised returns the highest ballot the rank obeys.
func (p *Participant) Promised() Ballot { return p.promised }

// Admit returns the order for the engine, or an error if the message must not be executed. If time
// passes before the order is given, Admit must be called again.
func (p *Participant) Admit(m Message) (services.Order, error) {
	if !p.recovered || m.Ballot < p.promised || (m.Kind != KindPromise && m.Ballot != p.promised) {
		return services.Order{}, ErrOldBallot{Have: m.Ballot, Promised: p.promised}
	}
	p.promised = m.Ballot
	return m.Order(), nil
}
