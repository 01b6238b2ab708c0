// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpconn holds client connections for HTTP/1.1. It never sends a request a second time by
// itself: the caller decides what may be repeated.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connection attempt to an upstream. Data centres are a few milliseconds
	// apart.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may remain unacknowledged before the connection is
	// aborted: a VM that lost power sends nothing, not even a reset.
	unackedTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is in milliseconds.
	tcpUserTimeout = 18
	// maxInlineWrite is the largest request, in bytes, that is written before the answer is read. It
	// fits the windows of the links; a larger one is written in a separate goroutine, so that an
	// early answer is noticed.
	maxInlineWrite = 16 << 10
	readBuffer     = 4 << 10
)

// Conn is one connection. It carries one request at a time.
type Conn struct {
	Address string

	conn   net.Conn
	reader *bufio.Reader
	// idleUntil is the time from which the peer may close the idle connection.
	idleUntil time.Time
	written   chan error
}

// Dial opens a connection. If it returns an error, nothing was sent.
func Dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without the option, an unresponsive peer is detected later; nothing else depends on
			// it.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	out := NewConn(c)
	out.Address = address
	return out, nil
}

// NewConn returns a connection over c, which is open.
func NewConn(c net.Conn) *Conn {
	return &Conn{Address: c.RemoteAddr().String(), conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// Request is an HTTP request. Header must not contain Host, Content-Length or Transfer-Encoding.
type Request struct {
	Method string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// head returns the head of the request in wire format, with room for the body if it is short. Bodies
// always have a Content-Length.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(min(len(r.Body), maxInlineWrite) + 1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a Buffer never fails
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send sends a request. If it returns an error, part of the request may have arrived. A long body is
// not copied: it must stay as it is until the answer has been read or the connection is closed.
func (c *Conn) Send(r *Request) error {
	head := r.head()
	c.written = make(chan error, 1)
	if len(head)+len(r.Body) <= maxInlineWrite {
		_, err := c.conn.Write(append(head, r.Body...))
		c.written <- err
		if err != nil {
			return fmt.Errorf("send to %s: %w", c.Address, err)
		}
		return nil
	}
	go func(done chan<- error, body []byte) {
		_, err := c.conn.Write(head)
		if err == nil {
			_, err = c.conn.Write(body)
		}
		done <- err
	}(c.written, r.Body)
	return nil
}

// sentCompletely reports whether the latest request was sent completely, or there was none.
func (c *Conn) sentCompletely() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written <- err // kept for the next call
		return err == nil
	default:
		return false
	}
}

// endSending ends the sending of the latest request, and reports whether it was sent completely. It
// is called when the peer has ended the connection.
func (c *Conn) endSending() bool {
	if c.written == nil {
		return true
	}
	// A write that is over is not affected.
	_ = c.conn.SetWriteDeadline(time.Unix(1, 0))
	err := <-c.written
	c.written <- err
	return err == nil
}

// Receive reads the head of the next answer. The caller must read the body to its end before the
// next call. Bytes that are no answer yield an ErrMalformed; the connection cannot be used after it.
func (c *Conn) Receive(method string) (*http.Response, error) {
	resp, err := readAnswer(c.reader, method, c.endSending)
	if err != nil {
		return nil, fmt.Errorf("receive from %s: %w", c.Address, err)
	}
	return resp, nil
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// isIdle reports whether the connection is open and nothing has arrived on it since the last
// answer. Bytes that arrive before the next request is sent would be mistaken for its answer.
//
// It reads one byte without blocking. Only EAGAIN means an idle connection: the peer's close is
// read as the end of the stream. The byte is lost, so the caller must close a connection that is
// not idle.
func (c *Conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		idle = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// Reusable reports whether the connection may carry another request, provided that the answer was
// read to its end and the request was sent completely: neither side wants to close. IdleTime is
// how long the connection may stay idle.
func Reusable(resp *http.Response) (idleTime time.Duration, ok bool) {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return 0, false
	}
	return keepAliveTimeout(resp.Header.Get("Keep-Alive")), true
}

const (
	// defaultIdleTime is how long a connection may stay idle if the peer gives no timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the peer's timeout, so that a request does not cross the peer's
	// close.
	idleMargin = 300 * time.Millisecond
)

// keepAliveTimeout returns how long a connection may stay idle according to a Keep-Alive header.
func keepAliveTimeout(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(number); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}

// Drain reads and discards the remaining body of at most limit bytes.
func Drain(resp *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("drain answer: %w", err)
	}
	if n > limit {
		return fmt.Errorf("drain answer: more than %d bytes", limit)
	}
	return nil
}
