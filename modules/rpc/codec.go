// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpc

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
)

// clientCodec is the gob codec of net/rpc, which counts the bytes of each call by its method.
type clientCodec struct {
	conn    io.ReadWriteCloser
	methods *methodCounter

	// written counts the bytes of the buffer, which are sent by Flush.
	written byteCount
	buffer  *bufio.Writer
	encoder *gob.Encoder

	read    countingReader
	decoder *gob.Decoder
	// method is that of the response whose body is read next.
	method string
}

func newClientCodec(conn io.ReadWriteCloser, methods *methodCounter) *clientCodec {
	c := &clientCodec{conn: conn, methods: methods, buffer: bufio.NewWriter(conn), read: countingReader{Reader: bufio.NewReader(conn)}}
	c.encoder = gob.NewEncoder(io.MultiWriter(c.buffer, &c.written))
	c.decoder = gob.NewDecoder(&c.read)
	return c
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	defer func() { c.methods.add(r.ServiceMethod, MethodStats{Calls: 1, Sent: c.written.take()}) }()
	if err := c.encoder.Encode(r); err != nil {
		return fmt.Errorf("encode request header of %s: %w", r.ServiceMethod, err)
	}
	if err := c.encoder.Encode(body); err != nil {
		return fmt.Errorf("encode request of %s: %w", r.ServiceMethod, err)
	}
	if err := c.buffer.Flush(); err != nil {
		return fmt.Errorf("send request of %s: %w", r.ServiceMethod, err)
	}
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.decoder.Decode(r)
	c.method = r.ServiceMethod
	return err //nolint:wrapcheck // net/rpc compares with io.EOF
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	c.methods.add(c.method, MethodStats{Received: c.read.count.take()})
	return err //nolint:wrapcheck // net/rpc compares with io.EOF
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// byteCount counts the bytes that are written to it.
type byteCount uint64

// Write implements io.Writer.
func (n *byteCount) Write(b []byte) (int, error) {
	*n += byteCount(len(b))
	return len(b), nil
}

// take returns the count and sets it to 0.
func (n *byteCount) take() uint64 {
	count := *n
	*n = 0
	return uint64(count)
}

// countingReader counts the bytes that are read from it. It implements io.ByteReader, so that a
// gob.Decoder does not read ahead of the message that it decodes.
type countingReader struct {
	*bufio.Reader
	count byteCount
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.count += byteCount(max(n, 0))
	return n, err //nolint:wrapcheck // the decoder compares with io.EOF
}

// ReadByte implements io.ByteReader.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.count++
	}
	return b, err //nolint:wrapcheck // the decoder compares with io.EOF
}
