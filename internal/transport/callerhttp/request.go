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
)

var (
	errHeadTooLarge = errors.New("head is too large")
	errFraming      = errors.New("body has no certain length")
	errChunk        = errors.New("chunk is malformed")
	errField        = errors.New("header line is malformed")
	errTarget       = errors.New("target is not in origin form")
)

// readExchange reads the head of a request. Without one it returns the status to
// refuse with, or neither when the caller is gone.
func (c *conn) readExchange(turn <-chan struct{}) (x *exchange, refusal int) {
	head, err := readHead(c.reader, c.limits().MaxHeaderBytes)
	var request *http.Request
	if err == nil {
		request, err = parseHead(head)
	}
	switch {
	case err == nil:
	case errors.Is(err, errHeadTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case len(head) == 0:
		c.leave(err)
		return nil, 0
	default:
		return nil, http.StatusBadRequest
	}
	return newExchange(c, request, turn), 0
}

// readHead reads up to the empty line after the last header. After an error of the
// connection it returns no head.
func readHead(reader *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	atLineStart := true
	for {
		part, err := reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		isEmpty := atLineStart && len(bytes.TrimRight(part, "\r\n")) == 0
		if isEmpty && len(head) == 0 {
			continue // an empty line before a request is ignored (RFC 9112, section 2.2)
		}
		head = append(head, part...)
		if len(head) > limit {
			return nil, errHeadTooLarge
		}
		atLineStart = err == nil
		if isEmpty && err == nil {
			return head, nil
		}
	}
}

// parseHead returns the request without its body. It refuses whatever another hop
// could take for a body of another length.
func parseHead(head []byte) (*http.Request, error) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(request.RequestURI, "/") {
		return nil, errTarget
	}
	fields, ok := countFields(head)
	isChunked := len(request.TransferEncoding) > 0
	switch {
	case !ok:
		return nil, errField
	case isChunked && (fields.lengths > 0 || !request.ProtoAtLeast(1, 1)):
		return nil, errFraming
	case fields.hosts > 1 || fields.codings > 1:
		return nil, errFraming
	}
	return request, nil
}

// framingFields counts the header lines that decide on route and framing. The library
// joins or drops some of them.
type framingFields struct {
	hosts, lengths, codings int
}

// countFields returns false for a line that other hops may read differently: one that
// continues the line before it, or has white space in its name.
func countFields(head []byte) (fields framingFields, ok bool) {
	_, lines, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(lines) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue // the empty line; the library refuses others
		}
		if len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return fields, false
		}
		switch strings.ToLower(string(name)) {
		case "host":
			fields.hosts++
		case "content-length":
			fields.lengths++
		case "transfer-encoding":
			fields.codings++
		}
	}
	return fields, true
}

// bodySource reads the body of the request from the connection, nil without a body.
func bodySource(request *http.Request, reader *bufio.Reader) io.Reader {
	switch {
	case len(request.TransferEncoding) > 0:
		return &chunkedSource{reader: reader}
	case request.ContentLength > 0:
		return &lengthSource{reader: reader, left: request.ContentLength}
	default:
		return nil
	}
}

// lengthSource reads a body of known length.
type lengthSource struct {
	reader io.Reader
	left   int64
}

func (s *lengthSource) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.reader.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, unexpected(err)
}

// maxChunkLineBytes bounds the line before a chunk, extensions included.
const maxChunkLineBytes = 1 << 10

// chunkedSource reads a chunked body and drops its extensions and trailers.
type chunkedSource struct {
	reader *bufio.Reader
	// left is the rest of the chunk that is being read.
	left  int64
	inner bool // set once the first chunk has begun
	ended bool
}

func (s *chunkedSource) Read(p []byte) (int, error) {
	if s.ended {
		return 0, io.EOF
	}
	if s.left == 0 {
		if err := s.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := s.reader.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, unexpected(err)
}

// nextChunk reads the end of a chunk and the size of the next one. It returns io.EOF
// after the last one.
func (s *chunkedSource) nextChunk() error {
	if s.inner {
		end, err := s.line()
		if err != nil {
			return err
		}
		if len(end) != 0 {
			return errChunk
		}
	}
	s.inner = true
	line, err := s.line()
	if err != nil {
		return err
	}
	text, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 62)
	if err != nil {
		return errChunk
	}
	s.left = int64(size) //nolint:gosec // 62 bits
	if size > 0 {
		return nil
	}
	if err := readTrailers(s.reader); err != nil {
		return err
	}
	s.ended = true
	return io.EOF
}

// line returns a line without its end.
func (s *chunkedSource) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return nil, unexpected(err)
	}
	if len(line) > maxChunkLineBytes || !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, errChunk
	}
	return line[:len(line)-2], nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readTrailers reads up to the empty line after the last chunk.
func readTrailers(reader *bufio.Reader) error {
	total := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return unexpected(err)
		}
		total += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if total > DefaultMaxHeaderBytes {
			return errHeadTooLarge
		}
	}
}
