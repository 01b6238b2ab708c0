// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes bounds the head of an answer, interim answers before it included. A peer in
	// trouble may send bytes without end that are no answer.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 8
	// maxTrailerBytes bounds the trailer section of a chunked body.
	maxTrailerBytes = 8 << 10
	// maxChunkLine bounds the line with the size of a chunk, its extensions included.
	maxChunkLine = 256
	// maxChunkOverhead bounds the bytes of these lines beyond chunkOverhead for each chunk and a byte
	// for each byte of the body.
	maxChunkOverhead = 16 << 10
	chunkOverhead    = 16
)

// ErrMalformed reports bytes that are no answer.
type ErrMalformed struct {
	// Part is the part of the answer, and Value what stands there; it may be shortened.
	Part, Value, Reason string
}

func (e ErrMalformed) Error() string { return fmt.Sprintf("%s %q %s", e.Part, e.Value, e.Reason) }

// maxQuoted bounds the bytes of an answer that are quoted in an error.
const maxQuoted = 40

func malformed(part string, value []byte, reason string) error {
	return ErrMalformed{Part: part, Value: string(value[:min(len(value), maxQuoted)]), Reason: reason}
}

// headReader reads the lines of the head or the trailer of an answer up to a number of bytes.
type headReader struct {
	in   *bufio.Reader
	part string
	left int
}

// line returns the next line without its end. It is valid until the next read.
func (h *headReader) line() ([]byte, error) {
	var long []byte
	for {
		part, err := h.in.ReadSlice('\n')
		if h.left -= len(part); h.left < 0 {
			return nil, malformed(h.part, append(long, part...), "is too long")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
			continue
		case err != nil:
			return nil, unexpectedEnd(err)
		case long != nil:
			part = append(long, part...)
		}
		line, ok := bytes.CutSuffix(part, []byte("\r\n"))
		if !ok {
			return nil, malformed(h.part, part, "has a line without CRLF at its end")
		}
		return line, nil
	}
}

// unexpectedEnd returns an error of a read with io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fields reads header or trailer fields up to the empty line behind them.
func (h *headReader) fields() (http.Header, error) {
	header := http.Header{}
	for {
		line, err := h.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return header, nil
		}
		name, raw, ok := strings.Cut(string(line), ":")
		value := strings.Trim(raw, " \t")
		switch {
		case !ok:
			return nil, malformed("field", line, "has no colon")
		case !httpguts.ValidHeaderFieldName(name): // also one with a blank, and a line that goes on
			return nil, malformed("field name", []byte(name), "is not a token")
		case !httpguts.ValidHeaderFieldValue(value):
			return nil, malformed("field value", []byte(value), "holds a control byte")
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		header[key] = append(header[key], value)
	}
}

// statusLine reads the line with which an answer begins.
func (h *headReader) statusLine() (*http.Response, error) {
	line, err := h.line()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(string(line), " ")
	code, reason, ok := strings.Cut(rest, " ")
	resp := &http.Response{Proto: version, ProtoMajor: 1, Status: rest}
	switch {
	case !ok || !httpguts.ValidHeaderFieldValue(reason):
		return nil, malformed("status line", line, "is not valid")
	case len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[len(version)-1]):
		return nil, malformed("version", []byte(version), "is not HTTP/1")
	case len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) || code[0] < '1' || code[0] > '5':
		return nil, malformed("status", []byte(code), "is not between 100 and 599")
	}
	resp.ProtoMinor = int(version[len(version)-1] - '0')
	resp.StatusCode, _ = strconv.Atoi(code) // three digits
	return resp, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// readAnswer reads the head of the next final answer to a request with a method. sent reports, once the
// peer has ended the connection, whether the request was sent completely.
func readAnswer(in *bufio.Reader, method string, sent func() bool) (*http.Response, error) {
	h := &headReader{in: in, part: "head", left: maxHeadBytes}
	for range maxInterim + 1 {
		resp, err := h.statusLine()
		if err != nil {
			return nil, err
		}
		if resp.Header, err = h.fields(); err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, malformed("status", []byte(resp.Status), "was not asked for")
		case resp.StatusCode < http.StatusOK:
			continue
		}
		return resp, setBody(resp, in, method, sent)
	}
	return nil, malformed("answer", nil, fmt.Sprintf("comes after more than %d interim ones", maxInterim))
}

