package callerhttp

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

var (
	errFieldsTooLarge    = errors.New("head is too large")
	errAmbiguousFields   = errors.New("Host, Content-Length or Transfer-Encoding is ambiguous")
	errMalformedChunk    = errors.New("chunk is malformed")
	errMalformedField    = errors.New("header line is malformed")
	errUnsupportedTarget = errors.New("request target is not in origin form")
)

// readExchange reads the head of a request and returns its exchange, or the status to
// reject the request with, or neither when the caller has disconnected.
func (c *conn) readExchange(previousDone <-chan struct{}) (x *exchange, rejectStatus int) {
	hold := memlimit.NewHold(c.account)
	defer func() {
		if x == nil {
			hold.Release()
		}
	}()
	head, err := readCountedHead(c.reader, c.limits().MaxHeaderBytes, func(bytes int64) error { return c.acquire(hold, bytes) })
	var request *http.Request
	if err == nil {
		err = c.acquire(hold, memlimit.HeadBytes(len(head), bytes.Count(head, []byte("\n"))))
	}
	if err == nil {
		request, err = parseHead(head)
	}
	switch {
	case err == nil:
	case errors.Is(err, errNoMemory):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, errFieldsTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case len(head) == 0:
		c.handleReadError(err)
		return nil, 0
	default:
		return nil, http.StatusBadRequest
	}
	x = newExchange(c, request, previousDone)
	x.hold = hold
	return x, 0
}

// readHead reads up to the empty line after the last header field. It returns no head after
// a read error.
func readHead(reader *bufio.Reader, limit int) ([]byte, error) {
	return readCountedHead(reader, limit, func(int64) error { return nil })
}

// readCountedHead is like readHead, and calls acquire before it holds more than
// uncountedHeadBytes.
func readCountedHead(reader *bufio.Reader, limit int, acquire func(bytes int64) error) ([]byte, error) {
	var head []byte
	countedBytes := uncountedHeadBytes
	skippedBytes := 0
	atLineStart := true
	for {
		part, err := reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		isEmpty := atLineStart && len(bytes.TrimRight(part, "\r\n")) == 0
		if isEmpty && len(head) == 0 {
			// Empty lines before a request are ignored (RFC 9112, section 2.2).
			if skippedBytes += len(part); skippedBytes > limit {
				return nil, errFieldsTooLarge
			}
			continue
		}
		if len(head)+len(part) > limit {
			return nil, errFieldsTooLarge
		}
		if len(head)+len(part) > countedBytes {
			if err := acquire(bufferGrowth * uncountedHeadBytes); err != nil {
				return nil, err
			}
			countedBytes += uncountedHeadBytes
		}
		head = append(head, part...)
		atLineStart = err == nil
		if isEmpty && err == nil {
			return head, nil
		}
	}
}

// parseHead returns the request without its body. It rejects a target that is not in origin
// form and any head from which another hop could derive a different host or body length.
func parseHead(head []byte) (*http.Request, error) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(request.RequestURI, "/") {
		return nil, errUnsupportedTarget
	}
	counts, ok := countHeaderFields(head)
	isChunked := len(request.TransferEncoding) > 0
	switch {
	case !ok:
		return nil, errMalformedField
	case isChunked && (counts.contentLength > 0 || !request.ProtoAtLeast(1, 1)):
		return nil, errAmbiguousFields
	case counts.host > 1 || counts.transferEncoding > 1:
		return nil, errAmbiguousFields
	}
	return request, nil
}

// fieldCounts holds the number of lines of each header field that determines the route or
// the framing of a request. net/http merges or removes some of these lines.
type fieldCounts struct {
	host, contentLength, transferEncoding int
}

// countHeaderFields counts the lines of the fields in fieldCounts. It returns false for a
// line that other hops may parse differently: one that continues the previous line, or has
// white space in its field name.
func countHeaderFields(head []byte) (counts fieldCounts, ok bool) {
	_, lines, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(lines) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue // the empty line; net/http rejects any other line without a colon
		}
		if len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return counts, false
		}
		switch strings.ToLower(string(name)) {
		case "host":
			counts.host++
		case "content-length":
			counts.contentLength++
		case "transfer-encoding":
			counts.transferEncoding++
		}
	}
	return counts, true
}

// newBodyReader returns a reader of the request body from the connection, nil if the request
// has no body.
func newBodyReader(request *http.Request, reader *bufio.Reader) io.Reader {
	switch {
	case len(request.TransferEncoding) > 0:
		return &chunkedReader{reader: reader}
	case request.ContentLength > 0:
		return &fixedLengthReader{reader: reader, remainingBytes: request.ContentLength}
	default:
		return nil
	}
}

// fixedLengthReader reads a body of known length.
type fixedLengthReader struct {
	reader         io.Reader
	remainingBytes int64
}

func (r *fixedLengthReader) Read(p []byte) (int, error) {
	if r.remainingBytes == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.remainingBytes)])
	r.remainingBytes -= int64(n)
	return n, toUnexpectedEOF(err)
}

// maxChunkLineBytes limits the line before a chunk, including its extensions.
const maxChunkLineBytes = 1 << 10

// chunkedReader decodes a chunked body. It discards chunk extensions and trailers.
type chunkedReader struct {
	reader *bufio.Reader
	// remainingBytes is the size of the unread part of the current chunk.
	remainingBytes int64
	chunkStarted   bool // set once a chunk has started; the CRLF that ends it must be read before the next chunk
	ended          bool
}

func (r *chunkedReader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	if r.remainingBytes == 0 {
		if err := r.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.remainingBytes)])
	r.remainingBytes -= int64(n)
	return n, toUnexpectedEOF(err)
}

// nextChunk reads the CRLF after the current chunk, if any, and the size of the next one.
// After the last chunk it reads the trailers and returns io.EOF.
func (r *chunkedReader) nextChunk() error {
	if r.chunkStarted {
		end, err := r.readLine()
		if err != nil {
			return err
		}
		if len(end) != 0 {
			return errMalformedChunk
		}
	}
	r.chunkStarted = true
	line, err := r.readLine()
	if err != nil {
		return err
	}
	text, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 62)
	if err != nil {
		return errMalformedChunk
	}
	r.remainingBytes = int64(size) //nolint:gosec // at most 62 bits
	if size > 0 {
		return nil
	}
	if err := discardTrailers(r.reader); err != nil {
		return err
	}
	r.ended = true
	return io.EOF
}

// readLine returns the next line without its CRLF.
func (r *chunkedReader) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if err != nil {
		return nil, toUnexpectedEOF(err)
	}
	if len(line) > maxChunkLineBytes || !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, errMalformedChunk
	}
	return line[:len(line)-2], nil
}

// toUnexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// discardTrailers reads and discards the trailers up to and including the empty line after
// them.
func discardTrailers(reader *bufio.Reader) error {
	totalBytes := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return toUnexpectedEOF(err)
		}
		totalBytes += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if totalBytes > DefaultMaxHeaderBytes {
			return errFieldsTooLarge
		}
	}
}
