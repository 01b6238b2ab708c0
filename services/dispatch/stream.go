// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/membership"

	"github.com/rotisserie/eris"
)

// chunk holds the fields of a streamed event that are checked.
type chunk struct {
	ID    string `json:"id"`
	Token int    `json:"token"`
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

var (
	errCut        = eris.New("stream ended without the [DONE] marker")
	errForeign    = eris.New("event of another request")
	errGap        = eris.New("token out of order")
	errCallerGone = eris.New("caller is gone")
)

// progress records how much of a stream the caller has received.
type progress struct {
	next int
	done bool
}

// doStream forwards a streamed request. A stream that breaks off is resumed at another upstream
// after the last token that the caller has received.
func (d *Dispatcher) doStream(ctx context.Context, r *Request, sink Sink) Result {
	tried := map[upstream.ID]bool{}
	p := &progress{}
	last := Result{Outcome: request.OutcomeNotRun, Reason: ReasonNoUpstream}
	var a attempts
	for n := 1; n <= maxAttempts; n++ {
		e, ok := d.next(r, tried)
		if !ok {
			break
		}
		tried[e.Beat.Upstream] = true
		out := d.streamOnce(ctx, e, r, p, sink)
		d.dir.Done(clock.Now(), e.Beat.Upstream)
		d.trace(r, e, out)
		last = out.result(n, e)
		if p.done || out.kind == kindAnswered || out.kind == kindGone || ctx.Err() != nil || !a.mayRetry(d, r, out) {
			break
		}
	}
	if p.next > 0 && !p.done {
		last.Outcome, last.Status = request.OutcomeUnknown, 0
	}
	return last
}

func (d *Dispatcher) streamOnce(ctx context.Context, e membership.Entry, r *Request, p *progress, sink Sink) attemptEnd {
	body, err := resumeBody(r.Body, p.next)
	if err != nil {
		return attemptEnd{kind: kindNotSent, reason: err.Error()}
	}
	d.dir.StreamStarted(clock.Now(), e.Beat.Upstream)
	defer d.dir.StreamEnded(e.Beat.Upstream)
	sink = &progressSink{Sink: sink, dir: d.dir, upstream: e.Beat.Upstream}
	resp, end := d.open(ctx, e, r, attemptOptions{body: body})
	if resp == nil {
		return end
	}
	defer func() { _ = resp.Body.Close() }()
	end = classify(resp, r.ID)
	if end.kind != kindAnswered {
		return end
	}
	if !streaming(resp) || resp.StatusCode != http.StatusOK {
		return readUnstreamed(ctx, resp, end)
	}
	if err := p.copy(resp, r.ID, sink); err != nil {
		if errors.Is(err, errCallerGone) {
			return attemptEnd{kind: kindGone, reason: err.Error()}
		}
		return broken(ctx, err)
	}
	return end
}

// progressInterval is the minimum time between two progress reports of one stream.
const progressInterval = 20 * time.Millisecond

// progressSink reports the progress of a stream to the directory.
type progressSink struct {
	Sink

	dir        *directory.Directory
	upstream   upstream.ID
	reportedAt time.Time
}

// Part sends one event to the underlying sink.
func (w *progressSink) Part(event []byte) error {
	if now := clock.Now(); now.Sub(w.reportedAt) >= progressInterval {
		w.reportedAt = now
		w.dir.StreamProgress(now, w.upstream)
	}
	return w.Sink.Part(event)
}

// readUnstreamed reads the complete answer of an upstream that did not stream, such as an error.
func readUnstreamed(ctx context.Context, resp *http.Response, end attemptEnd) attemptEnd {
	var b bytes.Buffer
	if _, err := b.ReadFrom(http.MaxBytesReader(nil, resp.Body, request.MaxBody)); err != nil {
		return broken(ctx, err)
	}
	end.body = b.Bytes()
	return end
}

// copy passes events on as long as they belong to the request and their tokens are consecutive.
func (p *progress) copy(resp *http.Response, id request.ID, sink Sink) error {
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, 4096), maxEvent)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			p.done = true
			return wrapSink(sink.Part(event(data)))
		}
		if err := p.pass(data, id, sink); err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return fmt.Errorf("read stream: %w", errCut)
}

func (p *progress) pass(data []byte, id request.ID, sink Sink) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("read event: %w", err)
	}
	if c.ID != string(id) {
		return fmt.Errorf("event %q: %w", c.ID, errForeign)
	}
	if c.Token != p.next {
		return fmt.Errorf("token %d, expected %d: %w", c.Token, p.next, errGap)
	}
	if err := wrapSink(sink.Part(event(data))); err != nil {
		return err
	}
	p.next++
	return nil
}

func wrapSink(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errCallerGone, err)
}

func event(data []byte) []byte {
	out := make([]byte, 0, len(dataPrefix)+len(data)+2)
	out = append(out, dataPrefix...)
	out = append(out, data...)
	return append(out, '\n', '\n')
}

// resumeBody returns the request body that resumes the stream at token index from.
func resumeBody(body []byte, from int) ([]byte, error) {
	if from == 0 {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	fields["resume_from"] = json.RawMessage(fmt.Sprint(from))
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("write request body: %w", err)
	}
	return out, nil
}