// setBody sets the body of an answer whose head was read.
func setBody(resp *http.Response, in *bufio.Reader, method string, sent func() bool) error {
	resp.Close = closes(resp)
	length, err := contentLength(resp.Header)
	if err != nil {
		return err
	}
	resp.ContentLength = length
	codings := resp.Header["Transfer-Encoding"]
	switch {
	case len(codings) > 0 && (length >= 0 || resp.ProtoMinor == 0):
		return malformed("Transfer-Encoding", []byte(strings.Join(codings, ", ")), "stands beside a length or in HTTP/1.0")
	case len(codings) > 0 && (len(codings) > 1 || !strings.EqualFold(codings[0], "chunked")):
		return malformed("Transfer-Encoding", []byte(strings.Join(codings, ", ")), "is not known")
	case resp.StatusCode == http.StatusNoContent && (length > 0 || len(codings) > 0):
		return malformed("status", []byte(resp.Status), "has a body")
	case method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		resp.ContentLength, resp.Body = 0, http.NoBody
	case len(codings) > 0:
		resp.TransferEncoding = codings
		resp.Body = io.NopCloser(&chunkedBody{in: in})
	case resp.ContentLength >= 0:
		resp.Body = io.NopCloser(&sizedBody{in: in, left: resp.ContentLength})
	default:
		resp.Body = io.NopCloser(&unsizedBody{in: in, sent: sent})
	}
	return nil
}

// contentLength returns the length of a body; -1 if the header does not tell it. Several values have
// to be the same.
func contentLength(header http.Header) (int64, error) {
	length := int64(-1)
	for _, list := range header["Content-Length"] {
		for value := range strings.SplitSeq(list, ",") {
			value = strings.Trim(value, " \t")
			n, err := strconv.ParseUint(value, 10, 63)
			if err != nil || !isDigit(value[0]) || length >= 0 && length != int64(n) {
				return 0, malformed("Content-Length", []byte(strings.Join(header["Content-Length"], ", ")), "is not a length")
			}
			length = int64(n)
		}
	}
	return length, nil
}

// closes reports whether the peer closes the connection after an answer.
func closes(resp *http.Response) bool {
	keep := resp.ProtoMajor == 1 && resp.ProtoMinor == 0
	for _, list := range resp.Header["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			switch option = strings.TrimSpace(option); {
			case strings.EqualFold(option, "close"):
				return true
			case strings.EqualFold(option, "keep-alive"):
				keep = false
			}
		}
	}
	return keep
}

// sizedBody is a body with a length.
type sizedBody struct {
	in   *bufio.Reader
	left int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left > 0 && err != nil {
		return n, unexpectedEnd(err)
	}
	return n, nil
}

// errIncomplete reports an answer without a length that may have been cut off.
var errIncomplete = errors.New("the connection ended while the request was being sent")

// unsizedBody is a body that ends with the connection. A reset is told once, to the reader or to the
// writer of the connection: if the writer hears of it, the reader sees the end of the stream as after
// an orderly close. So the body is complete only if the request was sent completely.
type unsizedBody struct {
	in   *bufio.Reader
	sent func() bool
}

// Read implements io.Reader.
func (b *unsizedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if errors.Is(err, io.EOF) && !b.sent() {
		return n, errIncomplete
	}
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// chunkedBody is a body in chunks.
type chunkedBody struct {
	in *bufio.Reader
	// left is what is left of the current chunk, and began whether there was one.
	left  int64
	began bool
	// overhead counts the bytes of the lines with sizes beyond those allowed for.
	overhead int64
	err      error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); err != nil {
		b.err = unexpectedEnd(err)
	}
	return n, b.err
}

// nextChunk reads the line with the size of the next chunk. It returns io.EOF after the last one.
func (b *chunkedBody) nextChunk() error {
	if b.began {
		end, err := b.line()
		if err != nil {
			return err
		}
		if len(end) > 0 {
			return malformed("chunk", end, "does not end where it should")
		}
	}
	b.began = true
	line, err := b.line()
	if err != nil {
		return err
	}
	digits, extension, _ := strings.Cut(string(line), ";")
	digits = strings.TrimRight(digits, " \t")
	n, err := strconv.ParseUint(digits, 16, 63)
	if err != nil || digits[0] == '+' || digits[0] == '-' {
		return malformed("chunk size", line, "is not a number")
	}
	if !httpguts.ValidHeaderFieldValue(extension) {
		return malformed("chunk extension", line, "holds a control byte")
	}
	b.left = int64(n)
	if b.overhead += max(int64(len(line))-chunkOverhead-b.left, -b.overhead); b.overhead > maxChunkOverhead {
		return malformed("chunk extension", line, "is one of too many")
	}
	if b.left > 0 {
		return nil
	}
	trailer := &headReader{in: b.in, part: "trailer", left: maxTrailerBytes}
	if _, err := trailer.fields(); err != nil {
		return err
	}
	return io.EOF
}

// line returns the next line without its end. It is valid until the next read.
func (b *chunkedBody) line() ([]byte, error) {
	h := headReader{in: b.in, part: "chunk size", left: maxChunkLine}
	return h.line()
}
